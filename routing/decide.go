package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"papayacroft/inventory"
)

const (
	// failureBackoff is how long an endpoint gets no requests after a failure.
	failureBackoff = 2 * time.Second
	// modelListLifetime is how long the models in a load report are used. After that an engine may get requests for a
	// model that its report doesn't list, since placement may have loaded the model in the meantime.
	modelListLifetime = 5 * time.Second
	// DefaultSample is the number of usable engines that a decision compares.
	DefaultSample = 4
	// serviceSample is the number of usable endpoints of a plain service that a decision compares.
	serviceSample = 2
)

// Statuses provides the status of each endpoint and the expected course of running generations.
type Statuses interface {
	Status(name string) EndpointStatus
	// Survival returns the shares of generations, and of their memory, that are expected to remain at each horizon.
	Survival() Survival
}

// View holds the configuration and the state that a decision is based on.
type View struct {
	// Index is nil if no configuration is in force.
	Index    *inventory.Index
	Statuses Statuses
	// FailureDomain is the failure domain of the daemon.
	FailureDomain string
	// Sample is the number of usable engines to compare; 0 means DefaultSample.
	Sample int
	// Closed holds the engines that take no other request, because a request that is suspected of crashing engines
	// runs there alone.
	Closed map[string]bool
	// MemoryMargin is the part of an engine's memory that is never reserved; 0 means capacityMargin.
	MemoryMargin float64
	// Disabled holds the mechanisms that are switched off, for measurements of their effect.
	Disabled Mechanisms
}

// Mechanisms selects mechanisms of the scoring of engines: the check of projected memory, the token interval, the
// preference for the home of a prefix, and the correction of load reports by this daemon's own sends.
type Mechanisms struct {
	Memory, Interval, Prefix, Correction bool
}

// Decide chooses an endpoint for a request, or returns the code and the reason of the refusal.
func Decide(now time.Time, rnd *rand.Rand, vew View, req Request) Decision {
	if vew.Index == nil {
		return Decision{Code: CodeNoConfiguration, Reason: "no configuration is in force"}
	}
	pools := []string{req.Pool}
	if req.Model != "" {
		pools = vew.Index.ModelPools(req.Model)
		if len(pools) == 0 {
			return Decision{Code: CodeUnknownModel, Reason: fmt.Sprintf("model %q does not exist", req.Model)}
		}
	}
	sel := selection{now: now, view: vew, request: req, approvals: map[string]bool{}}
	sel.sample = serviceSample
	if req.Model != "" {
		sel.sample = DefaultSample
		sel.survival = vew.Statuses.Survival()
		if req.Level > 0 && req.Level < 1 {
			sel.deviations = math.Sqrt2 * math.Erfinv(2*req.Level-1)
		}
		if vew.Sample > 0 {
			sel.sample = vew.Sample
		}
	}
	for _, pool := range pools {
		sel.examine(rnd, vew.Index.PoolEndpoints(pool))
	}
	return sel.decision()
}

// selection is the state of one decision.
type selection struct {
	now      time.Time
	view     View
	request  Request
	sample   int
	survival Survival
	// deviations is the number of standard deviations above the mean at which the request's level lies.
	deviations float64
	// approvals caches, by owner, whether the owner has approved the request's team.
	approvals map[string]bool
	// approved is true if the owner of any examined endpoint has approved the team.
	approved bool
	// full is true if any engine was rejected only because it is full.
	full bool
	// home is the preferred engine for the request's prefix in the pool that is being examined.
	home      *inventory.Endpoint
	best      *inventory.Endpoint
	bestScore score
	compared  int
	rejected  []Rejection
}

// examine scores endpoints, the home of the prefix first and the others in random order, until sample usable ones have
// been compared.
func (sel *selection) examine(rnd *rand.Rand, endpoints []inventory.Endpoint) {
	order := make([]int32, len(endpoints))
	for i := range order {
		order[i] = int32(i)
	}
	if home := sel.findHome(endpoints); home >= 0 {
		sel.consider(sel.home)
		order[home] = order[0]
		order = order[1:]
	}
	for i := range order {
		if sel.compared >= sel.sample {
			return
		}
		j := i + rnd.IntN(len(order)-i)
		order[i], order[j] = order[j], order[i]
		sel.consider(&endpoints[order[i]])
	}
}

// consider rejects an endpoint with a reason, or compares its score with the best one so far.
func (sel *selection) consider(edp *inventory.Endpoint) {
	if reason := sel.ineligible(edp); reason != "" {
		sel.rejected = append(sel.rejected, Rejection{edp.Name, reason})
		return
	}
	sta := sel.view.Statuses.Status(edp.Name)
	if reason := unusable(sel.now, &sta, sel.request.Model); reason != "" {
		sel.rejected = append(sel.rejected, Rejection{edp.Name, reason})
		return
	}
	scr := score{inFlight: sta.InFlight}
	if sel.request.Model != "" {
		var reason string
		if scr, reason = sel.scoreEngine(edp, &sta); reason != "" {
			sel.full = true
			sel.rejected = append(sel.rejected, Rejection{edp.Name, reason})
			return
		}
	}
	sel.compared++
	if sel.best == nil || scr.below(sel.bestScore) {
		sel.best, sel.bestScore = edp, scr
	}
}

// ineligible returns why the endpoint must not serve the request, whatever its load; "" if it may.
func (sel *selection) ineligible(edp *inventory.Endpoint) string {
	approved, known := sel.approvals[edp.Owner]
	if !known {
		approved = sel.view.Index.Approved(sel.request.Team, *edp)
		sel.approvals[edp.Owner] = approved
	}
	switch {
	case !approved:
		return "owner has not approved the team"
	case edp.State == inventory.EndpointDraining:
		sel.approved = true
		return "draining by inventory"
	case sel.request.Excluded[edp.Name]:
		sel.approved = true
		return "failed this request before"
	}
	sel.approved = true
	if sel.view.Closed[edp.Name] {
		return "a suspect has the engine to itself"
	}
	return ""
}

func (sel *selection) decision() Decision {
	dec := Decision{Endpoint: sel.best, Rejections: sel.rejected}
	switch {
	case sel.best != nil && sel.request.Model == "":
		dec.Reason = fmt.Sprintf("fewest requests in flight (%d) of %d sampled endpoints", sel.bestScore.inFlight, sel.compared)
	case sel.best != nil:
		dec.Reason = sel.bestScore.reason(sel.compared)
	case !sel.approved && len(sel.rejected) > 0:
		dec.Code = CodeNotApproved
		dec.Reason = fmt.Sprintf("no owner of a suitable endpoint has approved team %s", sel.request.Team)
	case sel.full:
		dec.Code, dec.Full, dec.Reason = CodeNoEndpoint, true, "every usable engine is full"
	default:
		dec.Code, dec.Reason = CodeNoEndpoint, "no suitable endpoint takes work"
	}
	return dec
}

// unusable returns why an endpoint cannot take new requests at present; "" if it can.
func unusable(now time.Time, sta *EndpointStatus, model string) string {
	if !sta.LeavingSince.IsZero() {
		return "leaving since " + sta.LeavingSince.Format(time.RFC3339)
	}
	if !sta.FailedAt.IsZero() && now.Sub(sta.FailedAt) < failureBackoff {
		return "failed at " + sta.FailedAt.Format(time.RFC3339)
	}
	if model != "" && sta.Load.Models != nil && now.Sub(sta.ReportedAt) < modelListLifetime && !slices.Contains(sta.Load.Models, model) {
		return "model is not loaded"
	}
	return ""
}
