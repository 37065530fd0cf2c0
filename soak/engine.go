package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"papayacroft/standin"
)

const (
	// beatInterval is the time between two entries of an endpoint, lapseTime the silence after which its entry goes.
	beatInterval = 1200 * time.Millisecond
	lapseTime    = 3 * beatInterval
	// eventInterval is the time between two events of a generation, copyTime how long a copy of its memory takes.
	eventInterval = 15 * time.Millisecond
	copyTime      = 100 * time.Millisecond
)

// engine is a stand-in endpoint behind a link; it is replaced by a new one whenever it ends.
type engine struct {
	number          int
	service, domain string
	link            *proxy
	store           *standin.KeyedStore
	pool            *standin.SiteEngines
	// replacing is held while the endpoint leaves and another one starts.
	replacing sync.Mutex

	mutex   sync.Mutex
	current *standin.SiteEngine
	server  *http.Server
	starts  int
	beats   int
	state   string
	// silent is true while no entries are written.
	silent bool
	// drains has when each endpoint that drained said so.
	drains map[string]time.Time
	// all are all endpoints that ran here.
	all []*standin.SiteEngine
}

func newEngine(number int, service, domain string, store *standin.KeyedStore, pool *standin.SiteEngines) (*engine, error) {
	prx, err := newProxy("")
	if err != nil {
		return nil, trace.Wrap(err)
	}
	eng := &engine{number: number, service: service, domain: domain, link: prx, store: store, pool: pool, drains: map[string]time.Time{}}
	return eng, eng.start()
}

// start begins a new endpoint at the same address.
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
	eng.current, eng.state, eng.beats, eng.silent = sen, "ready", 0, false
	eng.server = &http.Server{Handler: sen, ReadHeaderTimeout: lapseTime}
	eng.all = append(eng.all, sen)
	server := eng.server
	eng.mutex.Unlock()
	go func() { _ = server.Serve(lis) }()
	eng.link.retarget(lis.Addr().String())
	eng.beat()
	return nil
}

// beat writes the endpoint's entry.
func (eng *engine) beat() {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	if eng.silent {
		return
	}
	eng.beats++
	entry, err := json.Marshal(map[string]any{
		"service": eng.service, "address": eng.link.address(), "zone": eng.domain, "slots": 64, "state": eng.state,
		"sequence": eng.beats, "born": int64(1000*eng.number + eng.starts), "coldLeftMs": 0,
	})
	if err == nil {
		eng.store.Put("keyed.servers", eng.current.ID, entry)
	}
}

// leave lets the endpoint say that it drains, or removes its entry; it serves on until end.
func (eng *engine) leave(vanishes bool) {
	eng.mutex.Lock()
	id := eng.current.ID
	eng.state = "draining"
	eng.drains[id] = time.Now()
	eng.current.SetLeaves()
	if vanishes {
		eng.silent = true
		eng.store.Put("keyed.servers", id, nil)
	}
	eng.mutex.Unlock()
	eng.beat()
}

// end breaks off everything at the endpoint; its entry goes when it has lapsed.
func (eng *engine) end() {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	id := eng.current.ID
	eng.silent = true
	eng.current.Stop()
	_ = eng.server.Close()
	eng.link.resetAll()
	time.AfterFunc(lapseTime, func() { eng.store.Put("keyed.servers", id, nil) })
}

func (eng *engine) setMode(mode standin.EngineMode) {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	eng.current.SetMode(mode)
}

// runs returns all runs at this address, with the times at which their endpoints began to drain.
func (eng *engine) runs() (runs []standin.SiteRun, drains []time.Time) {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	for _, sen := range eng.all {
		for _, run := range sen.Runs() {
			runs, drains = append(runs, run), append(drains, eng.drains[sen.ID])
		}
	}
	return runs, drains
}
