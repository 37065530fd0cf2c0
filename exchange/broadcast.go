package exchange

import (
	"context"
	"encoding/json"
	"time"

	"github.com/gravitational/trace"
)

const (
	broadcastMethod = "gateway.broadcast"
	// relayTimeout limits the wait until a relay has confirmed a broadcast; then the next daemon of its group relays.
	relayTimeout = 200 * time.Millisecond
	// maxRelays is the number of daemons of a group that are tried as its relay.
	maxRelays = 2
)

// broadcast is a message to all daemons. Each receiver handles it and relays it to the addressees it is given.
type broadcast struct {
	Method  string          `json:"method"`
	Params  json.RawMessage `json:"params"`
	Forward []string        `json:"forward,omitempty"`
}

// broadcast sends a message to all peers that answer.
func (exc *Exchange) broadcast(ctx context.Context, method string, params any) {
	data, err := json.Marshal(params)
	if err != nil {
		exc.Logger.WithError(err).WithField("method", method).Error("message to peers could not be encoded; not sent")
		return
	}
	exc.relay(ctx, &broadcast{Method: method, Params: data, Forward: exc.roster().ring.following})
}

// relay sends a broadcast to its addressees as a tree; it does not wait for their confirmations.
func (exc *Exchange) relay(ctx context.Context, msg *broadcast) {
	for _, group := range relayGroups(msg.Forward) {
		go exc.relayGroup(ctx, msg, group)
	}
}

// relayGroup sends a broadcast to the first daemon of a group, which relays it to the others. If that one does not
// confirm it in time, the next one gets it. A relay that is only slow relays it too, so after maxRelays of them the
// message goes to the others directly: each further relay would double what the slow ones have to carry.
func (exc *Exchange) relayGroup(ctx context.Context, msg *broadcast, group []string) {
	tried := 0
	for i, address := range group {
		if exc.backsOff(address, exc.Now()) {
			continue
		}
		rest := group[i+1:]
		if len(rest) == 0 || tried == maxRelays {
			exc.notify(ctx, address, broadcastMethod, &broadcast{Method: msg.Method, Params: msg.Params})
			continue
		}
		tried++
		callCtx, cancel := context.WithTimeout(ctx, relayTimeout)
		err := exc.Client.Call(callCtx, address, broadcastMethod, &broadcast{Method: msg.Method, Params: msg.Params, Forward: rest}, nil)
		cancel()
		exc.noteAnswer(address, err)
		if err == nil || ctx.Err() != nil {
			return
		}
	}
}

// receiveBroadcast handles a broadcast and relays it.
func (exc *Exchange) receiveBroadcast(ctx context.Context, msg *broadcast) (any, error) {
	hdl, known := exc.broadcasts[msg.Method]
	if !known {
		return nil, trace.BadParameter("method %q is not one that is broadcast", msg.Method)
	}
	exc.relay(context.WithoutCancel(ctx), msg)
	return hdl(ctx, msg.Params)
}

// notify sends a message that has no response.
func (exc *Exchange) notify(ctx context.Context, address, method string, params any) {
	notifyCtx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	exc.noteAnswer(address, exc.Client.Notify(notifyCtx, address, method, params))
}
