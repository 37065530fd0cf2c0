package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"papayacroft/catalog"
	"papayacroft/dispatch"
)

const (
	// slowWrite is the time to write events to the caller above which the next interval between events is not taken as a
	// sample of the engine's speed, as this daemon did not read meanwhile. It is the time of about one event.
	slowWrite = 40 * time.Millisecond
	// minOutputLeft is the expected number of events that a generation has left as a share of the events so far, once it
	// has had more than expected: it may go on for some time.
	minOutputLeft = 0.2
)

// learnSlowness records how slow an endpoint's machine is, if the endpoint states that; the caller holds the mutex.
func (srv *Server) learnSlowness(now time.Time, id string, load *Load) {
	if load.Slowness <= 0 {
		return
	}
	srv.Balancer.ReportedSlowness(now, id, load.Slowness)
	if edp, ok := srv.Snapshots.Snapshot().Fleet.Endpoints[id]; ok && !srv.Balancer.Speeds.Enabled(edp.Service) {
		srv.Balancer.Speeds.SetStated(edp.Service)
		srv.Balancer.Prefixes.EnableService(edp.Service)
		srv.Logger.WithField(fieldEndpoint, id).WithField("service", edp.Service).Info("speeds of the service's engines are learnt: an endpoint states how slow its machine is")
	}
}

// watch begins to follow a stream that is about to be sent to an engine.
func (srv *Server) watch(edp *catalog.Endpoint, wrk dispatch.Work) *dispatch.Watch {
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	return srv.Balancer.Watch(srv.Now(), edp, wrk)
}

// sample records the arrival of events for the speed of the engine. Events of a generation that is being moved say
// little: its memory is being copied.
func (one *run) sample(now time.Time, events int) {
	if one.watch == nil {
		return
	}
	moving := one.isMoving()
	// Without a stated number of tokens, an event counts as one.
	tokens := max(events, one.server.Snapshots.Snapshot().Catalog.Services[one.service].Engine.EventTokens(events))
	one.server.mutex.Lock()
	defer one.server.mutex.Unlock()
	if moving {
		one.watch.Skip()
	}
	one.server.Balancer.Observe(now, one.watch, events, tokens, one.route.PauseTarget)
}

// skipSlowWrite keeps the time for which the caller did not read out of the samples of the engine's speed.
func (one *run) skipSlowWrite(began time.Time) {
	if one.watch != nil && one.server.Now().Sub(began) > slowWrite {
		one.watch.Skip()
	}
}

// outputSoFar returns the number of tokens that the generation has generated.
func (one *run) outputSoFar() int {
	one.mutex.Lock()
	events := one.events
	one.mutex.Unlock()
	return one.server.Snapshots.Snapshot().Catalog.Services[one.service].Engine.EventTokens(events)
}

// outputLeft returns the number of tokens that the generation is expected to generate from now on.
func (one *run) outputLeft() int {
	had := one.outputSoFar()
	return max(one.work.Output-had, int(minOutputLeft*float64(had)))
}

// leaveToEnd returns the generations at an engine that leaves without those that end there before. Their moves are undone:
// a copy would only pause them and take time on the engine's link.
func (srv *Server) leaveToEnd(source *catalog.Endpoint, rpt *EngineReport, runs []*run) []*run {
	if !rpt.Leaves || rpt.LeavesIn <= 0 {
		return runs
	}
	var moved []*run
	for _, one := range runs {
		had := one.outputSoFar()
		srv.mutex.Lock()
		// A generation beyond its stated maximum may go on for any time.
		ends := had < one.MaxTokens && srv.Balancer.EndsBefore(srv.Now(), source, one.MaxTokens-had, rpt.LeavesIn)
		srv.mutex.Unlock()
		if !ends {
			moved = append(moved, one)
			continue
		}
		one.logger.WithFields(logrus.Fields{
			fieldEndpoint: source.ID, "leavesIn": rpt.LeavesIn, "maxTokens": one.MaxTokens, "tokens": had,
		}).Info("generation is not moved: it ends before its engine leaves")
		one.endMove()
	}
	return moved
}

// forecastFields returns the log fields of what a stream is expected to meet at the chosen engine, and of the second-best
// one; none if the speeds of the service's engines are not learnt.
func forecastFields(cho *dispatch.Choice) logrus.Fields {
	fct := &cho.Forecast
	if fct.Run <= 0 {
		return nil
	}
	speed := "mean"
	if fct.Learnt {
		speed = "learnt"
	}
	return logrus.Fields{
		"expectedFirst": fct.First, "expectedRun": fct.Run, "expectedPause": fct.Pause, "expectedBeside": fct.Beside,
		"expectedLeaves": fct.Leaves, "speed": speed, "second": cho.Second, "secondScore": cho.SecondScore,
	}
}

// compareForecast records how long a complete stream took in comparison with what was expected, for metrics, and returns
// the log fields. A stream that another engine has continued is not compared.
func (one *run) compareForecast() logrus.Fields {
	fct := &one.forecast
	if fct.Run <= 0 || one.firstAt.IsZero() {
		return nil
	}
	first, took := one.firstAt.Sub(one.sentAt), one.lastAt.Sub(one.firstAt)
	if !one.resumed {
		if fct.First > 0 {
			one.server.Metrics.speeds.first.Observe(first.Seconds() / fct.First.Seconds())
		}
		one.server.Metrics.speeds.run.Observe(took.Seconds() / fct.Run.Seconds())
	}
	return logrus.Fields{"expectedFirst": fct.First, "sentToFirst": first, "expectedRun": fct.Run, "run": took}
}

// ratioBuckets have narrow bounds around 1, where the expected and the actual time are equal.
var ratioBuckets = []float64{0.1, 0.25, 0.5, 0.7, 0.85, 1, 1.2, 1.5, 2, 3, 5, 10}

// speedMetrics are the histograms of the ratio of actual to expected times of streams.
type speedMetrics struct {
	first, run prometheus.Histogram
}

// newSpeedMetrics returns metrics that are registered.
func newSpeedMetrics(reg *prometheus.Registry) *speedMetrics {
	met := &speedMetrics{
		first: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: metricsNamespace, Name: "first_event_forecast_ratio", Buckets: ratioBuckets,
			Help: "Time from the send to the first event, as a multiple of the expected time.",
		}),
		run: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: metricsNamespace, Name: "run_forecast_ratio", Buckets: ratioBuckets,
			Help: "Time from the first event to the last one, as a multiple of the expected time.",
		}),
	}
	reg.MustRegister(met.first, met.run)
	return met
}

// tokenTimes exports the time per output token of the engines that are used, by service.
type tokenTimes struct {
	server *Server
	desc   *prometheus.Desc
}

func newTokenTimes(srv *Server) *tokenTimes {
	name := prometheus.BuildFQName(metricsNamespace, "", "engine_token_seconds")
	return &tokenTimes{server: srv, desc: prometheus.NewDesc(name, "Learnt time per output token over the engines of a service.", []string{"service", "of"}, nil)}
}

// Describe sends the description of the metric.
func (tkt *tokenTimes) Describe(out chan<- *prometheus.Desc) {
	out <- tkt.desc
}

// Collect sends the minimum, the mean and the maximum for each service with a fresh estimate.
func (tkt *tokenTimes) Collect(out chan<- prometheus.Metric) {
	tkt.server.mutex.Lock()
	defer tkt.server.mutex.Unlock()
	for service, rng := range tkt.server.Balancer.Speeds.Ranges(tkt.server.Now()) {
		for of, seconds := range map[string]float64{"min": rng.Min, "mean": rng.Mean, "max": rng.Max} {
			out <- prometheus.MustNewConstMetric(tkt.desc, prometheus.GaugeValue, seconds, service, of)
		}
	}
}
