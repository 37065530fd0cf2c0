package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"

	"papayacroft/endpoint"
	"papayacroft/inventory"
	"papayacroft/position"
	"papayacroft/retry"
	"papayacroft/routing"
)

const (
	// startAttempts is the number of engines that may fail one request before it is refused.
	startAttempts = 3
	// fullPause is the pause before the next admission attempt while no engine takes the request.
	fullPause = 100 * time.Millisecond
	// suspectWait bounds one admission wait of a request that is suspected of crashing engines. The engines that it
	// must avoid are then looked up again, because other suspects start and end meanwhile.
	suspectWait = time.Second
	// digestBytes is the length of a content digest before its hex encoding.
	digestBytes = 12
)

// generation is the state of one answer that an engine generates.
type generation struct {
	id       string
	body     *CompletionRequest
	digest   string
	routing  routing.Request
	failed   map[string]bool
	endpoint *inventory.Endpoint
	class    string
	model    string
	deadline time.Time
	// waitUntil is the end of the wait for an engine, over all tries together.
	waitUntil time.Time
	pauses    backoff.BackOff
	attempts  int
	timing    *timing
	// next is the index of the next token that the caller needs.
	next int
	// begun is true if an engine may have begun this request, in this try or an earlier one.
	begun bool
	// uncertain is true if the last start got no answer, so that the engine may have begun the generation.
	uncertain bool
	// admission is what the generation holds at its engine; it is nil if it holds nothing.
	admission *admitted
	// complete is true once the engine has reported the end of the generation.
	complete bool
	// maxTokens bounds the answer; 0 means that the bound is not known.
	maxTokens int
	// resumed is true if another request started the generation.
	resumed bool
}

func newGeneration(now time.Time, cal *call, body *CompletionRequest) *generation {
	deadline := time.Duration(cal.snapshot.Index.Configuration.Classes[body.Class].Deadline)
	return &generation{
		body: body, digest: body.digest(), routing: routingRequest(cal, body), failed: map[string]bool{},
		class: body.Class, model: body.Model, maxTokens: body.MaxTokens, waitUntil: now.Add(deadline), pauses: retry.NewPauses(),
	}
}

func resumedGeneration(pos position.Position, edp *inventory.Endpoint) *generation {
	return &generation{
		id: pos.Generation, digest: pos.Digest, endpoint: edp, class: pos.Class, model: pos.Model,
		deadline: pos.Deadline, maxTokens: pos.MaxTokens, next: pos.Next, begun: true, resumed: true,
	}
}

// digest identifies the content that an engine runs, independently of the team that sends it.
func (req *CompletionRequest) digest() string {
	sum := sha256.New()
	fmt.Fprintf(sum, "%s\x00%d\x00%s", req.Model, req.MaxTokens, req.Prompt)
	return hex.EncodeToString(sum.Sum(nil)[:digestBytes])
}

func (gen *generation) position(team inventory.TeamRef) position.Stream {
	return position.Stream{
		Generation: gen.id, Endpoint: gen.endpoint.Name, Model: gen.model,
		Class: gen.class, Digest: gen.digest, Team: team, Deadline: gen.deadline,
	}
}

// refusal changes the outcome notRun to unknown if an engine may have begun the request.
func (gen *generation) refusal(ref *Refusal) *Refusal {
	if gen.begun && ref.Outcome == OutcomeNotRun {
		return &Refusal{
			Outcome: OutcomeUnknown, Code: ref.Code, RetryAfterSeconds: ref.RetryAfterSeconds,
			Message: ref.Message + "; an earlier try may have begun",
		}
	}
	return ref
}

// relay delivers a generation to a sink, starting it or attaching to it as needed.
func (srv *Server) relay(ctx context.Context, cal *call, gen *generation, snk sink) *Refusal {
	ctx, cancel := srv.lifecycle.untilStop(ctx)
	defer cancel()
	defer snk.close()
	gen.timing = newTiming(srv.Now(), srv.Metrics, gen.class, gen.model)
	for {
		stm, ref := srv.open(ctx, cal, gen)
		if ref != nil {
			return srv.reportRefusal(snk, gen.refusal(ref))
		}
		lost := srv.follow(ctx, cal, gen, stm, snk)
		if errors.Is(lost, errCallerGone) && isStopping(ctx) {
			return srv.endForShutdown(cal, gen, snk)
		}
		if errors.Is(lost, errCallerGone) {
			// A caller that closed only its sending direction counts as gone too, and still reads.
			return srv.reportRefusal(snk, unknown(routing.CodeOutcomeUnknown, "the caller disconnected before the answer was complete"))
		}
		if lost == nil {
			return nil
		}
		if ref := srv.prepareRestart(ctx, cal, gen, snk, lost); ref != nil {
			return srv.reportRefusal(snk, gen.refusal(ref))
		}
	}
}

// reportRefusal writes a refusal to the sink if the answer has begun, and returns it to be sent as a response
// otherwise.
func (srv *Server) reportRefusal(snk sink, ref *Refusal) *Refusal {
	if snk.fail(ref) {
		return nil
	}
	return ref
}

// endForShutdown ends an answer because the daemon stops. The generation goes on if the sink can hand it over to
// another daemon, and is cancelled otherwise.
func (srv *Server) endForShutdown(cal *call, gen *generation, snk sink) *Refusal {
	cal.logger.WithField("generation", gen.id).Info("answer ended because the daemon is stopping")
	if ref, ok := snk.reattach(); ok {
		return ref
	}
	srv.abandon(cal, gen, false)
	return unknown(routing.CodeDraining, "this entry daemon shut down before the answer was complete")
}

// prepareRestart prepares another try on another engine, or returns the refusal that ends the answer.
func (srv *Server) prepareRestart(ctx context.Context, cal *call, gen *generation, snk sink, lost error) *Refusal {
	srv.Tracker.Failed(srv.Now(), gen.endpoint.Name)
	if edpErr, ok := endpoint.AsError(lost); !ok || edpErr.Reason != endpoint.ReasonUnknownID {
		// The engine may still run the generation although this daemon can't reach it.
		srv.abandon(cal, gen, false)
	}
	if gen.resumed {
		return unknown(routing.CodeGenerationLost, "the engine that ran the generation was lost")
	}
	if !snk.restartable() {
		if ref := srv.checkQuarantine(gen); ref != nil {
			return ref
		}
		return unknown(routing.CodeGenerationLost, "the engine that ran the generation was lost; what was delivered can't be continued")
	}
	if ref := srv.spendRetry(ctx, cal, gen, true); ref != nil {
		return ref
	}
	srv.Metrics.Restarts.Inc()
	snk.restart()
	gen.endpoint, gen.next = nil, 0
	return nil
}

// spendRetry takes one retry from the team's budget, and waits for it until the request's deadline at most. With
// failed set, the engine is excluded from further tries and counted in attempts; an engine that could not be reached
// is not.
func (srv *Server) spendRetry(ctx context.Context, cal *call, gen *generation, failed bool) *Refusal {
	if ref := srv.checkQuarantine(gen); ref != nil {
		return ref
	}
	if failed {
		gen.failed[gen.endpoint.Name] = true
		gen.attempts++
	}
	if gen.attempts >= startAttempts {
		return notRun(routing.CodeEndpointFailed, "%d engines failed the request", gen.attempts)
	}
	key := retry.Key{Team: cal.team, Pool: gen.endpoint.Pool}
	for !srv.Retries.Spend(srv.Now(), key) {
		if srv.Now().After(gen.waitUntil) {
			return notRun(routing.CodeOverloaded, "an engine failed and the team's budget for retries is used up")
		}
		if !pause(ctx, gen.pauses.NextBackOff()) {
			return cancelledRefusal(ctx)
		}
	}
	srv.Metrics.Retries.Inc()
	if !pause(ctx, gen.pauses.NextBackOff()) {
		return cancelledRefusal(ctx)
	}
	return nil
}

// checkQuarantine refuses a request that is quarantined for crashing engines.
func (srv *Server) checkQuarantine(gen *generation) *Refusal {
	until, ok := srv.Quarantine.Condemned(gen.digest)
	if !ok {
		return nil
	}
	ref := notRun(routing.CodeQuarantined, "this request has crashed two engines and is refused until %s", until.UTC().Format(time.RFC3339))
	ref.RetryAfterSeconds = int(until.Sub(srv.Now())/time.Second) + 1
	return ref
}

// open starts the generation, or attaches to it if it has an endpoint already.
func (srv *Server) open(ctx context.Context, cal *call, gen *generation) (*endpoint.Stream, *Refusal) {
	if gen.endpoint == nil {
		return srv.start(ctx, cal, gen)
	}
	srv.Quarantine.Attach(gen.id, gen.digest, gen.endpoint.Name)
	stm, err := srv.attach(ctx, cal, gen)
	if err == nil {
		return stm, nil
	}
	srv.Quarantine.Leave(gen.id)
	if edpErr, ok := endpoint.AsError(err); ok && edpErr.Reason == endpoint.ReasonBeyondEnd {
		return nil, unknown(routing.CodeBadPosition, "Last-Event-ID names a token that does not exist")
	}
	if isStopping(ctx) {
		return nil, notRun(routing.CodeDraining, "this entry daemon is shutting down; resume through another one")
	}
	return nil, unknown(routing.CodeGenerationLost, "the generation can't be reached any more: %v", err)
}

// pause waits for a duration and returns false if the context ends first.
func pause(ctx context.Context, dur time.Duration) bool {
	tmr := time.NewTimer(dur)
	defer tmr.Stop()
	select {
	case <-tmr.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// cancelledRefusal returns the refusal of a request whose context ended before an endpoint took it.
func cancelledRefusal(ctx context.Context) *Refusal {
	if isStopping(ctx) {
		return notRun(routing.CodeDraining, "this entry daemon shut down before an endpoint took the request; send the request again")
	}
	return notRun(routing.CodeDeadlineExceeded, "the caller left before an endpoint took the request")
}
