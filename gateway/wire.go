// Package gateway serves callers' requests without reading their bodies: it finds the route and the organisation,
// chooses an endpoint, relays the answer unchanged, and moves running generations off engines that leave.
package gateway

import (
	"net/http"
	"time"
)

// Call is what the headers of a caller's request say.
type Call struct {
	// ID identifies one attempt of the caller.
	ID string
	// Key is the caller's credential.
	Key string
	// Deadline is how long the caller waits; 0 means that it did not say.
	Deadline time.Duration
	// PromptTokens and MaxTokens are the sizes of the prompt and of the longest output.
	PromptTokens, MaxTokens int
	// LengthHint is the caller's estimate of the number of output tokens; 0 means none.
	LengthHint int
	// Parts are the parts of the prompt in order.
	Parts []Part
	// LastEvent is the id of the last event that the caller has of a stream that it resumes.
	LastEvent string
}

// Part is a part of a prompt that requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Forward is what the gateway tells an endpoint besides the caller's request.
type Forward struct {
	Organisation string
	// Endpoint is the id of the endpoint that is meant; any other one refuses the request.
	Endpoint string
	// Left is the time in which the caller still waits.
	Left time.Duration
	// Priority is the request's rank at the engine, where 0 goes first; a negative rank is not sent.
	Priority int
	// Backup is the address of the engine to which the generation's memory is copied as it grows.
	Backup string
	// Copy names the copied memory from which a generation goes on.
	Copy string
	// LastEvent is the id of the event after which a stream goes on.
	LastEvent string
}

// Load is what an endpoint says of its load.
type Load struct {
	Running, Waiting, Slots int
}

// Answer is what the headers of an endpoint's answer say.
type Answer struct {
	// NotRun is true if the endpoint states that it did not run the request.
	NotRun bool
	// Misdirected is true if another endpoint answered at the address.
	Misdirected bool
	// Signed is true if the answer bears the endpoint's signature.
	Signed bool
	// CallID is the id of the request that the answer belongs to; empty if it does not say.
	CallID string
	// Encoded is true if the body is not the endpoint's own.
	Encoded bool
	// Load is nil if the answer does not tell it.
	Load *Load
}

// Wire translates between headers and the gateway's types.
type Wire interface {
	// ParseCall reads a caller's headers.
	ParseCall(hdr http.Header) Call
	// RequestHeader returns the headers of a request to an endpoint.
	RequestHeader(caller http.Header, fwd Forward) http.Header
	// ParseAnswer reads the head of an endpoint's answer.
	ParseAnswer(res *http.Response) Answer
	// AnswerHeader returns the headers of the answer to the caller.
	AnswerHeader(endpoint http.Header) http.Header
}
