package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"go.yaml.in/yaml/v3"

	"papayacroft/catalog"
)

// sentPrompt is a prompt that the daemon sent before the decision of a case.
type sentPrompt struct {
	Engine string
	// Parts are written as ID:TOKENS, separated by commas.
	Parts string
	Ago   time.Duration
	// First is the time to the first event, and Ended says whether the generation has ended since, after the event if
	// there was one.
	First time.Duration
	Ended bool
	// Ahead is the number of tokens of other prompts that waited there.
	Ahead int
	// Times is the number of such prompts, 1 if it is 0.
	Times int
}

type prefixCase struct {
	Name, Guards string
	Off          bool
	Engines      map[string]deskEngine
	// Homes are the engines that must be the homes of the request's first part, so that the case means what it says.
	Homes     []string
	Sent      []sentPrompt
	Restarted []string
	Request   struct {
		Tokens, Prefill int
		Target          time.Duration
		Parts           string
		Force           bool
	}
	// Want is the chosen engine, and Held the number of tokens that it must be expected to hold; At is the engine whose
	// tokens Held means if another one is chosen.
	Want, At string
	Held     int
	Reason   Reason
}

// TestPrefixChoice checks one decision for each case of testdata/prefix.yaml.
func TestPrefixChoice(t *testing.T) {
	data, err := os.ReadFile("testdata/prefix.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var cases []prefixCase
	if err := yaml.Unmarshal(data, &cases); err != nil || len(cases) == 0 {
		t.Fatalf("got %d cases, error %v; want some", len(cases), err)
	}
	for _, cse := range cases {
		t.Run(cse.Name, func(t *testing.T) {
			t.Log(cse.Guards)
			for seed := range uint64(20) {
				cse.check(t, rand.New(rand.NewPCG(seed, 1)))
			}
		})
	}
}

func (cse *prefixCase) check(t *testing.T, rnd *rand.Rand) {
	t.Helper()
	cat := catalog.NewCatalog(1, nil, []catalog.Service{{Name: "pool", Engine: &catalog.Engine{Slots: 24, CapacityTokens: 26912}}}, nil)
	vew := catalog.FleetView{Endpoints: map[string]catalog.Endpoint{}, Leaving: map[string]catalog.LeavingMark{}}
	bal := NewBalancer()
	bal.FailureDomain, bal.Prefixes.Enabled = "a", !cse.Off
	for id := range cse.Engines {
		vew.Endpoints[id] = catalog.Endpoint{ID: id, Service: "pool", FailureDomain: cse.Engines[id].Domain, State: catalog.StateReady, Slots: 24, StartedAt: 1}
	}
	engine := cat.Services["pool"].Engine
	for _, one := range cse.Sent {
		edp := vew.Endpoints[one.Engine]
		for range max(1, one.Times) {
			one.send(bal, &edp, engine)
		}
	}
	for id, eng := range cse.Engines {
		eng.apply(bal, id)
		if eng.Leaves {
			vew.Leaving[id] = catalog.LeavingMark{At: testNow}
		}
	}
	req := Request{
		Service: "pool", Work: Work{Tokens: cse.Request.Tokens, Prefill: cse.Request.Prefill}, Target: cse.Request.Target,
		Force: cse.Request.Force, Parts: parseParts(cse.Request.Parts),
	}
	// An earlier decision has set the homes of the part.
	bal.planPrefix(testNow, cat, vew, &req, false)
	for _, id := range cse.Restarted {
		edp := vew.Endpoints[id]
		edp.StartedAt++
		vew.Endpoints[id] = edp
	}
	bal.Prefixes.Forget(testNow, vew)
	cse.checkHomes(t, bal.candidates(vew, &req, false))
	cho := bal.Choose(testNow, rnd, cat, vew, &req)
	got := ""
	if cho.Endpoint != nil {
		got = cho.Endpoint.ID
	}
	if got != cse.Want || cho.Reason != cse.Reason {
		t.Fatalf("got endpoint %q, reason %q (%s), want %q, %q", got, cho.Reason, cho, cse.Want, cse.Reason)
	}
	held := cho.Held
	if cse.At != "" {
		held = bal.planPrefix(testNow, cat, vew, &req, false).heldAt(cse.At)
	}
	if held != cse.Held {
		t.Fatalf("got %d tokens held, want %d", held, cse.Held)
	}
}

// checkHomes checks that the homes of the request's first part are those that the case names.
func (cse *prefixCase) checkHomes(t *testing.T, candidates []candidate) {
	t.Helper()
	if cse.Homes == nil {
		return
	}
	got := map[string]bool{}
	for _, one := range homesOf(partKeys(parseParts(cse.Request.Parts))[0], candidates) {
		got[one.id] = true
	}
	for _, id := range cse.Homes {
		if !got[id] {
			t.Fatalf("got homes %v, want %v", got, cse.Homes)
		}
	}
}

// send replays a prompt.
func (snt *sentPrompt) send(bal *Balancer, edp *catalog.Endpoint, engine *catalog.Engine) {
	at := testNow.Add(-snt.Ago)
	parts := parseParts(snt.Parts)
	prompt := 0
	for _, part := range parts {
		prompt += part.Tokens
	}
	other := bal.Begin(edp.ID, Work{Prefill: snt.Ahead})
	rdg := bal.BeginPrompt(at, edp, engine, &Request{Service: "pool", Work: Work{Prefill: prompt}, Parts: parts})
	bal.End(other)
	if snt.First > 0 {
		bal.Prefixes.Started(at.Add(snt.First), rdg)
	}
	if snt.Ended {
		bal.Prefixes.End(at.Add(snt.First), rdg)
	}
}

// parseParts parses parts that are written as ID:TOKENS, separated by commas.
func parseParts(text string) []Part {
	var parts []Part
	for _, one := range strings.Split(text, ",") {
		if id, tokens, ok := strings.Cut(strings.TrimSpace(one), ":"); ok {
			count, _ := strconv.Atoi(tokens)
			parts = append(parts, Part{ID: id, Tokens: count})
		}
	}
	return parts
}

// An engine that holds a large part must be chosen as long as the wait there costs less than reading the part and making
// one more copy of it, and no longer: otherwise requests queue at the holder, or the part is read everywhere.
func TestPrefixIsWorthAComputedWait(t *testing.T) {
	const prompt, shared = 2500, 2000
	target := 1500 * time.Millisecond
	// Scores of the two engines are equal at this number of tokens that wait at the holder. The
	// use of both is the memory for the request, the same.
	perToken := 1.0 / prefillTokensPerSecond / target.Seconds()
	// The homes are idle, and the daemon has had one request with the part a second ago.
	relief := prompt * perToken / delayLimit * math.Exp(-time.Second.Seconds()/demandPeriod.Seconds()) / copyDemand
	equal := shared + copyWeight*(shared-smallPart)*(1-relief)
	noise := distancePenalty / 2 / perToken
	for _, one := range []struct {
		pending float64
		want    string
	}{{equal - 1.1*noise, "e4"}, {equal + 1.1*noise, "e2"}} {
		cse := prefixCase{
			Engines: map[string]deskEngine{
				"e1": {Domain: "a", Unreachable: true}, "e2": {Domain: "a"}, "e3": {Domain: "a", Unreachable: true},
				"e4": {Domain: "a", Peers: map[string]Usage{"two": {Flights: 1, Prefill: int(one.pending)}}},
			},
			Homes: []string{"e1", "e3"},
			Sent:  []sentPrompt{{Engine: "e4", Parts: "part:2000,a:500", Ago: time.Second, First: 357 * time.Millisecond, Ended: true}},
			Want:  one.want,
		}
		if one.want == "e4" {
			cse.Held = shared
		}
		cse.Request.Tokens, cse.Request.Prefill, cse.Request.Target, cse.Request.Parts = 2600, prompt, target, "part:2000,b:500"
		t.Run(fmt.Sprintf("%.0fTokensWait", one.pending), func(t *testing.T) {
			for seed := range uint64(20) {
				cse.check(t, rand.New(rand.NewPCG(seed, 1)))
			}
		})
	}
}

// The record must stay within its bound whatever ids callers invent, and keep what was used last. It must empty itself
// when nothing is sent any more.
func TestPrefixesAreBounded(t *testing.T) {
	prf, bal := NewPrefixes(), NewBalancer()
	prf.Enabled, bal.Prefixes = true, prf
	edp := catalog.Endpoint{ID: "e", Service: "pool"}
	engine := &catalog.Engine{CapacityTokens: 26912}
	now := testNow
	for i := range maxPrefixEntries {
		now = now.Add(time.Millisecond)
		rdg := bal.BeginPrompt(now, &edp, engine, &Request{Service: "pool", Work: Work{Prefill: 100}, Parts: []Part{{strconv.Itoa(i), 50}, {"own" + strconv.Itoa(i), 50}}})
		prf.Started(now, rdg)
		prf.End(now, rdg)
	}
	if got, want := prf.Len(), maxPrefixEntries; got != want {
		t.Errorf("got %d entries, want %d", got, want)
	}
	last := []Part{{strconv.Itoa(maxPrefixEntries - 1), 50}, {"new", 50}}
	if got, want := prf.expect(now, Incarnation{Endpoint: "e"}, partKeys(last), last, 100).tokens, 50; got != want {
		t.Errorf("got %d tokens held of the last prompt, want %d", got, want)
	}
	prf.Forget(now.Add(seenRetention), catalog.FleetView{Endpoints: map[string]catalog.Endpoint{"e": edp}})
	if got, want := prf.Len(), 0; got != want {
		t.Errorf("got %d entries after %s without use, want %d", got, seenRetention, want)
	}
}

// A prompt that was refused or not read must leave no record; otherwise later requests wait for an engine that holds
// nothing. One that still runs must keep its record for longer than heldRetention.
func TestPrefixRecordFollowsTheGeneration(t *testing.T) {
	bal := NewBalancer()
	bal.Prefixes.Enabled = true
	edp := catalog.Endpoint{ID: "e", Service: "pool", StartedAt: 1}
	engine := &catalog.Engine{CapacityTokens: 26912}
	req := &Request{Service: "pool", Work: Work{Prefill: 1000}, Parts: []Part{{"system", 600}, {"own", 400}}}
	held := func(now time.Time) int {
		return bal.Prefixes.expect(now, Incarnation{Endpoint: "e", StartedAt: 1}, partKeys(req.Parts), req.Parts, 1000).tokens
	}
	rdg := bal.BeginPrompt(testNow, &edp, engine, req)
	bal.Prefixes.End(testNow, rdg)
	if got, want := held(testNow), 0; got != want {
		t.Errorf("got %d tokens held after a refusal, want %d", got, want)
	}
	rdg = bal.BeginPrompt(testNow, &edp, engine, req)
	bal.Prefixes.Started(testNow.Add(time.Second), rdg)
	late := testNow.Add(heldRetention + 2*time.Second)
	bal.Prefixes.Forget(late, catalog.FleetView{Endpoints: map[string]catalog.Endpoint{"e": edp}})
	if got, want := held(late), 999; got != want {
		t.Errorf("got %d tokens held while the generation runs, want %d", got, want)
	}
	bal.Prefixes.End(late, rdg)
	if got, want := held(late.Add(heldRetention)), 0; got != want {
		t.Errorf("got %d tokens held %s after the end, want %d", got, heldRetention, want)
	}
	bal.Prefixes.Started(late, bal.BeginPrompt(late, &edp, engine, req))
	bal.Prefixes.Drop(late, Incarnation{Endpoint: "e", StartedAt: 1})
	if got, want := held(late), 0; got != want {
		t.Errorf("got %d tokens held after the engine crashed, want %d", got, want)
	}
}

// Daemons that know the engines in different orders must choose the same homes, or hot parts are read by all engines; and
// parts must be spread over the engines, or two engines get all requests.
func TestHomesAgree(t *testing.T) {
	var one, other []candidate
	for i := range 20 {
		own := candidate{id: fmt.Sprintf("engine-%d", i)}
		one, other = append(one, own), append([]candidate{own}, other...)
	}
	count := map[string]int{}
	for i := range 200 {
		key := partKeys([]Part{{strconv.Itoa(i), 100}})[0]
		got, want := homesOf(key, one), homesOf(key, other)
		if len(got) != homeCount || got[0].id != want[0].id || got[1].id != want[1].id || got[0].id == got[1].id {
			t.Fatalf("got homes %v, want two as in another order: %v", got, want)
		}
		count[got[0].id]++
		count[got[1].id]++
	}
	for _, own := range one {
		if got := count[own.id]; got < 8 || got > 40 {
			t.Errorf("got %d parts at home at %s, want about 20", got, own.id)
		}
	}
}

// Without the switch nothing may be recorded or weighed, and a service of its own may be switched on (R1).
func TestPrefixSwitch(t *testing.T) {
	bal := NewBalancer()
	edp := catalog.Endpoint{ID: "e", Service: "pool"}
	engine := &catalog.Engine{CapacityTokens: 26912}
	req := &Request{Service: "pool", Work: Work{Prefill: 100}, Parts: []Part{{"system", 60}, {"own", 40}}}
	if got := bal.BeginPrompt(testNow, &edp, engine, req); got != nil || bal.Prefixes.Len() != 0 {
		t.Errorf("got reading %v and %d entries, want none", got, bal.Prefixes.Len())
	}
	bal.Prefixes.EnableService("pool")
	if got := bal.BeginPrompt(testNow, &edp, engine, req); got == nil {
		t.Error("got no reading, want one of the service that is switched on")
	}
	if bal.Prefixes.IsEnabled("other") {
		t.Error("got the mechanism on for another service, want it off")
	}
}
