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
	// detectionTime is how long after the end of a fault a daemon may not have noticed yet that the fault has ended
	// (contactMs on the users' sites).
	detectionTime = 3 * time.Second
	// drainTime is how long an endpoint must serve after it announced that it drains (drainMs on the users' sites).
	drainTime     = 2 * time.Second
	memoryEvery   = 500 * time.Millisecond
	deskEndpoints = 3
	// maxAttempts is two for all routes, so that the limit alone doesn't keep a daemon from repeating a request that must
	// not be repeated.
	maxAttempts = 2
)

// streamService is the service of model engines, which answers with streams.
const streamService = "pool"

// keyName is the JSON key of the name that most parts of a configuration have.
const keyName = "name"

var domains = []string{"a", "b", "c"}

var engineModes = []standin.EngineMode{
	standin.EngineRefuses, standin.EngineFails, standin.EngineCuts, standin.EngineWrongAttemptID, standin.EngineUnsigned,
	standin.EngineInvalidStatus, standin.EngineInvalidField,
}

// world is a site with real daemons, and with stand-ins for the store and the endpoints.
type world struct {
	seed        uint64
	store       *standin.KeyedStore
	storeServer *httptest.Server
	daemons     []*daemon
	engines     []*engine
	began       time.Time

	mutex   sync.Mutex
	calls   []*call
	version int
	// published is the newest version.
	published []byte
	// keys holds, for each configuration version in order, when it was written and whether it has the key two.
	keys []keyVersion
	// unplanned are the periods of all faults that are no planned work.
	unplanned   []span
	memory      int64
	descriptors int
}

type keyVersion struct {
	at     time.Time
	hasTwo bool
}

// newWorld starts a site whose daemons run the given program. It returns a partial site with an error, so that the
// caller can close it.
func newWorld(dir, program string, seed uint64, daemons, engines int) (*world, error) {
	wld := &world{seed: seed, store: standin.NewKeyedStore(), began: time.Now()}
	wld.storeServer = httptest.NewServer(wld.store)
	wld.publish(true)
	pool := standin.NewSiteEngines()
	for i := range engines {
		service := streamService
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
		dmn, err := newDaemon(dir, program, fmt.Sprintf("d%d", i+1), domains[i%len(domains)], wld.storeServer.Listener.Addr().String())
		if err != nil {
			return wld, trace.Wrap(err)
		}
		wld.daemons = append(wld.daemons, dmn)
	}
	return wld, nil
}

// close kills the daemon processes that this world started.
func (wld *world) close() {
	var wgr sync.WaitGroup
	for _, dmn := range wld.daemons {
		wgr.Go(func() { dmn.stop(syscall.SIGKILL) })
	}
	wgr.Wait()
	wld.storeServer.CloseClientConnections()
}

func (wld *world) record(cal *call) {
	wld.mutex.Lock()
	defer wld.mutex.Unlock()
	wld.calls = append(wld.calls, cal)
}

// run applies the faults of a plan while callers send requests.
func (wld *world) run(ctx context.Context, plan []Fault, duration time.Duration, callers uint64) {
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	var wgr sync.WaitGroup
	for number := range callers {
		wgr.Go(func() { wld.runCaller(ctx, number) })
	}
	for _, eng := range wld.engines {
		wgr.Go(func() { every(ctx, entryInterval, eng.writeEntry) })
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

// apply applies one fault and returns when it has ended.
func (wld *world) apply(flt Fault) {
	now := time.Now()
	if !flt.planned() {
		wld.mutex.Lock()
		wld.unplanned = append(wld.unplanned, span{now, now.Add(flt.Length + detectionTime)})
		wld.mutex.Unlock()
	}
	if flt.hitsDaemon() {
		if !flt.planned() {
			wld.daemons[flt.Target].addDisturbance(now, now.Add(flt.Length+detectionTime))
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
		dmn.store.set(linkForwards)
		dmn.store.resetAll()
	case KindStoreReset:
		dmn.store.resetAll()
	}
}

// applySite applies a fault of the store or an endpoint, or publishes a configuration.
func (wld *world) applySite(flt Fault, eng *engine) {
	switch flt.Kind {
	case KindStoreBusy, KindStoreSilent:
		mode := standin.StoreBusy
		if flt.Kind == KindStoreSilent {
			mode = standin.StoreSilent
		}
		for _, dmn := range wld.daemons {
			dmn.addDisturbance(time.Now(), time.Now().Add(flt.Length+detectionTime))
		}
		wld.store.SetMode(mode)
		time.Sleep(flt.Length)
		wld.store.SetMode(standin.StoreUp)
	case KindRestore:
		wld.restoreStore(flt)
	case KindPublish:
		wld.publish(flt.Variant%2 == 0)
	case KindCrash:
		eng.replace(flt.Length, eng.stop)
	case KindDrain, KindVanish:
		eng.replace(flt.Length, func() {
			eng.drain(flt.Kind == KindVanish)
			time.Sleep(drainTime + time.Second + flt.Length)
			eng.stop()
		})
	case KindMode:
		eng.setMode(engineModes[flt.Variant%len(engineModes)])
		time.Sleep(flt.Length)
		eng.setMode(standin.EngineServes)
	default:
		wld.applyLink(flt, eng.link)
	}
}

// restoreModes are the ways in which the store is away before it returns from a copy.
var restoreModes = []standin.StoreMode{standin.StoreBusy, standin.StoreSilent, standin.StoreReset}

// restoreStore copies the store, takes it away for the second half of the fault, and brings it back from the copy. The operator then
// writes the newest version again, at once or within 2 s, and the entries of endpoints that have ended lapse again.
func (wld *world) restoreStore(flt Fault) {
	copied := wld.store.Copy()
	time.Sleep(flt.Length / 2)
	for _, dmn := range wld.daemons {
		dmn.addDisturbance(time.Now(), time.Now().Add(flt.Length/2+detectionTime))
	}
	wld.store.SetMode(restoreModes[flt.Variant%len(restoreModes)])
	time.Sleep(flt.Length / 2)
	wld.store.Restore(copied)
	wld.store.SetMode(standin.StoreUp)
	time.AfterFunc(entryLifetime, wld.removeEnded)
	time.Sleep(time.Duration(flt.Variant%3) * time.Second)
	wld.mutex.Lock()
	defer wld.mutex.Unlock()
	wld.store.Put("keyed.op", "config", wld.published)
}

// removeEnded removes the entries of endpoints that write none.
func (wld *world) removeEnded() {
	writing := map[string]bool{}
	for _, eng := range wld.engines {
		eng.mutex.Lock()
		writing[eng.current.ID] = !eng.silent
		eng.mutex.Unlock()
	}
	for _, id := range wld.store.Keys("keyed.servers") {
		if !writing[id] {
			wld.store.Put("keyed.servers", id, nil)
		}
	}
}

func (wld *world) applyLink(flt Fault, link *proxy) {
	switch flt.Kind {
	case KindLinkReset:
		link.resetAll()
	case KindLinkSilent:
		link.silence()
	case KindLinkDelay:
		link.set(linkDelays)
		time.Sleep(flt.Length)
		link.set(linkForwards)
	case KindLinkOneWay:
		link.set(linkOneWay)
		time.Sleep(flt.Length)
		link.set(linkForwards)
		link.resetAll()
	}
}

// replace ends the process and starts it again after a pause. It does nothing if another fault is already replacing the
// process.
func (dmn *daemon) replace(sig syscall.Signal, pause time.Duration) {
	if !dmn.replacing.TryLock() {
		return
	}
	defer dmn.replacing.Unlock()
	dmn.stop(sig)
	time.Sleep(pause)
	if err := dmn.start(); err != nil {
		dmn.addFinding("%s could not be started: %v", dmn.name, err)
	}
	if sig == syscall.SIGKILL {
		dmn.addDisturbance(time.Now().Add(-pause), time.Now().Add(detectionTime))
	}
}

// replace calls a function that ends the endpoint and starts another one after a pause. It does nothing if another
// fault is already replacing the endpoint.
func (eng *engine) replace(pause time.Duration, end func()) {
	if !eng.replacing.TryLock() {
		return
	}
	defer eng.replacing.Unlock()
	end()
	time.Sleep(pause + rand.N(time.Second))
	_ = eng.start()
}

// publish writes the next configuration version to the store, with or without the key two.
func (wld *world) publish(hasTwo bool) {
	wld.mutex.Lock()
	defer wld.mutex.Unlock()
	wld.version++
	wld.published = configuration(wld.version, hasTwo)
	wld.store.Put("keyed.op", "config", wld.published)
	wld.keys = append(wld.keys, keyVersion{at: time.Now(), hasTwo: hasTwo})
}

// configuration returns a configuration with a plain service, a service of engines and a route for each kind of
// request.
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
			route("long", "stream", streamService, false), route("short", "stream", streamService, true),
		},
		"services": []map[string]any{{keyName: "desk", "protocol": "h1"}, {keyName: streamService, "protocol": "h1", "engine": engine}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4096, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		panic(err)
	}
	return data
}
