package gateway

// Names of fields that several log messages share.
const (
	fieldEndpoint = "endpoint"
	fieldElapsed  = "elapsed"
	fieldEvents   = "events"
	fieldOutcome  = "outcome"
)
