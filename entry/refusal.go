package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"papayacroft/routing"
)

// Outcome says whether a refused request may have run.
type Outcome string

// The outcomes of a refusal.
const (
	OutcomeNotRun  Outcome = "notRun"
	OutcomeUnknown Outcome = "unknown"
)

// Refusal is the response body of a refused request.
type Refusal struct {
	Outcome           Outcome      `json:"outcome"`
	Code              routing.Code `json:"code"`
	Message           string       `json:"message"`
	RetryAfterSeconds int          `json:"retryAfterSeconds,omitempty"`

	// location, if set, is the path that the caller requests from another daemon; redirect is then the response's
	// status.
	location string
	redirect int
	// unread is true if the request's body was not received completely.
	unread bool
}

// Error describes the refusal.
func (ref *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", ref.Code, ref.Outcome, ref.Message)
}

// notRun refuses a request that no endpoint has begun.
func notRun(code routing.Code, format string, args ...any) *Refusal {
	return &Refusal{Outcome: OutcomeNotRun, Code: code, Message: fmt.Sprintf(format, args...), RetryAfterSeconds: retryAfterSeconds[code]}
}

// unknown refuses a request that an endpoint may have begun.
func unknown(code routing.Code, format string, args ...any) *Refusal {
	return &Refusal{Outcome: OutcomeUnknown, Code: code, Message: fmt.Sprintf(format, args...), RetryAfterSeconds: retryAfterSeconds[code]}
}

// withEarlierAttempts turns notRun into unknown for temporary refusals, after which callers send the same key again.
// A daemon that has not claimed the key can't tell whether an earlier attempt with it ran.
func (ref *Refusal) withEarlierAttempts() *Refusal {
	temporary := retryAfterSeconds[ref.Code] != 0 || ref.unread
	if ref.Outcome != OutcomeNotRun || !temporary {
		return ref
	}
	adapted := *ref
	adapted.Outcome = OutcomeUnknown
	adapted.Message += "; this attempt was not sent, but an earlier attempt with the same key may have run"
	return &adapted
}

// forResume turns notRun into unknown, since the generation of a position has begun.
func (ref *Refusal) forResume() *Refusal {
	adapted := *ref
	adapted.Outcome = OutcomeUnknown
	return &adapted
}

// handedOver redirects the caller of a non-streamed answer to another daemon if this one is draining.
func (ref *Refusal) handedOver(serialized string) *Refusal {
	if ref.Code != routing.CodeDraining {
		return ref
	}
	return ref.redirected(http.StatusSeeOther, wholePath+url.PathEscape(serialized))
}

// redirected returns the refusal with a redirect to a path that another daemon serves.
func (ref *Refusal) redirected(status int, location string) *Refusal {
	adapted := *ref
	adapted.location, adapted.redirect = location, status
	return &adapted
}

// retryAfterSeconds holds the time to wait before a retry, for the codes of temporary conditions.
var retryAfterSeconds = map[routing.Code]int{
	routing.CodeNoConfiguration:  2,
	routing.CodeNoEndpoint:       2,
	routing.CodeOverloaded:       2,
	routing.CodeLimitExceeded:    1,
	routing.CodeDeadlineExceeded: 2,
	routing.CodeDraining:         1,
	routing.CodeClaimUnavailable: 2,
	routing.CodeAlreadyRunning:   2,
}

var statusCodes = map[routing.Code]int{
	routing.CodeBadRequest:       http.StatusBadRequest,
	routing.CodeTooLarge:         http.StatusRequestEntityTooLarge,
	routing.CodeUnauthenticated:  http.StatusUnauthorized,
	routing.CodeNotApproved:      http.StatusForbidden,
	routing.CodeUnknownModel:     http.StatusNotFound,
	routing.CodeUnknownService:   http.StatusNotFound,
	routing.CodeNoConfiguration:  http.StatusServiceUnavailable,
	routing.CodeNoEndpoint:       http.StatusServiceUnavailable,
	routing.CodeOverloaded:       http.StatusServiceUnavailable,
	routing.CodeLimitExceeded:    http.StatusTooManyRequests,
	routing.CodeDeadlineExceeded: http.StatusServiceUnavailable,
	routing.CodeDraining:         http.StatusServiceUnavailable,
	routing.CodeQuarantined:      http.StatusUnprocessableEntity,
	routing.CodeKeyRequired:      http.StatusBadRequest,
	routing.CodeKeyExpired:       http.StatusConflict,
	routing.CodeClaimUnavailable: http.StatusServiceUnavailable,
	routing.CodeAlreadyRunning:   http.StatusConflict,
	routing.CodeOutcomeUnknown:   http.StatusBadGateway,
	routing.CodeEndpointFailed:   http.StatusBadGateway,
	routing.CodeBadPosition:      http.StatusBadRequest,
	routing.CodeGenerationLost:   http.StatusGone,
}

// write sends the refusal as an HTTP response.
func (ref *Refusal) write(wri http.ResponseWriter) {
	wri.Header().Set("Content-Type", "application/json")
	if ref.RetryAfterSeconds > 0 {
		wri.Header().Set("Retry-After", strconv.Itoa(ref.RetryAfterSeconds))
	}
	if ref.Code == routing.CodeDraining || ref.location != "" {
		// On a keep-alive connection the next request would reach this daemon again.
		wri.Header().Set("Connection", "close")
	}
	status := statusCodes[ref.Code]
	if ref.location != "" {
		wri.Header().Set("Location", ref.location)
		status = ref.redirect
	}
	wri.WriteHeader(status)
	_ = json.NewEncoder(wri).Encode(ref)
}
