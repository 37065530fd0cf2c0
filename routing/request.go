// Package routing chooses the endpoint that serves a request.
package routing

import (
	"time"

	"papayacroft/inventory"
)

// Request holds the properties of a caller's request that a decision depends on.
type Request struct {
	ID           string
	Team         inventory.TeamRef
	Model        string
	Pool         string
	Class        string
	PromptTokens int
	// PrefixDigest identifies the prompt's prefix, which an engine may have in its cache.
	PrefixDigest string
	// Reserve is the number of output tokens for which memory must be free; 0 skips the checks of memory and token
	// interval.
	Reserve int
	// Level is the quantile of the growth of other daemons' generations up to which memory is kept free for it.
	Level float64
	// Margin is the share of each engine's memory that the request must leave free for other organisations.
	Margin float64
	// Waited is how long the request has waited for an engine.
	Waited time.Duration
	// Urgent is true if the request is about to miss the target for its first token.
	Urgent bool
	// Excluded holds the endpoints at which this request has already failed.
	Excluded map[string]bool
}

// brief reports whether the request is expected to hold its memory only for a short time.
func (req *Request) brief() bool {
	return req.Reserve <= briefTokens
}

// Code is the code of a refusal, for programs.
type Code string

// The codes of refusals.
const (
	CodeBadRequest       Code = "badRequest"
	CodeTooLarge         Code = "tooLarge"
	CodeUnauthenticated  Code = "unauthenticated"
	CodeNotApproved      Code = "notApproved"
	CodeUnknownModel     Code = "unknownModel"
	CodeUnknownService   Code = "unknownService"
	CodeNoConfiguration  Code = "noConfiguration"
	CodeNoEndpoint       Code = "noEndpoint"
	CodeOverloaded       Code = "overloaded"
	CodeLimitExceeded    Code = "limitExceeded"
	CodeDeadlineExceeded Code = "deadlineExceeded"
	CodeDraining         Code = "draining"
	CodeQuarantined      Code = "quarantined"
	CodeKeyRequired      Code = "keyRequired"
	CodeKeyExpired       Code = "keyExpired"
	CodeClaimUnavailable Code = "claimUnavailable"
	CodeAlreadyRunning   Code = "alreadyRunning"
	CodeOutcomeUnknown   Code = "outcomeUnknown"
	CodeEndpointFailed   Code = "endpointFailed"
	CodeBadPosition      Code = "badPosition"
	CodeGenerationLost   Code = "generationLost"
)

// Rejection is an endpoint that cannot serve the request at present, and why.
type Rejection struct {
	Endpoint string `json:"endpoint"`
	Reason   string `json:"reason"`
}

// Decision is the outcome of Decide: an endpoint, or a code and no endpoint.
type Decision struct {
	Endpoint   *inventory.Endpoint `json:"endpoint,omitempty"`
	Code       Code                `json:"code,omitempty"`
	Reason     string              `json:"reason"`
	Rejections []Rejection         `json:"rejections,omitempty"`
	// Full is true if there are engines that would take the request but are full at present.
	Full bool `json:"full,omitempty"`
}
