package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"papayacroft/standin"
)

const (
	// entryInterval is the time between two writes of an endpoint's entry in the store. An entry is removed entryLifetime
	// after its endpoint stopped.
	entryInterval = 1200 * time.Millisecond
	entryLifetime = 3 * entryInterval
	// eventInterval is the time between two events of a generation; copyTime is the duration of a copy of its memory.
	eventInterval = 15 * time.Millisecond
	copyTime      = 100 * time.Millisecond
)

// engine is a stand-in endpoint behind a proxy. When a fault ends it, a new endpoint with another id replaces it at the
// same address.
type engine struct {
	number          int
	service, domain string
	link            *proxy
	store           *standin.KeyedStore
	pool            *standin.SiteEngines
	// replacing is held while a fault ends the endpoint and starts another one.
	replacing sync.Mutex

	mutex    sync.Mutex
	current  *standin.SiteEngine
	server   *http.Server
	starts   int
	sequence int
	state    string
	// silent is true while the endpoint writes no entries.
	silent bool
	// drains holds the time at which each endpoint began to drain, by its id.
	drains map[string]time.Time
	// away are the periods from the time at which an endpoint began to leave, or ended, until the next one started; the last
	// one has no end while it lasts. ends are the times at which endpoints ended.
	away []span
	ends []time.Time
	// incarnations are all endpoints that ran at this address, the current one included.
	incarnations []*standin.SiteEngine
}

func newEngine(number int, service, domain string, store *standin.KeyedStore, pool *standin.SiteEngines) (*engine, error) {
	prx, err := newProxy("")
	if err != nil {
		return nil, trace.Wrap(err)
	}
	eng := &engine{number: number, service: service, domain: domain, link: prx, store: store, pool: pool, drains: map[string]time.Time{}}
	return eng, eng.start()
}

// start starts a new endpoint at the same address.
func (eng *engine) start() error {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return trace.Wrap(err)
	}
	eng.mutex.Lock()
	eng.starts++
	sen := standin.NewSiteEngine(fmt.Sprintf("%s%d-%d", eng.service, eng.number, eng.starts))
	sen.Interval, sen.CopyTime = eventInterval, copyTime
	eng.pool.Put(eng.link.address(), sen)
	eng.current, eng.state, eng.sequence, eng.silent = sen, "ready", 0, false
	eng.server = &http.Server{Handler: sen, ReadHeaderTimeout: entryLifetime}
	eng.incarnations = append(eng.incarnations, sen)
	if len(eng.away) > 0 {
		eng.away[len(eng.away)-1].to = time.Now()
	}
	server := eng.server
	eng.mutex.Unlock()
	go func() { _ = server.Serve(lis) }()
	eng.link.retarget(lis.Addr().String())
	eng.writeEntry()
	return nil
}

// writeEntry writes the endpoint's entry to the store, unless the endpoint is silent.
func (eng *engine) writeEntry() {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	if eng.silent {
		return
	}
	eng.sequence++
	entry, err := json.Marshal(map[string]any{
		"service": eng.service, "address": eng.link.address(), "zone": eng.domain, "slots": 64, "state": eng.state,
		"sequence": eng.sequence, "born": int64(1000*eng.number + eng.starts), "coldLeftMs": 0,
	})
	if err == nil {
		eng.store.Put("keyed.servers", eng.current.ID, entry)
	}
}

// drain makes the endpoint report that it leaves and either write an entry with state draining or, if it vanishes,
// remove its entry. It serves requests until stop is called.
func (eng *engine) drain(vanishes bool) {
	eng.mutex.Lock()
	id := eng.current.ID
	eng.state = "draining"
	eng.drains[id] = time.Now()
	eng.leave()
	eng.current.SetDraining()
	if vanishes {
		eng.silent = true
		eng.store.Put("keyed.servers", id, nil)
	}
	eng.mutex.Unlock()
	eng.writeEntry()
}

// stop stops the endpoint and resets its connections; its entry is removed after entryLifetime.
func (eng *engine) stop() {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	id := eng.current.ID
	eng.silent = true
	eng.leave()
	eng.ends = append(eng.ends, time.Now())
	eng.current.Stop()
	_ = eng.server.Close()
	eng.link.resetAll()
	time.AfterFunc(entryLifetime, func() { eng.store.Put("keyed.servers", id, nil) })
}

// leave records that the endpoint leaves, unless that is known; the caller holds the mutex.
func (eng *engine) leave() {
	if count := len(eng.away); count == 0 || !eng.away[count-1].to.IsZero() {
		eng.away = append(eng.away, span{from: time.Now()})
	}
}

// wasAvailable reports whether the endpoint neither left nor was gone at any time between two times.
func (eng *engine) wasAvailable(from, to time.Time) bool {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	return !slices.ContainsFunc(eng.away, func(one span) bool {
		return one.from.Before(to) && (one.to.IsZero() || from.Before(one.to))
	})
}

// endedBetween reports whether an endpoint ended between two times.
func (eng *engine) endedBetween(from, to time.Time) bool {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	return slices.ContainsFunc(eng.ends, func(end time.Time) bool { return end.After(from) && end.Before(to) })
}

func (eng *engine) setMode(mode standin.EngineMode) {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	eng.current.SetMode(mode)
}

// runs returns all runs at this address, each with the time at which its endpoint began to drain (zero if it did not).
func (eng *engine) runs() (runs []standin.SiteRun, drains []time.Time) {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	for _, sen := range eng.incarnations {
		for _, run := range sen.Runs() {
			runs, drains = append(runs, run), append(drains, eng.drains[sen.ID])
		}
	}
	return runs, drains
}
