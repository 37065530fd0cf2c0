package main

import (
	"time"

	"papayacroft/endpoint"
)

// serviceSlots is the number of calls that a plain service runs at once.
const serviceSlots = 4

// service simulates a plain service. Calls beyond serviceSlots wait in a queue, first in, first out.
type service struct {
	name    string
	domain  int
	sim     *simulation
	running int
	waiting []queuedCall
}

type queuedCall struct {
	req    *request
	onDone func(now time.Duration, load endpoint.Load)
}

func (svc *service) call(req *request, onDone func(now time.Duration, load endpoint.Load)) {
	svc.waiting = append(svc.waiting, queuedCall{req, onDone})
	svc.next()
}

func (svc *service) next() {
	for svc.running < serviceSlots && len(svc.waiting) > 0 {
		cal := svc.waiting[0]
		svc.waiting = svc.waiting[1:]
		svc.running++
		svc.sim.after(cal.req.work, func(now time.Duration) {
			svc.running--
			cal.onDone(now, svc.load(now))
			svc.next()
		})
	}
}

func (svc *service) load(now time.Duration) endpoint.Load {
	return endpoint.Load{At: svc.sim.clock(now), Running: svc.running, Waiting: len(svc.waiting)}
}
