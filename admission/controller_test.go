package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"papayacroft/endpoint"
	"papayacroft/inventory"
	"papayacroft/routing"
)

// controllerRig is a controller with one endpoint, a, in one pool.
type controllerRig struct {
	controller *Controller
	tracker    *routing.Tracker
	view       routing.View
	rnd        *rand.Rand
}

func newControllerRig(kind inventory.PoolKind) *controllerRig {
	cfg := &inventory.Configuration{
		Owners:    map[string]inventory.Owner{"office": {Name: "office", ApprovedTeams: []string{"x/team", "y/team"}}},
		Pools:     map[string]inventory.Pool{"pool": {Name: "pool", Kind: kind, Models: []string{"writer"}}},
		Endpoints: map[string]inventory.Endpoint{"a": {Name: "a", Pool: "pool", Owner: "office"}},
	}
	trk := routing.NewTracker()
	ctl := NewController(trk)
	ctl.ObservePreemptions()
	return &controllerRig{ctl, trk, routing.View{Index: inventory.NewIndex(cfg), Statuses: trk}, rand.New(rand.NewPCG(1, 2))}
}

func (rig *controllerRig) submit(now time.Time, id, org, model string, worth float64, deadline time.Duration) []Outcome {
	req := routing.Request{ID: id, Team: inventory.TeamRef{Organisation: org, Team: "team"}, Class: fmt.Sprint("worth-", worth), Model: model, PromptTokens: 100}
	if model == "" {
		req.Pool = "pool"
	}
	return rig.controller.Submit(now, rig.rnd, rig.view, &Ticket{Request: req, Worth: worth, MaxTokens: 1000, Deadline: now.Add(deadline)})
}

// describe formats outcomes as "request:endpoint " or "request:code ".
func describe(outcomes []Outcome) string {
	text := ""
	for _, out := range outcomes {
		choice := string(out.Decision.Code)
		if out.Decision.Endpoint != nil {
			choice = out.Decision.Endpoint.Name
		}
		text += fmt.Sprintf("%s:%s ", out.Ticket.Request.ID, choice)
	}
	return text
}

func (rig *controllerRig) report(now time.Time, used int, preemptions int64) {
	rig.tracker.Report(now, "a", endpoint.Load{At: now, UsedTokens: used, CapacityTokens: 1000, Running: used / 100, Preemptions: preemptions})
}

// Guards against a request that is sent to an engine without free memory, or stays queued after the engine has reported
// free memory.
func TestControllerWaitsForMemory(t *testing.T) {
	rig := newControllerRig(inventory.PoolKindEngine)
	rig.report(testStart, 900, 0)
	if got, want := describe(rig.submit(testStart, "r1", "x", "writer", 1, time.Minute)), ""; got != want {
		t.Errorf("full: got %q, want %q", got, want)
	}
	later := testStart.Add(2 * time.Second)
	rig.report(later, 100, 0)
	outcomes := rig.controller.Dispatch(later, rig.rnd, rig.view)
	if got, want := describe(outcomes), "r1:a "; got != want {
		t.Fatalf("free: got %q, want %q", got, want)
	}
	if got, want := outcomes[0].Waited, 2*time.Second; got != want {
		t.Errorf("waited: got %s, want %s", got, want)
	}
	if got := rig.tracker.Status("a").OwnRunning; got != 1 {
		t.Errorf("running: got %d, want 1", got)
	}
}

// Guards against requests that are admitted into memory already reserved for others, as the engine's next report is yet
// to come.
func TestControllerReservesSentRequests(t *testing.T) {
	rig := newControllerRig(inventory.PoolKindEngine)
	rig.report(testStart, 100, 0)
	sent := 0
	for i := range 10 {
		sent += len(rig.submit(testStart, fmt.Sprint(i), "x", "writer", 1, time.Minute))
	}
	if sent == 0 || sent >= 4 {
		t.Errorf("got %d sent into 900 free tokens with 100 of prompt and 256 reserved each, want 1 to 3", sent)
	}
}

// Guards against refusals with a wrong code, and against a full queue that grows.
func TestControllerRefusals(t *testing.T) {
	rig := newControllerRig(inventory.PoolKindEngine)
	rig.controller.Queue.Capacity = 1
	rig.report(testStart, 950, 0)
	rig.submit(testStart, "cheap", "x", "writer", 1, 3*time.Second)
	if got, want := describe(rig.submit(testStart, "dear", "x", "writer", 30, 5*time.Second)), "cheap:overloaded "; got != want {
		t.Errorf("full queue: got %q, want %q", got, want)
	}
	if got, want := describe(rig.controller.Dispatch(testStart.Add(5*time.Second), rig.rnd, rig.view)), "dear:deadlineExceeded "; got != want {
		t.Errorf("deadline: got %q, want %q", got, want)
	}
	if got, want := describe(rig.submit(testStart, "stranger", "z", "writer", 1, time.Second)), "stranger:notApproved "; got != want {
		t.Errorf("unapproved: got %q, want %q", got, want)
	}
}

// Guards against calls to plain services that wait for longer than serviceWait.
func TestControllerServiceWait(t *testing.T) {
	rig := newControllerRig(inventory.PoolKindService)
	for i := range startWindow {
		if got, want := describe(rig.submit(testStart, "r", "x", "", 1, time.Minute)), "r:a "; got != want {
			t.Fatalf("call %d: got %q, want %q", i, got, want)
		}
	}
	rig.submit(testStart, "late", "x", "", 1, time.Minute)
	if got, want := describe(rig.controller.Dispatch(testStart.Add(serviceWait), rig.rnd, rig.view)), "late:deadlineExceeded "; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// Guards against a level that ignores preemptions in load reports, or that counts all preemptions of a shared engine as
// this daemon's.
func TestControllerLearnsFromPreemptions(t *testing.T) {
	rig := newControllerRig(inventory.PoolKindEngine)
	rig.report(testStart, 100, 5)
	rig.submit(testStart, "r", "x", "writer", 1, time.Minute)
	rig.report(testStart.Add(time.Second), 400, 7)
	if got, most := rig.controller.Level.Value(), startLevel+2*levelStep; got <= startLevel || got >= most {
		t.Errorf("got %.3f, want above %.3f and below %.3f", got, startLevel, most)
	}
}

// Guards against a margin for an organisation that is the only one, which would leave memory unused, and against none
// for an organisation with most of the served tokens.
func TestControllerMargin(t *testing.T) {
	rig := newControllerRig(inventory.PoolKindEngine)
	que := rig.controller.Queue
	que.Served(testStart, "x", 1000)
	if got := rig.controller.margin("x"); got != 0 {
		t.Errorf("alone: got %.2f, want 0", got)
	}
	que.Served(testStart, "y", 500)
	if got, want := rig.controller.margin("x"), maxShareMargin; got != want {
		t.Errorf("with two thirds: got %.2f, want %.2f", got, want)
	}
	if got := rig.controller.margin("y"); got != 0 {
		t.Errorf("with a third: got %.2f, want 0", got)
	}
}
