package daemon

import (
	"runtime/debug"
	"time"

	"papayacroft/intake"
)

// buildGate creates the gate of the clients' connections.
func (dmn *Daemon) buildGate() {
	set := dmn.Settings
	if set.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(set.MemoryMB) * (1 << 20)))
	}
	dmn.plan = intake.NewPlan(set.MemoryMB, intake.Descriptors()).With(set.Intake.MemoryMB, set.Intake.Connections, set.Intake.PeerConnections)
	dmn.gate = intake.NewGate(dmn.plan.Memory)
	dmn.gate.Logger = dmn.Logger
	dmn.gate.SetLimits(intake.Limits{
		HeadBytes: maxServerHeaderBytes, HeadTime: headerTimeout, IdleTime: idleTimeout,
		BodyStall: time.Duration(set.Intake.BodyStall), ReaderStall: time.Duration(set.Intake.ReaderStall),
	})
}

// buildGateMetrics registers the metrics of the gate.
func (dmn *Daemon) buildGateMetrics() {
	limits := dmn.metrics.CounterVec("client_limits_total", "Connections and requests of clients that exceeded a limit, by the limit.", "limit")
	dmn.gate.OnLimit = func(limit string) { limits.WithLabelValues(limit).Inc() }
	dmn.metrics.Gauge("request_memory_bytes", "Memory reserved for requests and answers.", func() float64 {
		memory, _ := dmn.gate.Used()
		return float64(memory)
	})
	dmn.metrics.Gauge("connections_open", "Connections of callers, peers and operators.", func() float64 {
		_, conns := dmn.gate.Used()
		return float64(conns)
	})
}
