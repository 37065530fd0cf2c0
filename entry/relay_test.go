package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"papayacroft/endpoint"
	"papayacroft/inventory"
)

// bufferSink is a sink that counts its tokens, and those of them that have not been flushed.
type bufferSink struct {
	wholeSink
	tokens, unsent int
}

func (snk *bufferSink) token(endpoint.Event) error {
	snk.tokens++
	snk.unsent++
	return nil
}

func (snk *bufferSink) flush() error {
	snk.unsent = 0
	return nil
}

// readRelayed reads an answer through the server and confirms each token on the channel received. It returns the
// indexes of the tokens and the last event.
func readRelayed(t *testing.T, engine http.HandlerFunc, tokens int, received chan struct{}) string {
	t.Helper()
	eng := httptest.NewServer(engine)
	defer eng.Close()
	srv := newRelayServer(eng.Listener.Addr().String(), tokens)
	// With a short silence time-out a reconnect would deliver a token that the server held back, and hide the fault.
	srv.Endpoints.SilenceTimeout = time.Hour
	web := httptest.NewServer(srv.Handler())
	defer web.Close()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	body := fmt.Sprintf(`{"model":"writer","class":"writeUp","prompt":"x","maxTokens":%d,"stream":true}`, tokens)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, web.URL+"/v1/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer secret")
	res, err := web.Client().Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	got, scanner := "", bufio.NewScanner(res.Body)
	for scanner.Scan() {
		var evt endpoint.Event
		if _, err := fmt.Sscanf(scanner.Text(), `data: {"index":%d`, &evt.Index); err == nil {
			got += fmt.Sprint(evt.Index, " ")
			received <- struct{}{}
		} else if strings.HasPrefix(scanner.Text(), "event: ") {
			got += scanner.Text()
		}
	}
	return got
}

// Guards against a token that stays in the daemon's buffer until the engine sends the next one.
func TestTokenIsNotHeldBack(t *testing.T) {
	received := make(chan struct{})
	if got, want := readRelayed(t, (&fakeEngine{received}).serve, 3, received), "0 1 2 event: done"; got != want {
		t.Errorf("got %q; want %q", got, want)
	}
}

// Guards against a token that stays in the daemon's buffer while the daemon reconnects after an invalid event.
func TestTokenIsNotHeldBackByReconnect(t *testing.T) {
	eng := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(wri, "data: {\"generation\":\"g\",\"index\":0}\n\ndata: {\"generation\":\"g\",\"index\":5}\n\n")
	}))
	defer eng.Close()
	srv := newRelayServer(eng.Listener.Addr().String(), 9)
	edp := &inventory.Endpoint{Name: "a", Address: eng.Listener.Addr().String()}
	stm, err := srv.Endpoints.Start(t.Context(), target(edp), endpoint.StartRequest{ID: "g"})
	if err != nil {
		t.Fatal(err)
	}
	gen, snk := &generation{endpoint: edp, timing: newTiming(srv.Now(), srv.Metrics, "writeUp", "writer")}, &bufferSink{}
	err = srv.deliver(t.Context(), gen, stm, snk)
	if edpErr, ok := endpoint.AsError(err); !ok || edpErr.Reason != endpoint.ReasonMismatch || snk.tokens != 1 || snk.unsent != 0 {
		t.Errorf("got %v, %d tokens, %d of them not sent; want a mismatch after one sent token", err, snk.tokens, snk.unsent)
	}
}
