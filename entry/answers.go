package entry

import (
	"context"

	"github.com/google/uuid"

	"papayacroft/claim"
	"papayacroft/routing"
)

// finish records the outcome of a dispatched claim, so that later attempts with the same key get the same answer. A
// nil answer records that the outcome is unknown.
func (srv *Server) finish(id uuid.UUID, ans *answer) {
	res := claim.Result{State: claim.StateUnknown}
	if ans != nil {
		res = claim.Result{State: claim.StateAnswered, Status: ans.status, ContentType: ans.contentType, Body: ans.body}
	}
	srv.Claims.Ledger.Finish(srv.Now(), id, res)
}

// firstAnswer returns the answer or the refusal of the attempt that holds the key's claim. givenUp is true if that
// attempt has given its claim up, so that it never runs the request.
func (srv *Server) firstAnswer(ctx context.Context, held claim.Claim) (ans *answer, ref *Refusal, givenUp bool) {
	switch res := srv.Claims.Result(ctx, held); res.State {
	case claim.StateGivenUp:
		return nil, nil, true
	case claim.StateAnswered:
		return &answer{status: res.Status, contentType: res.ContentType, body: res.Body}, nil, false
	case claim.StatePending, claim.StateDispatched:
		return nil, unknown(routing.CodeAlreadyRunning, "the first attempt with this key is still running"), false
	default:
		return nil, unknown(routing.CodeOutcomeUnknown, "the key was claimed before, and the outcome of that attempt is not known"), false
	}
}
