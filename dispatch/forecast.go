package dispatch

import (
	"math"
	"time"

	"papayacroft/catalog"
)

const (
	// latePenalty is the weight in a score of the probability that a pause makes the stream late, and of the expected number
	// of other streams that the prompt makes late. A late stream loses as much by a pause as by its first event, whose
	// target has a weight of 1.
	latePenalty = 1.0
	// runWeight is the weight in a score of the expected number of times that the engine leaves while the stream runs. The
	// stream is moved then, or lost if there is no time; it is also lost when its daemon ends, of which no mark shows the rate.
	runWeight = 2.0
	// riskLimit limits what run time and pauses add to a score, so that an unreachable endpoint ranks behind all others.
	riskLimit = unreachablePenalty / 2
	// minTarget bounds the target for the first event from below; copies and routes without a target would divide by zero.
	minTarget = time.Second
	// endsShare is the part of the time until an engine leaves within which a generation is to end at the usual speed, in
	// order not to be moved. In slow periods of the engine's machine it takes 2.5 times as long.
	endsShare = 0.4
)

// Forecast is what a stream is expected to meet at an engine.
type Forecast struct {
	// First is the expected time to the first event, Run that from the first event to the end.
	First, Run time.Duration
	// Leaves is the expected number of times that the engine leaves while the stream runs.
	Leaves float64
	// Pause is the probability that one of the stream's events comes later than the pause target. Beside is the expected
	// number of other streams for which that happens because of the stream's prompt.
	Pause, Beside float64
	// Learnt is true if there is a fresh estimate of the engine's speed; otherwise the means of its service apply.
	Learnt bool

	// delay is First as a part of its target. full is true if the stream would begin so late that the engine is full.
	delay float64
	full  bool
}

// score returns the forecast's part of an engine's score.
func (fct *Forecast) score() float64 {
	return fct.delay + min(riskLimit, runWeight*fct.Leaves+latePenalty*(fct.Pause+fct.Beside))
}

// forecast returns what the request is expected to meet at an engine. For services without learnt speeds it has the time to
// the first event only, at a fixed rate.
func (bal *Balancer) forecast(now time.Time, sta *endpoint, edp *catalog.Endpoint, engine *catalog.Engine, req *Request) Forecast {
	if !bal.Speeds.Enabled(edp.Service) {
		delay := sta.firstEventDelay(now, req)
		return Forecast{delay: delay, full: delay > req.maxDelay(), First: ofSeconds(delay * max(req.Target, minTarget).Seconds())}
	}
	spd := bal.Speeds.At(now, edp)
	pending, target := sta.pending(now, spd.PromptRate), max(req.Target, minTarget).Seconds()
	first := (pending + float64(req.Prefill)) / spd.PromptRate
	flights := sta.flights(now)
	perToken := spd.PerToken
	if spd.Learnt {
		// Requests that have come since the samples slow the engine at once. With all its slots in use it takes about twice
		// as long for a token as with few: each request lengthens each step and brings a prompt that is read in between.
		// Without this all daemons would send to an engine that was fast until then.
		slots := float64(max(1, edp.Slots))
		perToken *= (slots + float64(flights)) / (slots + spd.Running)
	}
	run := float64(req.Output) * perToken
	fct := Forecast{
		First: ofSeconds(first), Run: ofSeconds(run), Learnt: spd.Learnt,
		Leaves: run * bal.Speeds.Leaving.Rate(edp.Service), delay: first / target,
	}
	// An engine that has no prompt to read is not full by a learnt rate: after a few slow reads all engines might look full,
	// and no request would show that they are not.
	fct.full = fct.delay > req.maxDelay() && (pending > 0 || float64(req.Prefill) > req.maxDelay()*target*prefillTokensPerSecond)
	perEvent := float64(max(1, engine.EventTokens(1)))
	fct.Pause = anyOf(spd.Late, float64(req.Output)/perEvent)
	// Streams that are late already are not made late by the prompt.
	reading := float64(req.Prefill) / spd.PromptRate
	fct.Beside = float64(flights) * anyOf(spd.LateBeside, reading/(perToken*perEvent)) * (1 - anyOf(spd.Late, spd.Position))
	return fct
}

// flights returns the number of requests of all daemons at the endpoint.
func (sta *endpoint) flights(now time.Time) int {
	flights := sta.own.Flights
	for _, per := range sta.peers {
		if now.Sub(per.at) < peerUsageLifetime {
			flights += per.usage.Flights
		}
	}
	if sta.hasReport(now) {
		// The report counts the requests of all daemons when it was made, so only the change in the number of this
		// daemon's requests since then is added.
		flights = max(flights, sta.report.Running+sta.report.Waiting+sta.own.Flights-sta.report.ownFlights)
	}
	return flights
}

// anyOf returns the probability that at least one of a number of independent events happens.
func anyOf(probability, number float64) float64 {
	return 1 - math.Pow(1-min(max(probability, 0), 1), max(0, number))
}

// pending returns the prompt tokens that an engine is expected to have left to read, of all daemons' requests.
func (sta *endpoint) pending(now time.Time, rate float64) float64 {
	if sta.serial {
		return sta.pendingSerial(now)
	}
	pending := float64(sta.own.Prefill)
	for _, per := range sta.peers {
		if age := now.Sub(per.at); age < peerUsageLifetime {
			pending += max(0, float64(per.usage.Prefill)-rate*age.Seconds())
		}
	}
	return pending
}

// offer takes over an endpoint that is not full if it is the best or second-best so far.
func (cho *Choice) offer(edp *catalog.Endpoint, score float64) {
	switch {
	case score < cho.Score:
		if cho.Endpoint != nil {
			cho.Second, cho.SecondScore = cho.Endpoint.ID, cho.Score
		}
		cho.Endpoint, cho.Score = edp, score
	case cho.Second == "" || score < cho.SecondScore:
		cho.Second, cho.SecondScore = edp.ID, score
	}
}

// ofSeconds converts a number of seconds; it bounds what a duration cannot hold.
func ofSeconds(num float64) time.Duration {
	return time.Duration(min(num, time.Hour.Seconds()) * float64(time.Second))
}

// EndsBefore reports whether a generation at an engine certainly ends before the engine leaves: if even its greatest
// possible output takes a small part of that time at the learnt speed.
func (bal *Balancer) EndsBefore(now time.Time, edp *catalog.Endpoint, maxOutput int, leavesIn time.Duration) bool {
	if !bal.Speeds.Enabled(edp.Service) {
		return false
	}
	spd := bal.Speeds.At(now, edp)
	return spd.Learnt && float64(maxOutput)*spd.PerToken <= endsShare*leavesIn.Seconds()
}
