package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"papayacroft/standin"
)

const (
	// heartbeat is the interval at which an engine writes its entry; the store removes an entry after three of them.
	heartbeat = 1200 * time.Millisecond
	lapse     = 3 * heartbeat
	// contact, drain and grace are the bounds contactMs, drainMs and graceS of a small deployment.
	contact = 3 * time.Second
	drain   = 2 * time.Second

	host         = "wuny96.example"
	key          = "xd9dnn2ctnfzs989anu6"
	tenant       = "huka270"
	poolService  = "papaya-pool"
	deskService  = "vote-desk"
	topicEntries = "keyed.servers"
)

// site is a small deployment: the store, engines and gateways, all on loopback.
type site struct {
	rec   *record
	store *standin.KeyedStore
	// storeAddress is where the gateways call the store.
	storeAddress string
	gateways     []*gateway
	dir          string

	mutex sync.Mutex
	// beatAt is when the store last accepted an entry, by id.
	beatAt map[string]time.Time
}

// newSite starts the store and publishes a configuration.
func newSite(rec *record, dir string) (*site, error) {
	sit := &site{rec: rec, store: standin.NewKeyedStore(), dir: dir, beatAt: map[string]time.Time{}}
	lis, err := net.Listen("tcp", "127.0.3.1:0")
	if err != nil {
		return nil, err
	}
	sit.storeAddress = lis.Addr().String()
	go func() { _ = http.Serve(lis, sit.store) }()
	config, err := json.Marshal(configuration())
	if err != nil {
		return nil, err
	}
	sit.store.Put("keyed.op", "config", config)
	go sit.removeLapsed()
	return sit, nil
}

// configuration is that of the example of fleetbench wire, with the four kinds of request of a site.
func configuration() map[string]any {
	route := func(name, path, kind, service string, timeout, target, priority, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": host, "pathPrefix": path, "kind": kind, "timeoutMs": timeout, "targetLatencyMs": target,
			"priority": priority, "service": service, "maxAttempts": attempts, "public": false, "sticky": kind == "stream",
			"resumable": resumable, "gapAimMs": 180,
		}
	}
	return map[string]any{
		"version": 7,
		"routes": []any{
			route("season-writeup", "/writeup/", "stream", poolService, 39000, 1800, 1, 1, false),
			route("film-blurb", "/blurb/", "stream", poolService, 6000, 1500, 0, 2, true),
			route("ballot-cast", "/ballot/", "non_idempotent", deskService, 600, 100, 2, 1, false),
			route("tally-check", "/tally/", "idempotent", deskService, 600, 100, 2, 2, false),
		},
		"services": []any{
			map[string]any{
				"name": poolService, "healthPath": "/health", "maxConnections": 372, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"slots": 48, "kvCapacityTokens": 34454, "kvTokenBytes": 327680, "linkMbps": 47000, "moves": true, "backups": true,
					"stride": 4, "most": 12, "pinMs": 4000, "holdMs": 2000, "handleS": 5, "models": []any{map[string]any{"name": "m"}},
				},
			},
			map[string]any{"name": deskService, "healthPath": "/health", "maxConnections": 100, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": tenant, "apiKeys": []any{key}, "priority": 1}},
	}
}

// accept is the store's side of an engine's write of its entry.
func (sit *site) accept(id string, entry []byte) {
	sit.mutex.Lock()
	defer sit.mutex.Unlock()
	sit.beatAt[id] = time.Now()
	sit.store.Put(topicEntries, id, entry)
}

// remove is the store's side of an engine that has left or lapsed.
func (sit *site) remove(id, why string) {
	sit.mutex.Lock()
	defer sit.mutex.Unlock()
	if _, known := sit.beatAt[id]; known {
		delete(sit.beatAt, id)
		sit.store.Put(topicEntries, id, nil)
		sit.rec.add("store: entry of %s removed (%s)", id, why)
	}
}

// removeLapsed removes the entries that were not renewed for three heartbeats.
func (sit *site) removeLapsed() {
	for range time.Tick(50 * time.Millisecond) {
		var old []string
		sit.mutex.Lock()
		for id, at := range sit.beatAt {
			if time.Since(at) >= lapse {
				old = append(old, id)
			}
		}
		sit.mutex.Unlock()
		for _, id := range old {
			sit.remove(id, "three heartbeats of silence")
		}
	}
}

// entry is the document that an engine writes to the store.
func (eng *engine) entry(state string, sequence int) []byte {
	data, err := json.Marshal(map[string]any{
		"service": eng.service, "address": eng.address, "zone": eng.zone, "version": "v1", "slots": eng.slots, "state": state,
		"coldLeftMs": 0, "sequence": sequence, "born": eng.born.UnixMilli(),
	})
	if err != nil {
		panic(fmt.Sprintf("entry of %s: %v", eng.id, err))
	}
	return data
}
