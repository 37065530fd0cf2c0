package exchange

import (
	"cmp"
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"
)

const (
	permitMethod = "gateway.permit"
	limitMethod  = "gateway.limit"
	// permitTimeout limits the wait for a permit; then the daemon counts as one that does not answer, and another one
	// hands out the permits.
	permitTimeout = 200 * time.Millisecond
	// maxPermitCalls limits the daemons that are asked for one permit.
	maxPermitCalls = 3
)

var errNoPermits = errors.New("no daemon takes itself for the one that hands out the permits")

// EndpointLimit is what an endpoint said last of its limit.
type EndpointLimit struct {
	Endpoint string `json:"endpoint"`
	// PerSecond is the number of requests a second; it counts only if Named is true.
	PerSecond float64 `json:"perSecond,omitempty"`
	Named     bool    `json:"named,omitempty"`
	// AgeMS is the time since the endpoint said so in ms.
	AgeMS int64 `json:"ageMs"`
	// ColdMS is for how long the endpoint is cold in ms, as its answers say; StartedAt is its start time then.
	ColdMS    int64 `json:"coldMs,omitempty"`
	StartedAt int64 `json:"startedAt,omitempty"`
}

// PermitRequest asks for a permit to send one request to an endpoint.
type PermitRequest struct {
	EndpointLimit
	// Force is true if the request is sent in any case.
	Force bool `json:"force,omitempty"`
	// ColdPerSecond is the rate of requests that the endpoint sustains if the sender takes it for cold; otherwise 0.
	ColdPerSecond float64 `json:"coldPerSecond,omitempty"`
}

// PermitReply grants a permit, or has the time until the next one.
type PermitReply struct {
	EndpointLimit
	Granted bool  `json:"granted,omitempty"`
	WaitMS  int64 `json:"waitMs,omitempty"`
	// Ask is the daemon to ask instead; empty if this one hands out the permits.
	Ask string `json:"ask,omitempty"`
}

// ShareLimit sends an endpoint's limit to the daemon that hands out its permits, which broadcasts it.
func (exc *Exchange) ShareLimit(lim *EndpointLimit) {
	if per, isPeer := exc.Answering()[exc.Assigned(lim.Endpoint)]; isPeer {
		exc.notify(context.Background(), per.Address, limitMethod, lim)
		return
	}
	exc.broadcast(context.Background(), limitMethod, lim)
}

// receiveLimit records a limit that a peer has learned, and broadcasts it if this daemon hands out the permits.
func (exc *Exchange) receiveLimit(lim *EndpointLimit) {
	if exc.Requests.NoteLimit(lim) && exc.Assigned(lim.Endpoint) == exc.Name {
		exc.ShareLimit(lim)
	}
}

// AskPermit asks the daemon that hands out the permits for an endpoint, which may be this one. If it does not answer, it
// asks the one that takes its place. After many daemons have ended and come back, daemons differ for seconds in whom they
// take for that one; one that is asked by mistake says whom it would ask.
func (exc *Exchange) AskPermit(ctx context.Context, req *PermitRequest) (*PermitReply, error) {
	var err error
	referred := ""
	for range maxPermitCalls {
		name := exc.Assigned(req.Endpoint)
		if referred != "" {
			name = referred
		}
		if name == exc.Name {
			return exc.Requests.GrantPermit(req), nil
		}
		per, known := exc.Control.Snapshot().Peers[name]
		if !known {
			break
		}
		// A caller that leaves must not close the connection to the peer, which other calls use too.
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), permitTimeout)
		var reply PermitReply
		err = exc.Client.Call(callCtx, per.Address, permitMethod, req, &reply)
		cancel()
		exc.noteAnswer(per.Address, err)
		if ctx.Err() != nil || err == nil && reply.Ask == "" {
			return &reply, trace.Wrap(err)
		}
		referred = reply.Ask
	}
	return nil, trace.Wrap(cmp.Or(err, errNoPermits))
}

// answerPermit answers a daemon that asks for a permit; if another one hands them out, it names that one.
func (exc *Exchange) answerPermit(req *PermitRequest) *PermitReply {
	if name := exc.Assigned(req.Endpoint); name != exc.Name {
		return &PermitReply{EndpointLimit: req.EndpointLimit, Ask: name}
	}
	return exc.Requests.GrantPermit(req)
}
