package dispatch

import "time"

const (
	// suspectCrashes is the number of endpoints that a request crashes before it is run no more.
	suspectCrashes = 3
	// suspectMemory is how long a crash is remembered.
	suspectMemory = 2 * time.Minute
	// maxSuspects bounds the requests that are remembered.
	maxSuspects = 4096
)

// Suspects remembers requests that may crash each endpoint that runs them; their callers send them again and again.
type Suspects struct {
	crashes map[uint64]map[string]time.Time
}

// NewSuspects returns suspects without any.
func NewSuspects() *Suspects {
	return &Suspects{crashes: map[uint64]map[string]time.Time{}}
}

// Crashed notes that an endpoint crashed while it ran the request with a digest.
func (sus *Suspects) Crashed(now time.Time, digest uint64, endpoint string) {
	if _, known := sus.crashes[digest]; !known {
		sus.prune(now)
		if len(sus.crashes) >= maxSuspects {
			return
		}
		sus.crashes[digest] = map[string]time.Time{}
	}
	if _, known := sus.crashes[digest][endpoint]; !known {
		sus.crashes[digest][endpoint] = now
	}
}

// Condemned reports whether a request has crashed so many endpoints that no other one may run it.
func (sus *Suspects) Condemned(now time.Time, digest uint64) bool {
	count := 0
	for _, at := range sus.crashes[digest] {
		if now.Sub(at) < suspectMemory {
			count++
		}
	}
	return count >= suspectCrashes
}

// Each calls a function with each crash that is remembered.
func (sus *Suspects) Each(now time.Time, visit func(digest uint64, endpoint string)) {
	for digest, crashes := range sus.crashes {
		for endpoint, at := range crashes {
			if now.Sub(at) < suspectMemory {
				visit(digest, endpoint)
			}
		}
	}
}

func (sus *Suspects) prune(now time.Time) {
	for digest, crashes := range sus.crashes {
		for endpoint, at := range crashes {
			if now.Sub(at) >= suspectMemory {
				delete(crashes, endpoint)
			}
		}
		if len(crashes) == 0 {
			delete(sus.crashes, digest)
		}
	}
}
