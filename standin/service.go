package standin

import (
	"io"
	"net/http"
	"sync"
	"time"
)

// Service is a stand-in for a plain service; it counts how often each call ran, by method, path and body.
type Service struct {
	Name  string
	Delay time.Duration

	mutex sync.Mutex
	runs  map[string]int
}

// NewService returns a service with no counted calls.
func NewService() *Service {
	return &Service{Name: "service", runs: map[string]int{}}
}

// Handler returns the routes of the service.
func (svc *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /stats", svc.handleStats)
	mux.HandleFunc("/", svc.handleCall)
	return mux
}

func (svc *Service) handleCall(wri http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(wri, req.Body, maxEngineBodyBytes))
	if err != nil {
		http.Error(wri, err.Error(), http.StatusBadRequest)
		return
	}
	run := svc.count(req.Method + " " + req.URL.Path + " " + string(body))
	time.Sleep(svc.Delay)
	writeJSON(wri, http.StatusOK, map[string]any{"service": svc.Name, "path": req.URL.Path, "run": run})
}

func (svc *Service) count(key string) int {
	svc.mutex.Lock()
	defer svc.mutex.Unlock()
	svc.runs[key]++
	return svc.runs[key]
}

// handleStats returns how often each call ran.
func (svc *Service) handleStats(wri http.ResponseWriter, _ *http.Request) {
	svc.mutex.Lock()
	defer svc.mutex.Unlock()
	writeJSON(wri, http.StatusOK, svc.runs)
}
