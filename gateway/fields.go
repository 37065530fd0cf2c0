package gateway

// The names of fields that several kinds of log lines have.
const (
	fieldEndpoint = "endpoint"
	fieldElapsed  = "elapsed"
	fieldOutcome  = "outcome"
)
