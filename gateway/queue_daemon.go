package gateway

import (
	"strconv"
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"papayacroft/scheduler"
)

// waitBuckets have bounds near the pass over the queue, and at the targets of streams and their parts.
var waitBuckets = []float64{0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 4, 8, 16}

// queueMetrics count the requests that wait for capacity.
type queueMetrics struct {
	registry *prometheus.Registry
	// outcomes counts requests by what ended their wait.
	outcomes *prometheus.CounterVec
	waits    prometheus.Histogram
	waiting  *prometheus.Desc
}

func newQueueMetrics(registry *prometheus.Registry) queueMetrics {
	met := queueMetrics{
		registry: registry,
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metricsNamespace, Name: "queue_outcomes_total", Help: "Requests that asked the queue for an endpoint, by outcome.",
		}, []string{fieldOutcome}),
		waits: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: metricsNamespace, Name: "queue_wait_seconds", Help: "Time in the queue of requests that waited.", Buckets: waitBuckets,
		}),
		waiting: prometheus.NewDesc(metricsNamespace+"_queue_waiting", "Requests in the queue by priority.", []string{fieldPriorityLogged}, nil),
	}
	registry.MustRegister(met.outcomes, met.waits)
	return met
}

// register adds the gauge of waiting requests.
func (met *queueMetrics) register(srv *Server) {
	if srv.Scheduler != nil {
		met.registry.MustRegister(&waitingGauge{server: srv, desc: met.waiting, seen: map[int]bool{}})
	}
}

// waitingGauge collects the number of waiting requests by priority. A priority that was seen once is reported as 0 later.
type waitingGauge struct {
	server *Server
	desc   *prometheus.Desc
	mutex  sync.Mutex
	seen   map[int]bool
}

// Describe sends the gauge's description.
func (gau *waitingGauge) Describe(out chan<- *prometheus.Desc) {
	out <- gau.desc
}

// Collect sends the current values.
func (gau *waitingGauge) Collect(out chan<- prometheus.Metric) {
	srv := gau.server
	srv.mutex.Lock()
	counts := srv.Scheduler.Counts(srv.Now())
	srv.mutex.Unlock()
	gau.mutex.Lock()
	defer gau.mutex.Unlock()
	for priority := range counts {
		gau.seen[priority] = true
	}
	for priority := range gau.seen {
		out <- prometheus.MustNewConstMetric(gau.desc, prometheus.GaugeValue, float64(counts[priority]), strconv.Itoa(priority))
	}
}

// buildQueue sets up the queue if the settings enable it.
func (dmn *Daemon) buildQueue() {
	if !dmn.Settings.Queue.Enabled {
		return
	}
	srv := dmn.Server
	srv.Balancer.Serial = true
	srv.Scheduler = scheduler.New(srv.Balancer)
	srv.Scheduler.Name = dmn.Settings.Name
	srv.Sharing = func() Sharing {
		users, shares := dmn.Exchange.Users()
		return Sharing{Users: users, Shares: shares}
	}
	dmn.Exchange.Backlog, srv.OnWaiting = srv, dmn.Exchange.WaitingChanged
	dmn.Control.OnEndpoints = srv.WakeQueue
}

// forgetWaiting drops expired reports of peers; the caller holds the mutex.
func (srv *Server) forgetWaiting() {
	if srv.Scheduler != nil {
		srv.Scheduler.Waiting.Forget(srv.Now())
	}
}
