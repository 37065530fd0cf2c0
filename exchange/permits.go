package exchange

import (
	"context"
	"time"

	"github.com/gravitational/trace"
)

const (
	permitMethod = "gateway.permit"
	limitMethod  = "gateway.limit"
	// permitTimeout limits the wait for a permit; then the daemon counts as one that does not answer, and another one
	// hands out the permits.
	permitTimeout = 200 * time.Millisecond
)

// EndpointLimit is what an endpoint said last of its limit.
type EndpointLimit struct {
	Endpoint string `json:"endpoint"`
	// PerSecond is the number of requests a second; it counts only if Named is true.
	PerSecond float64 `json:"perSecond,omitempty"`
	Named     bool    `json:"named,omitempty"`
	// AgeMS is the time since the endpoint said so in ms.
	AgeMS int64 `json:"ageMs"`
}

// PermitRequest asks for a permit to send one request to an endpoint.
type PermitRequest struct {
	EndpointLimit
	// Force is true if the request is sent in any case.
	Force bool `json:"force,omitempty"`
}

// PermitReply grants a permit, or has the time until the next one.
type PermitReply struct {
	EndpointLimit
	Granted bool  `json:"granted,omitempty"`
	WaitMS  int64 `json:"waitMs,omitempty"`
}

// ShareLimit tells the daemon that hands out the permits for an endpoint what the endpoint said. That one tells all.
func (exc *Exchange) ShareLimit(lim *EndpointLimit) {
	if per, isPeer := exc.Answering()[exc.Assigned(lim.Endpoint)]; isPeer {
		exc.notify(context.Background(), per.Address, limitMethod, lim)
		return
	}
	exc.broadcast(context.Background(), limitMethod, lim)
}

// receiveLimit records what a daemon got to know of a limit, and tells all if this daemon hands out the permits.
func (exc *Exchange) receiveLimit(lim *EndpointLimit) {
	if exc.Requests.NoteLimit(lim) && exc.Assigned(lim.Endpoint) == exc.Name {
		exc.ShareLimit(lim)
	}
}

// AskPermit asks the daemon that hands out the permits for an endpoint, which may be this one. If it does not answer, it
// asks the one that takes its place.
func (exc *Exchange) AskPermit(ctx context.Context, req *PermitRequest) (*PermitReply, error) {
	var err error
	for range maxRelays {
		name := exc.Assigned(req.Endpoint)
		per, isPeer := exc.Answering()[name]
		if !isPeer {
			return exc.Requests.GrantPermit(req), nil
		}
		// A caller that leaves must not close the connection to the peer, which other calls use too.
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), permitTimeout)
		var reply PermitReply
		err = exc.Client.Call(callCtx, per.Address, permitMethod, req, &reply)
		cancel()
		exc.noteAnswer(per.Address, err)
		if err == nil || ctx.Err() != nil {
			return &reply, trace.Wrap(err)
		}
	}
	return nil, trace.Wrap(err)
}
