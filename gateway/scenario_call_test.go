package gateway_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

type siteCall struct {
	id     string
	mutex  sync.Mutex
	status int
	body   string
	events []int
	// foreign are the lines of a stream that are no part of the events that the engines of a site make.
	foreign    []string
	complete   bool
	err        error
	retryAfter string
	cancel     context.CancelFunc
	done       chan struct{}
}

func (sit *site) startCall(name, daemon, target string, key []string) {
	sit.startPrompt(name, daemon, target, "", key)
}

// startPrompt starts a request; prompt has the ids of its parts, separated by commas, or ID:TOKENS for each.
func (sit *site) startPrompt(name, daemon, target, prompt string, key []string) {
	cal, req := sit.newCall(name, daemon, target, strings.NewReader("body of "+target+prompt))
	if strings.Contains(prompt, ":") {
		req.Header.Set("Prompt-Prefix", prompt)
		req.Header.Set("Token-Usage", promptUsage(prompt))
	} else if prompt != "" {
		req.Header.Set("Prompt-Prefix", strings.ReplaceAll(prompt, ",", ":50,")+":50")
	}
	switch {
	case len(key) > 0 && key[0] == "none":
		req.Header.Del("Authorization")
	case len(key) > 0:
		req.Header.Set("Authorization", "Bearer "+strings.ReplaceAll(key[0], "empty", ""))
	}
	go cal.run(req)
}

// startSlowBody starts a request whose body ends after a time.
func (sit *site) startSlowBody(name, daemon, target string, after time.Duration) {
	cal, req := sit.newCall(name, daemon, target, &slowBody{text: strings.NewReader("body of " + target), after: after})
	go cal.run(req)
}

// startResumed starts a request for a stream that goes on after an event.
func (sit *site) startResumed(name, daemon, target, lastEvent string) {
	cal, req := sit.newCall(name, daemon, target, strings.NewReader("body of "+target))
	req.Header.Set("Last-Event-Id", lastEvent)
	go cal.run(req)
}

// newCall returns a call and its request, with the key of organisation one.
func (sit *site) newCall(name, daemon, target string, body io.Reader) (*siteCall, *http.Request) {
	ctx, cancel := context.WithCancel(context.Background())
	cal := &siteCall{id: "id-" + name, cancel: cancel, done: make(chan struct{})}
	sit.calls[name] = cal
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+sit.daemons[daemon].caller+target, body)
	if err != nil {
		sit.fatalf("%v", err)
	}
	req.Host = "site.example"
	req.Header.Set("Attempt-Id", cal.id)
	req.Header.Set("Token-Usage", "100,400")
	req.Header.Set("Tenant", "forged")
	req.Header.Set("Authorization", "Bearer key-one")
	if sit.deadline > 0 {
		req.Header.Set("Deadline-Ms", strconv.FormatInt(sit.deadline.Milliseconds(), 10))
	}
	return cal, req
}

// slowBody is a request body that ends after a time.
type slowBody struct {
	text  *strings.Reader
	after time.Duration
}

// Read returns the text and then, after the time, the end of the body.
func (bod *slowBody) Read(buf []byte) (int, error) {
	count, err := bod.text.Read(buf)
	if err != nil {
		time.Sleep(bod.after)
	}
	return count, err
}

func (cal *siteCall) run(req *http.Request) {
	defer close(cal.done)
	clt := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := clt.Do(req)
	if err != nil {
		cal.err = err
		return
	}
	defer res.Body.Close()
	cal.status, cal.retryAfter = res.StatusCode, res.Header.Get("Retry-After")
	if res.Header.Get("Content-Type") != "text/event-stream" {
		var body []byte
		body, cal.err = io.ReadAll(res.Body)
		cal.body, cal.complete = string(body), cal.err == nil
		return
	}
	scn := bufio.NewScanner(res.Body)
	for scn.Scan() {
		if text, ok := strings.CutPrefix(scn.Text(), "id: "); ok {
			event, _ := strconv.Atoi(text)
			cal.mutex.Lock()
			cal.events = append(cal.events, event)
			cal.mutex.Unlock()
		} else if line := scn.Text(); line != "" && !strings.HasPrefix(line, "data: ") {
			cal.foreign = append(cal.foreign, line)
		}
	}
	cal.err = scn.Err()
	cal.complete = cal.err == nil
}

func (cal *siteCall) received() []int {
	cal.mutex.Lock()
	defer cal.mutex.Unlock()
	return cal.events
}

func (sit *site) finished(name string) *siteCall {
	cal := sit.calls[name]
	select {
	case <-cal.done:
	case <-time.After(stepTimeout):
		sit.fatalf("call %s did not end", name)
	}
	return cal
}
