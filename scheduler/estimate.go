package scheduler

import (
	"time"

	"papayacroft/admission"
	"papayacroft/catalog"
	"papayacroft/dispatch"
)

const (
	// defaultRun is the expected run time of streams before enough of them have ended.
	defaultRun = 3 * time.Second
	// defaultTokenTime is the expected time for an output token before enough streams have ended: a step of an engine with some
	// prompts to compute.
	defaultTokenTime = 15 * time.Millisecond
	// runDecay is the factor by which the weight of earlier streams is reduced with each that ends; it averages over about 50.
	runDecay = 0.98
	// minRuns is the number of streams below which the defaults apply.
	minRuns = 4
)

// Ended is what a stream that has ended says of the next ones.
type Ended struct {
	Organisation, Service, Route string
	// Reserved is the work that was reserved. Hint is the caller's estimate of the output, 0 without one.
	Reserved dispatch.Work
	Hint     int
	// Prompt and Output are the tokens that the stream really had.
	Prompt, Output int
	// Ran is the time from the send to the end, and First the time to the first event.
	Ran, First time.Duration
	// Complete is true if the stream ended by itself; one that was cancelled says nothing of lengths. Whole is true if this
	// daemon served all of it, from its first event on and at one engine.
	Complete, Whole bool
	// Preempted is true if the pause between two events was so long that the engine may have preempted the stream.
	Preempted bool
}

// Finished learns from a stream that has ended, and corrects what its organisation was charged.
func (sch *Scheduler) Finished(now time.Time, end *Ended) {
	sch.Queue.Served(now, end.Organisation, float64(end.Prompt+end.Output-max(1, end.Reserved.Tokens)))
	if end.Output > 0 {
		sch.runs.observe(end)
	}
	if !end.Complete || !end.Whole {
		return
	}
	sch.Lengths.Observe(admission.Kind{Class: end.Route, Model: end.Service}, end.Hint, end.Output)
	if end.Preempted {
		// Other causes, such as a slow period of the machine, are about as likely.
		sch.Level.Preempted(possiblePreemption)
	}
	sch.Level.Completed()
}

// Refund takes back what a ticket was charged that got its turn but was not sent.
func (sch *Scheduler) Refund(now time.Time, tkt *Ticket) {
	sch.Queue.Served(now, tkt.Organisation, -tkt.charge())
}

// charge returns the tokens that an organisation is charged at the start of a request; a plain call counts as one.
func (tkt *Ticket) charge() float64 {
	return float64(max(1, tkt.Request.Tokens))
}

// possiblePreemption is the number of preemptions that a long pause counts for.
const possiblePreemption = 0.5

// Expect returns the work of a stream and the time for which it is expected to run. usual is the output that is expected before
// enough streams of the route have ended. An empty engine has memory for any work.
func (sch *Scheduler) Expect(engine *catalog.Engine, service, route string, prompt, hint, maxTokens, usual int) (dispatch.Work, time.Duration) {
	output, known := sch.Lengths.Expect(admission.Kind{Class: route, Model: service}, hint, maxTokens, sch.Level.Value())
	if !known {
		output = usual
	}
	runs := dispatch.PromptTime(prompt) + time.Duration(output)*sch.runs.tokenTime(service)
	return dispatch.Work{Tokens: min(prompt+output, dispatch.LargestWork(engine)), Prefill: prompt, Output: output}, runs
}

// expectedWait returns the time after which a ticket is expected to get capacity.
func (sch *Scheduler) expectedWait(now time.Time, vew *View, tkt *Ticket) time.Duration {
	req := &tkt.Request
	tokens, requests := float64(req.Tokens), 0
	for _, itm := range sch.Queue.Order(now) {
		if itm == tkt.item {
			break
		}
		if itm.Resource == req.Service {
			tokens += float64(itm.Tokens)
			requests++
		}
	}
	tokens += sch.Waiting.Backlog(now, req.Service, tkt.priority(now), vew.Shares)
	rate := sch.Balancer.TakeUp(now, vew.Catalog, vew.Fleet, req, sch.runs.mean(req.Service))
	if rate == 0 {
		return sch.Balancer.PermitWait(now, vew.Catalog, vew.Fleet, req, requests)
	}
	return time.Duration(min(tokens/rate, maxWait.Seconds()) * float64(time.Second))
}

// maxWait is above any deadline.
const maxWait = 10 * time.Minute

// WaitingTokens returns the work that waits here, by service and priority.
func (sch *Scheduler) WaitingTokens(now time.Time) dispatch.WaitingTokens {
	waiting := dispatch.WaitingTokens{}
	for _, itm := range sch.Queue.Order(now) {
		if itm.Tokens == 0 {
			continue
		}
		if waiting[itm.Resource] == nil {
			waiting[itm.Resource] = map[int]int{}
		}
		waiting[itm.Resource][itm.Value.(*Ticket).priority(now)] += itm.Tokens
	}
	return waiting
}

// Counts returns the number of waiting requests by priority.
func (sch *Scheduler) Counts(now time.Time) map[int]int {
	counts := map[int]int{}
	for _, itm := range sch.Queue.Order(now) {
		counts[-itm.Rank]++
	}
	return counts
}

// runTimes has the run times of streams by service.
type runTimes map[string]*runTime

// runTime sums up the streams that have ended, the recent ones with a higher weight.
type runTime struct {
	count int
	// tokens and tokenSeconds are the memory of the streams and its product with the time for which they held it.
	tokens, tokenSeconds float64
	// output is the number of output tokens, and outputSeconds the time in which they were made.
	output, outputSeconds float64
}

func (rts runTimes) observe(end *Ended) {
	one, ok := rts[end.Service]
	if !ok {
		one = &runTime{}
		rts[end.Service] = one
	}
	one.count++
	one.tokens = runDecay*one.tokens + float64(end.Prompt+end.Output)
	one.tokenSeconds = runDecay*one.tokenSeconds + float64(end.Prompt+end.Output)*end.Ran.Seconds()
	one.output = runDecay*one.output + float64(end.Output)
	one.outputSeconds = runDecay*one.outputSeconds + max(0, (end.Ran-end.First).Seconds())
}

// mean returns the mean time for which a token of a stream is held at an engine of the service.
func (rts runTimes) mean(service string) time.Duration {
	one, ok := rts[service]
	if !ok || one.count < minRuns || one.tokens <= 0 {
		return defaultRun
	}
	return time.Duration(one.tokenSeconds / one.tokens * float64(time.Second))
}

// tokenTime returns the mean time for one output token.
func (rts runTimes) tokenTime(service string) time.Duration {
	one, ok := rts[service]
	if !ok || one.count < minRuns || one.output <= 0 {
		return defaultTokenTime
	}
	return time.Duration(one.outputSeconds / one.output * float64(time.Second))
}
