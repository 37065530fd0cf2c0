package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"papayacroft/standin"
)

const (
	// contact is how long after a disturbance a daemon may not have noticed its end (contactMs on the users' sites).
	contact = 3 * time.Second
	// drainTime is how long an endpoint serves on after it said that it drains (drainMs on the users' sites).
	drainTime     = 2 * time.Second
	memoryEvery   = 500 * time.Millisecond
	deskEndpoints = 3
	// maxAttempts is two for all routes, so that a request that must not be repeated could be.
	maxAttempts = 2
)

// keyName is a field of most parts of a configuration.
const keyName = "name"

var domains = []string{"a", "b", "c"}

var engineModes = []standin.EngineMode{
	standin.EngineSheds, standin.EngineFails, standin.EngineCuts, standin.EngineForeign, standin.EngineUnsigned,
}

// world is a site with real daemons, and stand-ins for all they meet.
type world struct {
	seed    uint64
	store   *standin.KeyedStore
	door    *httptest.Server
	daemons []*daemon
	engines []*engine
	began   time.Time

	mutex   sync.Mutex
	calls   []*call
	version int
	// keys has the versions, with the time of their acknowledgement and whether they have the key two.
	keys []keyVersion
	// unplanned are the times of all faults that no operator plans.
	unplanned   []span
	memory      int64
	descriptors int
}

type keyVersion struct {
	at     time.Time
	hasTwo bool
}

// newWorld starts a site; daemons use the program.
func newWorld(dir, program string, seed uint64, daemons, engines int) (*world, error) {
	wld := &world{seed: seed, store: standin.NewKeyedStore(), began: time.Now()}
	wld.door = httptest.NewServer(wld.store)
	wld.publish(true)
	pool := standin.NewSiteEngines()
	for i := range engines {
		service := "pool"
		if i < deskEndpoints {
			service = "desk"
		}
		eng, err := newEngine(i, service, domains[i%len(domains)], wld.store, pool)
		if err != nil {
			return wld, trace.Wrap(err)
		}
		wld.engines = append(wld.engines, eng)
	}
	for i := range daemons {
		dmn, err := newDaemon(dir, program, fmt.Sprintf("d%d", i+1), domains[i%len(domains)], wld.door.Listener.Addr().String())
		if err != nil {
			return wld, trace.Wrap(err)
		}
		wld.daemons = append(wld.daemons, dmn)
	}
	return wld, nil
}

// close ends the processes that the world started.
func (wld *world) close() {
	var wgr sync.WaitGroup
	for _, dmn := range wld.daemons {
		wgr.Go(func() { dmn.stop(syscall.SIGKILL) })
	}
	wgr.Wait()
	wld.door.CloseClientConnections()
}

func (wld *world) record(cal *call) {
	wld.mutex.Lock()
	defer wld.mutex.Unlock()
	wld.calls = append(wld.calls, cal)
}

// run plays a plan while callers call.
func (wld *world) run(ctx context.Context, plan []Fault, duration time.Duration, callers uint64) {
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	var wgr sync.WaitGroup
	for number := range callers {
		wgr.Go(func() { wld.runCaller(ctx, number) })
	}
	for _, eng := range wld.engines {
		wgr.Go(func() { every(ctx, beatInterval, eng.beat) })
	}
	wgr.Go(func() { every(ctx, memoryEvery, wld.watchMemory) })
	began := time.Now()
	for _, flt := range plan {
		wgr.Go(func() {
			select {
			case <-ctx.Done():
			case <-time.After(time.Until(began.Add(flt.At))):
				wld.apply(flt)
			}
		})
	}
	wgr.Wait()
}

func every(ctx context.Context, interval time.Duration, do func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			do()
		}
	}
}

func (wld *world) watchMemory() {
	for _, dmn := range wld.daemons {
		resident, descriptors := dmn.memory()
		wld.mutex.Lock()
		wld.memory, wld.descriptors = max(wld.memory, resident), max(wld.descriptors, descriptors)
		wld.mutex.Unlock()
	}
}

// apply plays one fault to its end.
func (wld *world) apply(flt Fault) {
	now := time.Now()
	if !flt.planned() {
		wld.mutex.Lock()
		wld.unplanned = append(wld.unplanned, span{now, now.Add(flt.Length + contact)})
		wld.mutex.Unlock()
	}
	if flt.hitsDaemon() {
		if !flt.planned() {
			wld.daemons[flt.Target].disturb(now, now.Add(flt.Length+contact))
		}
		wld.applyDaemon(flt, wld.daemons[flt.Target])
		return
	}
	wld.applySite(flt, wld.engines[flt.Target])
}

func (wld *world) applyDaemon(flt Fault, dmn *daemon) {
	switch flt.Kind {
	case KindKill:
		dmn.replace(syscall.SIGKILL, flt.Length)
	case KindStop:
		dmn.replace(syscall.SIGTERM, flt.Length)
	case KindPause:
		dmn.signal(syscall.SIGSTOP)
		time.Sleep(flt.Length)
		dmn.signal(syscall.SIGCONT)
	case KindReload:
		dmn.signal(syscall.SIGHUP)
	case KindStoreCut:
		dmn.store.set(linkHolds)
		time.Sleep(flt.Length)
		dmn.store.set(linkPasses)
		dmn.store.resetAll()
	case KindStoreReset:
		dmn.store.resetAll()
	}
}

// applySite plays a fault of the store, the operator or an endpoint.
func (wld *world) applySite(flt Fault, eng *engine) {
	switch flt.Kind {
	case KindStoreBusy, KindStoreMute:
		mode := standin.StoreBusy
		if flt.Kind == KindStoreMute {
			mode = standin.StoreSilent
		}
		for _, dmn := range wld.daemons {
			dmn.disturb(time.Now(), time.Now().Add(flt.Length+contact))
		}
		wld.store.SetMode(mode)
		time.Sleep(flt.Length)
		wld.store.SetMode(standin.StoreUp)
	case KindPublish:
		wld.publish(flt.Variant%2 == 0)
	case KindCrash:
		eng.replace(flt.Length, eng.end)
	case KindDrain, KindVanish:
		eng.replace(flt.Length, func() {
			eng.leave(flt.Kind == KindVanish)
			time.Sleep(drainTime + time.Second + flt.Length)
			eng.end()
		})
	case KindMode:
		eng.setMode(engineModes[flt.Variant%len(engineModes)])
		time.Sleep(flt.Length)
		eng.setMode(standin.EngineServes)
	default:
		wld.applyLink(flt, eng.link)
	}
}

func (wld *world) applyLink(flt Fault, link *proxy) {
	switch flt.Kind {
	case KindLinkReset:
		link.resetAll()
	case KindLinkMute:
		link.silence()
	case KindLinkDelay:
		link.set(linkDelays)
		time.Sleep(flt.Length)
		link.set(linkPasses)
	case KindLinkOneWay:
		link.set(linkOneWay)
		time.Sleep(flt.Length)
		link.set(linkPasses)
		link.resetAll()
	}
}

// replace ends the process and starts it again after a pause; a process that is being replaced already is left alone.
func (dmn *daemon) replace(sig syscall.Signal, pause time.Duration) {
	if !dmn.replacing.TryLock() {
		return
	}
	defer dmn.replacing.Unlock()
	dmn.stop(sig)
	time.Sleep(pause)
	if err := dmn.start(); err != nil {
		dmn.find("%s could not be started: %v", dmn.name, err)
	}
	if sig == syscall.SIGKILL {
		dmn.disturb(time.Now().Add(-pause), time.Now().Add(contact))
	}
}

// replace ends the endpoint in a way and starts another one after a pause.
func (eng *engine) replace(pause time.Duration, end func()) {
	if !eng.replacing.TryLock() {
		return
	}
	defer eng.replacing.Unlock()
	end()
	time.Sleep(pause + rand.N(time.Second))
	_ = eng.start()
}

// publish writes the next configuration, with or without the key two.
func (wld *world) publish(hasTwo bool) {
	wld.mutex.Lock()
	defer wld.mutex.Unlock()
	wld.version++
	wld.store.Put("keyed.op", "config", configuration(wld.version, hasTwo))
	wld.keys = append(wld.keys, keyVersion{at: time.Now(), hasTwo: hasTwo})
}

// configuration has a plain service and one of engines, and a route for each kind of request.
func configuration(version int, hasTwo bool) []byte {
	route := func(name, kind, service string, resumable bool) map[string]any {
		return map[string]any{
			keyName: name, "host": "site.example", "pathPrefix": "/" + name + "/", "kind": kind, "service": service,
			"maxAttempts": maxAttempts, "timeoutMs": callDeadline.Milliseconds(), "targetLatencyMs": 1000, "resumable": resumable,
		}
	}
	tenants := []map[string]any{{keyName: "one", "apiKeys": []string{"key-one"}}}
	if hasTwo {
		tenants = append(tenants, map[string]any{keyName: "two", "apiKeys": []string{"key-two"}})
	}
	engine := map[string]any{
		"slots": 64, "kvCapacityTokens": 300000, "moves": true, "stride": 4, "handleS": 5, "kvTokenBytes": 1000, "linkMbps": 10000,
	}
	data, err := json.Marshal(map[string]any{
		"version": version, "tenants": tenants,
		"routes": []map[string]any{
			route("once", "non_idempotent", "desk", false), route("again", "idempotent", "desk", false),
			route("long", "stream", "pool", false), route("short", "stream", "pool", true),
		},
		"services": []map[string]any{{keyName: "desk", "protocol": "h1"}, {keyName: "pool", "protocol": "h1", "engine": engine}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4096, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		panic(err)
	}
	return data
}
