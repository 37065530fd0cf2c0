package daemon

import (
	"time"

	"papayacroft/membership"
	"papayacroft/metrics"
)

// buildMetrics registers the metrics that are computed from the newest snapshot and the traffic counters when scraped.
func (dmn *Daemon) buildMetrics() {
	dmn.metrics = metrics.NewMetrics()
	dmn.buildGateMetrics()
	dmn.metrics.Gauge("configuration_version", "Version of the configuration in force; 0 without one.", func() float64 {
		return float64(dmn.loop.Snapshot().Version)
	})
	dmn.metrics.Gauge("configuration_in_force_timestamp_seconds", "Time since which the version is in force.", func() float64 {
		return unixSeconds(dmn.loop.Snapshot().InForceSince)
	})
	dmn.metrics.Gauge("log_read_timestamp_seconds", "Time of the last successful read of the log.", func() float64 {
		return unixSeconds(dmn.loop.Snapshot().LogReadAt)
	})
	dmn.metrics.Gauge("draining", "1 while the daemon drains.", func() float64 {
		if dmn.loop.Snapshot().DrainingSince.IsZero() {
			return 0
		}
		return 1
	})
	dmn.metrics.Gauge("members_live", "Live daemons that this one knows, itself included.", func() float64 {
		live := 0
		for _, mem := range dmn.loop.Snapshot().Members {
			if mem.State == membership.StateLive {
				live++
			}
		}
		return float64(live)
	})
	dmn.metrics.Counter("peer_sent_bytes_total", "Bytes sent to other daemons.", func() float64 {
		return float64(dmn.gossipTraffic().SentBytes)
	})
	dmn.metrics.Counter("peer_received_bytes_total", "Bytes received from other daemons.", func() float64 {
		return float64(dmn.gossipTraffic().ReceivedBytes)
	})
	dmn.metrics.Counter("exchanges_total", "Exchanges with other members.", func() float64 {
		return float64(dmn.gossipTraffic().Exchanges)
	})
	dmn.metrics.Counter("exchange_failures_total", "Exchanges without an answer.", func() float64 {
		return float64(dmn.gossipTraffic().Failures)
	})
}

func unixSeconds(tim time.Time) float64 {
	if tim.IsZero() {
		return 0
	}
	return float64(tim.UnixMilli()) / 1000
}
