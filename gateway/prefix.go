package gateway

import (
	"time"

	"papayacroft/catalog"
	"papayacroft/dispatch"
)

// promptParts returns the parts of a request's prompt for the choice of an engine, maxSharedParts at most: a caller may
// state thousands.
func promptParts(parts []Part) []dispatch.Part {
	parts = parts[:min(len(parts), maxSharedParts)]
	all := make([]dispatch.Part, 0, len(parts))
	for _, part := range parts {
		all = append(all, dispatch.Part(part))
	}
	return all
}

// beginStream counts a request that is about to be sent to an engine, less the part of its prompt that the engine is
// expected to hold, and begins to follow its stream. Work that was counted when the request got its turn in the queue is
// counted anew.
func (srv *Server) beginStream(rqs *request, edp *catalog.Endpoint, wrk dispatch.Work) (*dispatch.Flight, *dispatch.Watch) {
	engine := srv.Snapshots.Snapshot().Catalog.Services[rqs.service].Engine
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	if rqs.granted != nil {
		srv.Balancer.End(rqs.granted.Flight)
		rqs.granted = nil
	}
	now := srv.Now()
	rdg := srv.Balancer.BeginPrompt(now, edp, engine, &dispatch.Request{Service: rqs.service, Work: wrk, Parts: promptParts(rqs.Parts)})
	if rdg != nil {
		srv.Metrics.heldTokens.Add(float64(rdg.Held))
		srv.Metrics.promptTokens.Add(float64(wrk.Prefill))
		wrk.Prefill -= rdg.Held
	}
	wch := srv.Balancer.Watch(now, edp, wrk)
	flt := srv.Balancer.Begin(edp.ID, wrk)
	flt.Reading = rdg
	if wrk.Tokens > 0 && srv.OnWork != nil {
		srv.OnWork(edp.ID)
	}
	return flt, wch
}

// promptRead records the first event of a generation: its engine has read the prompt.
func (srv *Server) promptRead(now time.Time, flt *dispatch.Flight) {
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	srv.Balancer.Prefixes.Started(now, flt.Reading)
}
