package entry

import (
	"context"
	"errors"
	"maps"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"papayacroft/endpoint"
	"papayacroft/inventory"
	"papayacroft/routing"
)

const (
	// attachAttempts is the number of tries to reach a generation again before its engine is considered dead.
	attachAttempts = 4
	attachPause    = 250 * time.Millisecond
)

// start sends the generation to admitted engines until one begins it.
func (srv *Server) start(ctx context.Context, cal *call, gen *generation) (*endpoint.Stream, *Refusal) {
	for {
		edp, ref := srv.admitIsolated(ctx, cal, gen)
		if ref != nil {
			return nil, ref
		}
		stm, err := srv.tryStart(ctx, cal, gen, edp)
		if err == nil {
			return stm, nil
		}
		srv.noteFailure(edp.Name, err)
		cal.logger.WithError(err).WithField("endpoint", edp.Name).Info("engine did not begin the generation")
		if isNotAccepting(err) {
			if srv.Now().After(gen.waitUntil) {
				return nil, notRun(routing.CodeDeadlineExceeded, "no engine had room for the request before its class's deadline")
			}
			if !pause(ctx, fullPause) {
				return nil, cancelledRefusal(ctx)
			}
			continue
		}
		gen.endpoint = edp
		edpErr, ok := endpoint.AsError(err)
		failed := !ok || edpErr.Reason != endpoint.ReasonUnreachable || gen.uncertain
		if ref := srv.spendRetry(ctx, cal, gen, failed); ref != nil {
			return nil, ref
		}
		gen.endpoint = nil
	}
}

// admitIsolated waits for an engine that may run the generation. A request that is suspected of crashing engines is
// kept off engines that run another suspect.
func (srv *Server) admitIsolated(ctx context.Context, cal *call, gen *generation) (*inventory.Endpoint, *Refusal) {
	for {
		suspect := srv.Quarantine.Suspect(gen.digest)
		edp, ref := srv.admit(ctx, cal, gen, srv.exclude(gen, suspect))
		if ctx.Err() != nil {
			return nil, cancelledRefusal(ctx)
		}
		if ref != nil {
			if suspect && ref.Code == routing.CodeDeadlineExceeded && srv.Now().Before(gen.waitUntil) {
				continue
			}
			return nil, ref
		}
		gen.id = uuid.NewString()
		if srv.Quarantine.Begin(gen.id, gen.digest, edp.Name) && srv.confirm(ctx, cal, gen, edp) {
			return edp, nil
		}
		if !pause(ctx, fullPause) {
			return nil, cancelledRefusal(ctx)
		}
	}
}

// confirm finds out whether a suspect has its engine to itself, and returns false if it must not be sent. At most
// half of a pool, rounded up, is reserved for suspects, so that other requests can use the remaining engines.
func (srv *Server) confirm(ctx context.Context, cal *call, gen *generation, edp *inventory.Endpoint) bool {
	ctx, cancel := context.WithTimeout(ctx, gen.waitUntil.Sub(srv.Now()))
	defer cancel()
	maxClosed := (len(cal.snapshot.Index.PoolEndpoints(edp.Pool)) + 1) / 2
	return srv.Quarantine.Confirm(ctx, gen.id, maxClosed, func(ctx context.Context) bool {
		lod, err := srv.Endpoints.Load(ctx, target(edp))
		return err == nil && lod.Running == 0 && lod.Waiting == 0
	})
}

// exclude sets the engines that the generation must not use now and returns how long to wait for another one.
func (srv *Server) exclude(gen *generation, suspect bool) (waitUntil time.Time) {
	gen.routing.Excluded = maps.Clone(gen.failed)
	if !suspect {
		return gen.waitUntil
	}
	for _, name := range srv.Quarantine.Occupied(gen.digest) {
		gen.routing.Excluded[name] = true
	}
	if soon := srv.Now().Add(suspectWait); soon.Before(gen.waitUntil) {
		return soon
	}
	return gen.waitUntil
}

// tryStart starts the generation on one engine; if the engine's answer is lost, it attaches by the generation's id.
func (srv *Server) tryStart(ctx context.Context, cal *call, gen *generation, edp *inventory.Endpoint) (*endpoint.Stream, error) {
	gen.endpoint, gen.deadline, gen.uncertain = edp, srv.Now().Add(positionLifetime), false
	sentAt := srv.Now()
	stm, err := srv.Endpoints.Start(context.WithoutCancel(ctx), target(edp), endpoint.StartRequest{
		ID: gen.id, Model: gen.model, Prompt: gen.body.Prompt, MaxTokens: gen.body.MaxTokens,
		Priority: cal.snapshot.Index.Rank(gen.class), Class: gen.class,
		// The engine itself must cancel the generation if its caller does not come back, since this daemon may be
		// gone by then.
		UnreadFor: abandonDelay.String(),
	})
	if err == nil {
		gen.begun = true
		return stm, nil
	}
	if edpErr, ok := endpoint.AsError(err); ok && edpErr.Begun == endpoint.MayHaveBegun {
		first := edpErr.Reason
		cal.logger.WithError(err).WithField("generation", gen.id).Info("no usable answer to the start of the generation; attaching by its id")
		// Only an engine that answered with an error has certainly not begun the generation.
		gen.uncertain = first != endpoint.ReasonRefused
		gen.begun = gen.begun || gen.uncertain
		if stm, err = srv.attach(ctx, cal, gen); err == nil {
			gen.begun = true
			return stm, nil
		}
		srv.abandon(cal, gen, false)
		if first == endpoint.ReasonBroken && srv.isCrash(edp.Name, err) {
			srv.Quarantine.Crash(gen.id, sentAt)
		}
	}
	srv.Quarantine.Leave(gen.id)
	gen.endpoint = nil
	return nil, err
}

// attach opens a new connection to the generation's engine.
func (srv *Server) attach(ctx context.Context, cal *call, gen *generation) (*endpoint.Stream, error) {
	var err error
	for range attachAttempts {
		var stm *endpoint.Stream
		stm, err = srv.Endpoints.Attach(context.WithoutCancel(ctx), target(gen.endpoint), gen.id, gen.next)
		if err == nil {
			return stm, nil
		}
		cal.logger.WithError(err).WithFields(logrus.Fields{"generation": gen.id, "next": gen.next}).Info("attach failed")
		if edpErr, ok := endpoint.AsError(err); ok && edpErr.Begun == endpoint.NotBegun && edpErr.Reason != endpoint.ReasonUnreachable {
			return nil, err
		}
		if !pause(ctx, attachPause) {
			return nil, err
		}
	}
	return nil, err
}

// isCrash reports whether an error shows that the engine's process ended, and not that the engine is unreachable or
// leaving as planned.
func (srv *Server) isCrash(name string, err error) bool {
	if !srv.Tracker.Status(name).LeavingSince.IsZero() {
		return false
	}
	edpErr, ok := endpoint.AsError(err)
	return ok && (edpErr.Reason == endpoint.ReasonUnknownID || errors.Is(err, syscall.ECONNREFUSED))
}

// isNotAccepting reports whether the engine currently takes no work, which costs no retry.
func isNotAccepting(err error) bool {
	edpErr, ok := endpoint.AsError(err)
	return ok && (edpErr.Reason == endpoint.ReasonFull || edpErr.Reason == endpoint.ReasonLeaving || edpErr.Reason == endpoint.ReasonNotLoaded)
}

// noteFailure marks an endpoint as leaving or failed after a failed call. An engine that is only full or has not
// loaded the model is left unmarked.
func (srv *Server) noteFailure(name string, err error) {
	edpErr, ok := endpoint.AsError(err)
	if !ok {
		return
	}
	switch edpErr.Reason {
	case endpoint.ReasonLeaving:
		srv.Tracker.Leaving(srv.Now(), name)
	case endpoint.ReasonFull, endpoint.ReasonNotLoaded:
	default:
		srv.Tracker.Failed(srv.Now(), name)
	}
}
