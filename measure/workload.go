package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"papayacroft/document"
	"papayacroft/inventory"
)

const (
	engineCount     = 10
	serviceCount    = 4
	largeOrgCount   = 2
	orgCount        = 10
	largeOrgShare   = 0.25
	maxOutputTokens = 8000
	domainCount     = 4
	meanCallWork    = 40 * time.Millisecond
	burstFactor     = 4
	floodLoad       = 0.9
	intervalGoal    = 28 * time.Millisecond
	firstGoal       = 1400 * time.Millisecond
)

// class describes the requests of a class.
type class struct {
	name string
	// share is the class's share of the requests to engines or of the calls to plain services.
	share float64
	// rank is the admission rank, and the priority on engines; higher ranks are preempted later.
	rank     int
	worth    float64
	deadline time.Duration
	// median and sigma are the parameters of the lognormal distribution of output lengths, in tokens.
	median float64
	sigma  float64
	// prompt is the mean prompt length in tokens.
	prompt int
	// plain is true for calls to plain services.
	plain bool
}

// deployment is the mix of classes of one operator. The shares of the engine classes add up to 1, and so do those of
// the plain classes.
type deployment struct {
	name    string
	classes []class
}

var deployments = []deployment{
	{"kowhai", []class{
		{"writeUp", 0.35, 0, 1, 10 * time.Minute, 350, 1.0, 300, false},
		{"blurb", 0.65, 1, 2, time.Minute, 70, 0.7, 150, false},
		{"tally", 0.6, 2, 10, 3 * time.Second, 0, 0, 0, true},
		{"ballot", 0.4, 3, 20, 3 * time.Second, 0, 0, 0, true},
	}},
	{"hooghly", []class{
		{"quoteDraft", 0.3, 0, 30, 5 * time.Minute, 450, 0.9, 300, false},
		{"finishCheck", 0.7, 1, 5, 20 * time.Second, 20, 0.5, 400, false},
		{"statusRead", 0.7, 1, 5, 5 * time.Second, 0, 0, 0, true},
		{"booking", 0.3, 2, 20, 3 * time.Second, 0, 0, 0, true},
	}},
}

// request is a caller's request. The fields up to work describe it, of which daemons don't know output and work; the
// fields from arrival on record its progress.
type request struct {
	id           string
	class        *class
	organisation int
	daemon       int
	prompt       int
	prefix       string
	prefixTokens int
	// output is the number of tokens that the engine will generate.
	output int
	// work is the time that a plain service needs for the call.
	work time.Duration

	arrival time.Duration
	firstAt time.Duration
	// tokenAt is when the last token was delivered.
	tokenAt time.Duration
	doneAt  time.Duration
	tokens  int
	// onTime is the number of tokens that were on time.
	onTime      int
	stall       time.Duration
	preemptions int
	refused     bool
	// excluded holds the endpoints on which the request has failed.
	excluded map[string]bool
}

// drawEngine returns a random request to an engine.
func (dep *deployment) drawEngine(rnd *rand.Rand) *request {
	cls := dep.pick(rnd, false)
	req := &request{class: cls, organisation: drawOrg(rnd)}
	req.prompt = int(float64(cls.prompt) * (0.7 + 0.6*rnd.Float64()))
	req.prefixTokens = cls.prompt / 2
	req.output = min(maxOutputTokens, 1+int(cls.median*math.Exp(cls.sigma*rnd.NormFloat64())))
	return req
}

// drawCall returns a random call to a plain service.
func (dep *deployment) drawCall(rnd *rand.Rand) *request {
	return &request{
		class: dep.pick(rnd, true), organisation: drawOrg(rnd),
		work: time.Duration(float64(meanCallWork) * math.Exp(0.5*rnd.NormFloat64()-0.125)),
	}
}

// pick returns a random class among the engine classes or the plain classes, weighted by share.
func (dep *deployment) pick(rnd *rand.Rand, plain bool) *class {
	value := rnd.Float64()
	var last *class
	for i := range dep.classes {
		if dep.classes[i].plain != plain {
			continue
		}
		last = &dep.classes[i]
		if value -= last.share; value < 0 {
			break
		}
	}
	return last
}

// topWorthClass returns the name of the engine class with the highest worth.
func (dep *deployment) topWorthClass() string {
	best := dep.classes[0]
	for _, cls := range dep.classes {
		if !cls.plain && cls.worth > best.worth {
			best = cls
		}
	}
	return best.name
}

// drawOrg returns a random organisation; each large organisation sends largeOrgShare of the requests, and the small
// ones share the remainder equally.
func drawOrg(rnd *rand.Rand) int {
	if value := rnd.Float64(); value < largeOrgCount*largeOrgShare {
		return int(value / largeOrgShare)
	}
	return largeOrgCount + rnd.IntN(orgCount-largeOrgCount)
}

// engineCapacity returns the request rate at which, on average, the engines' memory is full or the token interval
// reaches intervalGoal, whichever rate is lower.
func (dep *deployment) engineCapacity() float64 {
	const samples = 100_000
	rnd := rand.New(rand.NewPCG(1, 1))
	var steps, held, prompt float64
	for range samples {
		req := dep.drawEngine(rnd)
		out := float64(req.output)
		steps += out / samples
		held += (float64(req.prompt)*out + out*out/2) / samples
		prompt += float64(req.prompt) / samples
	}
	batch := engineMemoryTokens * steps / held
	perRequest := stepPerRequest.Seconds() + prefillPerToken.Seconds()*prompt/steps
	batch = min(batch, (intervalGoal-stepBase).Seconds()/perRequest)
	return engineCount * batch / ((stepBase.Seconds() + perRequest*batch) * steps)
}

// serviceCapacity returns the rate of calls at which all slots of the plain services are busy.
func serviceCapacity() float64 {
	return serviceCount * serviceSlots / meanCallWork.Seconds()
}

// index builds the inventory index that the product's routing reads.
func (dep *deployment) index() *inventory.Index {
	cfg := &inventory.Configuration{
		Owners:    map[string]inventory.Owner{"office": {Name: "office"}},
		Models:    map[string]inventory.Model{"model": {Name: "model", MaxTokens: maxOutputTokens}},
		Pools:     map[string]inventory.Pool{"llm": {Name: "llm", Kind: inventory.PoolKindEngine, Models: []string{"model"}}, "desk": {Name: "desk", Kind: inventory.PoolKindService}},
		Endpoints: map[string]inventory.Endpoint{}, Classes: map[string]inventory.Class{},
	}
	var teams []string
	for i := range orgCount {
		teams = append(teams, inventory.TeamRef{Organisation: orgName(i), Team: "team"}.String())
	}
	cfg.Owners["office"] = inventory.Owner{Name: "office", ApprovedTeams: teams}
	add := func(name, pool string, i int) {
		cfg.Endpoints[name] = inventory.Endpoint{Name: name, Pool: pool, Owner: "office", FailureDomain: domainName(i)}
	}
	for i := range engineCount {
		add(engineName(i), "llm", i)
	}
	for i := range serviceCount {
		add(serviceName(i), "desk", i)
	}
	for _, cls := range dep.classes {
		cfg.Classes[cls.name] = inventory.Class{Name: cls.name, Worth: cls.worth, Deadline: document.Duration(cls.deadline)}
	}
	return inventory.NewIndex(cfg)
}

func orgName(i int) string     { return fmt.Sprintf("org-%d", i) }
func engineName(i int) string  { return fmt.Sprintf("engine-%d", i) }
func serviceName(i int) string { return fmt.Sprintf("desk-%d", i) }
func domainName(i int) string  { return fmt.Sprintf("domain-%d", i%domainCount) }
