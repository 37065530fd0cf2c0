package endpoint

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"papayacroft/standin"
)

const (
	// uploadBytes is more than the sockets between a daemon and an endpoint that does not read can hold.
	uploadBytes = 4 << 20
	// earlyTries is the number of calls of each case: which read or write sees a reset first is a matter of chance.
	earlyTries = 20
)

// earlyAnswer is an answer to a long upload that is still being written when the answer's connection ends.
type earlyAnswer struct {
	data  string
	end   standin.EarlyEnd
	pause time.Duration
	// whole is the complete answer's body; if it is empty, the answer is not complete.
	whole string
}

// An answer that ends with its connection must not look complete if the connection was reset; a complete one must arrive.
func TestEarlyAnswers(t *testing.T) {
	for name, ans := range map[string]earlyAnswer{
		"reset":       {data: "HTTP/1.1 200 OK\r\n\r\nhello", end: standin.EarlyReset, pause: 20 * time.Millisecond},
		"resetHTTP10": {data: "HTTP/1.0 200 OK\r\n\r\nhello", end: standin.EarlyReset, pause: 20 * time.Millisecond},
		"resetAtOnce": {data: "HTTP/1.1 200 OK\r\n\r\nhello", end: standin.EarlyReset},
		"failure":     {data: "HTTP/1.1 500 Internal Server Error\r\n\r\nhello", end: standin.EarlyReset, pause: 20 * time.Millisecond},
		"finish":      {data: "HTTP/1.1 200 OK\r\n\r\nhello", end: standin.EarlyFinish, whole: "hello"},
		"finishReset": {data: "HTTP/1.1 200 OK\r\n\r\nhello", end: standin.EarlyFinishReset, whole: "hello"},
		"wholeLength": {data: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", end: standin.EarlyReset, whole: "hello"},
		"wholeChunks": {data: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", end: standin.EarlyReset, whole: "hello"},
	} {
		t.Run(name, func(t *testing.T) { ans.play(t) })
	}
}

// play makes calls at the same time.
func (ans *earlyAnswer) play(t *testing.T) {
	server, err := standin.StartEarlyServer(func(*http.Request) standin.EarlyAnswer {
		return standin.EarlyAnswer{Data: ans.data, End: ans.end, Pause: ans.pause}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	clt := NewClient()
	var grp sync.WaitGroup
	for range earlyTries {
		grp.Go(func() { ans.call(t, clt, Target{Name: "one", Address: server.Address()}) })
	}
	grp.Wait()
}

// call makes a call and checks its result.
func (ans *earlyAnswer) call(t *testing.T, clt *Client, tgt Target) {
	var body []byte
	res, err := clt.Call(t.Context(), tgt, ServiceRequest{Method: http.MethodPost, Path: "/", Body: bytes.Repeat([]byte("x"), uploadBytes)})
	if err == nil {
		body, err = io.ReadAll(res.Body)
		_ = res.Body.Close()
	}
	if ans.whole != "" {
		if err != nil || string(body) != ans.whole {
			t.Errorf("got the body %q, error %v; want %q", body, err, ans.whole)
		}
		return
	}
	if err == nil {
		t.Errorf("got the body %q, no error; want one", body)
	}
}
