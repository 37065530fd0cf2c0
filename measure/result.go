package main

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	gapResolution = 10 * time.Microsecond
	maxGap        = 200 * time.Second
	// stallGap is the gap between two tokens above which the time counts as a stall of the caller.
	stallGap = 4 * intervalGoal
)

// result holds the measures of one simulation; times are in milliseconds. See page.md.tmpl for their definitions.
type result struct {
	plainStallP99 float64
	preemptions   float64
	gapP95        float64
	gapP99        float64
	firstP95      float64
	service       float64
	smallFirstP99 float64
	refusedPlain  float64
	refusedEngine float64
	stallP99      float64
	requestGapP95 float64
	memoryUse     float64
	// topWorthPreemptions is the number of preemptions per 100 requests of the engine class with the highest worth.
	topWorthPreemptions float64
}

type gapRecorder struct {
	histogram *hdrhistogram.Histogram
}

func newGapRecorder() *gapRecorder {
	return &gapRecorder{hdrhistogram.New(1, int64(maxGap/gapResolution), 3)}
}

func (rec *gapRecorder) percentile(value float64) float64 {
	return float64(rec.histogram.ValueAtPercentile(value)) * gapResolution.Seconds() * 1000
}

// isMeasured reports whether the request arrived in the measured period.
func (req *request) isMeasured() bool {
	return req.arrival >= measureFrom && req.arrival < measureUntil
}

// observeToken records the delivery of a token. A token is on time if it arrives within firstGoal plus intervalGoal
// for each earlier token.
func (sim *simulation) observeToken(now time.Duration, req *request) {
	req.tokens++
	if now-req.arrival <= firstGoal+time.Duration(req.tokens-1)*intervalGoal {
		req.onTime++
	}
	if req.firstAt == 0 {
		req.firstAt = now
		req.stall += now - req.arrival
	} else if gap := now - req.tokenAt; req.isMeasured() {
		_ = sim.gaps.histogram.RecordValue(int64(gap / gapResolution))
		if gap > stallGap {
			req.stall += gap - intervalGoal
		}
	}
	req.tokenAt = now
}

// measure computes the measures over the requests of the measured period. A request that has no answer or no first
// token by the end of the simulation counts with its age.
func (sim *simulation) measure() result {
	var res result
	var plainStall, engineStall, first, smallFirst, requestGap []float64
	var offered, served, engines, plain, topWorth float64
	topWorthClass := sim.dep.topWorthClass()
	for _, req := range sim.requests {
		if !req.isMeasured() {
			continue
		}
		offered += req.class.worth
		if req.class.plain {
			plain++
			served += req.class.worth * sim.plainService(req)
			res.refusedPlain += refusedCount(req)
			plainStall = append(plainStall, milliseconds(sim.stallOf(req)))
			continue
		}
		engines++
		res.refusedEngine += refusedCount(req)
		served += req.class.worth * engineService(req)
		res.preemptions += float64(req.preemptions)
		if req.class.name == topWorthClass {
			topWorth++
			res.topWorthPreemptions += float64(req.preemptions)
		}
		engineStall = append(engineStall, milliseconds(sim.stallOf(req)))
		wait := sim.firstWait(req)
		if !req.refused {
			first = append(first, wait)
		}
		if req.tokens > 1 {
			requestGap = append(requestGap, milliseconds(req.tokenAt-req.firstAt)/float64(req.tokens-1))
		}
		if req.organisation >= largeOrgCount && req.arrival > disturbanceStart {
			smallFirst = append(smallFirst, wait)
		}
	}
	for _, eng := range sim.engines {
		for _, lod := range eng.history[int(measureFrom/snapshotEvery):int(measureUntil/snapshotEvery)] {
			res.memoryUse += float64(lod.UsedTokens) / engineMemoryTokens / engineCount / float64((measureUntil-measureFrom)/snapshotEvery)
		}
	}
	res.preemptions = 100 * res.preemptions / engines
	res.topWorthPreemptions = 100 * res.topWorthPreemptions / topWorth
	res.refusedPlain, res.refusedEngine = res.refusedPlain/plain, res.refusedEngine/engines
	res.service = served / offered
	res.plainStallP99, res.stallP99 = percentile(plainStall, 0.99), percentile(engineStall, 0.99)
	res.firstP95, res.smallFirstP99 = percentile(first, 0.95), percentile(smallFirst, 0.99)
	res.gapP95, res.gapP99 = sim.gaps.percentile(95), sim.gaps.percentile(99)
	res.requestGapP95 = percentile(requestGap, 0.95)
	return res
}

func refusedCount(req *request) float64 {
	if req.refused {
		return 1
	}
	return 0
}

// stallOf returns how long the caller received nothing, less the time that an idle endpoint would have taken.
func (sim *simulation) stallOf(req *request) time.Duration {
	if req.refused {
		return req.doneAt - req.arrival
	}
	if req.doneAt == 0 && (req.class.plain || req.firstAt == 0) {
		return sim.now - req.arrival
	}
	return max(0, req.stall)
}

// firstWait returns the milliseconds from a request's arrival to its first token, its refusal or the simulation's end.
func (sim *simulation) firstWait(req *request) float64 {
	switch {
	case req.refused:
		return milliseconds(req.doneAt - req.arrival)
	case req.firstAt == 0:
		return milliseconds(sim.now - req.arrival)
	default:
		return milliseconds(req.firstAt - req.arrival)
	}
}

// engineService returns the share of a generation's tokens that were on time. It is 0 for a refused request and for
// one without tokens; for a generation that is unfinished at the end of the simulation, the tokens so far count.
func engineService(req *request) float64 {
	if req.refused || req.tokens == 0 {
		return 0
	}
	return float64(req.onTime) / float64(req.tokens)
}

// plainService returns 1 for a plain call that was answered within firstGoal, otherwise 0.
func (sim *simulation) plainService(req *request) float64 {
	if req.refused || req.doneAt == 0 || req.doneAt-req.arrival > firstGoal {
		return 0
	}
	return 1
}

func milliseconds(dur time.Duration) float64 { return float64(dur) / float64(time.Millisecond) }

// percentile returns the value at a rank between 0 and 1; it sorts values.
func percentile(values []float64, rank float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(len(values)-1, int(rank*float64(len(values))))]
}
