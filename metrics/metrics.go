// Package metrics defines the daemon's Prometheus metrics.
package metrics

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const namespace = "papayacroft"

// firstTokenBuckets have a bound at the target of 1.4 s, so that the share of requests within it can be read exactly.
var firstTokenBuckets = []float64{0.025, 0.05, 0.1, 0.2, 0.4, 0.7, 1, 1.4, 2, 3, 5, 10, 30, 60, 300}

// tokenIntervalBuckets have a bound at the target of 28 ms, for the same reason.
var tokenIntervalBuckets = []float64{0.002, 0.005, 0.01, 0.015, 0.02, 0.028, 0.04, 0.06, 0.1, 0.25, 0.5, 1, 3, 10}

// Metrics is one daemon's set of metrics.
type Metrics struct {
	Registry *prometheus.Registry
	// Requests counts finished requests by class, outcome and refusal code.
	Requests *prometheus.CounterVec
	// InFlight is the number of requests of callers that are being served.
	InFlight prometheus.Gauge
	// Tokens counts tokens delivered to callers by model.
	Tokens *prometheus.CounterVec
	// FirstToken observes the time from a request to its first token by class.
	FirstToken *prometheus.HistogramVec
	// TokenInterval observes the time between two consecutive tokens by class.
	TokenInterval *prometheus.HistogramVec
	// Attaches counts connections that were opened to generations already running, such as after an interruption.
	Attaches prometheus.Counter
	// Restarts counts generations that were started again on another engine.
	Restarts prometheus.Counter
	// Retries counts retries, each of which used up a part of a retry budget.
	Retries prometheus.Counter
}

// NewMetrics returns metrics in a new registry.
func NewMetrics() *Metrics {
	met := &Metrics{
		Registry:      prometheus.NewRegistry(),
		Requests:      newCounterVec("requests_total", "Finished requests.", "class", "outcome", "code"),
		Tokens:        newCounterVec("tokens_total", "Tokens delivered to callers.", "model"),
		FirstToken:    newHistogramVec("first_token_seconds", "Time from request to first token.", firstTokenBuckets),
		TokenInterval: newHistogramVec("token_interval_seconds", "Time between two tokens.", tokenIntervalBuckets),
		InFlight:      prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "requests_in_flight", Help: "Callers' requests being served."}),
		Attaches:      newCounter("attaches_total", "New connections to running generations."),
		Restarts:      newCounter("restarts_total", "Generations started again on another engine."),
		Retries:       newCounter("retries_total", "Retries taken from the budgets."),
	}
	met.Registry.MustRegister(met.Requests, met.Tokens, met.FirstToken, met.TokenInterval, met.InFlight, met.Attaches, met.Restarts, met.Retries,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return met
}

// Gauge registers a gauge whose value is read from a function at each scrape.
func (met *Metrics) Gauge(name, help string, read func() float64) {
	met.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, read))
}

// Counter registers a counter whose value is read from a function at each scrape.
func (met *Metrics) Counter(name, help string, read func() float64) {
	met.Registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, read))
}

// CounterVec registers a counter with labels.
func (met *Metrics) CounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	vec := newCounterVec(name, help, labels...)
	met.Registry.MustRegister(vec)
	return vec
}

// Handler serves the metrics.
func (met *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(met.Registry, promhttp.HandlerOpts{})
}

func newCounter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
}

func newCounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func newHistogramVec(name, help string, buckets []float64) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets}, []string{"class"})
}
