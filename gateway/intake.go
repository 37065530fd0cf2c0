package gateway

import (
	"errors"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"papayacroft/catalog"
	"papayacroft/control"
	"papayacroft/intake"
	"papayacroft/settings"
)

// memoryRetry is the Retry-After of requests for which there is no memory: large requests are read or dropped within a
// second or so.
const memoryRetry = time.Second

// refuseBody returns the refusal of a request whose body was not read. The connection ends, as what is left of the body
// would have to be read before the next request.
func refuseBody(wri http.ResponseWriter, err error, limit int64) *refusal {
	wri.Header().Set("Connection", "close")
	switch {
	case errors.Is(err, intake.ErrBodySize):
		return invalid(http.StatusRequestEntityTooLarge, "the body is larger than %d bytes", limit)
	case errors.Is(err, intake.ErrMemory):
		return notRun(memoryRetry, "%v", err)
	case errors.Is(err, intake.ErrBodyTime):
		return invalid(http.StatusRequestTimeout, "%v", err)
	}
	return invalid(http.StatusBadRequest, "the body could not be read: %v", err)
}

// buildGate creates the gate of the clients' connections and returns the plan of these.
func (dmn *Daemon) buildGate() intake.Plan {
	pla := planOf(dmn.Settings)
	gat := intake.NewGate(pla.Memory)
	gat.Logger = dmn.Logger
	gat.SetLimits(stallsOf(dmn.Settings))
	dmn.Server.Metrics.registerGate(gat)
	dmn.Server.mutex.Lock()
	defer dmn.Server.mutex.Unlock()
	dmn.gate, dmn.Server.buffers.gate = gat, gat
	return pla
}

func planOf(set *settings.Gateway) intake.Plan {
	return intake.NewPlan(set.MemoryMB, intake.Descriptors()).With(set.Intake.MemoryMB, set.Intake.Connections, set.Intake.PeerConnections)
}

func stallsOf(set *settings.Gateway) intake.Limits {
	return intake.Limits{BodyStall: time.Duration(set.Intake.BodyStall), ReaderStall: time.Duration(set.Intake.ReaderStall)}
}

// applyLimits sets the limits of a configuration.
func (dmn *Daemon) applyLimits(snp *control.Snapshot) {
	if snp.Catalog == nil {
		return
	}
	lim := snp.Catalog.Limits
	def := intake.DefaultLimits()
	limits := intake.Limits{HeadBytes: limitOr(lim.MaxHeaderBytes, def.HeadBytes), HeadTime: limitOr(lim.HeaderTimeout, def.HeadTime), IdleTime: def.IdleTime}
	// With 0, each connection ends with its first answer.
	if lim.IdleTimeout > 0 {
		limits.IdleTime = lim.IdleTimeout
	}
	dmn.gate.SetLimits(limits)
}

// limitOr returns a limit of the configuration, or the default if it states none. The gate takes 0 for unset, so 0 becomes the
// smallest limit, which no request meets.
func limitOr[T int | time.Duration](limit, unstated T) T {
	if limit == catalog.Unstated {
		return unstated
	}
	return max(1, limit)
}

// registerGate registers the metrics of a gate.
func (met *Metrics) registerGate(gat *intake.Gate) {
	limits := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: metricsNamespace, Name: "client_limits_total", Help: "Connections and requests of clients that exceeded a limit, by the limit.",
	}, []string{"limit"})
	gat.OnLimit = func(limit string) { limits.WithLabelValues(limit).Inc() }
	met.registry.MustRegister(limits,
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: metricsNamespace, Name: "request_memory_bytes", Help: "Memory reserved for requests and answers."},
			func() float64 { memory, _ := gat.Used(); return float64(memory) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: metricsNamespace, Name: "connections_open", Help: "Connections of callers, peers and checks."},
			func() float64 { _, conns := gat.Used(); return float64(conns) }))
}
