package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// refusal is a final answer of the gateway's own.
type refusal struct {
	status int
	// reason is for the log and the caller.
	reason string
	// retryAfter is when the caller may come back; only requests that have not run have one.
	retryAfter time.Duration
}

// notRun refuses a request that no endpoint has run or will run.
func notRun(retryAfter time.Duration, format string, args ...any) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: fmt.Sprintf(format, args...), retryAfter: retryAfter}
}

// invalid refuses a request that would not be taken later either.
func invalid(status int, format string, args ...any) *refusal {
	return &refusal{status: status, reason: fmt.Sprintf(format, args...)}
}

// failed ends a request whose endpoint gave no answer that can be handed on; it may have run.
func failed(format string, args ...any) *refusal {
	return &refusal{status: http.StatusBadGateway, reason: fmt.Sprintf(format, args...)}
}

// expired ends a request at its deadline; it may have run.
func expired(format string, args ...any) *refusal {
	return &refusal{status: http.StatusGatewayTimeout, reason: fmt.Sprintf(format, args...)}
}

func (ref *refusal) write(wri http.ResponseWriter) {
	hdr := wri.Header()
	hdr.Set("Content-Type", "text/plain; charset=utf-8")
	if ref.retryAfter > 0 {
		hdr.Set("Retry-After", strconv.FormatFloat(ref.retryAfter.Seconds(), 'f', 2, 64))
	}
	wri.WriteHeader(ref.status)
	_, _ = fmt.Fprintln(wri, ref.reason)
}
