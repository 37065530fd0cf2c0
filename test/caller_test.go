package test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/tmaxmax/go-sse"

	"papayacroft/entry"
)

const (
	callerTries = 60
	callerPause = 100 * time.Millisecond
)

type callersKey struct{}

// caller is a client that sends one request, resumes its answer through another entry daemon where needed, and
// records what it receives.
type caller struct {
	entries    []string
	credential string
	prompt     string
	body       string
	// leaveAfter is the number of tokens after which the caller disconnects for good; 0 means never.
	leaveAfter int
	// reconnectAfter is the number of tokens after which the caller once drops its connection and resumes at the next
	// entry daemon; 0 means never.
	reconnectAfter int
	cancel         context.CancelFunc
	finished       chan struct{}

	mutex        sync.Mutex
	reconnecting bool
	position     string
	// location is the path of a non-streamed answer that a daemon handed over.
	location   string
	texts      []string
	problems   []string
	end        string
	restarts   int
	reattaches int
	comments   int
}

// cmdCaller starts a caller in the background:
// caller NAME ENTRIES CREDENTIAL BODY [-leave N] [-hop N].
func cmdCaller(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 4 || len(args)%2 != 0 {
		ts.Fatalf("usage: caller NAME ENTRIES CREDENTIAL BODY [-leave N] [-hop N]")
	}
	clr := &caller{entries: strings.Split(args[1], ","), credential: args[2], body: args[3], finished: make(chan struct{})}
	var body entry.CompletionRequest
	ts.Check(json.Unmarshal([]byte(clr.body), &body))
	clr.prompt = body.Prompt
	for i := 4; i < len(args); i += 2 {
		switch args[i] {
		case "-leave":
			_, err := fmt.Sscan(args[i+1], &clr.leaveAfter)
			ts.Check(err)
		case "-hop":
			_, err := fmt.Sscan(args[i+1], &clr.reconnectAfter)
			ts.Check(err)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	clr.cancel = cancel
	ts.Value(callersKey{}).(map[string]*caller)[args[0]] = clr
	go clr.run(ctx)
}

// run sends the request and resumes the answer until it ends.
func (clr *caller) run(ctx context.Context) {
	defer close(clr.finished)
	for try := range callerTries {
		retry, err := clr.try(ctx, clr.entries[try%len(clr.entries)])
		clr.mutex.Lock()
		ended, resumable := clr.end != "", clr.position != "" || clr.location != ""
		if !ended && !retry && !resumable {
			clr.end = fmt.Sprintf("broken: %v", err)
			ended = true
		}
		clr.mutex.Unlock()
		if ended {
			return
		}
		time.Sleep(callerPause)
	}
	clr.finish("no end after many tries")
}

func (clr *caller) finish(end string) {
	clr.mutex.Lock()
	defer clr.mutex.Unlock()
	clr.end = end
}

// try makes one request; retry is true if the daemon asked the caller to try another one.
func (clr *caller) try(ctx context.Context, address string) (retry bool, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/completions", strings.NewReader(clr.body))
	if err != nil {
		return false, err
	}
	if clr.position != "" {
		req.Method, req.Body, req.ContentLength = http.MethodGet, nil, 0
		req.Header.Set("Last-Event-ID", clr.position)
	}
	if clr.location != "" {
		req.Method, req.Body, req.ContentLength, req.URL.Path = http.MethodGet, nil, 0, clr.location
	}
	req.Header.Set("Authorization", "Bearer "+clr.credential)
	clt := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, CheckRedirect: func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}}
	res, err := clt.Do(req)
	if err != nil {
		return false, err
	}
	defer res.Body.Close()
	if res.StatusCode == http.StatusSeeOther {
		clr.handOver(res.Header.Get("Location"))
		return true, nil
	}
	if res.StatusCode != http.StatusOK {
		return clr.refused(res.Body)
	}
	if res.Header.Get("Content-Type") != "text/event-stream" {
		return false, clr.whole(res.Body)
	}
	return false, clr.stream(res.Body)
}

// handOver records the path at which another daemon serves the whole answer. The next try goes to the next entry
// daemon, as a load balancer would route it.
func (clr *caller) handOver(location string) {
	clr.mutex.Lock()
	defer clr.mutex.Unlock()
	clr.location = location
	clr.reattaches++
}

func (clr *caller) refused(body io.Reader) (retry bool, err error) {
	var ref entry.Refusal
	if err := json.NewDecoder(body).Decode(&ref); err != nil {
		return false, err
	}
	want := entry.OutcomeNotRun
	if clr.position != "" || clr.location != "" {
		want = entry.OutcomeUnknown
	}
	if ref.Code == "draining" && ref.Outcome == want {
		return true, nil
	}
	clr.finish(fmt.Sprintf("%s/%s", ref.Outcome, ref.Code))
	return false, nil
}

func (clr *caller) whole(body io.Reader) error {
	var res entry.CompletionResponse
	if err := json.NewDecoder(body).Decode(&res); err != nil {
		return err
	}
	clr.mutex.Lock()
	defer clr.mutex.Unlock()
	for text := range strings.SplitAfterSeq(strings.TrimSuffix(res.Text, " "), " ") {
		clr.texts = append(clr.texts, strings.TrimSuffix(text, " ")+" ")
	}
	clr.endAfter(res.Tokens)
	return nil
}

// endAfter records the end of an answer that is complete after the given number of tokens; the mutex is held.
func (clr *caller) endAfter(tokens int) {
	if tokens != len(clr.texts) {
		clr.problems = append(clr.problems, fmt.Sprintf("done after %d tokens with %d received", tokens, len(clr.texts)))
	}
	clr.end = "done"
}

var errReattach = errors.New("reattach")

func (clr *caller) stream(body io.Reader) error {
	for evt, err := range sse.Read(io.TeeReader(body, commentCounter{clr}), nil) {
		if err != nil {
			return err
		}
		if over := clr.event(evt); over {
			return errReattach
		}
	}
	return io.ErrUnexpectedEOF
}

type commentCounter struct{ caller *caller }

func (ctr commentCounter) Write(data []byte) (int, error) {
	ctr.caller.mutex.Lock()
	defer ctr.caller.mutex.Unlock()
	ctr.caller.comments += strings.Count(string(data), ": keepalive")
	return len(data), nil
}

// event records one event and reports whether the connection is over.
func (clr *caller) event(evt sse.Event) bool {
	clr.mutex.Lock()
	defer clr.mutex.Unlock()
	if evt.LastEventID != "" {
		clr.position = evt.LastEventID
	}
	var data struct {
		Index  int
		Text   string
		Tokens int
		entry.Refusal
	}
	if evt.Data != "" {
		if err := json.Unmarshal([]byte(evt.Data), &data); err != nil {
			clr.problems = append(clr.problems, err.Error())
		}
	}
	switch evt.Type {
	case "done":
		clr.endAfter(data.Tokens)
		return true
	case "error":
		clr.end = fmt.Sprintf("%s/%s", data.Outcome, data.Code)
		return true
	case "reattach":
		clr.reattaches++
		return true
	case "restart":
		clr.restarts++
		clr.texts = nil
	case "":
		clr.token(evt.Data, data.Index, data.Text)
	}
	reconnect := clr.reconnecting
	clr.reconnecting = false
	return clr.end != "" || reconnect
}

// token records one token; the mutex is held.
func (clr *caller) token(raw string, index int, text string) {
	if raw == "" {
		return
	}
	if index != len(clr.texts) {
		clr.problems = append(clr.problems, fmt.Sprintf("index %d where %d is next", index, len(clr.texts)))
	}
	clr.texts = append(clr.texts, text)
	if clr.leaveAfter > 0 && len(clr.texts) >= clr.leaveAfter {
		clr.end = "left"
	}
	if clr.reconnectAfter > 0 && len(clr.texts) >= clr.reconnectAfter {
		clr.reconnectAfter, clr.reconnecting = 0, true
	}
}

// check returns the faults in the tokens: each must come once, in order, from one generation.
func (clr *caller) check() []string {
	problems := clr.problems
	for i, text := range clr.texts {
		generation, _, _ := strings.Cut(clr.texts[0], "-")
		if want := fmt.Sprintf("%s-%d ", generation, i); text != want {
			problems = append(problems, fmt.Sprintf("token %d is %q; want %q", i, text, want))
		}
	}
	return problems
}

// cmdReceived waits until a caller has received N tokens: received NAME N.
func cmdReceived(ts *testscript.TestScript, _ bool, args []string) {
	clr := scriptCaller(ts, args)
	var want int
	_, err := fmt.Sscan(args[1], &want)
	ts.Check(err)
	for deadline := time.Now().Add(eventuallyTimeout); ; time.Sleep(callerPause / 10) {
		clr.mutex.Lock()
		got, end := len(clr.texts), clr.end
		clr.mutex.Unlock()
		if got >= want {
			return
		}
		if end != "" || time.Now().After(deadline) {
			ts.Fatalf("got %d tokens and end %q; want %d tokens", got, end, want)
		}
	}
}

// cmdHistory waits for a caller's end and checks its history:
// history NAME END [-tokens N] [-restarts N] [-reattaches N] [-comments N] [-engines ADDRESSES].
// Tokens and restarts are exact, reattaches and comments are minimum numbers. With -engines, END must not be notRun
// if one of the engines has begun the prompt.
func cmdHistory(ts *testscript.TestScript, _ bool, args []string) {
	clr := scriptCaller(ts, args)
	select {
	case <-clr.finished:
	case <-time.After(2 * eventuallyTimeout):
		ts.Fatalf("caller %s has not ended", args[0])
	}
	if clr.end != args[1] {
		ts.Fatalf("got end %q; want %q", clr.end, args[1])
	}
	if problems := clr.check(); len(problems) > 0 {
		ts.Fatalf("history of %s: %s", args[0], strings.Join(problems, "; "))
	}
	for i := 2; i+1 < len(args); i += 2 {
		if args[i] == "-engines" {
			clr.checkNotRun(ts, strings.Split(args[i+1], ","))
			continue
		}
		var want int
		_, err := fmt.Sscan(args[i+1], &want)
		ts.Check(err)
		got, ok := map[string]int{"-tokens": len(clr.texts), "-restarts": clr.restarts, "-reattaches": clr.reattaches, "-comments": clr.comments}[args[i]]
		exact := args[i] == "-tokens" || args[i] == "-restarts"
		if !ok || got < want || exact && got > want {
			ts.Fatalf("got %d for %s; want %d", got, args[i], want)
		}
	}
}

// checkNotRun fails if the caller got notRun although one of the engines has begun its prompt.
func (clr *caller) checkNotRun(ts *testscript.TestScript, engines []string) {
	for _, address := range engines {
		res, err := http.Get("http://" + address + "/generations")
		ts.Check(err)
		defer res.Body.Close()
		var begun map[string]string
		ts.Check(json.NewDecoder(res.Body).Decode(&begun))
		for id, prompt := range begun {
			if prompt == clr.prompt && strings.HasPrefix(clr.end, "notRun/") {
				ts.Fatalf("caller got %s, but %s began generation %s", clr.end, address, id)
			}
		}
	}
}

// cmdPosition sets a variable to the last position that a caller received, or to the path of its handed-over answer:
// position NAME VARIABLE.
func cmdPosition(ts *testscript.TestScript, _ bool, args []string) {
	clr := scriptCaller(ts, args)
	clr.mutex.Lock()
	defer clr.mutex.Unlock()
	ts.Setenv(args[1], clr.position+clr.location)
}

func scriptCaller(ts *testscript.TestScript, args []string) *caller {
	if len(args) < 2 {
		ts.Fatalf("usage: received NAME N, or history NAME END")
	}
	clr, ok := ts.Value(callersKey{}).(map[string]*caller)[args[0]]
	if !ok {
		ts.Fatalf("caller %q does not exist", args[0])
	}
	return clr
}

func setupCallers(env *testscript.Env) {
	callers := map[string]*caller{}
	env.Values[callersKey{}] = callers
	env.Defer(func() {
		for _, clr := range callers {
			clr.cancel()
		}
	})
}
