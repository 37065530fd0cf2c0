package entry

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"papayacroft/routing"
)

// bodyTimeout bounds the time that a caller takes to send its body.
const bodyTimeout = 30 * time.Second

// errStopping is the cancellation cause of contexts that end because the daemon stops.
var errStopping = errors.New("the daemon stops")

// lifecycle counts requests in flight and cancels their contexts when the daemon stops.
type lifecycle struct {
	inFlight atomic.Int64
	running  context.Context
	end      context.CancelFunc
}

func newLifecycle() *lifecycle {
	running, end := context.WithCancel(context.Background())
	return &lifecycle{running: running, end: end}
}

// InFlight returns the number of callers' requests that have no complete answer yet.
func (srv *Server) InFlight() int64 {
	return srv.lifecycle.inFlight.Load()
}

// EndStreams ends every answer that the caller can get through another daemon: streams with a reattach event, other
// answers with a redirect. Calls that may not be repeated go on if they have been sent to an endpoint.
func (srv *Server) EndStreams() {
	srv.lifecycle.end()
}

// AbortCalls aborts the calls that may not be repeated and have no answer yet; their callers get the outcome unknown.
func (srv *Server) AbortCalls() {
	srv.calls.end()
}

// untilStop returns a context that also ends, with the cause errStopping, when the daemon stops.
func (lcy *lifecycle) untilStop(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(lcy.running, func() { cancel(errStopping) })
	return ctx, func() {
		stop()
		cancel(context.Canceled)
	}
}

func isStopping(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), errStopping)
}

// track counts requests in flight and refuses oversized headers.
// The HTTP server's own limit is higher, because the server would answer without a refusal body.
func (srv *Server) track(next http.Handler) http.Handler {
	return http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		srv.lifecycle.inFlight.Add(1)
		defer srv.lifecycle.inFlight.Add(-1)
		if headerBytes(req) > MaxHeaderBytes {
			notRun(routing.CodeTooLarge, "request headers are larger than %d bytes", MaxHeaderBytes).write(wri)
			return
		}
		next.ServeHTTP(wri, req)
	})
}

func headerBytes(req *http.Request) int {
	total := len(req.RequestURI)
	for name, values := range req.Header {
		for _, value := range values {
			total += len(name) + len(value)
		}
	}
	return total
}

// withBodyDeadline runs a function that reads the request body, under a read deadline of bodyTimeout.
func withBodyDeadline(wri http.ResponseWriter, now time.Time, read func()) error {
	ctl := http.NewResponseController(wri)
	if err := ctl.SetReadDeadline(now.Add(bodyTimeout)); err != nil {
		return trace.Wrap(err)
	}
	read()
	// A deadline left in place would end the request's context while its answer is running.
	return trace.Wrap(ctl.SetReadDeadline(time.Time{}))
}
