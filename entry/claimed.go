package entry

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"papayacroft/claim"
	"papayacroft/endpoint"
	"papayacroft/inventory"
	"papayacroft/routing"
)

const (
	// maxReplaced is the number of given-up claims of one key that one attempt may replace before it is refused.
	maxReplaced = 3
	// maxRefusedDials is the number of endpoints that a claimed call tries. It tries the next one only if it is
	// certain that the previous ones have not begun the request.
	maxRefusedDials = 4
)

// claimedCall is a call of an operation that may not be repeated, identified by the digest of its idempotency key.
type claimedCall struct {
	*serviceCall
	key     string
	content string
	created time.Time
}

// callOnce claims the idempotency key and sends the call. If an earlier attempt holds the claim of the key, it
// returns the answer of that attempt instead.
func (srv *Server) callOnce(ctx context.Context, cal *call, svc *serviceCall, key string) (*answer, *Refusal) {
	created, err := claim.KeyTime(key)
	if err != nil {
		return nil, notRun(routing.CodeKeyRequired, "operation %s may not be repeated: %v", svc.operation.Name, err)
	}
	switch claim.CheckKeyAge(srv.Now(), created, srv.KeyLifetime) {
	case claim.KeyExpired:
		return nil, unknown(routing.CodeKeyExpired, "the idempotency key is older than %s, so an earlier attempt with it may have run", srv.KeyLifetime)
	case claim.KeyFromFuture:
		return nil, notRun(routing.CodeBadRequest, "the idempotency key's time lies in the future")
	case claim.KeyUsable:
	}
	cld := &claimedCall{
		serviceCall: svc, key: claim.KeyDigest(cal.team, key),
		content: claim.BodyDigest(svc.method, svc.path+"?"+svc.query, svc.body), created: created,
	}
	if ref := srv.checkApproved(cal, svc); ref != nil {
		return nil, ref
	}
	return srv.claimAndSend(ctx, cal, cld)
}

// checkApproved refuses a team that no owner in the pool has approved, before its key is claimed.
// Whether an endpoint has room is decided only after the claim: an earlier attempt with the key may have run, and
// then its answer must be returned.
func (srv *Server) checkApproved(cal *call, svc *serviceCall) *Refusal {
	idx := cal.snapshot.Index
	for _, edp := range idx.PoolEndpoints(svc.pool) {
		if idx.Approved(cal.team, edp) {
			return nil
		}
	}
	dec := srv.admitCall(context.Background(), cal, svc.routingRequest(cal, nil))
	return notRun(dec.Code, "%s", dec.Reason)
}

func (srv *Server) claimAndSend(ctx context.Context, cal *call, cld *claimedCall) (*answer, *Refusal) {
	replaces := ""
	remaining := claim.AcquireTimeout
	for range maxReplaced + 1 {
		started := srv.Now()
		claimCtx, cancel := context.WithTimeout(ctx, remaining)
		held, own, err := srv.Claims.Acquire(claimCtx, cld.key, cld.content, replaces)
		cancel()
		remaining -= srv.Now().Sub(started)
		logger := cal.logger.WithFields(logrus.Fields{"key": cld.key, "claim": held.ID, "claimant": held.Claimant, "own": own, "replaces": replaces})
		if err != nil {
			logger.WithError(err).Warn("claim failed")
			break
		}
		logger.Info("claim decision")
		if own && claim.CheckKeyAge(srv.Now(), cld.created, srv.KeyLifetime) == claim.KeyExpired {
			srv.Claims.Ledger.GiveUp(srv.Now(), uuid.MustParse(held.ID))
			return nil, unknown(routing.CodeKeyExpired, "the idempotency key expired before it was claimed, so an earlier attempt with it may have run")
		}
		if own {
			cal.claimed = true
			return srv.sendClaimed(ctx, cal, cld, uuid.MustParse(held.ID))
		}
		if held.BodyDigest != cld.content {
			return nil, notRun(routing.CodeBadRequest, "the idempotency key was used for another request")
		}
		ans, ref, givenUp := srv.firstAnswer(ctx, held)
		if !givenUp {
			return ans, ref
		}
		replaces = held.ID
	}
	return nil, notRun(routing.CodeClaimUnavailable, "the request could not be claimed in time, so it was not sent and will not be")
}

// sendClaimed sends a claimed call to one endpoint after another, as long as it is certain that none of them has
// begun it. No other claimant can take the claim over while this function runs, so a pause of the process at any
// point in it can't lead to a second run.
func (srv *Server) sendClaimed(ctx context.Context, cal *call, cld *claimedCall, id uuid.UUID) (*answer, *Refusal) {
	excluded := map[string]bool{}
	var last *Refusal
	for range maxRefusedDials {
		dec := srv.admitCall(ctx, cal, cld.routingRequest(cal, excluded))
		if dec.Endpoint == nil {
			if last == nil {
				last = notRun(dec.Code, "%s", dec.Reason)
			}
			break
		}
		if last = srv.checkBeforeSend(ctx, cld, id, len(excluded) == 0); last != nil {
			break
		}
		ans, err := srv.sendOnce(ctx, cal, cld, dec.Endpoint)
		if err == nil {
			srv.finish(id, ans)
			return ans, nil
		}
		if last = srv.notBegunRefusal(cal, dec.Endpoint, err); last == nil {
			srv.finish(id, nil)
			return nil, unknown(routing.CodeOutcomeUnknown, "%v", err)
		}
		excluded[dec.Endpoint.Name] = true
	}
	srv.Claims.Ledger.GiveUp(srv.Now(), id)
	return nil, last
}

// sendOnce sends a claimed call to one endpoint and waits for the answer until the daemon shuts down, even if the
// caller disconnects.
func (srv *Server) sendOnce(ctx context.Context, cal *call, cld *claimedCall, edp *inventory.Endpoint) (*answer, error) {
	ctx, cancel := srv.calls.untilStop(context.WithoutCancel(ctx))
	defer cancel()
	return srv.send(ctx, cal, cld.serviceCall, edp)
}

// checkBeforeSend refuses a call that must no longer be sent, because its key expired, its caller disconnected or its
// claim was given up. No endpoint has begun the call when it refuses.
func (srv *Server) checkBeforeSend(ctx context.Context, cld *claimedCall, id uuid.UUID, first bool) *Refusal {
	if claim.CheckKeyAge(srv.Now(), cld.created, srv.KeyLifetime) == claim.KeyExpired {
		return notRun(routing.CodeKeyExpired, "the idempotency key expired before the request was sent")
	}
	if ctx.Err() != nil {
		return cancelledRefusal(ctx)
	}
	if first && !srv.Claims.Ledger.Dispatch(id) {
		return notRun(routing.CodeClaimUnavailable, "the claim was given up before the request was sent")
	}
	return nil
}

// notBegunRefusal returns a refusal if it is certain that the endpoint has not begun the call, and nil otherwise.
func (srv *Server) notBegunRefusal(cal *call, edp *inventory.Endpoint, err error) *Refusal {
	edpErr, ok := endpoint.AsError(err)
	if !ok || edpErr.Begun != endpoint.NotBegun {
		return nil
	}
	srv.noteFailure(edp.Name, err)
	cal.logger.WithError(err).Info("endpoint did not begin the call")
	return notRun(routing.CodeEndpointFailed, "%v", err)
}
