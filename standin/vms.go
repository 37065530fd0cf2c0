package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// VM is one entry of the list of VMs.
type VM struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain"`
	State         string `json:"state"`
}

// VMs is a list of VMs in which changes become visible after a delay.
type VMs struct {
	// Lag is the time from a change until it is visible.
	Lag time.Duration

	mutex sync.Mutex
	// visible is the list that readers get.
	visible []VM
}

// NewVMs returns a list with the given entries.
func NewVMs(vms []VM) *VMs {
	return &VMs{visible: vms}
}

// Handler returns the routes of the list.
func (lst *VMs) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /vms", lst.handleGet)
	mux.HandleFunc("PUT /vms", lst.handlePut)
	return mux
}

func (lst *VMs) handleGet(wri http.ResponseWriter, _ *http.Request) {
	lst.mutex.Lock()
	defer lst.mutex.Unlock()
	writeJSON(wri, http.StatusOK, lst.visible)
}

// handlePut replaces the list after the lag.
func (lst *VMs) handlePut(wri http.ResponseWriter, req *http.Request) {
	var vms []VM
	if err := json.NewDecoder(req.Body).Decode(&vms); err != nil {
		http.Error(wri, err.Error(), http.StatusBadRequest)
		return
	}
	time.AfterFunc(lst.Lag, func() {
		lst.mutex.Lock()
		defer lst.mutex.Unlock()
		lst.visible = vms
	})
}

// Weights is a weight store that grants a limited number of weight loads per second.
type Weights struct {
	limiter *rate.Limiter
	mutex   sync.Mutex
	down    bool
	granted int64
	refused int64
}

// NewWeights returns a weight store that grants the given number of loads per second, with bursts of up to one
// second's loads.
func NewWeights(loadsPerSecond int) *Weights {
	return &Weights{limiter: rate.NewLimiter(rate.Limit(loadsPerSecond), loadsPerSecond)}
}

// Handler returns the routes of the weight store.
func (wgt *Weights) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /loads", wgt.handleLoad)
	mux.HandleFunc("POST /faults", wgt.handleFaults)
	mux.HandleFunc("GET /stats", wgt.handleStats)
	return mux
}

func (wgt *Weights) handleLoad(wri http.ResponseWriter, _ *http.Request) {
	wgt.mutex.Lock()
	defer wgt.mutex.Unlock()
	switch {
	case wgt.down:
		http.Error(wri, "weight store is down", http.StatusServiceUnavailable)
	case !wgt.limiter.Allow():
		wgt.refused++
		http.Error(wri, "too many loads", http.StatusTooManyRequests)
	default:
		wgt.granted++
	}
}

func (wgt *Weights) handleFaults(wri http.ResponseWriter, req *http.Request) {
	var flt struct {
		Down bool `json:"down"`
	}
	if err := json.NewDecoder(req.Body).Decode(&flt); err != nil {
		http.Error(wri, err.Error(), http.StatusBadRequest)
		return
	}
	wgt.mutex.Lock()
	defer wgt.mutex.Unlock()
	wgt.down = flt.Down
}

func (wgt *Weights) handleStats(wri http.ResponseWriter, _ *http.Request) {
	wgt.mutex.Lock()
	defer wgt.mutex.Unlock()
	writeJSON(wri, http.StatusOK, map[string]int64{"granted": wgt.granted, "refused": wgt.refused})
}
