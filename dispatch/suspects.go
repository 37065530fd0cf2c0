package dispatch

import "time"

const (
	// suspectCrashes is the number of starts of endpoints that must have crashed while they ran a request before the
	// request is refused.
	suspectCrashes = 3
	// suspectRetention is how long a crash is counted.
	suspectRetention = 2 * time.Minute
	// maxSuspects bounds the number of requests whose crashes are counted; crashes of further requests are ignored.
	maxSuspects = 4096
)

// Suspects counts the endpoint crashes of each request, by the request's digest. A request that crashes its endpoint is
// repeated on other endpoints, as its caller sends it again, and may crash them all.
type Suspects struct {
	crashes map[uint64]map[Incarnation]time.Time
}

// Incarnation is one start of an endpoint: an endpoint may start again under its id after a crash.
type Incarnation struct {
	Endpoint  string
	StartedAt int64
}

// NewSuspects returns an empty set of suspects.
func NewSuspects() *Suspects {
	return &Suspects{crashes: map[uint64]map[Incarnation]time.Time{}}
}

// Crashed records that an endpoint crashed while it ran the request with the given digest, and reports whether that is new.
// Only the first crash of each pair of request and endpoint is recorded.
func (sus *Suspects) Crashed(now time.Time, digest uint64, endpoint Incarnation) (added bool) {
	if _, known := sus.crashes[digest]; !known {
		sus.prune(now)
		if len(sus.crashes) >= maxSuspects {
			return false
		}
		sus.crashes[digest] = map[Incarnation]time.Time{}
	}
	if _, known := sus.crashes[digest][endpoint]; known {
		return false
	}
	sus.crashes[digest][endpoint] = now
	return true
}

// Condemned reports whether a request has crashed so many endpoints that it must not be run again.
func (sus *Suspects) Condemned(now time.Time, digest uint64) bool {
	count := 0
	for _, at := range sus.crashes[digest] {
		if now.Sub(at) < suspectRetention {
			count++
		}
	}
	return count >= suspectCrashes
}

// Each calls visit for each recorded crash that has not expired.
func (sus *Suspects) Each(now time.Time, visit func(digest uint64, endpoint Incarnation)) {
	for digest, crashes := range sus.crashes {
		for endpoint, at := range crashes {
			if now.Sub(at) < suspectRetention {
				visit(digest, endpoint)
			}
		}
	}
}

// prune removes expired crashes and the requests without any other crash.
func (sus *Suspects) prune(now time.Time) {
	for digest, crashes := range sus.crashes {
		for endpoint, at := range crashes {
			if now.Sub(at) >= suspectRetention {
				delete(crashes, endpoint)
			}
		}
		if len(crashes) == 0 {
			delete(sus.crashes, digest)
		}
	}
}
