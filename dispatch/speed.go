package dispatch

import (
	"math"
	"time"

	"papayacroft/catalog"
)

const (
	// paceHalfLife is the half-life of the weights of samples of the time per token. An engine that turns slow is to be
	// detected within some seconds, and periods of other workloads on its machine, about 0.6 s long, are to be averaged.
	paceHalfLife = 5 * time.Second
	// paceLifetime is the age of the latest sample above which an estimate is not used.
	paceLifetime = 8 * time.Second
	// pauseHalfLife is the half-life of the weights of events in the share of late ones, which are rarer than tokens.
	pauseHalfLife = 10 * time.Second
	// defaultPerToken is the time per output token in seconds before the first sample of any engine of the service.
	defaultPerToken = 0.015
	// priorTokens is the weight in output tokens of the service's mean in each engine's estimate: the tokens that a stream
	// gets in about one slow period of its engine's machine, so that one such period does not decide.
	priorTokens = 40
	// priorPrompt is the weight in prompt tokens of the service's mean rate in each engine's estimate, about one prompt.
	priorPrompt = 2500
	// priorEvents is the weight in events of the service's mean share of late events. In a slow period of an engine's machine
	// a few events in a row are late; a single period is not to decide, and one engine not to make all look alike.
	priorEvents = 30
	// meansLifetime is how long the means of a service are used, a small part of paceHalfLife.
	meansLifetime = 100 * time.Millisecond
	// maxPeerWeight limits the weight in tokens of what a peer reports. An engine with 24 slots gives less than 4,000 tokens a
	// second, so that one daemon's weight stays below 30,000.
	maxPeerWeight = 100_000
	// minSample and maxSample limit the time per token of one sample in seconds. No engine generates a token in less than
	// minSample; an interval longer than maxSample is a stall, not a speed.
	minSample = 0.001
	maxSample = 0.25
	// minPromptSample is the number of prompt tokens below which the time to the first event is no sample of the rate at
	// which an engine reads prompts: the steps of the running streams take most of it.
	minPromptSample = 500
)

// average is a weighted mean; the weights of its values decay by a half-life.
type average struct {
	sum, weight float64
	// at is when the latest value was added.
	at time.Time
}

// add adds a value. Values without a weight are ignored.
func (avg *average) add(now time.Time, halfLife time.Duration, value, weight float64) {
	if !(weight > 0) || math.IsNaN(value) || math.IsInf(value, 0) {
		return
	}
	factor := avg.factor(now, halfLife)
	avg.sum = avg.sum*factor + value*weight
	avg.weight = avg.weight*factor + weight
	avg.at = now
}

// factor returns the part of the weight that is left since the latest value.
func (avg *average) factor(now time.Time, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(0, now.Sub(avg.at))) / float64(halfLife))
}

// isFresh reports whether the latest value is younger than paceLifetime.
func (avg *average) isFresh(now time.Time) bool {
	return avg.weight > 0 && now.Sub(avg.at) < paceLifetime
}

// mixed returns the mean together with a prior value that has its own weight.
func (avg *average) mixed(now time.Time, halfLife time.Duration, prior, priorWeight float64) float64 {
	factor := avg.factor(now, halfLife)
	return (avg.sum*factor + prior*priorWeight) / (avg.weight*factor + priorWeight)
}

// Pace is what the streams of one daemon show of the speed of an engine.
type Pace struct {
	// Ms is the time per output token in ms, Weight the number of tokens that it was learnt from, the older ones counting
	// less. AgeMs is the age of the latest of them.
	Ms     float64 `json:"ms"`
	Weight float64 `json:"weight"`
	AgeMs  int64   `json:"ageMs,omitempty"`
	// Born is the engine's start time; the figures do not hold for a later start under the same id.
	Born int64 `json:"born,omitempty"`
}

// peerPace is a pace that a peer has reported, and when the latest of its samples was taken.
type peerPace struct {
	perToken, weight float64
	at               time.Time
}

// engineSpeed is what is known of the speed of one incarnation of an engine.
type engineSpeed struct {
	service string
	bornAt  int64
	// perToken has the time per output token in seconds, weighted by tokens, from this daemon's streams; running has the
	// number of requests at the engine meanwhile, also for the paces of peers.
	perToken, running average
	// perPrompt has the time per prompt token in seconds, weighted by tokens.
	perPrompt average
	// late is the share of events that came later than the pause target; lateBeside is that share among the events during
	// which the engine had prompts to read.
	late, lateBeside average
	// position is the number of events that a stream had at each of its events.
	position average
	peers    map[string]peerPace
}

// Speeds learns how fast engines run: the time per output token, the rate at which prompts are read and the share of late
// events, from this daemon's streams while they run and from what peers report.
type Speeds struct {
	// Leaving is how often the engines of each service leave.
	Leaving *LeavingRates

	engines map[string]*engineSpeed
	// stated holds the services of which an endpoint has stated how slow its machine is.
	stated map[string]bool
	// means are the latest means by service.
	means map[string]speedMeans
}

// speedMeans are the means over the engines of a service with a fresh estimate.
type speedMeans struct {
	// at is when they were computed.
	at time.Time

	perToken, perPrompt, late, lateBeside float64
}

// NewSpeeds returns speeds without any sample.
func NewSpeeds() *Speeds {
	return &Speeds{Leaving: NewLeavingRates(), engines: map[string]*engineSpeed{}, stated: map[string]bool{}, means: map[string]speedMeans{}}
}

// SetStated records that an endpoint of the service has stated how slow its machine is. From then on the speeds of the
// service's engines are learnt and used.
func (spd *Speeds) SetStated(service string) {
	spd.stated[service] = true
}

// Enabled reports whether speeds are learnt and used for a service.
func (spd *Speeds) Enabled(service string) bool {
	return spd.stated[service]
}

// engine returns the state of an incarnation of an engine, and creates it if there is none. A later incarnation replaces
// an earlier one; for an earlier one than is known, it returns nil.
func (spd *Speeds) engine(id, service string, bornAt int64) *engineSpeed {
	eng, ok := spd.engines[id]
	switch {
	case ok && eng.bornAt > bornAt:
		return nil
	case !ok || eng.bornAt < bornAt:
		eng = &engineSpeed{service: service, bornAt: bornAt}
		spd.engines[id] = eng
	case eng.service == "":
		eng.service = service
	}
	return eng
}

// SetPeer records the pace of an engine that a peer reports; running is the number of requests at the engine now.
func (spd *Speeds) SetPeer(now time.Time, peer, id string, pce Pace, running int) {
	if !(pce.Ms > 0) || !(pce.Weight > 0) || pce.AgeMs >= paceLifetime.Milliseconds() {
		return
	}
	age := time.Duration(max(0, pce.AgeMs)) * time.Millisecond
	weight := min(pce.Weight, maxPeerWeight)
	eng := spd.engine(id, "", pce.Born)
	if eng == nil {
		return
	}
	if eng.peers == nil {
		eng.peers = map[string]peerPace{}
	}
	eng.peers[peer] = peerPace{perToken: min(max(pce.Ms/1000, minSample), maxSample), weight: weight, at: now.Add(-age)}
	eng.running.add(now, paceHalfLife, float64(running), weight)
}

// OwnPace returns what this daemon's streams show of an engine's speed; nil if there is no fresh sample.
func (spd *Speeds) OwnPace(now time.Time, id string) *Pace {
	eng, ok := spd.engines[id]
	if !ok || !eng.perToken.isFresh(now) {
		return nil
	}
	own := &eng.perToken
	return &Pace{
		Ms: rounded(1000 * own.sum / own.weight), Weight: rounded(own.weight * own.factor(now, paceHalfLife)),
		AgeMs: now.Sub(own.at).Milliseconds(), Born: eng.bornAt,
	}
}

// rounded returns a number with two digits after the point, which keeps messages short.
func rounded(num float64) float64 {
	return math.Round(num*100) / 100
}

// learnt returns the sum of an engine's own and its peers' fresh times per token, and the sum of their weights.
func (eng *engineSpeed) learnt(now time.Time) (sum, weight float64) {
	if eng.perToken.isFresh(now) {
		factor := eng.perToken.factor(now, paceHalfLife)
		sum, weight = eng.perToken.sum*factor, eng.perToken.weight*factor
	}
	for _, per := range eng.peers {
		if age := now.Sub(per.at); age < paceLifetime {
			one := per.weight * math.Exp2(-float64(max(0, age))/float64(paceHalfLife))
			sum += per.perToken * one
			weight += one
		}
	}
	return sum, weight
}

// isFresh reports whether the engine has an estimate of its own.
func (eng *engineSpeed) isFresh(now time.Time) bool {
	_, weight := eng.learnt(now)
	return weight > 0
}

// Speed is the expected speed of an engine.
type Speed struct {
	// PerToken is the time per output token in seconds while as many requests run as when it was learnt, on average Running.
	PerToken, Running float64
	// PromptRate is the number of prompt tokens that the engine reads per second.
	PromptRate float64
	// Late is the probability that an event comes later than the pause target, LateBeside that probability while the engine
	// reads a prompt.
	Late, LateBeside float64
	// Position is the mean number of events that the streams at the engine have had so far.
	Position float64
	// Learnt is true if there is a fresh estimate of this engine; otherwise the service's means apply.
	Learnt bool
}

// At returns the expected speed of an incarnation of an engine.
func (spd *Speeds) At(now time.Time, edp *catalog.Endpoint) Speed {
	mns := spd.serviceMeans(now, edp.Service)
	res := Speed{PerToken: mns.perToken, PromptRate: 1 / mns.perPrompt, Late: mns.late, LateBeside: mns.lateBeside}
	eng := spd.engines[edp.ID]
	if eng == nil || eng.bornAt != edp.StartedAt {
		return res
	}
	if sum, weight := eng.learnt(now); weight > 0 {
		res.Learnt = true
		res.PerToken = (sum + priorTokens*mns.perToken) / (weight + priorTokens)
		res.Running = eng.running.sum / eng.running.weight
	}
	// Without samples of its own, an engine reads prompts as much faster than the mean as it generates tokens.
	perPrompt := mns.perPrompt * res.PerToken / mns.perToken
	if eng.perPrompt.isFresh(now) {
		perPrompt = eng.perPrompt.mixed(now, paceHalfLife, perPrompt, priorPrompt)
	}
	res.PromptRate = 1 / perPrompt
	res.Late = eng.late.mixed(now, pauseHalfLife, mns.late, priorEvents)
	res.Position = eng.position.mean()
	res.LateBeside = eng.lateBeside.mixed(now, pauseHalfLife, mns.lateBeside, priorEvents)
	return res
}

// serviceMeans returns the means over the engines of a service. Each engine in each choice and each sample needs them, so
// they are computed once in meansLifetime.
func (spd *Speeds) serviceMeans(now time.Time, service string) speedMeans {
	if mns, ok := spd.means[service]; ok && now.Sub(mns.at).Abs() < meansLifetime {
		return mns
	}
	var perToken, perPrompt, late, lateBeside average
	for _, eng := range spd.engines {
		if eng.service != service {
			continue
		}
		if sum, weight := eng.learnt(now); weight > 0 {
			perToken.add(now, paceHalfLife, sum/weight, 1)
		}
		if eng.perPrompt.isFresh(now) {
			perPrompt.add(now, paceHalfLife, eng.perPrompt.sum/eng.perPrompt.weight, 1)
		}
		// Events count by their number here: an engine with few events says little about a rare case.
		late.add(now, pauseHalfLife, eng.late.mean(), eng.late.weight*eng.late.factor(now, pauseHalfLife))
		lateBeside.add(now, pauseHalfLife, eng.lateBeside.mean(), eng.lateBeside.weight*eng.lateBeside.factor(now, pauseHalfLife))
	}
	mns := speedMeans{at: now, perToken: defaultPerToken, perPrompt: 1.0 / prefillTokensPerSecond}
	if perToken.weight > 0 {
		mns.perToken = perToken.mean()
	}
	if perPrompt.weight > 0 {
		mns.perPrompt = perPrompt.mean()
	}
	mns.late = late.mixed(now, pauseHalfLife, 0, priorEvents)
	mns.lateBeside = lateBeside.mixed(now, pauseHalfLife, 0, priorEvents)
	spd.means[service] = mns
	return mns
}

// TokenTimes are times per output token in seconds over the engines of a service with a fresh estimate.
type TokenTimes struct {
	Min, Mean, Max float64
}

// Ranges returns the times per output token by service.
func (spd *Speeds) Ranges(now time.Time) map[string]TokenTimes {
	all := map[string]TokenTimes{}
	counts := map[string]float64{}
	for _, eng := range spd.engines {
		sum, weight := eng.learnt(now)
		if weight <= 0 || eng.service == "" {
			continue
		}
		perToken := sum / weight
		rng, ok := all[eng.service]
		if !ok {
			rng.Min = perToken
		}
		counts[eng.service]++
		rng.Min, rng.Max = min(rng.Min, perToken), max(rng.Max, perToken)
		rng.Mean += (perToken - rng.Mean) / counts[eng.service]
		all[eng.service] = rng
	}
	return all
}

// mean returns the weighted mean; 0 without values.
func (avg *average) mean() float64 {
	if avg.weight <= 0 {
		return 0
	}
	return avg.sum / avg.weight
}

// Forget removes engines that are not in the fleet, and services without endpoints.
func (spd *Speeds) Forget(now time.Time, flt catalog.FleetView) {
	clear(spd.means)
	listed := map[string]bool{}
	for _, edp := range flt.Endpoints {
		listed[edp.Service] = true
	}
	for service := range spd.stated {
		if len(flt.Endpoints) > 0 && !listed[service] {
			delete(spd.stated, service)
		}
	}
	for id, eng := range spd.engines {
		edp, ok := flt.Endpoints[id]
		// A start that only peers report is kept while they report it; it may not have reached the fleet view yet.
		if !ok || edp.StartedAt > eng.bornAt || edp.StartedAt < eng.bornAt && !eng.isFresh(now) {
			delete(spd.engines, id)
			continue
		}
		// Paces of peers do not name the service.
		eng.service = edp.Service
		for name, per := range eng.peers {
			if now.Sub(per.at) >= paceLifetime {
				delete(eng.peers, name)
			}
		}
	}
	spd.Leaving.Update(now, flt)
}
