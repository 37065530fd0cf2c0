package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
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
	con, err := net.Dial("tcp", web.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer con.Close()
	if err := req.Write(con); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	if err := con.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	res, err := http.ReadResponse(bufio.NewReader(con), req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil || res.StatusCode != http.StatusBadGateway || !strings.Contains(string(data), `"outcome":"unknown"`) {
		t.Errorf("got status %d, body %q, error %v; want 502 and unknown", res.StatusCode, data, err)
	}
}
