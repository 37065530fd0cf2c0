package dispatch

import "time"

// slownessLifetime is how long an endpoint's statement of how slow its machine is applies. The slow periods of machines
// last about 0.6 s, of which half is left on average.
const slownessLifetime = 300 * time.Millisecond

// ReportedSlowness records how long work currently takes on an endpoint's machine, as a multiple of the usual time; it
// belongs to the load report that was recorded just before.
func (bal *Balancer) ReportedSlowness(now time.Time, id string, slowness float64) {
	sta := bal.endpoint(id)
	if slowness != sta.slowness {
		sta.report.changedAt = now
	}
	sta.slowness, sta.slownessAt = slowness, now
}

// slowFactor returns the factor on the load of a plain endpoint. The score of engines does not use it: their streams last
// longer than the slow periods of their machines.
func (sta *endpoint) slowFactor(now time.Time) float64 {
	if sta.slowness <= 0 || now.Sub(sta.slownessAt) >= slownessLifetime {
		return 1
	}
	return sta.slowness
}

// hasReport reports whether the latest load report counts. The reports of endpoints that state how slow their machines are
// change many times a second; such a report that stays the same for reportLifetime is no longer true.
func (sta *endpoint) hasReport(now time.Time) bool {
	if now.Sub(sta.report.At) >= reportLifetime {
		return false
	}
	return sta.slowness <= 0 || now.Sub(sta.report.changedAt) < reportLifetime
}
