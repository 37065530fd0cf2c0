package admission

import (
	"math/rand/v2"
	"time"

	"papayacroft/routing"
)

// serviceWait limits how long a call waits for a plain service: an early refusal delays the caller less than a late
// answer.
const serviceWait = time.Second

const (
	// largeShare is the share of the recently served tokens above which an organisation must leave memory free for the
	// other organisations.
	largeShare = 0.35
	// maxShareMargin is the largest share of each engine's memory that such an organisation must leave free.
	maxShareMargin = 0.25
)

// Ticket is a request that waits for an endpoint, with the values on which its place in the queue and its reservation
// depend.
type Ticket struct {
	Request   routing.Request
	Rank      int
	Worth     float64
	MaxTokens int
	Deadline  time.Time

	kind Kind
	item *Item
	// charge is the number of tokens that the organisation was charged at the start, by estimate.
	charge float64
}

// Outcome is the result of a ticket: a decision with an endpoint, or a refusal.
type Outcome struct {
	Ticket   *Ticket
	Decision routing.Decision
	// Flight is the tracker's record of the generation; it is nil for plain services and refusals.
	Flight *routing.Flight
	// Waited is how long the ticket was in the queue.
	Waited time.Duration
}

// Controller queues requests until an endpoint can take them. Its callers serialize the calls, except for Progress.
type Controller struct {
	Tracker *routing.Tracker
	Lengths *Lengths
	Level   *Level
	Queue   *Queue
	// FixedLevel replaces the adaptive level if it is above 0, for measurements.
	FixedLevel float64

	// windows holds the window of each service pool.
	windows map[string]*Window
}

// NewController returns a controller without history.
func NewController(trk *routing.Tracker) *Controller {
	return &Controller{Tracker: trk, Lengths: &Lengths{}, Level: NewLevel(), Queue: NewQueue(), windows: map[string]*Window{}}
}

// ObservePreemptions makes the controller raise the level when the tracker's load reports show preemptions. As the
// engines are shared, preemptions are counted in proportion to this daemon's part of the generations on the engine.
func (ctl *Controller) ObservePreemptions() {
	trk := ctl.Tracker
	trk.OnPreempted = func(name string, count int64) {
		sta := trk.Status(name)
		if running := sta.OthersRunning + sta.OwnRunning; running > 0 {
			ctl.Level.Preempted(float64(count) * float64(sta.OwnRunning) / float64(running))
		}
	}
}

// Submit adds a ticket to the queue and returns the outcomes of all tickets that are decided as a result: sent ones,
// expired ones, and one that was dropped because the queue is full.
func (ctl *Controller) Submit(now time.Time, rnd *rand.Rand, vew routing.View, tkt *Ticket) []Outcome {
	resource := tkt.Request.Model
	if resource == "" {
		resource = tkt.Request.Pool
		if latest := now.Add(serviceWait); latest.Before(tkt.Deadline) {
			tkt.Deadline = latest
		}
	}
	tkt.kind = Kind{tkt.Request.Class, tkt.Request.Model}
	tkt.item = &Item{
		ID: tkt.Request.ID, Organisation: tkt.Request.Team.Organisation, Class: tkt.Request.Class, Resource: resource,
		Rank: tkt.Rank, Worth: tkt.Worth, Deadline: tkt.Deadline, Value: tkt,
	}
	var outcomes []Outcome
	if tkt.Request.Model != "" {
		tkt.item.Target = routing.TargetFirst
	}
	if victim := ctl.Queue.Push(now, tkt.item); victim != nil {
		outcomes = append(outcomes, refuse(now, victim, routing.CodeOverloaded, "the waiting queue is full and the request is of least worth"))
	}
	return append(outcomes, ctl.Dispatch(now, rnd, vew)...)
}

// Dispatch refuses tickets whose deadline has passed, sends waiting tickets for which an endpoint can be found, and
// returns their outcomes.
func (ctl *Controller) Dispatch(now time.Time, rnd *rand.Rand, vew routing.View) []Outcome {
	var outcomes []Outcome
	for _, itm := range ctl.Queue.Expire(now) {
		outcomes = append(outcomes, refuse(now, itm, routing.CodeDeadlineExceeded, "no endpoint took the request before its class's deadline"))
	}
	blocked := Blocked{}
	for itm := ctl.Queue.Next(now, blocked); itm != nil; itm = ctl.Queue.Next(now, blocked) {
		tkt := itm.Value.(*Ticket)
		if !ctl.windowOpen(tkt) {
			blocked.Add(itm.Resource, "")
			continue
		}
		if tkt.Request.Model != "" {
			tkt.Request.Reserve, tkt.Request.Level = ctl.remaining(tkt, 0), ctl.level()
			tkt.Request.Margin = ctl.margin(itm.Organisation)
			tkt.Request.Waited, tkt.Request.Urgent = now.Sub(itm.enqueuedAt), ctl.Queue.Urgent(now, itm)
		}
		dec := routing.Decide(now, rnd, vew, tkt.Request)
		if dec.Code == routing.CodeNoEndpoint && tkt.Request.Model != "" {
			if tkt.Request.Margin == 0 {
				blocked.Add(itm.Resource, "")
			} else {
				blocked.Add(itm.Resource, itm.Organisation)
			}
			continue
		}
		ctl.Queue.Remove(itm)
		out := Outcome{Ticket: tkt, Decision: dec, Waited: now.Sub(itm.enqueuedAt)}
		if dec.Endpoint != nil {
			out.Flight = ctl.begin(now, tkt, dec.Endpoint.Name)
		}
		outcomes = append(outcomes, out)
	}
	return outcomes
}

// Cancel removes a ticket whose caller no longer waits, and reports whether the ticket was still in the queue.
func (ctl *Controller) Cancel(tkt *Ticket) bool {
	return tkt.item != nil && ctl.Queue.Remove(tkt.item)
}

// windowOpen reports whether the window of a service pool allows another call; requests to engines have no window.
func (ctl *Controller) windowOpen(tkt *Ticket) bool {
	return tkt.Request.Model != "" || ctl.window(tkt.Request.Pool).Open()
}

func (ctl *Controller) window(pool string) *Window {
	win, ok := ctl.windows[pool]
	if !ok {
		win = NewWindow()
		ctl.windows[pool] = win
	}
	return win
}

// begin counts a ticket as sent to an endpoint and charges its organisation: one unit for a call to a plain service,
// the prompt and the reserved output for a generation.
func (ctl *Controller) begin(now time.Time, tkt *Ticket, name string) *routing.Flight {
	if tkt.Request.Model == "" {
		ctl.window(tkt.Request.Pool).Sent()
		ctl.Queue.Served(now, tkt.Request.Team.Organisation, 1)
		return nil
	}
	tkt.charge = float64(tkt.Request.PromptTokens + tkt.Request.Reserve)
	ctl.Queue.Served(now, tkt.Request.Team.Organisation, tkt.charge)
	return ctl.Tracker.Begin(now, name, tkt.Request.PromptTokens, tkt.Request.Reserve)
}

// Progress replaces the reservation of a running generation by a new estimate. It may be called concurrently with the
// other methods.
func (ctl *Controller) Progress(now time.Time, tkt *Ticket, flt *routing.Flight) {
	flt.Progress(now, ctl.remaining(tkt, flt.Generated()))
}

// remaining estimates how many tokens a generation will still decode, at the current level.
func (ctl *Controller) remaining(tkt *Ticket, generated int) int {
	return ctl.Lengths.Remaining(tkt.kind, generated, tkt.MaxTokens, ctl.level())
}

// margin returns the share of each engine's memory that an organisation must leave free for the others, which is above
// 0 if it has more than largeShare of the recently served tokens. It never exceeds the share of the other
// organisations, so that an organisation that is the only one may use all memory.
func (ctl *Controller) margin(organisation string) float64 {
	part := ctl.Queue.Share(organisation)
	return max(0, min(maxShareMargin, part-largeShare, 1-part))
}

func (ctl *Controller) level() float64 {
	if ctl.FixedLevel > 0 {
		return ctl.FixedLevel
	}
	return ctl.Level.Value()
}

// Ended releases the reservation of a generation and corrects its organisation's charge to the tokens that were served.
// The estimates learn from it only if it completed, not if it was lost or cancelled.
func (ctl *Controller) Ended(now time.Time, tkt *Ticket, flt *routing.Flight, completed bool) {
	flt.End(now)
	ctl.Queue.Served(now, tkt.Request.Team.Organisation, float64(tkt.Request.PromptTokens+flt.Generated())-tkt.charge)
	if completed {
		ctl.Lengths.Observe(tkt.kind, flt.Generated())
		ctl.Level.Completed()
		ctl.Tracker.Completed(tkt.Request.PromptTokens, flt.Generated())
	}
}

// ServiceCallEnded counts the end of a call to a plain service and adapts the pool's window to the endpoint's load
// report.
func (ctl *Controller) ServiceCallEnded(tkt *Ticket, name string) {
	lod := ctl.Tracker.Status(name).Load
	ctl.window(tkt.Request.Pool).Finished(lod.Waiting > lod.Running)
}

// refuse returns the outcome of an item that has left the queue without an endpoint.
func refuse(now time.Time, itm *Item, code routing.Code, reason string) Outcome {
	return Outcome{Ticket: itm.Value.(*Ticket), Decision: routing.Decision{Code: code, Reason: reason}, Waited: now.Sub(itm.enqueuedAt)}
}
