package gateway_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"papayacroft/standin"
)

// A client that has closed its sending direction after the request may still read: it must get a refusal or an answer that
// visibly breaks off, not a part of an answer as the whole one.
func TestHalfClosedClients(t *testing.T) {
	engine := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		// The context ends with the connection only once the body has been read.
		_, _ = io.Copy(io.Discard, req.Body)
		hdr := wri.Header()
		hdr.Set("Attempt-Id", req.Header.Get("Attempt-Id"))
		hdr.Set("Response-Signature", "s")
		hdr.Set("Content-Type", "text/event-stream")
		if strings.Contains(req.URL.Path, "events") {
			_, _ = io.WriteString(wri, earlyEvent)
		}
		_ = http.NewResponseController(wri).Flush()
		<-req.Context().Done()
	}))
	defer engine.Close()
	for _, name := range []string{"once_events", "check_events", "long_events", "short_events", "long_none", "short_none"} {
		t.Run(name, func(t *testing.T) {
			route, path, _ := strings.Cut(name, "_")
			front := startFront(t, t.Context(), map[string][]string{serviceOf(route): {engine.Listener.Addr().String()}})
			callHalfClosed(t, front, route+"/"+path).checkBroken(t)
		})
	}
}

// callHalfClosed calls a path of the server.
func callHalfClosed(t *testing.T, front, path string) (res earlyResult) {
	t.Helper()
	req, err := standin.NewSiteCall(t.Context(), "http://"+front+"/"+path, "id-1", "key-one", time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	res.status, res.body, res.err = standin.CallHalfClosed(front, req, earlyPause)
	return res
}
