// Package scheduler decides in which order waiting requests of the gateway are sent to endpoints, which of them are refused, and
// when refused callers should come back. It does no input or output; its callers serialize the calls and pass the current time.
package scheduler

import (
	"math/rand/v2"
	"time"

	"papayacroft/admission"
	"papayacroft/catalog"
	"papayacroft/dispatch"
)

const (
	// maxHeads limits the waiting requests that each later one is compared with.
	maxHeads = 4
	// maxTries limits the requests of a service for which a pass finds no endpoint, as a daemon may have 0.15 of a core and each
	// of them is compared with each engine.
	maxTries = 32
	// turnTime is the time for which each daemon waits for those that go before it at an endpoint: in it, they hear of the capacity, use
	// it and tell. maxTurns limits the wait.
	turnTime = 12 * time.Millisecond
	maxTurns = 8
)

// The reasons for which a request is refused, besides those of package dispatch.
const (
	// ReasonTooLate means that the request is expected to miss its target and to wait for long.
	ReasonTooLate dispatch.Reason = "expected too late"
	// ReasonOverdue means that the request has waited until it could no longer be on time, while others could.
	ReasonOverdue dispatch.Reason = "overdue"
	// ReasonExpired means that the deadline of the request is too near to send it.
	ReasonExpired dispatch.Reason = "expired"
	// ReasonOverflow means that the queue was full and the request was the last one in its order.
	ReasonOverflow dispatch.Reason = "queue is full"
	// ReasonStopping means that the daemon stops.
	ReasonStopping dispatch.Reason = "stopping"
)

// View is what the decisions depend on besides the requests.
type View struct {
	Catalog *catalog.Catalog
	Fleet   catalog.FleetView
	// Preferred are the engines that this daemon uses; nil means all.
	Preferred map[string]bool
	// Users are the daemons that use each engine; nil means all daemons.
	Users map[string][]string
	// Shares has, for each other daemon, the part of its engines that this one uses, too; nil means all.
	Shares map[string]float64
}

// Ticket is a request that is to be sent to an endpoint.
type Ticket struct {
	Organisation string
	// Route is the name of the request's route.
	Route string
	// Priority of the request; 0 is the highest.
	Priority int
	// Request has the service, the work and the target; Choose adds the rest.
	Request dispatch.Request
	// Runs is how long the request is expected to run.
	Runs time.Duration
	// TargetAt is when the first event should arrive; zero without a target.
	TargetAt time.Time
	// Deadline is when the caller stops waiting. A plain call is sent to a full endpoint then.
	Deadline time.Time
	// Retried is true if the caller was refused before.
	Retried bool
	// Resent is true if the request was sent to an endpoint before, which did not answer it.
	Resent bool
	// Plain marks a call that is never refused for lack of capacity.
	Plain bool
	// Value is data of the caller.
	Value any

	item *admission.Item
	// asks is the endpoint for which the ticket asks for a permit; empty if it doesn't.
	asks string
	// free has the endpoints that had capacity for the ticket in the last pass.
	free map[string]freeSince
	// position is the number of waiting requests in front of the ticket at its arrival, and sentBefore that of the requests that
	// had been sent until then.
	position   int
	sentBefore int
}

// freeSince is when a ticket first found an endpoint free, and the last pass in which it did.
type freeSince struct {
	at   time.Time
	pass int
}

// priority returns the priority that a ticket has among all daemons.
func (tkt *Ticket) priority(now time.Time) int {
	if tkt.item.IsLate(now) {
		return dispatch.LatePriority
	}
	return tkt.Priority
}

// Outcome is the end of a ticket's wait.
type Outcome struct {
	Ticket *Ticket
	// Choice has the endpoint, or the reason why there is none.
	Choice dispatch.Choice
	// Flight is the request's work at the endpoint, which counts already; nil without an endpoint.
	Flight *dispatch.Flight
	// Waited is how long the ticket was in the queue. Position is the number of requests that were in front of it at its
	// arrival, and Overtaken the number of those that were sent while it waited.
	Waited              time.Duration
	Position, Overtaken int
	// RetryAfter is when the caller should come back if the request is refused.
	RetryAfter time.Duration
	// AtOnce is true if the request was refused at its arrival.
	AtOnce bool
}

// Scheduler holds the waiting requests of one daemon.
type Scheduler struct {
	// Name is the name of the daemon.
	Name     string
	Balancer *dispatch.Balancer
	Queue    *admission.Queue
	// Waiting is what waits at the other daemons.
	Waiting *dispatch.Waiting
	Lengths *admission.Predictor
	Level   *admission.Level
	// Stopping makes the scheduler refuse all requests that would have to wait.
	Stopping bool
	// NextAt is when the first of the waiting requests may find capacity without any event, such as the end of a request: prompts are
	// computed, or an endpoint may be asked for a permit again. It is zero without a waiting request.
	NextAt time.Time

	runs runTimes
	// asking are the endpoints for which a ticket that was sent asks for a permit.
	asking map[string]bool
	sent   int
	// passes counts the calls of sendWaiting.
	passes int
}

// New returns a scheduler without waiting requests.
func New(bal *dispatch.Balancer) *Scheduler {
	que := admission.NewQueue()
	que.ByTarget = true
	return &Scheduler{
		Balancer: bal, Queue: que, Waiting: dispatch.NewWaiting(), Lengths: admission.NewPredictor(),
		Level: admission.NewLevel(), runs: runTimes{}, asking: map[string]bool{},
	}
}

// Submit adds a ticket and returns the outcomes of all tickets that are decided as a result. The ticket waits if it is not
// among them.
func (sch *Scheduler) Submit(now time.Time, rnd *rand.Rand, vew *View, tkt *Ticket) []Outcome {
	tkt.item = tkt.newItem()
	order := sch.Queue.Order(now)
	victim := sch.Queue.Push(now, tkt.item)
	tkt.position, tkt.sentBefore = len(order), sch.sent
	for at, itm := range sch.Queue.Order(now) {
		if itm == tkt.item {
			tkt.position = at
		}
	}
	var outcomes []Outcome
	if victim != nil {
		outcomes = append(outcomes, sch.refuse(now, rnd, vew, victim, dispatch.Choice{Reason: ReasonOverflow}, victim == tkt.item))
	}
	outcomes = append(outcomes, sch.Pass(now, rnd, vew)...)
	for i := range outcomes {
		if outcomes[i].Ticket == tkt {
			outcomes[i].AtOnce = outcomes[i].Choice.Endpoint == nil
			return outcomes
		}
	}
	switch {
	case tkt.Plain:
	case sch.Stopping:
		outcomes = append(outcomes, sch.drop(now, rnd, vew, tkt.item, dispatch.Choice{Reason: ReasonStopping}, true))
	case tkt.item.IsHopeless(now, sch.expectedWait(now, vew, tkt)):
		outcomes = append(outcomes, sch.drop(now, rnd, vew, tkt.item, dispatch.Choice{Reason: ReasonTooLate}, true))
	}
	return outcomes
}

// newItem returns the ticket's item in the queue. A request that is sent later than its LatestStart or its Deadline gets its
// first event too late even from an idle engine.
func (tkt *Ticket) newItem() *admission.Item {
	first := dispatch.PromptTime(tkt.Request.Prefill)
	itm := &admission.Item{
		Organisation: tkt.Organisation, Class: tkt.Route, Resource: tkt.Request.Service, Rank: -tkt.Priority,
		Deadline: tkt.Deadline.Add(-first), Tokens: tkt.Request.Tokens, Retried: tkt.Retried, Resent: tkt.Resent, Value: tkt,
	}
	if !tkt.TargetAt.IsZero() {
		itm.LatestStart = tkt.TargetAt.Add(-first)
	}
	return itm
}

// Pass refuses the tickets whose deadline is too near, sends waiting tickets for which there is capacity, in the order of the queue,
// refuses those of the others that are overdue, and returns the outcomes. It sends first, as a ticket that finds capacity takes none
// from others: those go before it.
func (sch *Scheduler) Pass(now time.Time, rnd *rand.Rand, vew *View) []Outcome {
	var outcomes []Outcome
	for _, itm := range sch.Queue.Expire(now) {
		outcomes = append(outcomes, sch.refuse(now, rnd, vew, itm, dispatch.Choice{Reason: ReasonExpired}, false))
	}
	outcomes = append(outcomes, sch.sendWaiting(now, rnd, vew)...)
	for _, itm := range sch.Queue.Overdue(now, sch.Waiting.Services(now, vew.Shares)) {
		outcomes = append(outcomes, sch.refuse(now, rnd, vew, itm, dispatch.Choice{Reason: ReasonOverdue}, false))
	}
	return outcomes
}

// sendWaiting sends the tickets for which there is capacity.
func (sch *Scheduler) sendWaiting(now time.Time, rnd *rand.Rand, vew *View) []Outcome {
	var outcomes []Outcome
	sch.NextAt = time.Time{}
	sch.passes++
	heads, tries := map[string][]*Ticket{}, map[string]int{}
	tried := map[*admission.Item]bool{}
	for order := sch.Queue.Order(now); len(order) > 0; {
		itm := order[0]
		order = order[1:]
		if tried[itm] || tries[itm.Resource] >= maxTries {
			continue
		}
		tried[itm] = true
		tkt := itm.Value.(*Ticket)
		cho, isHead := sch.choose(now, rnd, vew, tkt, heads[itm.Resource])
		switch {
		case cho.Endpoint != nil:
			outcomes = append(outcomes, sch.send(now, vew, itm, cho))
			// The charge of its organisation changes the order.
			order = sch.Queue.Order(now)
		case cho.Reason != dispatch.ReasonFull && cho.Reason != dispatch.ReasonLimited:
			// No wait helps.
			out := sch.drop(now, rnd, vew, itm, cho, false)
			out.RetryAfter = 0
			outcomes = append(outcomes, out)
		case isHead:
			tries[itm.Resource]++
			if tries[itm.Resource] == 1 {
				sch.wakeAt(now.Add(sch.Balancer.NextRoom(now, vew.Catalog, vew.Fleet, &tkt.Request)))
			}
			if len(heads[itm.Resource]) < maxHeads {
				heads[itm.Resource] = append(heads[itm.Resource], tkt)
			}
		}
	}
	return outcomes
}

// choose returns an endpoint for a ticket that delays none of the heads, which wait in front of it. isHead is false for a ticket
// that can't be sent because a head that needs no more can't.
func (sch *Scheduler) choose(now time.Time, rnd *rand.Rand, vew *View, tkt *Ticket, heads []*Ticket) (cho dispatch.Choice, isHead bool) {
	req := &tkt.Request
	req.Preferred, req.Force = vew.Preferred, false
	// A request that is late already, or has no target, may wait for other prompts as long as one that has just arrived.
	left := max(req.Target, time.Second)
	if !tkt.TargetAt.IsZero() && !tkt.item.IsLate(now) {
		left = tkt.TargetAt.Sub(now)
	}
	req.MaxDelay = dispatch.DelayWithin(req, left)
	for _, head := range heads {
		if head.priority(now) <= tkt.priority(now) && head.Runs <= tkt.Runs && head.Request.FitsWherever(req) {
			return dispatch.Choice{Reason: dispatch.ReasonFull}, false
		}
	}
	usual := sch.runs.mean(req.Service)
	req.Veto = func(edp *catalog.Endpoint) bool {
		if sch.asking[edp.ID] {
			return true
		}
		for _, head := range heads {
			if sch.Balancer.Delays(now, vew.Catalog, vew.Fleet, edp, req, &head.Request, tkt.Runs, usual) {
				return true
			}
		}
		users := vew.usersOf(edp.ID)
		return sch.delaysPeers(now, vew, tkt, edp, users) || !sch.hasTurn(now, tkt, edp, users)
	}
	return sch.Balancer.Choose(now, rnd, vew.Catalog, vew.Fleet, req), true
}

// delaysPeers reports whether a ticket that starts at an endpoint would delay requests of a higher priority that wait at peers: it doesn't
// if it fits beside all of them, or frees what it takes before the smallest one could start. A late ticket goes behind those of all
// priorities.
func (sch *Scheduler) delaysPeers(now time.Time, vew *View, tkt *Ticket, edp *catalog.Endpoint, users []string) bool {
	req, priority := &tkt.Request, tkt.priority(now)
	above, least := sch.Waiting.Above(now, req.Service, priority, users)
	if above.Flights == 0 {
		return false
	}
	target := vew.lowestTarget(req.Service, priority)
	if sch.Balancer.FitsBeside(now, vew.Catalog, edp, req, above, target) {
		return false
	}
	first := &dispatch.Request{Service: req.Service, Work: dispatch.Work{Tokens: least, Prefill: least}, Target: target}
	return sch.Balancer.Delays(now, vew.Catalog, vew.Fleet, edp, req, first, tkt.Runs, sch.runs.mean(req.Service))
}

// hasTurn reports whether it is this daemon's turn to use an endpoint that has capacity. All daemons hear of freed capacity at about the
// same time; without turns, all of them would send waiting requests there before they hear of each other's.
func (sch *Scheduler) hasTurn(now time.Time, tkt *Ticket, edp *catalog.Endpoint, users []string) bool {
	before := sch.Waiting.Before(now, tkt.Request.Service, tkt.priority(now), users, edp.ID, sch.Name)
	if before == 0 {
		return true
	}
	if tkt.free == nil {
		tkt.free = map[string]freeSince{}
	}
	one, ok := tkt.free[edp.ID]
	if !ok || one.pass < sch.passes-1 {
		one.at = now
	}
	one.pass = sch.passes
	tkt.free[edp.ID] = one
	turn := one.at.Add(time.Duration(min(before, maxTurns)) * turnTime)
	if now.Before(turn) {
		sch.wakeAt(turn)
		return false
	}
	return true
}

// wakeAt moves NextAt to an earlier time.
func (sch *Scheduler) wakeAt(at time.Time) {
	if sch.NextAt.IsZero() || at.Before(sch.NextAt) {
		sch.NextAt = at
	}
}

// usersOf returns the daemons that use an engine; nil means all.
func (vew *View) usersOf(id string) []string {
	if vew.Users == nil {
		return nil
	}
	if users, ok := vew.Users[id]; ok {
		return users
	}
	return []string{}
}

// lowestTarget returns the lowest target of the routes that lead to a service and have a higher priority than the given one; 0
// without any.
func (vew *View) lowestTarget(service string, priority int) time.Duration {
	lowest := time.Duration(0)
	for i := range vew.Catalog.Routes {
		rou := &vew.Catalog.Routes[i]
		if rou.Priority >= priority || rou.Target <= 0 || lowest > 0 && rou.Target >= lowest {
			continue
		}
		for _, shr := range rou.Shares {
			if shr.Service == service {
				lowest = rou.Target
			}
		}
	}
	return lowest
}

// send counts the work of an item at its endpoint and charges its organisation.
func (sch *Scheduler) send(now time.Time, vew *View, itm *admission.Item, cho dispatch.Choice) Outcome {
	sch.Queue.Remove(itm)
	tkt := itm.Value.(*Ticket)
	sch.Queue.Served(now, tkt.Organisation, tkt.charge())
	out := sch.outcome(now, itm, cho)
	out.Flight = sch.Balancer.Begin(cho.Endpoint.ID, tkt.Request.Work)
	sch.sent++
	svc := vew.Catalog.Services[cho.Endpoint.Service]
	if sch.Balancer.Throttle.Limit(now, cho.Endpoint.ID).Named || sch.Balancer.Cold.Left(now, &vew.Fleet.Evacuations, cho.Endpoint, &svc) > 0 {
		sch.asking[cho.Endpoint.ID], tkt.asks = true, cho.Endpoint.ID
	}
	return out
}

// Asked records that a ticket that was sent has the answer on its permit, or needs none any more. Until then no other ticket is sent to
// an endpoint that names a limit or is cold: all waiting ones would ask at once, and one would get the permit. It reports whether the
// others may be sent now.
func (sch *Scheduler) Asked(tkt *Ticket) bool {
	if tkt.asks == "" {
		return false
	}
	delete(sch.asking, tkt.asks)
	tkt.asks = ""
	return true
}

// drop removes an item from the queue and refuses it.
func (sch *Scheduler) drop(now time.Time, rnd *rand.Rand, vew *View, itm *admission.Item, cho dispatch.Choice, atOnce bool) Outcome {
	sch.Queue.Remove(itm)
	return sch.refuse(now, rnd, vew, itm, cho, atOnce)
}

// refuse returns the refusal of an item that is no longer in the queue. The choice has the reason, and when an endpoint takes work
// again if it has said so.
func (sch *Scheduler) refuse(now time.Time, rnd *rand.Rand, vew *View, itm *admission.Item, cho dispatch.Choice, atOnce bool) Outcome {
	tkt := itm.Value.(*Ticket)
	out := sch.outcome(now, itm, cho)
	out.AtOnce = atOnce
	wait := time.Duration(0)
	if cho.Reason != ReasonStopping {
		// The caller of a daemon that stops comes back to another one, for which this one's backlog says nothing.
		wait = sch.expectedWait(now, vew, tkt)
	}
	out.RetryAfter = admission.RetryAfter(rnd, wait, tkt.Deadline.Sub(now))
	return out
}

func (sch *Scheduler) outcome(now time.Time, itm *admission.Item, cho dispatch.Choice) Outcome {
	tkt := itm.Value.(*Ticket)
	return Outcome{
		Ticket: tkt, Choice: cho, Waited: now.Sub(itm.EnqueuedAt()), Position: tkt.position, Overtaken: sch.sent - tkt.sentBefore,
	}
}

// Stop refuses all waiting requests but plain calls, and from now on those that would have to wait.
func (sch *Scheduler) Stop(now time.Time, rnd *rand.Rand, vew *View) []Outcome {
	sch.Stopping = true
	var outcomes []Outcome
	for _, itm := range sch.Queue.Order(now) {
		if tkt := itm.Value.(*Ticket); !tkt.Plain {
			outcomes = append(outcomes, sch.drop(now, rnd, vew, itm, dispatch.Choice{Reason: ReasonStopping}, false))
		}
	}
	return outcomes
}

// Leave removes the ticket of a caller that no longer waits; it returns false if the ticket is not in the queue.
func (sch *Scheduler) Leave(now time.Time, tkt *Ticket) (Outcome, bool) {
	if tkt.item == nil || !sch.Queue.Remove(tkt.item) {
		return Outcome{}, false
	}
	return sch.outcome(now, tkt.item, dispatch.Choice{}), true
}
