package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// plainBytes is the size of the answer to a plain call.
const plainBytes = 800

// arrival is one request that reached an endpoint.
type arrival struct {
	at time.Time
	// ran is true once the endpoint has begun to work on the request, whole once it has sent its complete answer.
	ran, whole atomic.Bool
}

// answerFunc answers a request; it records in the arrival whether the request ran and whether the answer was whole.
type answerFunc func(eng *engine, arr *arrival, wri http.ResponseWriter, req *http.Request)

// engine stands in for an endpoint. It answers requests for itself with its answer function and reports itself to the store.
type engine struct {
	world             *world
	id, service, zone string
	address           string
	slots             int
	born              int64
	// answer handles a request that has reached the endpoint.
	answer answerFunc

	running  atomic.Int64
	mutex    sync.Mutex
	arrivals map[string][]*arrival
}

// addEngine starts an endpoint and registers it.
func (wld *world) addEngine(id, service, zone string, slots int, answer answerFunc) error {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	eng := &engine{
		world: wld, id: id, service: service, zone: zone, slots: slots, born: time.Now().UnixMilli(), address: lis.Addr().String(),
		answer: answer, arrivals: map[string][]*arrival{},
	}
	wld.engines = append(wld.engines, eng)
	go func() { _ = http.Serve(lis, eng) }() //nolint:gosec // a stand-in without timeouts
	eng.register(0)
	go func() {
		for sequence := 1; ; sequence++ {
			time.Sleep(heartbeat)
			eng.register(sequence)
		}
	}()
	return nil
}

func (eng *engine) register(sequence int) {
	entry, _ := json.Marshal(map[string]any{
		"service": eng.service, "address": eng.address, "zone": eng.zone, "version": "v1", "slots": eng.slots, "state": "ready",
		"coldLeftMs": 0, "sequence": sequence, "born": eng.born, "phase": "prefill_decode",
		"models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
	})
	eng.world.store.Put("keyed.servers", eng.id, entry)
}

// ServeHTTP answers health checks, reports and requests.
func (eng *engine) ServeHTTP(wri http.ResponseWriter, req *http.Request) {
	hdr := wri.Header()
	hdr.Set("Instance-Id", eng.id)
	hdr.Set("Server-Load", fmt.Sprintf("%d,0,%d", eng.running.Load(), eng.slots))
	switch req.URL.Path {
	case "/health":
		return
	case "/-/report":
		hdr.Set("Content-Type", "application/json")
		_ = json.NewEncoder(wri).Encode(map[string]any{
			"phase": "prefill_decode", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false,
			"sequence": 0, "waiting": 0, "running": eng.running.Load(), "kvUsed": 0, "kvTotal": kvTokens, "handles": 0, "state": "ready",
			"born": eng.born, "runs": []any{},
		})
		return
	}
	id := req.Header.Get("Attempt-Id")
	if expected := req.Header.Get("Expect-Instance"); expected != "" && expected != eng.id {
		wri.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	arr := &arrival{at: time.Now()}
	eng.mutex.Lock()
	eng.arrivals[id] = append(eng.arrivals[id], arr)
	eng.mutex.Unlock()
	hdr.Set("Attempt-Id", id)
	eng.running.Add(1)
	eng.answer(eng, arr, wri, req)
	eng.running.Add(-1)
}

// refuseFull answers as an endpoint whose places and memory are taken.
func refuseFull(eng *engine, wri http.ResponseWriter) {
	wri.Header().Set("Server-Load", fmt.Sprintf("%d,%d,%d", eng.slots, eng.slots, eng.slots))
	wri.Header().Set("Not-Executed", "1")
	wri.WriteHeader(http.StatusServiceUnavailable)
}

// sign adds the signature of an answer.
func (eng *engine) sign(wri http.ResponseWriter) {
	wri.Header().Set("Response-Signature", "3e1b.07.5a2.600.0."+eng.id)
}

// stream sends events with the ids after the last one that the caller has, with a pause after each. It stops when the
// connection closes.
func (eng *engine) stream(arr *arrival, wri http.ResponseWriter, req *http.Request, events int, pause func(id int) time.Duration) {
	arr.ran.Store(true)
	eng.sign(wri)
	wri.Header().Set("Content-Type", "text/event-stream")
	wri.Header().Set("Weight-Versions", "1")
	wri.WriteHeader(http.StatusOK)
	last, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	ctl := http.NewResponseController(wri)
	for id := last + 1; id <= events; id++ {
		if _, err := fmt.Fprintf(wri, "id: %d\ndata: piece %d of %d\n\n", id, id, events); err != nil {
			return
		}
		if err := ctl.Flush(); err != nil {
			return
		}
		if id == events {
			break
		}
		select {
		case <-time.After(pause(id)):
		case <-req.Context().Done():
			return
		}
	}
	arr.whole.Store(true)
}

// answerPlain reads a request and answers it whole.
func answerPlain(eng *engine, arr *arrival, wri http.ResponseWriter, req *http.Request) {
	arr.ran.Store(true)
	_, _ = io.Copy(io.Discard, req.Body)
	eng.sign(wri)
	_, err := io.WriteString(wri, strings.Repeat("b", plainBytes))
	arr.whole.Store(err == nil)
}

// runs returns the number of requests that ran at endpoints.
func (wld *world) runs() (count int) {
	for _, eng := range wld.engines {
		eng.mutex.Lock()
		for _, arrivals := range eng.arrivals {
			for _, arr := range arrivals {
				if arr.ran.Load() {
					count++
				}
			}
		}
		eng.mutex.Unlock()
	}
	return count
}

// passedOn returns the requests with an id that reached endpoints.
func (wld *world) passedOn(id string) (all []string) {
	for _, eng := range wld.engines {
		eng.mutex.Lock()
		for _, arr := range eng.arrivals[id] {
			all = append(all, fmt.Sprintf("%s at %.3f (ran: %t, whole answer: %t)", eng.id, arr.at.Sub(wld.began).Seconds(), arr.ran.Load(), arr.whole.Load()))
		}
		eng.mutex.Unlock()
	}
	return all
}

// hasRun reports whether a request ran at an endpoint.
func (wld *world) hasRun(id string) bool {
	for _, eng := range wld.engines {
		eng.mutex.Lock()
		ran := slices.ContainsFunc(eng.arrivals[id], func(arr *arrival) bool { return arr.ran.Load() })
		eng.mutex.Unlock()
		if ran {
			return true
		}
	}
	return false
}
