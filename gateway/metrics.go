package gateway

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"papayacroft/control"
	"papayacroft/exchange"
)

const metricsNamespace = "papayacroft_gateway"

// firstEventBuckets have bounds at the targets of the deployments, 1.5 and 1.8 s.
var firstEventBuckets = []float64{0.1, 0.2, 0.4, 0.7, 1, 1.5, 1.8, 2.5, 5, 10}

// callBuckets have a bound at the target of plain calls, 0.1 s.
var callBuckets = []float64{0.01, 0.02, 0.04, 0.07, 0.1, 0.2, 0.4, 0.6, 1, 2}

// Metrics are the counters and histograms of a gateway.
type Metrics struct {
	registry *prometheus.Registry
	// requests counts finished requests by kind and status; status 0 is an answer that broke off or whose caller had
	// disconnected.
	requests *prometheus.CounterVec
	// sends counts requests sent to endpoints by outcome.
	sends *prometheus.CounterVec
	// moves counts attempts to copy generations off leaving engines by outcome.
	moves *prometheus.CounterVec
	// limits counts answers of endpoints that exceeded a limit, by the limit.
	limits *prometheus.CounterVec
	// heldTokens counts the prompt tokens that engines were expected to hold, promptTokens those that were sent, for
	// services for which held parts of prompts are weighed.
	heldTokens, promptTokens prometheus.Counter
	// unreadable counts figures of load reports that could not be read, by the figure.
	unreadable *prometheus.CounterVec
	// permits counts the requests for permits for cold endpoints that this daemon answered, by outcome.
	permits *prometheus.CounterVec
	calls, firstEvents,
	pauses prometheus.Histogram
	speeds *speedMetrics
	queue  queueMetrics
}

// NewMetrics returns metrics in a new registry.
func NewMetrics() *Metrics {
	met := &Metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metricsNamespace, Name: "requests_total", Help: "Finished requests by kind and status.",
		}, []string{"kind", "status"}),
		sends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metricsNamespace, Name: "sends_total", Help: "Sends to endpoints by outcome.",
		}, []string{fieldOutcome}),
		moves: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metricsNamespace, Name: "moves_total", Help: "Copies of generations off leaving engines by outcome.",
		}, []string{fieldOutcome}),
		limits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metricsNamespace, Name: "answer_limits_total", Help: "Answers of endpoints that exceeded a limit, by the limit.",
		}, []string{"limit"}),
		heldTokens: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: metricsNamespace, Name: "prompt_tokens_held_total", Help: "Prompt tokens sent to engines that were expected to hold them.",
		}),
		promptTokens: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: metricsNamespace, Name: "prompt_tokens_sent_total", Help: "Prompt tokens sent to engines for which held parts of prompts are weighed.",
		}),
		unreadable: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metricsNamespace, Name: "load_figures_unreadable_total", Help: "Figures of endpoints' load reports that could not be read, by the figure.",
		}, []string{"figure"}),
		permits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metricsNamespace, Name: "permits_total", Help: "Requests for permits for cold endpoints that this daemon answered, by outcome.",
		}, []string{fieldOutcome}),
		calls: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: metricsNamespace, Name: "call_seconds", Help: "Time to the answer of plain calls.", Buckets: callBuckets,
		}),
		firstEvents: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: metricsNamespace, Name: "first_event_seconds", Help: "Time to the first event of streams.", Buckets: firstEventBuckets,
		}),
		pauses: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: metricsNamespace, Name: "longest_pause_seconds", Help: "Longest pause between two events of a complete stream.", Buckets: callBuckets,
		}),
	}
	met.queue = newQueueMetrics(met.registry)
	met.registry.MustRegister(met.requests, met.sends, met.moves, met.limits, met.heldTokens, met.promptTokens, met.unreadable, met.permits,
		met.calls, met.firstEvents, met.pauses,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	met.speeds = newSpeedMetrics(met.registry)
	return met
}

// registerGauges registers gauges of the daemon's current state.
func (met *Metrics) registerGauges(dmn *Daemon) {
	gauge := func(name, help string, read func(snp *control.Snapshot) float64) {
		met.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: metricsNamespace, Name: name, Help: help},
			func() float64 { return read(dmn.Control.Snapshot()) }))
	}
	gauge("configuration_version", "Version of the configuration in force, 0 without one.", func(snp *control.Snapshot) float64 {
		return float64(snp.Version())
	})
	gauge("store_age_seconds", "Time since any daemon's last read of the store that this one knows of.", func(snp *control.Snapshot) float64 {
		return time.Since(snp.StoreReadAt).Seconds()
	})
	gauge("store_era", "Era that the store states, 0 if it states none.", func(snp *control.Snapshot) float64 { return float64(snp.StoreEra) })
	gauge("store_restores_total", "Changes of the store's era since the start.", func(snp *control.Snapshot) float64 { return float64(snp.StoreRestores) })
	met.registerTopics(dmn.Exchange.Feeds)
	gauge("endpoints", "Endpoints known.", func(snp *control.Snapshot) float64 { return float64(len(snp.Fleet.Endpoints)) })
	gauge("endpoints_leaving", "Endpoints known to leave.", func(snp *control.Snapshot) float64 { return float64(len(snp.Fleet.Leaving)) })
	gauge("evacuated_failure_domains", "Failure domains to which no request is sent.", func(snp *control.Snapshot) float64 {
		return float64(snp.Fleet.Evacuations.Count())
	})
	gauge("endpoints_cold", "Endpoints that are cold, of services with a rate for those.", func(snp *control.Snapshot) float64 {
		return float64(dmn.Server.coldCount(snp))
	})
	gauge("endpoints_paused", "Endpoints that have asked this daemon for a pause.", func(*control.Snapshot) float64 {
		return float64(dmn.Server.pausedCount())
	})
	gauge("peers_answering", "Other daemons that answer.", func(*control.Snapshot) float64 { return float64(len(dmn.Exchange.Answering())) })
	gauge("requests_in_flight", "Requests being served.", func(*control.Snapshot) float64 { return float64(dmn.Server.InFlight()) })
	gauge("streams_waiting", "Streams that wait for room at an engine.", func(*control.Snapshot) float64 { return float64(dmn.Server.waiting.Load()) })
	met.queue.register(dmn.Server)
	gauge("oldest_report_seconds", "Age of the oldest report of an endpoint's load that counts in decisions.", func(*control.Snapshot) float64 {
		report, _ := dmn.Server.ages()
		return report.Seconds()
	})
	gauge("oldest_peer_usage_seconds", "Age of the oldest word of a peer's load that counts in decisions.", func(*control.Snapshot) float64 {
		_, usage := dmn.Server.ages()
		return usage.Seconds()
	})
	gauge("repeats_left", "Repeats left in the window, of the service with the fewest.", func(*control.Snapshot) float64 { return dmn.Server.repeatsLeft() })
	gauge("condemned_parts", "Parts of prompts whose requests are refused because they crash endpoints.", func(*control.Snapshot) float64 {
		dmn.Server.mutex.Lock()
		defer dmn.Server.mutex.Unlock()
		return float64(dmn.Server.Blame.CondemnedCount())
	})
	gauge("prefix_entries", "Entries of the record of parts of prompts that engines hold.", func(*control.Snapshot) float64 {
		dmn.Server.mutex.Lock()
		defer dmn.Server.mutex.Unlock()
		return float64(dmn.Server.Balancer.Prefixes.Len())
	})
	gauge("endpoints_limited", "Endpoints that name a limit of requests a second.", func(*control.Snapshot) float64 {
		dmn.Server.mutex.Lock()
		defer dmn.Server.mutex.Unlock()
		return float64(dmn.Server.Throttle.Limited(dmn.Server.Now()))
	})
	met.registry.MustRegister(newTokenTimes(dmn.Server))
	gauge("draining", "1 from the signal to stop on.", func(*control.Snapshot) float64 {
		if dmn.Server.Draining() {
			return 1
		}
		return 0
	})
}

// registerTopics registers counters of the parts of the store's topics that peers shared.
func (met *Metrics) registerTopics(feeds map[string]*exchange.Feed) {
	for topic, fed := range feeds {
		counts := fed.Counts()
		for outcome, count := range map[string]*atomic.Int64{
			"applied": &counts.Applied, "known": &counts.Known, "ahead": &counts.Ahead, "outdated": &counts.Outdated,
		} {
			met.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
				Namespace: metricsNamespace, Name: "topic_parts_total", Help: "Parts of the store's topics that peers shared, by topic and outcome.",
				ConstLabels: prometheus.Labels{"topic": topic, fieldOutcome: outcome},
			}, func() float64 { return float64(count.Load()) }))
		}
	}
}

// ages returns the ages of the oldest load report of an endpoint and of the oldest usage sent by a peer that decisions
// use.
func (srv *Server) ages() (report, usage time.Duration) {
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	return srv.Balancer.Ages(srv.Now())
}

// repeatsLeft returns the retries left of the service with the fewest; before the first request, the fixed allowance.
func (srv *Server) repeatsLeft() float64 {
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	fewest := srv.Budget.Extra / float64(max(1, srv.Budget.Daemons))
	for _, left := range srv.Budget.Left(srv.Now()) {
		fewest = min(fewest, left)
	}
	return fewest
}

// Handler returns the handler that serves the metrics.
func (met *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(met.registry, promhttp.HandlerOpts{})
}
