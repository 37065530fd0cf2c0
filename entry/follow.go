package entry

import (
	"context"
	"errors"

	"github.com/sirupsen/logrus"

	"papayacroft/endpoint"
)

// maxConnectionsWithoutToken is the number of consecutive connections without a new token after which the engine is
// considered lost.
const maxConnectionsWithoutToken = 4

// errCallerGone means that the answer can no longer be delivered, because the caller disconnected or the daemon
// stops.
var errCallerGone = errors.New("the caller is gone")

// follow relays a generation's events to the sink until its end, and reconnects to the engine where needed. It
// returns errCallerGone if the caller disconnected or the daemon stops, and another error if the generation can no
// longer be reached.
func (srv *Server) follow(ctx context.Context, cal *call, gen *generation, stm *endpoint.Stream, snk sink) error {
	name := gen.endpoint.Name
	srv.observeStart(gen)
	defer func() { srv.observeEnd(gen, name) }()
	if err := snk.begin(gen, cal); err != nil {
		stm.Close()
		return srv.detach(ctx, cal, gen, snk)
	}
	for withoutToken := 0; ; {
		before := gen.next
		err := srv.deliver(ctx, gen, stm, snk)
		if err == nil {
			srv.Quarantine.Complete(gen.id)
			return nil
		}
		if errors.Is(err, errCallerGone) {
			return srv.detach(ctx, cal, gen, snk)
		}
		cal.logger.WithError(err).WithFields(logrus.Fields{"generation": gen.id, "next": gen.next}).Info("stream interrupted")
		withoutToken++
		if gen.next > before {
			withoutToken = 0
		}
		if stm, err = srv.reconnect(ctx, cal, gen, withoutToken, err); err != nil {
			if errors.Is(err, errCallerGone) {
				return srv.detach(ctx, cal, gen, snk)
			}
			return err
		}
	}
}

// reconnect attaches to the generation again, or returns why the generation is considered lost. broken is the error
// that ended the last connection.
func (srv *Server) reconnect(ctx context.Context, cal *call, gen *generation, withoutToken int, broken error) (*endpoint.Stream, error) {
	brokenAt, err := srv.Now(), broken
	srv.Metrics.Attaches.Inc()
	var stm *endpoint.Stream
	if withoutToken < maxConnectionsWithoutToken && (withoutToken == 0 || pause(ctx, attachPause)) {
		stm, err = srv.attach(ctx, cal, gen)
	}
	if ctx.Err() != nil {
		if err == nil {
			stm.Close()
		}
		return nil, errCallerGone
	}
	if err != nil {
		if srv.isCrash(gen.endpoint.Name, err) {
			srv.Quarantine.Crash(gen.id, brokenAt)
		}
		srv.Quarantine.Leave(gen.id)
		return nil, err
	}
	return stm, nil
}

// deliver passes one connection's events to the sink and closes the connection at the end.
func (srv *Server) deliver(ctx context.Context, gen *generation, stm *endpoint.Stream, snk sink) error {
	defer stm.Close()
	defer context.AfterFunc(ctx, stm.Interrupt)()
	// Tokens that arrive together are sent together. The buffer is flushed before each wait for the engine and after
	// an error, so that no token is held back.
	flush := func() error {
		if snk.flush() != nil {
			return errCallerGone
		}
		return nil
	}
	stm.BeforeRead(flush)
	defer func() { _ = flush() }()
	for {
		evt, err := stm.Next()
		if ctx.Err() != nil {
			return errCallerGone
		}
		if err != nil {
			return err
		}
		if evt.Done {
			gen.complete = true
			snk.done(evt.Tokens)
			return nil
		}
		if gen.maxTokens > 0 && evt.Index >= gen.maxTokens {
			// If an engine ignored maxTokens, a non-streamed answer would grow in this daemon's memory without a
			// bound.
			return &endpoint.Error{Endpoint: gen.endpoint.Name, Reason: endpoint.ReasonMismatch, Begun: endpoint.MayHaveBegun}
		}
		if err := snk.token(evt); err != nil {
			return errCallerGone
		}
		gen.next = evt.Index + 1
		gen.timing.token(srv.Now())
		srv.observeToken(gen)
	}
}

// detach stops following a generation whose caller disconnected and has it cancelled, after a delay if the caller can
// resume it. A stopping daemon does not cancel it, because the caller resumes it through another daemon.
func (srv *Server) detach(ctx context.Context, cal *call, gen *generation, snk sink) error {
	srv.Quarantine.Leave(gen.id)
	if !isStopping(ctx) {
		srv.abandon(cal, gen, snk.resumable())
	}
	return errCallerGone
}
