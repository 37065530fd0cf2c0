package scheduler

import (
	"slices"
	"time"

	"papayacroft/dispatch"
)

// at runs a function now, or when the daemon is no longer frozen.
func (nod *node) at(run func()) {
	if nod.now.Before(nod.frozen) {
		nod.after(nod.frozen.Sub(nod.now), func() { nod.at(run) })
		return
	}
	run()
}

// receive takes an attempt of a caller.
func (nod *node) receive(cal *caller) {
	cal.attempts++
	attempt := cal.attempts
	deadline := cal.begun.Add(cal.rou.Deadline)
	nod.at(func() {
		if attempt != cal.attempts || !nod.now.Before(deadline) {
			nod.end(cal)
			return
		}
		rou := cal.rou
		maxTokens := int(float64(rou.Output) / outputShare)
		wrk, runs := nod.sch.Expect(nod.cat.Services["pool"].Engine, "pool", rou.Name, rou.Prompt, 0, 8*maxTokens, rou.Output)
		if !nod.queue {
			nod.poll(cal, nod.now, dispatch.Work{Tokens: rou.Prompt + rou.Output, Prefill: rou.Prompt})
			return
		}
		tkt := &Ticket{
			Organisation: cal.org, Route: rou.Name, Priority: rou.Priority, Runs: runs, TargetAt: cal.begun.Add(rou.Target), Deadline: deadline,
			Retried: cal.attempts > 1, Value: cal, Request: dispatch.Request{Service: "pool", Work: wrk, Target: rou.Target, Brief: rou.Brief},
		}
		nod.settle(nod.sch.Submit(nod.now, nod.rnd, nod.view(), tkt))
	})
}

func (nod *node) view() *View {
	return &View{Catalog: nod.cat, Fleet: nod.fleet, Preferred: nod.own, Users: nod.users, Shares: nod.shares}
}

// poll is the rule before the queue.
func (nod *node) poll(cal *caller, since time.Time, wrk dispatch.Work) {
	rou := cal.rou
	cho := nod.bal.Choose(nod.now, nod.rnd, nod.cat, nod.fleet, &dispatch.Request{Service: "pool", Work: wrk, Target: rou.Target, Brief: rou.Brief, Preferred: nod.own})
	switch {
	case cho.Endpoint != nil:
		nod.start(cal, nod.bal.Begin(cho.Endpoint.ID, wrk))
	case nod.now.Sub(since) >= time.Duration(pollShare*float64(rou.Target)):
		nod.refuse(cal, max(400*time.Millisecond, time.Duration(pollRetryShare*float64(rou.Target))))
	default:
		nod.after(pollTime, func() { nod.at(func() { nod.poll(cal, since, wrk) }) })
	}
}

// settle acts on outcomes, and schedules the next pass.
func (nod *node) settle(outcomes []Outcome) {
	for _, out := range outcomes {
		cal := out.Ticket.Value.(*caller)
		if out.Flight == nil {
			nod.refuse(cal, out.RetryAfter)
			continue
		}
		cal.sentLate = cal.sentLate || !nod.now.Before(cal.begun.Add(cal.rou.Deadline))
		nod.start(cal, out.Flight)
	}
	if nod.sch.Queue.Len() == 0 {
		return
	}
	for priority := range nod.sch.WaitingTokens(nod.now)["pool"] {
		if nod.told["pool"][priority] == 0 && !nod.telling {
			nod.telling = true
			nod.after(max(messageTime, nod.toldAt.Add(waitingPause).Sub(nod.now)), func() { nod.at(nod.announce) })
		}
	}
	wait := 100 * time.Millisecond
	if next := nod.sch.NextAt; !next.IsZero() {
		wait = min(wait, max(5*time.Millisecond, next.Sub(nod.now)))
	}
	if due := nod.now.Add(wait); nod.passDue.Before(nod.now) || due.Before(nod.passDue) {
		nod.passDue = due
		nod.after(wait, func() { nod.at(nod.pass) })
	}
}

func (nod *node) pass() {
	if nod.queue && nod.sch.Queue.Len() > 0 {
		nod.settle(nod.sch.Pass(nod.now, nod.rnd, nod.view()))
	}
}

// announce tells the other daemons what waits here, as long as something does.
func (nod *node) announce() {
	waiting := nod.sch.WaitingTokens(nod.now)
	nod.told, nod.toldAt, nod.telling = waiting, nod.now, false
	nod.tell(nil, func(other *node) { other.sch.Waiting.Set(other.now, nod.name, waiting) })
	if at := nod.now; len(waiting) > 0 {
		nod.after(waitingTime, func() {
			nod.at(func() {
				if nod.toldAt.Equal(at) {
					nod.announce()
				}
			})
		})
	}
}

// tell sends a message to the other daemons, or to those of them that use an engine.
func (nod *node) tell(users []string, apply func(other *node)) {
	if nod.rpl.Silent {
		return
	}
	for _, other := range nod.daemons {
		if other != nod && (users == nil || slices.Contains(users, other.name)) {
			nod.after(messageTime, func() {
				other.at(func() {
					apply(other)
					other.pass()
				})
			})
		}
	}
}

// shareWork tells the other daemons this one's work at an engine and what waits here.
func (nod *node) shareWork(id string) {
	usage, waiting := nod.bal.UsageAt(id), nod.sch.WaitingTokens(nod.now)
	nod.tell(nod.users[id], func(other *node) {
		other.sch.Waiting.Set(other.now, nod.name, waiting)
		other.bal.SetPeerUsage(other.now, nod.name, map[string]dispatch.Usage{id: usage})
	})
}

// start sends a request to an engine.
func (nod *node) start(cal *caller, flt *dispatch.Flight) {
	nod.shareWork(flt.Endpoint)
	sent, firstAt := nod.now, time.Time{}
	gen := &generation{prompt: cal.rou.Prompt, output: cal.output}
	gen.onEvent = func() {
		nod.at(func() {
			if firstAt.IsZero() {
				firstAt, cal.firstAt = nod.now, nod.now
				nod.bal.Started(flt)
				nod.pass()
			} else {
				cal.pause = max(cal.pause, nod.now.Sub(cal.lastAt))
			}
			cal.lastAt = nod.now
		})
	}
	gen.onEnd = func(whole bool) {
		nod.at(func() {
			nod.bal.End(flt)
			cal.whole = whole
			nod.sch.Finished(nod.now, &Ended{
				Organisation: cal.org, Service: "pool", Route: cal.rou.Name, Reserved: flt.Work, Prompt: cal.rou.Prompt, Output: cal.output,
				Ran: nod.now.Sub(sent), First: firstAt.Sub(sent), Complete: whole, Whole: whole, Preempted: cal.pause > 4*pauseTarget,
			})
			nod.shareWork(flt.Endpoint)
			nod.end(cal)
			nod.pass()
		})
	}
	nod.engines[flt.Endpoint].submit(gen)
}

func (nod *node) end(cal *caller) {
	cal.ends++
}

// refuse answers a caller, which comes back once, to another daemon.
func (nod *node) refuse(cal *caller, retryAfter time.Duration) {
	left := cal.begun.Add(cal.rou.Deadline).Sub(nod.now)
	if cal.attempts > 1 || left <= 0 {
		nod.end(cal)
		return
	}
	wait := min(max(retryAfter, admissionRetry), left/3)
	if nod.rpl.RepeatAtOnce {
		wait = time.Millisecond
	}
	next := nod.daemons[nod.rnd.IntN(len(nod.daemons))]
	nod.after(wait, func() { next.receive(cal) })
}

// admissionRetry is the shortest time after which a caller comes back.
const admissionRetry = 100 * time.Millisecond
