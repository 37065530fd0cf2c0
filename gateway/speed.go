package gateway

import (
	"time"

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

// outputLeft returns the number of tokens that the generation is expected to generate from now on.
func (one *run) outputLeft() int {
	one.mutex.Lock()
	events := one.events
	one.mutex.Unlock()
	had := one.server.Snapshots.Snapshot().Catalog.Services[one.service].Engine.EventTokens(events)
	return max(one.work.Output-had, int(minOutputLeft*float64(had)))
}
