package gateway

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"
)

const (
	// dialTimeout is well above a round trip within a region, and short enough to try another endpoint in time.
	dialTimeout = 250 * time.Millisecond
	// concurrentWriteBytes is the size above which a body is sent while the answer is awaited:
	// an endpoint may answer before it has read a long body.
	concurrentWriteBytes = 16 << 10
	// readBufferBytes holds several events of a stream.
	readBufferBytes = 8 << 10
)

// Outgoing is a request to an endpoint.
type Outgoing struct {
	Method string
	URL    *url.URL
	Host   string
	Header http.Header
	Body   []byte
	// HeadTimeout bounds the wait for the head of the answer; 0 leaves it to the context.
	HeadTimeout time.Duration
}

// SendError says how far a request came that got no answer.
type SendError struct {
	// Sent is false if the endpoint can't have read any of the request.
	Sent bool
	Err  error
}

// Error describes the failure.
func (err *SendError) Error() string {
	if !err.Sent {
		return "not sent: " + err.Err.Error()
	}
	return "sent, no answer: " + err.Err.Error()
}

// Unwrap returns the cause.
func (err *SendError) Unwrap() error {
	return err.Err
}

// Link is one connection to an endpoint, which carries one request.
// A connection of its own keeps a request apart from late or surplus answers to others, and from connections
// that were closed or went silent while they were idle.
type Link struct {
	Response *http.Response

	conn net.Conn
	once sync.Once
	stop func() bool
}

// Open sends a request and reads the head of its answer; the context ends the link at any later time too.
func Open(ctx context.Context, address string, out *Outgoing) (*Link, error) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var dialer net.Dialer
	con, err := dialer.DialContext(dialCtx, "tcp", address)
	if err != nil {
		return nil, &SendError{Err: err}
	}
	lnk := &Link{conn: con}
	lnk.stop = context.AfterFunc(ctx, lnk.closeConn)
	if err := lnk.exchange(out); err != nil {
		lnk.Close()
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, &SendError{Sent: true, Err: err}
	}
	return lnk, nil
}

func (lnk *Link) exchange(out *Outgoing) error {
	req := &http.Request{
		Method: out.Method, Host: out.Host, Header: out.Header, ContentLength: int64(len(out.Body)),
		URL: &url.URL{Path: out.URL.Path, RawPath: out.URL.RawPath, RawQuery: out.URL.RawQuery, ForceQuery: out.URL.ForceQuery},
	}
	if len(out.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(out.Body))
	}
	if len(out.Body) > concurrentWriteBytes {
		// A failed write shows as a failed read.
		go func() { _ = req.Write(lnk.conn) }()
	} else if err := req.Write(lnk.conn); err != nil {
		return err
	}
	if out.HeadTimeout > 0 {
		lnk.SetReadDeadline(time.Now().Add(out.HeadTimeout))
		defer lnk.SetReadDeadline(time.Time{})
	}
	res, err := readResponse(bufio.NewReaderSize(lnk.conn, readBufferBytes), req) //nolint:bodyclose // the body ends with the connection
	lnk.Response = res
	return err
}

// readResponse skips informational answers.
func readResponse(rdr *bufio.Reader, req *http.Request) (*http.Response, error) {
	for {
		res, err := http.ReadResponse(rdr, req)
		if err != nil || res.StatusCode/100 != 1 {
			return res, err
		}
	}
}

// Close ends the connection; an endpoint that still works on the request may notice.
func (lnk *Link) Close() {
	lnk.stop()
	lnk.closeConn()
}

func (lnk *Link) closeConn() {
	lnk.once.Do(func() { _ = lnk.conn.Close() })
}

// SetReadDeadline bounds the wait for more of the answer.
func (lnk *Link) SetReadDeadline(at time.Time) {
	_ = lnk.conn.SetReadDeadline(at)
}
