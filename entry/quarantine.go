package entry

import (
	"context"
	"time"
)

// Quarantine finds the requests that crash engines. A request that ran on an engine when it crashed is a suspect and
// is kept off engines that run other suspects; a request that is found to crash engines is refused. A digest
// identifies a request's content, an id one run of it.
type Quarantine interface {
	// Condemned returns the time until which a request that crashed engines is refused.
	Condemned(digest string) (until time.Time, ok bool)
	// Suspect reports whether a request must be kept off engines that run other suspects.
	Suspect(digest string) bool
	// Occupied returns the endpoints that run other suspects.
	Occupied(digest string) []string
	// Closed returns the endpoints that are reserved for a single suspect.
	Closed() map[string]bool
	// Begin registers a run before it is sent. It returns false if the endpoint is reserved for another request,
	// or if the request is a suspect and the endpoint already runs one.
	Begin(id, digest, endpoint string) bool
	// Confirm finds out, by asking the other daemons and the endpoint, whether a suspect's run has its endpoint to
	// itself, and waits for that if it must. It returns false if the run must not be sent. At most maxClosed
	// endpoints are reserved for suspects; only a suspect of repeated crashes may exceed that. idle asks the endpoint
	// whether it runs nothing.
	Confirm(ctx context.Context, id string, maxClosed int, idle func(ctx context.Context) bool) bool
	// Attach registers a run that an earlier request started.
	Attach(id, digest, endpoint string)
	// Complete removes a run that ended with its answer; its request is no longer a suspect.
	Complete(id string)
	// Leave removes a run that ended without its answer and without a crash.
	Leave(id string)
	// Crash records that the endpoint of a run crashed when the run's connection broke.
	Crash(id string, brokenAt time.Time)
}
