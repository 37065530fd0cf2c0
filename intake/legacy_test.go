package intake

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// legacyAnswer is longer than what net/http sends with a length of its own.
var legacyAnswer = strings.Repeat("x", 16<<10)

// askLegacy sends a request of HTTP/1.0 and returns what arrives until the connection ends.
func askLegacy(t *testing.T, address string) (string, error) {
	t.Helper()
	con, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer con.Close()
	if err := con.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(con, "GET / HTTP/1.0\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(con)
	return string(got), err
}

// The end of the connection is the end of an answer to a client of HTTP/1.0, so an answer that is broken off must end with a
// reset, whether its handler or the server ends it.
func TestLegacyClientSeesBrokenAnswer(t *testing.T) {
	for name, end := range map[string]func(srv *http.Server){
		"handler": func(*http.Server) { panic(http.ErrAbortHandler) },
		"server":  func(srv *http.Server) { _ = srv.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			lis, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			gat := NewGate(16 << 20)
			var srv *http.Server
			srv = gat.HTTPServer(http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
				_, _ = io.WriteString(wri, legacyAnswer)
				_ = http.NewResponseController(wri).Flush()
				end(srv)
				<-req.Context().Done()
			}))
			defer srv.Close()
			go func() { _ = srv.Serve(gat.Listen(lis, 10)) }()
			if got, err := askLegacy(t, lis.Addr().String()); !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("got %d bytes, error %v; want error %v", len(got), err, syscall.ECONNRESET)
			}
		})
	}
}

// A whole answer must reach a client of HTTP/1.0 without a reset.
func TestLegacyClientGetsWholeAnswer(t *testing.T) {
	address := startServer(t, NewGate(16<<20), 10, http.HandlerFunc(func(wri http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(wri, legacyAnswer)
	}))
	for range 50 {
		if got, err := askLegacy(t, address); err != nil || !strings.HasSuffix(got, "\r\n\r\n"+legacyAnswer) {
			t.Fatalf("got %d bytes, error %v; want an answer with a body of %d bytes", len(got), err, len(legacyAnswer))
		}
	}
}
