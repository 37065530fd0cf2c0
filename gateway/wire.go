// Package gateway serves callers' requests without interpreting their bodies: it matches the route, authenticates the
// organisation, chooses an endpoint, relays the answer unchanged, and moves running generations off engines that leave.
package gateway

import (
	"net/http"
	"time"
)

// Call is the information in the headers of a caller's request.
type Call struct {
	// ID identifies one attempt of the caller.
	ID string
	// Key is the caller's credential.
	Key string
	// Deadline is how long the caller waits; 0 means that the headers have no deadline.
	Deadline time.Duration
	// PromptTokens is the size of the prompt, MaxTokens the maximum size of the output.
	PromptTokens, MaxTokens int
	// LengthHint is the caller's estimate of the number of output tokens; 0 means no estimate.
	LengthHint int
	// Parts are the parts of the prompt in order.
	Parts []Part
	// LastEvent is the id of the last event that the caller received of the stream that it resumes.
	LastEvent string
}

// Part is a section of a prompt that several requests may have in common.
type Part struct {
	ID     string
	Tokens int
}

// Forward is the information that the gateway adds to a caller's request for the endpoint.
type Forward struct {
	Organisation string
	// Endpoint is the id of the intended endpoint; an endpoint with another id refuses the request.
	Endpoint string
	// TimeLeft is the time left until the request's deadline.
	TimeLeft time.Duration
	// Priority is the request's rank in the engine's queue, where 0 is served first; a negative rank is not sent.
	Priority int
	// Backup is the address of the engine to which the generation's memory is copied as it grows.
	Backup string
	// Copy identifies the copied memory from which the engine continues a generation.
	Copy string
	// LastEvent is the id of the event after which the engine continues a stream.
	LastEvent string
}

// Load is the load that an endpoint reports about itself.
type Load struct {
	Running, Waiting, Slots int
	// Slowness is how long work currently takes on the endpoint's machine, as a multiple of the usual time; 0 if it is not
	// stated.
	Slowness float64
	// Unreadable names the figures of the report that could not be read; they have the value 0.
	Unreadable []string
}

// Answer is the information in the headers of an endpoint's answer.
type Answer struct {
	// NotRun is true if the endpoint states that it did not run a request: the one with CallID.
	NotRun bool
	// Refuses is true if the status tells a caller that the request has not run, whether the endpoint states that or not.
	Refuses bool
	// Misdirected is true if the endpoint that answered is not the intended one.
	Misdirected bool
	// Signed is true if the answer bears the endpoint's signature.
	Signed bool
	// CallID is the id of the request that the answer belongs to; empty if the answer has none.
	CallID string
	// Encoded is true if the body has a content encoding, so that it is not what the endpoint produced.
	Encoded bool
	// Load is nil if the answer does not report it.
	Load *Load
	// Leaving is true if the endpoint says that it leaves.
	Leaving bool
	// RateLimit is the number of requests a second that the endpoint takes from all daemons together; nil if it names none.
	RateLimit *float64
	// ColdLeft is for how long the endpoint says that it is cold, 0 if it is warm; nil if it says nothing.
	ColdLeft *time.Duration
	// Pause is the time for which a refusal asks this daemon to send the endpoint nothing; 0 if it asks for none.
	Pause time.Duration
}

// Wire converts between HTTP headers and the gateway's types.
type Wire interface {
	// ParseCall parses the headers of a caller's request.
	ParseCall(hdr http.Header) Call
	// RequestHeader returns the headers of a request to an endpoint.
	RequestHeader(caller http.Header, fwd Forward) http.Header
	// ParseAnswer parses the head of an endpoint's answer.
	ParseAnswer(res *http.Response) Answer
	// AnswerHeader returns the headers of the answer to the caller.
	AnswerHeader(endpoint http.Header) http.Header
}
