package routing

import (
	"sync"
	"sync/atomic"
	"time"

	"papayacroft/endpoint"
)

const (
	// intervalHalfLife is the time in which an observed token interval falls to half its value while there are no new
	// observations, so that an engine that was slow gets some requests again.
	intervalHalfLife = 5 * time.Second
	// intervalWeight is the weight of a new observation, the mean over progressStep tokens, in the moving average.
	intervalWeight = 0.2
	// endedRetention is how long ended generations are kept, so that they can be subtracted from reports that were made
	// before they ended.
	endedRetention = 5 * time.Second
)

// EndpointStatus is the state of an endpoint as this daemon sees it.
type EndpointStatus struct {
	Load endpoint.Load `json:"load"`
	// ReportedAt is when the last load report was received, by this daemon's clock.
	ReportedAt time.Time `json:"heardAt,omitzero"`
	InFlight   int       `json:"inFlight"`
	// OthersTokens and OthersRunning are the memory and the number of generations in the report, less those of this
	// daemon.
	OthersTokens  int `json:"othersTokens"`
	OthersRunning int `json:"othersRunning"`
	// OwnRunning is the number of this daemon's generations, whether the report counts them or not.
	OwnRunning int `json:"ownRunning"`
	// OwnStarting is the number of this daemon's generations that have no token yet.
	OwnStarting int `json:"ownStarting"`
	// OwnUnreported is the number of prompt tokens of this daemon's generations that began after the report was made.
	OwnUnreported int `json:"ownUnreported"`
	// Own is the memory of this daemon's generations at each horizon, with their reserved growth.
	Own          Profile   `json:"own"`
	FailedAt     time.Time `json:"failedAt,omitzero"`
	LeavingSince time.Time `json:"leavingSince,omitzero"`
	// TokenInterval is the moving average of the observed token intervals; IntervalAt is the time of the last one.
	TokenInterval time.Duration `json:"tokenInterval"`
	IntervalAt    time.Time     `json:"intervalAt,omitzero"`
}

// Tracker holds the status of every endpoint; readers take no lock.
type Tracker struct {
	// OnPreempted is called with the number of preemptions between two reports of an engine, if there were any.
	OnPreempted func(name string, count int64)

	entries sync.Map
	// leaving holds the names of the endpoints with a LeavingSince, so that LeavingNames need not visit all endpoints.
	leaving sync.Map
	growth  growth
}

// trackerEntry is the state of one endpoint.
type trackerEntry struct {
	name string
	// leaving is the tracker's set of leaving endpoints.
	leaving *sync.Map
	// mutex serializes updates of the status and guards flights and ended.
	mutex  sync.Mutex
	status atomic.Pointer[EndpointStatus]
	// flights holds the running generations of this daemon, ended those that ended within endedRetention.
	flights map[*Flight]struct{}
	ended   []*Flight
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{}
}

// Status returns a copy of an endpoint's status.
func (trk *Tracker) Status(name string) EndpointStatus {
	if ent, ok := trk.entries.Load(name); ok {
		return *ent.(*trackerEntry).status.Load()
	}
	return EndpointStatus{}
}

// Report applies a load report, unless it is older than the last one, and subtracts this daemon's generations from it.
func (trk *Tracker) Report(now time.Time, name string, lod endpoint.Load) {
	ent := trk.entry(name)
	var preempted int64
	ent.update(func(sta *EndpointStatus) {
		if lod.At.Before(sta.Load.At) {
			return
		}
		if !sta.Load.At.IsZero() {
			preempted = max(0, lod.Preemptions-sta.Load.Preemptions)
		}
		sta.Load, sta.ReportedAt = lod, now
		tokens, running := ent.ownAt(lod.At, now, sta.TokenInterval)
		sta.OwnUnreported = ent.sentSince(lod.At)
		// Requests that wait in the engine were mostly preempted and will need memory again: as much, on average, as a
		// running one holds.
		demand := lod.UsedTokens + lod.Waiting*lod.UsedTokens/max(1, lod.Running)
		sta.OthersTokens = max(0, demand-tokens)
		sta.OthersRunning = max(0, lod.Running+lod.Waiting-running)
		if lod.Leaving && sta.LeavingSince.IsZero() {
			sta.LeavingSince = now
		}
		if !lod.Leaving {
			sta.LeavingSince = time.Time{}
		}
	})
	if preempted > 0 && trk.OnPreempted != nil {
		trk.OnPreempted(name, preempted)
	}
}

// ownAt returns the memory and the number of this daemon's generations at the time of a report.
// It also drops ended generations after endedRetention.
func (ent *trackerEntry) ownAt(at, now time.Time, interval time.Duration) (tokens, running int) {
	count := func(flt *Flight) {
		if held := flt.heldAt(at, now, interval); held > 0 {
			tokens += held
			running++
		}
	}
	for flt := range ent.flights {
		count(flt)
	}
	kept := ent.ended[:0]
	for _, flt := range ent.ended {
		count(flt)
		if now.Sub(flt.endedAt) < endedRetention {
			kept = append(kept, flt)
		}
	}
	ent.ended = kept
	return tokens, running
}

// sentSince returns the prompt tokens of this daemon's running generations that began after a time.
func (ent *trackerEntry) sentSince(at time.Time) int {
	tokens := 0
	for flt := range ent.flights {
		if flt.startedAt.After(at) {
			tokens += flt.prompt
		}
	}
	return tokens
}

// Sent counts a call that is sent to a plain service.
func (trk *Tracker) Sent(name string, _ int) {
	trk.entry(name).update(func(sta *EndpointStatus) { sta.InFlight++ })
}

// Finished counts the end of a call to a plain service.
func (trk *Tracker) Finished(name string) {
	trk.entry(name).update(func(sta *EndpointStatus) { sta.InFlight-- })
}

// Failed records the time at which an endpoint could not be reached.
func (trk *Tracker) Failed(now time.Time, name string) {
	trk.entry(name).update(func(sta *EndpointStatus) { sta.FailedAt = now })
}

// Leaving records that an endpoint accepts no new requests because it is leaving.
func (trk *Tracker) Leaving(now time.Time, name string) {
	trk.entry(name).update(func(sta *EndpointStatus) {
		if sta.LeavingSince.IsZero() {
			sta.LeavingSince = now
		}
	})
}

// LeavingNames lists the endpoints that are leaving.
func (trk *Tracker) LeavingNames() []string {
	var names []string
	trk.leaving.Range(func(name, _ any) bool {
		names = append(names, name.(string))
		return true
	})
	return names
}

// entry returns the state of an endpoint, and creates it if there is none.
func (trk *Tracker) entry(name string) *trackerEntry {
	if ent, ok := trk.entries.Load(name); ok {
		return ent.(*trackerEntry)
	}
	fresh := &trackerEntry{name: name, leaving: &trk.leaving, flights: map[*Flight]struct{}{}}
	fresh.status.Store(&EndpointStatus{})
	ent, _ := trk.entries.LoadOrStore(name, fresh)
	return ent.(*trackerEntry)
}

// update changes a copy of the status and publishes it, and keeps the set of leaving endpoints in step.
func (ent *trackerEntry) update(change func(sta *EndpointStatus)) {
	ent.mutex.Lock()
	defer ent.mutex.Unlock()
	sta := *ent.status.Load()
	wasZero := sta.LeavingSince.IsZero()
	change(&sta)
	ent.status.Store(&sta)
	switch {
	case wasZero == sta.LeavingSince.IsZero():
	case wasZero:
		ent.leaving.Store(ent.name, nil)
	default:
		ent.leaving.Delete(ent.name)
	}
}

// observeInterval adds an observed token interval to the moving average.
func (sta *EndpointStatus) observeInterval(now time.Time, interval time.Duration) {
	if sta.TokenInterval == 0 {
		sta.TokenInterval = interval
	}
	sta.TokenInterval += time.Duration(intervalWeight * float64(interval-sta.TokenInterval))
	sta.IntervalAt = now
}
