package entry

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"papayacroft/standin"
)

// A client that has closed its sending direction after the request may still read: it must not get an answer without the text.
func TestHalfClosedClients(t *testing.T) {
	eng := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		// The context ends with the connection only once the body has been read.
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(wri, "data: {\"generation\":\"g\",\"index\":0}\n\n")
		_ = http.NewResponseController(wri).Flush()
		<-req.Context().Done()
	}))
	defer eng.Close()
	web := httptest.NewServer(newRelayServer(eng.Listener.Addr().String(), 9).Handler())
	defer web.Close()
	body := `{"model":"writer","class":"writeUp","prompt":"x","maxTokens":9}`
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, web.URL+"/v1/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer secret")
	status, answer, err := standin.CallHalfClosed(web.Listener.Addr().String(), req, 50*time.Millisecond)
	if err != nil || status != http.StatusBadGateway || !strings.Contains(answer, `"outcome":"unknown"`) {
		t.Errorf("got status %d, body %q, error %v; want 502 and unknown", status, answer, err)
	}
}
