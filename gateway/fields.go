package gateway

// Names of fields that several log messages share.
const (
	fieldEndpoint = "endpoint"
	fieldElapsed  = "elapsed"
	// fieldDrainElapsed is the time from the stop signal to a request's arrival, if the daemon drained then.
	fieldDrainElapsed = "drainElapsed"
	fieldEvents       = "events"
	fieldOutcome      = "outcome"
)
