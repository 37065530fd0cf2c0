package gateway_test

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.yaml.in/yaml/v3"

	"papayacroft/standin"
)

const (
	// uploadBytes is more than the sockets between a gateway and an endpoint that does not read can hold.
	uploadBytes = 4<<20 - 1
	// earlyPause is long enough for a gateway to read what was sent before.
	earlyPause = 20 * time.Millisecond
	// earlyTries is the number of requests of each case: which of the gateway's reads and writes sees a reset first is a matter
	// of chance.
	earlyTries = 8
	// earlyEvent is an event of a stream, and earlyHalf a part of the next one.
	earlyEvent = "id: 1\ndata: a\n\n"
	earlyHalf  = "id: 2\nda"
)

// earlyCase is an answer that an endpoint sends before it has read the request's body.
type earlyCase struct {
	Name, Guards string
	// Head is the status line and the first lines of the head, and Body the framed body. Cut leaves out the end of the head.
	Head, Body string
	Cut        bool
	// End is what then happens on the connection, and Whole is true if the answer is complete by then.
	End   standin.EarlyEnd
	Whole bool
}

// Each case of testdata/early.yaml is an early answer to a long upload, which is still being written when the answer or its
// connection ends, or to a short one. Only a whole answer may look whole to the caller.
func TestEarlyAnswers(t *testing.T) {
	data, err := os.ReadFile("testdata/early.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var cases []earlyCase
	if err := yaml.Unmarshal(data, &cases); err != nil || len(cases) == 0 {
		t.Fatalf("got %d cases, error %v; want some", len(cases), err)
	}
	for _, cse := range cases {
		t.Run(cse.Name, func(t *testing.T) {
			t.Log(cse.Guards)
			for _, route := range []string{"once", "check", "long", "short"} {
				t.Run(route, func(t *testing.T) { cse.play(t, route, uploadBytes) })
				t.Run(route+"Brief", func(t *testing.T) { cse.play(t, route, 1) })
			}
			if cse.isStream() {
				t.Run("resumed", func(t *testing.T) { cse.playResumed(t) })
			}
		})
	}
}

// isStream reports whether the answer may continue a stream.
func (cse *earlyCase) isStream() bool {
	return strings.Contains(cse.Head, " 200 ")
}

// answer returns the bytes of the answer to a request.
func (cse *earlyCase) answer(req *http.Request, body string) standin.EarlyAnswer {
	text := cse.Head + "Attempt-Id: " + req.Header.Get("Attempt-Id") + "\nResponse-Signature: s\nContent-Type: text/event-stream\n"
	if !cse.Cut {
		text += "\n"
	}
	return standin.EarlyAnswer{Data: strings.ReplaceAll(text, "\n", "\r\n") + body, End: cse.End, Pause: earlyPause}
}

// play sends requests with a body of some bytes to the only endpoint.
func (cse *earlyCase) play(t *testing.T, route string, bytes int) {
	var runs atomic.Int64
	engine := startEarly(t, func(req *http.Request) standin.EarlyAnswer {
		runs.Add(1)
		ans := cse.answer(req, cse.Body)
		ans.ReadsBody = bytes < uploadBytes
		return ans
	})
	front := startFront(t, t.Context(), map[string][]string{serviceOf(route): {engine.Address()}})
	callEarly(t, earlyTries, func(number int) {
		got := upload(t, front, route, number, bytes)
		if cse.Whole {
			got.checkWhole(t, cse.Head, earlyEvent)
			return
		}
		got.checkBroken(t)
	})
	if got := runs.Load(); got != earlyTries {
		t.Errorf("got %d runs, want %d", got, earlyTries)
	}
}

// playResumed lets the answer continue a stream that another endpoint has broken off.
func (cse *earlyCase) playResumed(t *testing.T) {
	var resumed atomic.Int64
	answer := func(req *http.Request) standin.EarlyAnswer {
		if req.Header.Get("Last-Event-Id") == "" {
			broken := earlyCase{Head: "HTTP/1.1 200 OK\n", End: standin.EarlyReset}
			return broken.answer(req, earlyEvent+earlyHalf)
		}
		resumed.Add(1)
		return cse.answer(req, strings.Replace(cse.Body, "1", "2", 1))
	}
	engines := []string{startEarly(t, answer).Address(), startEarly(t, answer).Address()}
	srv, front := startServer(t, t.Context(), map[string][]string{serviceOf("short"): engines})
	srv.Budget.SetLimits(0, earlyTries, time.Minute)
	callEarly(t, earlyTries, func(number int) {
		got := upload(t, front, "short", number, uploadBytes)
		if cse.Whole {
			got.checkWhole(t, "HTTP/1.1 200 ", earlyEvent+strings.Replace(earlyEvent, "1", "2", 1))
			return
		}
		got.checkBroken(t)
	})
	if got := resumed.Load(); got != earlyTries {
		t.Errorf("got %d resumed streams, want %d", got, earlyTries)
	}
}

// startEarly starts an endpoint that answers early.
func startEarly(t *testing.T, answer func(req *http.Request) standin.EarlyAnswer) *standin.EarlyServer {
	srv, err := standin.StartEarlyServer(answer)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(srv.Close)
	return srv
}

// callEarly makes calls at the same time.
func callEarly(t *testing.T, count int, call func(number int)) {
	t.Helper()
	var grp sync.WaitGroup
	for number := range count {
		grp.Go(func() { call(number) })
	}
	grp.Wait()
}

// earlyResult is what a caller got.
type earlyResult struct {
	status int
	body   string
	err    error
}

// upload sends a request with a body of some bytes.
func upload(t *testing.T, front, route string, number, bytes int) earlyResult {
	req, err := standin.NewSiteCall(t.Context(), fmt.Sprintf("http://%s/%s/x", front, route), fmt.Sprintf("id-%d", number), "key-one", time.Minute)
	if err != nil {
		return earlyResult{err: err}
	}
	req.Body, req.ContentLength, req.GetBody = io.NopCloser(strings.NewReader(strings.Repeat("x", bytes))), int64(bytes), nil
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return earlyResult{err: err}
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return earlyResult{status: res.StatusCode, body: string(body), err: err}
}

// checkWhole fails the test unless the caller got a whole answer with the status of a head and a body.
func (res earlyResult) checkWhole(t *testing.T, head, body string) {
	t.Helper()
	if res.err != nil || !strings.Contains(head, fmt.Sprintf(" %d ", res.status)) || res.body != body {
		t.Errorf("got status %d, body %q, error %v; want the answer of %q with the body %q", res.status, res.body, res.err, head, body)
	}
}

// checkBroken fails the test unless the caller got 502 or an answer that visibly breaks off.
func (res earlyResult) checkBroken(t *testing.T) {
	t.Helper()
	if res.status == http.StatusBadGateway || errors.Is(res.err, io.ErrUnexpectedEOF) {
		return
	}
	t.Errorf("got status %d, body %q, error %v; want 502 or an answer that breaks off", res.status, res.body, cmp.Or(res.err, io.EOF))
}
