package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heartbeat is the interval at which engines write their entries.
const heartbeat = 1200 * time.Millisecond

// run is one run of a request at an engine.
type run struct {
	id, path, tenant, service string
	at                        time.Time
}

// Engine stands in for a server of a service. It answers calls after workTime and streams of events.
type Engine struct {
	id, service, address string
	workTime             time.Duration
	// interval is the time between two events, events their number.
	interval time.Duration
	events   int
	slots    int
	born     int64

	store *Store
	log   *Log
	mutex sync.Mutex
	runs  []run
	beats int
}

// newEngine starts an engine on a free loopback port and registers it.
func newEngine(sto *Store, log *Log, id, service string) *Engine {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		unable("engine: %v", err)
	}
	eng := &Engine{
		id: id, service: service, address: lis.Addr().String(), workTime: 15 * time.Millisecond,
		interval: 50 * time.Millisecond, events: 20, slots: 48, born: time.Now().UnixMilli(), store: sto, log: log,
	}
	server := &http.Server{Handler: eng}
	go func() { _ = server.Serve(lis) }()
	eng.beat()
	go func() {
		for range time.Tick(heartbeat) {
			eng.beat()
		}
	}()
	return eng
}

// beat writes the engine's entry.
func (eng *Engine) beat() {
	eng.mutex.Lock()
	eng.beats++
	entry, _ := json.Marshal(map[string]any{
		"service": eng.service, "address": eng.address, "zone": "akl-a", "version": "v1", "slots": eng.slots, "state": "ready",
		"coldLeftMs": 0, "sequence": eng.beats, "born": eng.born,
	})
	eng.mutex.Unlock()
	eng.store.put(topicServers, eng.id, entry)
}

// allRuns returns the runs so far.
func (eng *Engine) allRuns() []run {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	return append([]run(nil), eng.runs...)
}

// ServeHTTP answers a request, a health check or a question for the engine's report.
func (eng *Engine) ServeHTTP(wri http.ResponseWriter, req *http.Request) {
	switch {
	case req.URL.Path == "/-/report":
		_ = json.NewEncoder(wri).Encode(map[string]any{"state": "ready", "born": eng.born, "runs": [][]any{}})
		return
	case req.URL.Path == "/health":
		wri.Header().Set("Instance-Id", eng.id)
		return
	}
	if expected := req.Header.Get("Expect-Instance"); expected != "" && expected != eng.id {
		wri.Header().Set("Instance-Id", eng.id)
		wri.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	one := run{id: req.Header.Get("Attempt-Id"), path: req.URL.Path, tenant: req.Header.Get("Tenant"), service: eng.service, at: time.Now()}
	eng.mutex.Lock()
	eng.runs = append(eng.runs, one)
	eng.mutex.Unlock()
	hdr := wri.Header()
	hdr.Set("Attempt-Id", one.id)
	hdr.Set("Response-Signature", "signed."+eng.id+"."+one.id)
	if req.Header.Get("Token-Usage") != "" {
		eng.stream(wri, req)
		return
	}
	time.Sleep(eng.workTime)
	text := "answer of " + eng.id + " to " + one.id
	hdr.Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(wri, text)
}

func (eng *Engine) stream(wri http.ResponseWriter, req *http.Request) {
	wri.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	ctl := http.NewResponseController(wri)
	for made := from + 1; made <= eng.events; made++ {
		select {
		case <-req.Context().Done():
			eng.log.note("engine %s: the connection of %s was closed after event %d of %d", eng.id, req.Header.Get("Attempt-Id"), made-1, eng.events)
			return
		case <-time.After(eng.interval):
		}
		_, _ = fmt.Fprintf(wri, "id: %d\ndata: %s\n\n", made, req.Header.Get("Attempt-Id"))
		if ctl.Flush() != nil {
			return
		}
	}
}
