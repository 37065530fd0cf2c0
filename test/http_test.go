package test

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	requestTimeout    = 30 * time.Second
	eventuallyTimeout = 60 * time.Second
	eventuallyPause   = 50 * time.Millisecond
)

// httpCall is one request of a script and the expected response.
type httpCall struct {
	method, url, body, save string
	header                  http.Header
	status                  int
	contains                []string
	// pause is the time after which the body ends.
	pause time.Duration
}

// parseHTTPCall reads METHOD URL [-header 'K: V'] [-body TEXT] [-pause DURATION] [-status N] [-contains TEXT] [-save FILE].
func parseHTTPCall(ts *testscript.TestScript, args []string) *httpCall {
	if len(args) < 2 || len(args)%2 != 0 {
		ts.Fatalf("usage: http METHOD URL [-header 'K: V'] [-body TEXT] [-pause DURATION] [-status N] [-contains TEXT] [-save FILE]")
	}
	cal := &httpCall{method: args[0], url: args[1], header: http.Header{}, status: http.StatusOK}
	for i := 2; i < len(args); i += 2 {
		value := args[i+1]
		switch args[i] {
		case "-header":
			name, content, _ := strings.Cut(value, ": ")
			cal.header.Add(name, content)
		case "-body":
			cal.body = value
		case "-pause":
			pause, err := time.ParseDuration(value)
			ts.Check(err)
			cal.pause = pause
		case "-status":
			status, err := strconv.Atoi(value)
			ts.Check(err)
			cal.status = status
		case "-contains":
			cal.contains = append(cal.contains, value)
		case "-save":
			cal.save = ts.MkAbs(value)
		default:
			ts.Fatalf("option %q is not known", args[i])
		}
	}
	return cal
}

// run makes the call and returns the response's body and how the response differs from what is expected; problem is
// empty if it does not differ.
func (cal *httpCall) run() (body, problem string) {
	var content io.Reader = strings.NewReader(cal.body)
	if cal.pause > 0 {
		content = io.MultiReader(content, &lateEnd{pause: cal.pause})
	}
	req, err := http.NewRequest(cal.method, cal.url, content)
	if err != nil {
		return "", err.Error()
	}
	req.Header = cal.header.Clone()
	clt := &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}, CheckRedirect: func(*http.Request, []*http.Request) error {
		// Scripts have no load balancer that would route the redirected call to another daemon.
		return http.ErrUseLastResponse
	}}
	res, err := clt.Do(req)
	if err != nil {
		return "", err.Error()
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return string(data), err.Error()
	}
	if location := res.Header.Get("Location"); location != "" {
		data = append(data, "location: "+location+"\n"...)
	}
	if res.StatusCode != cal.status {
		return string(data), "got status " + res.Status + "; want " + strconv.Itoa(cal.status)
	}
	for _, text := range cal.contains {
		if !strings.Contains(string(data), text) {
			return string(data), "got no " + strconv.Quote(text) + " in the answer"
		}
	}
	return string(data), ""
}

// lateEnd is the end of a body, which comes after a pause.
type lateEnd struct {
	pause time.Duration
}

// Read returns the end of the body after the pause.
func (end *lateEnd) Read([]byte) (int, error) {
	time.Sleep(end.pause)
	return 0, io.EOF
}

// cmdHTTP makes one call and fails unless the response is as expected.
func cmdHTTP(ts *testscript.TestScript, neg bool, args []string) {
	cal := parseHTTPCall(ts, args)
	body, problem := cal.run()
	if (problem != "") != neg {
		ts.Fatalf("%s %s: %s: %s", cal.method, cal.url, problem, body)
	}
	cal.saveBody(ts, body)
}

// cmdEventually repeats a call until the response is as expected, and fails after eventuallyTimeout.
func cmdEventually(ts *testscript.TestScript, _ bool, args []string) {
	cal := parseHTTPCall(ts, args)
	deadline := time.Now().Add(eventuallyTimeout)
	for {
		body, problem := cal.run()
		if problem == "" {
			cal.saveBody(ts, body)
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("%s %s: %s: %s", cal.method, cal.url, problem, body)
		}
		time.Sleep(eventuallyPause)
	}
}

func (cal *httpCall) saveBody(ts *testscript.TestScript, body string) {
	if cal.save == "" {
		return
	}
	ts.Check(writeFile(cal.save, body))
}
