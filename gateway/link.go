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
	"sync/atomic"
	"time"

	"papayacroft/answer"
)

const (
	// dialTimeout is well above a round trip within a region, and short enough that another endpoint can be tried before
	// the deadline.
	dialTimeout = 250 * time.Millisecond
	// concurrentWriteBytes is the size above which a body is written concurrently with reading the answer: an endpoint
	// may answer before it has read a long body.
	concurrentWriteBytes = 16 << 10
	// silencePoll is the interval at which a link to a silent endpoint asks again whether to give up.
	silencePoll = 250 * time.Millisecond
	// readBufferBytes is enough for several events of a stream.
	readBufferBytes = 8 << 10
)

// Outgoing is a request to an endpoint.
type Outgoing struct {
	Method string
	URL    *url.URL
	Host   string
	Header http.Header
	Body   []byte
	// HeadTimeout is the wait for the head of the answer after which the link is closed if GiveUp allows it. With 0, only
	// the context limits the wait.
	HeadTimeout time.Duration
	GiveUp      func() bool
	// Check, if set, is called once the connection is open; if it returns an error, the request is not sent.
	Check func() error
}

// SendError is the error of a request that got no answer; it shows whether the request may have been sent.
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

// Link is a connection to an endpoint that carries a single request.
// Connections are not reused: on a reused connection, a request could receive a late or surplus answer to an earlier
// request, or fail because the connection was closed or became unresponsive while idle.
type Link struct {
	Response *http.Response

	conn net.Conn
	once sync.Once
	stop func() bool
	// silent is true if the link was closed because the endpoint was silent.
	silent atomic.Bool
}

// Open sends a request and reads the head of its answer. If the context ends at any later time, the link is closed too.
func Open(ctx context.Context, address string, out *Outgoing) (*Link, error) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var dialer net.Dialer
	con, err := dialer.DialContext(dialCtx, "tcp", address)
	if err != nil {
		return nil, &SendError{Err: err}
	}
	if out.Check != nil {
		if err := out.Check(); err != nil {
			_ = con.Close()
			return nil, &SendError{Err: err}
		}
	}
	lnk := &Link{conn: &answer.Conn{Conn: con}}
	lnk.stop = context.AfterFunc(ctx, lnk.closeConn)
	if err := lnk.exchange(out); err != nil {
		lnk.Close()
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		} else if lnk.silent.Load() {
			err = errSilent
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
		// The error needs no handling: the connection reports a failure when the answer is read.
		go func() { _ = req.Write(lnk.conn) }()
	} else if err := req.Write(lnk.conn); err != nil {
		return err
	}
	if out.HeadTimeout > 0 {
		defer lnk.CloseWhenSilent(out.HeadTimeout, out.GiveUp).Stop()
	}
	lmt := &headLimiter{conn: lnk.conn, left: maxAnswerHeadBytes}
	res, err := answer.ReadFinal(bufio.NewReaderSize(lmt, readBufferBytes), req) //nolint:bodyclose // the body ends with the connection
	lmt.done = true
	lnk.Response = res
	return err
}

// Close closes the connection; an endpoint that still runs the request may detect that and cancel it.
func (lnk *Link) Close() {
	lnk.stop()
	lnk.closeConn()
}

func (lnk *Link) closeConn() {
	lnk.once.Do(func() { _ = lnk.conn.Close() })
}

// CloseWhenSilent closes the link when a time has passed and giveUp allows it; otherwise it asks again after silencePoll.
// Resetting the returned timer extends the time.
func (lnk *Link) CloseWhenSilent(after time.Duration, giveUp func() bool) *time.Timer {
	var tmr *time.Timer
	armed := make(chan struct{})
	tmr = time.AfterFunc(after, func() {
		<-armed
		if !giveUp() {
			tmr.Reset(silencePoll)
			return
		}
		lnk.silent.Store(true)
		lnk.closeConn()
	})
	close(armed)
	return tmr
}
