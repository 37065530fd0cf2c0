package entry

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"papayacroft/retry"
)

// retries limits and delays the retries of one repeatable call to a service.
type retries struct {
	server *Server
	key    retry.Key
	pauses backoff.BackOff
}

// beginRetries credits the call to the team's retry budget and returns a context that bounds all tries of the call by
// its class's deadline.
func (srv *Server) beginRetries(ctx context.Context, cal *call, svc *serviceCall) (context.Context, context.CancelFunc, *retries) {
	ret := &retries{server: srv, key: retry.Key{Team: cal.team, Pool: svc.pool}, pauses: retry.NewPauses()}
	srv.Retries.Request(srv.Now(), ret.key)
	deadline := time.Duration(cal.snapshot.Index.Configuration.Classes[svc.operation.Class].Deadline)
	ctx, cancel := context.WithTimeout(ctx, deadline)
	return ctx, cancel, ret
}

// next takes one retry from the budget, waits for the back-off and reports whether the call may be sent again.
func (ret *retries) next(ctx context.Context) bool {
	if !ret.server.Retries.Spend(ret.server.Now(), ret.key) {
		return false
	}
	ret.server.Metrics.Retries.Inc()
	return pause(ctx, ret.pauses.NextBackOff())
}
