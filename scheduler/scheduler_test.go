package scheduler

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"go.yaml.in/yaml/v3"

	"papayacroft/catalog"
	"papayacroft/dispatch"
)

type decisionTicket struct {
	ID                     string
	Tokens, Prompt         int
	Priority               int
	Target, Deadline, Runs float64
	Retried, Resent        bool
}

type decisionStep struct {
	At          float64
	Submit      *decisionTicket
	End, Remove string
	Stop        bool
	Waiting     map[string]map[int]int
	Sent        map[string]string
	Refused     map[string]dispatch.Reason
	Waits       []string
}

type decisionCase struct {
	Name, Guards string
	Capacity     int
	// Engines has the number of streams that run at each engine.
	Engines map[string]int
	// Shares has the parts of the engines of peers that this daemon uses, too; nil means all.
	Shares map[string]float64
	Steps  []decisionStep
}

// decisions is the state of one case.
type decisions struct {
	sch     *Scheduler
	vew     *View
	flights map[string][]*dispatch.Flight
}

// Guards against the failures that the cases of testdata/decisions.yaml describe.
func TestDecisions(t *testing.T) {
	data, err := os.ReadFile("testdata/decisions.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var cases []decisionCase
	if err := yaml.Unmarshal(data, &cases); err != nil || len(cases) == 0 {
		t.Fatalf("got %d cases, error %v; want some", len(cases), err)
	}
	for _, cas := range cases {
		t.Run(cas.Name, func(t *testing.T) {
			t.Log(cas.Guards)
			dec := newDecisions(&cas)
			for i := range cas.Steps {
				dec.check(t, i, &cas.Steps[i])
			}
		})
	}
}

func newDecisions(cas *decisionCase) *decisions {
	bal := dispatch.NewBalancer()
	bal.Serial = true
	dec := &decisions{sch: New(bal), flights: map[string][]*dispatch.Flight{}}
	dec.sch.Name = "a"
	if cas.Capacity > 0 {
		dec.sch.Queue.Capacity = cas.Capacity
	}
	engine := &catalog.Engine{Slots: engineSlots, CapacityTokens: engineTokens}
	dec.vew = &View{
		Shares: cas.Shares,
		Catalog: catalog.NewCatalog(1, []catalog.Route{
			{Name: "urgent", Target: 1500 * time.Millisecond, Shares: []catalog.Share{{Service: "pool", Weight: 1}}},
		}, []catalog.Service{{Name: "pool", Engine: engine}}, nil),
		Fleet: catalog.FleetView{Endpoints: map[string]catalog.Endpoint{}},
	}
	for id, streams := range cas.Engines {
		dec.vew.Fleet.Endpoints[id] = catalog.Endpoint{ID: id, Service: "pool", State: catalog.StateReady, Slots: engineSlots}
		for range streams {
			dec.flights[id] = append(dec.flights[id], bal.Begin(id, dispatch.Work{Tokens: 4000}))
		}
	}
	return dec
}

// check runs a step and compares its outcomes.
func (dec *decisions) check(t *testing.T, number int, stp *decisionStep) {
	t.Helper()
	now := time.Unix(1_700_000_000, 0).Add(time.Duration(stp.At * float64(time.Second)))
	sent, refused := map[string]string{}, map[string]dispatch.Reason{}
	for _, out := range dec.run(now, stp) {
		id := out.Ticket.Value.(string)
		if out.Choice.Endpoint != nil {
			sent[id] = out.Choice.Endpoint.ID
			continue
		}
		refused[id] = out.Choice.Reason
		least, most := 100*time.Millisecond, max(100*time.Millisecond, out.Ticket.Deadline.Sub(now)/3)
		if out.Choice.Reason != dispatch.ReasonNoEndpoint && (out.RetryAfter < least || out.RetryAfter > most) {
			t.Errorf("step %d: got Retry-After %v of %s, want %v to %v", number, out.RetryAfter, id, least, most)
		}
	}
	var waits []string
	for _, itm := range dec.sch.Queue.Order(now) {
		waits = append(waits, itm.Value.(*Ticket).Value.(string))
	}
	slices.Sort(waits)
	slices.Sort(stp.Waits)
	if !maps.Equal(sent, stp.Sent) || !maps.Equal(refused, stp.Refused) || !slices.Equal(waits, stp.Waits) {
		t.Errorf("step %d: got sent %v, refused %v, waiting %v; want %v, %v, %v", number, sent, refused, waits, stp.Sent, stp.Refused, stp.Waits)
	}
}

func (dec *decisions) run(now time.Time, stp *decisionStep) []Outcome {
	rnd := rand.New(rand.NewPCG(1, 1))
	for peer, tokens := range stp.Waiting {
		dec.sch.Waiting.Set(now, peer, dispatch.WaitingTokens{"pool": tokens})
	}
	if stp.End != "" {
		dec.sch.Balancer.End(dec.flights[stp.End][0])
		dec.flights[stp.End] = dec.flights[stp.End][1:]
	}
	delete(dec.vew.Fleet.Endpoints, stp.Remove)
	switch {
	case stp.Stop:
		return dec.sch.Stop(now, rnd, dec.vew)
	case stp.Submit != nil:
		return dec.sch.Submit(now, rnd, dec.vew, stp.Submit.ticket(now))
	}
	return dec.sch.Pass(now, rnd, dec.vew)
}

// ticket returns the ticket with defaults for what the step leaves open.
func (one *decisionTicket) ticket(now time.Time) *Ticket {
	after := func(seconds, usual float64) time.Time {
		if seconds == 0 {
			seconds = usual
		}
		return now.Add(time.Duration(seconds * float64(time.Second)))
	}
	tkt := &Ticket{
		Organisation: "one", Route: fmt.Sprint("route", one.Priority), Priority: one.Priority, Retried: one.Retried, Resent: one.Resent, Value: one.ID,
		TargetAt: after(one.Target, 4), Deadline: after(one.Deadline, 39), Runs: time.Duration(max(one.Runs, 0.5) * float64(time.Second)),
		Request: dispatch.Request{Service: "pool", Target: after(one.Target, 4).Sub(now), Work: dispatch.Work{Tokens: one.Tokens, Prefill: one.Prompt}},
	}
	if one.Target < 0 {
		tkt.TargetAt, tkt.Request.Target = time.Time{}, 0
	}
	if one.Runs > 0 {
		tkt.Runs = time.Duration(one.Runs * float64(time.Second))
	}
	if one.Tokens == 0 {
		tkt.Request.Work = dispatch.Work{Tokens: 4000, Prefill: 100}
	}
	return tkt
}
