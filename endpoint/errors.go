package endpoint

import (
	"errors"
	"fmt"
)

// Begun says whether an endpoint may have begun to execute a request that failed.
type Begun int

// The values of Begun.
const (
	NotBegun Begun = iota
	MayHaveBegun
)

// Reason classifies a failure at an endpoint.
type Reason string

// The reasons for a failure.
const (
	// ReasonUnreachable means that the connection could not be opened.
	ReasonUnreachable Reason = "unreachable"
	// ReasonBroken means that the connection failed after it was opened.
	ReasonBroken Reason = "broken"
	// ReasonSilent means that the call was cancelled, usually because no data arrived within the silence time-out.
	ReasonSilent    Reason = "silent"
	ReasonFull      Reason = "full"
	ReasonNotLoaded Reason = "modelNotLoaded"
	ReasonLeaving   Reason = "leaving"
	ReasonUnknownID Reason = "unknownGeneration"
	ReasonRefused   Reason = "refused"
	// ReasonMismatch means that a stream delivered an event that does not follow the previous one or is not valid.
	ReasonMismatch Reason = "mismatch"
	// ReasonBeyondEnd means that the requested index is past the last token of the generation.
	ReasonBeyondEnd Reason = "beyondEnd"
	// ReasonAttached means that the engine did not cancel a generation because it has a reader.
	ReasonAttached Reason = "attached"
)

// Error is a failure of a call to an endpoint.
type Error struct {
	Endpoint string
	Reason   Reason
	Begun    Begun
	Err      error
}

// Error describes the failure.
func (err *Error) Error() string {
	if err.Err == nil {
		return fmt.Sprintf("endpoint %s: %s", err.Endpoint, err.Reason)
	}
	return fmt.Sprintf("endpoint %s: %s: %v", err.Endpoint, err.Reason, err.Err)
}

// Unwrap returns the cause.
func (err *Error) Unwrap() error {
	return err.Err
}

// AsError finds the endpoint error in a chain.
func AsError(err error) (*Error, bool) {
	var target *Error
	ok := errors.As(err, &target)
	return target, ok
}
