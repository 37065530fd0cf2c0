package gateway

import (
	"io"
	"net"
	"net/http"
	"net/url"
	"testing"
)

// A whole answer must be read although the request could not be written: the endpoint may answer, and reset the connection,
// before it has read the request.
func TestAnswerAfterFailedWrite(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer lis.Close()
	connected, answered := make(chan struct{}), make(chan error, 1)
	go func() {
		con, err := lis.Accept()
		if err == nil {
			<-connected
			_, err = io.WriteString(con, "HTTP/1.1 413 Content Too Large\r\nContent-Length: 5\r\n\r\nhello")
			_ = con.(*net.TCPConn).SetLinger(0)
			_ = con.Close()
		}
		answered <- err
	}()
	lnk, err := Open(t.Context(), lis.Addr().String(), &Outgoing{
		Method: http.MethodPost, URL: &url.URL{Path: "/x"}, Host: "site.example", Header: http.Header{}, Body: []byte("x"),
		Check: func() error {
			close(connected)
			return <-answered
		},
	})
	if err != nil {
		t.Fatalf("got error %v, want an answer", err)
	}
	defer lnk.Close()
	body, err := io.ReadAll(lnk.Response.Body)
	if got, want := lnk.Response.StatusCode, http.StatusRequestEntityTooLarge; got != want || string(body) != "hello" || err != nil {
		t.Errorf("got status %d, body %q, error %v; want %d, hello", got, body, err, want)
	}
}
