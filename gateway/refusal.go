package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// refusal is a final error response that the gateway itself produces.
type refusal struct {
	status int
	// reason is logged and sent to the caller.
	reason string
	// retryAfter is the Retry-After for the caller; it is set only if the request has not run.
	retryAfter time.Duration
}

// notRun refuses a request that no endpoint has run or will run, so that the caller can retry it safely.
func notRun(retryAfter time.Duration, format string, args ...any) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: fmt.Sprintf(format, args...), retryAfter: retryAfter}
}

// invalid refuses a request that a retry would not help.
func invalid(status int, format string, args ...any) *refusal {
	return &refusal{status: status, reason: fmt.Sprintf(format, args...)}
}

// failed ends a request whose endpoint gave no answer that can be relayed; the request may have run.
func failed(format string, args ...any) *refusal {
	return &refusal{status: http.StatusBadGateway, reason: fmt.Sprintf(format, args...)}
}

// expired ends a request at its deadline; the request may have run.
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
