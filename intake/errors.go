package intake

import (
	"errors"
	"os"
)

// The limits that a client may exceed.
var (
	errHeadSize   = errors.New("the head of the request is too long")
	errBlankLines = errors.New("too many empty lines precede the request")
	errMalformed  = errors.New("the request is malformed")
	errTrailer    = errors.New("the trailer of the request is too long")
	errHeadTime   = errors.New("the head of the request took too long")
	errMessage    = errors.New("a message of a peer exceeds the memory for it")
	errRate       = errors.New("the caller reads or sends too slowly")
)

// ErrBodySize is the error of a body over its limit.
var ErrBodySize = errors.New("the body is too large")

// ErrMemory is the error of a request for which there is no memory now.
var ErrMemory = errors.New("the memory for requests is used up")

// ErrBodyTime is the error of a body that arrives too slowly.
var ErrBodyTime = errors.New("the body arrived too slowly")

// limitName returns the name of a limit in metrics and log lines.
func limitName(err error) string {
	switch {
	case errors.Is(err, errHeadSize):
		return "head"
	case errors.Is(err, errBlankLines):
		return "blankLines"
	case errors.Is(err, errMalformed):
		return "malformed"
	case errors.Is(err, errTrailer):
		return "trailer"
	case errors.Is(err, errHeadTime):
		return "headTime"
	case errors.Is(err, ErrBodySize):
		return "body"
	case errors.Is(err, ErrBodyTime):
		return "bodyTime"
	case errors.Is(err, ErrMemory):
		return "memory"
	case errors.Is(err, errMessage):
		return "message"
	case errors.Is(err, errRate):
		return "reader"
	}
	return ""
}

func isTimeout(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded)
}
