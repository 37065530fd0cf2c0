package routing

import (
	"fmt"
	"math"
	"time"

	"papayacroft/inventory"
)

const (
	// TargetInterval is the time between tokens that callers are promised for 95 in 100 requests.
	TargetInterval = 28 * time.Millisecond
	// TargetFirst is the time to the first token that callers are promised for 95 in 100 requests.
	TargetFirst = 1400 * time.Millisecond
	// maxInterval is the mean token interval above which an engine gets no new requests.
	// The difference to TargetInterval is left for pauses by prefills.
	maxInterval = 25 * time.Millisecond
	// minRunning is the number of generations that even a slow engine may run, so that its interval is still measured.
	minRunning = 4
	// capacityMargin is the part of an engine's memory that is never reserved.
	capacityMargin = 0.08
	// freshMargin is the additional part that a request which has just arrived must leave free, for requests that are
	// waiting at other daemons. It falls linearly to 0 over freshWait.
	freshMargin = 0.06
	freshWait   = 500 * time.Millisecond
	// A brief request is expected to decode at most briefTokens tokens, which takes about 4 s, so that it takes little
	// of the memory into which running generations grow. It may fill an engine up to briefLimit times the memory that
	// can be reserved, however long it has waited.
	briefTokens = 200
	briefLimit  = 1.04
	// urgentLimit is the corresponding factor for a request that is about to miss its target for the first token. It may
	// cause a preemption: a running generation is mostly ahead of its allowance of TargetInterval per token and can make
	// up for a preemption, but a waiting request can't make up for a late first token.
	urgentLimit = 1.06
	// unseenFactor estimates sends of other daemons that are not in an engine's report yet: for each prompt token that
	// this daemon has sent since the report, the others are expected to have sent unseenFactor tokens, as they see the
	// same free memory at the same time. The estimate is not applied to brief and urgent requests.
	unseenFactor = 4
	// maxStarting is the number of generations without a first token at an engine from which a daemon sends no more
	// requests there of an organisation that uses more than its share. Without this limit, the prompts of a flood
	// delayed those of other organisations by 0.2 s.
	maxStarting = 1
	// intervalPenalty is the weight of the token interval, as a part of TargetInterval, in the score; the projected use
	// of memory has a weight of 1.
	intervalPenalty = 0.5
	// prefixBonus is how much fuller the home of the request's prefix may be than other engines and still be chosen.
	prefixBonus = 0.1
)

// score rates an endpoint for a request; lower totals are better, then fewer requests in flight.
type score struct {
	total float64
	// use is the projected peak of the engine's memory as a part of what can be reserved.
	use      float64
	interval time.Duration
	// home is true if the engine is the home of the request's prefix.
	home     bool
	inFlight int
}

func (scr score) below(other score) bool {
	if scr.total != other.total {
		return scr.total < other.total
	}
	return scr.inFlight < other.inFlight
}

func (scr score) reason(compared int) string {
	return fmt.Sprintf("lowest score %.2f of %d sampled engines: memory %.2f, token interval %s, home of the prefix %t",
		scr.total, compared, scr.use, scr.interval.Round(time.Millisecond/10), scr.home)
}

// scoreEngine returns the score of an engine, or why it can't take the request now.
func (sel *selection) scoreEngine(edp *inventory.Endpoint, sta *EndpointStatus) (score, string) {
	scr := score{interval: sta.currentInterval(sel.now), inFlight: sta.InFlight}
	if sel.request.Margin > 0 && sta.OwnStarting >= maxStarting {
		return scr, fmt.Sprintf("full: %d prompts are being computed", sta.OwnStarting)
	}
	disabled := sel.view.Disabled
	if sta.Load.CapacityTokens > 0 {
		capacity := float64(sta.Load.CapacityTokens) * (1 - sel.view.memoryMargin())
		scr.use = float64(sel.projectedPeak(sta)) / capacity
		// An idle engine takes any request. Otherwise a request whose reservation exceeds every engine's capacity
		// would never be admitted.
		idle := sta.OthersRunning+sta.OwnRunning == 0
		if !disabled.Memory && !idle && sel.request.Reserve > 0 && scr.use > sel.limit() {
			return scr, fmt.Sprintf("full: projected memory is %.2f of its capacity", scr.use)
		}
	}
	scr.total = scr.use
	if !disabled.Interval {
		if sel.request.Reserve > 0 && scr.interval > maxInterval && sta.OthersRunning+sta.OwnRunning >= minRunning {
			return scr, fmt.Sprintf("full: token interval is %s", scr.interval.Round(time.Millisecond))
		}
		scr.total += intervalPenalty * float64(scr.interval) / float64(TargetInterval)
	}
	if edp == sel.home {
		scr.home = true
		scr.total -= prefixBonus
	}
	return scr, ""
}

func (vew *View) memoryMargin() float64 {
	if vew.MemoryMargin > 0 {
		return vew.MemoryMargin
	}
	return capacityMargin
}

// limit returns how far the request may fill an engine, as a share of the engine's capacity less the memory margin.
func (sel *selection) limit() float64 {
	limit := 1 - freshMargin*max(0, 1-float64(sel.request.Waited)/float64(freshWait))
	if sel.request.brief() {
		limit = briefLimit
	}
	if sel.request.Urgent {
		limit = urgentLimit
	}
	return limit - sel.request.Margin
}

// projectedPeak returns the most memory that an engine is expected to need at any horizon if it takes the request.
// Generations of other daemons are expected to grow and end like those that this daemon has seen complete.
func (sel *selection) projectedPeak(sta *EndpointStatus) int {
	prf := GenerationProfile(sel.request.PromptTokens, sel.request.Reserve)
	running, tokens := sta.OthersRunning, sta.OthersTokens
	if sel.view.Disabled.Correction {
		running, tokens = sta.Load.Running+sta.Load.Waiting, sta.Load.UsedTokens
	} else {
		prf.add(sta.Own, 1)
		if !sel.request.Urgent && !sel.request.brief() {
			tokens += unseenFactor * sta.OwnUnreported
		}
	}
	for i, hor := range horizonTokens {
		share := sel.survival.Running[i]
		mean := float64(tokens)*sel.survival.Held[i] + float64(running)*share*float64(hor)
		// Each generation is taken to end independently of the others, so the number of those that remain
		// is binomially distributed.
		deviation := mean * math.Sqrt((1-share)/max(1, float64(running)*share))
		prf[i] += int(mean + sel.deviations*deviation)
	}
	return prf.peak()
}

// currentInterval returns the observed token interval; it decays with intervalHalfLife if there has been no observation
// for more than a second.
func (sta *EndpointStatus) currentInterval(now time.Time) time.Duration {
	age := now.Sub(sta.IntervalAt)
	if sta.IntervalAt.IsZero() || age <= time.Second {
		return sta.TokenInterval
	}
	return time.Duration(float64(sta.TokenInterval) * math.Exp2(-float64(age-time.Second)/float64(intervalHalfLife)))
}
