// Package exchange is what the daemons tell each other: work at endpoints, endpoints that leave, requests that crash
// endpoints, configuration versions, and the topics of the store, which one daemon reads for all.
package exchange

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"papayacroft/catalog"
	"papayacroft/control"
	"papayacroft/dispatch"
	"papayacroft/peer"
)

const (
	exchangeMethod = "gateway.exchange"
	// exchangeInterval is the interval of the rounds of gossip.
	exchangeInterval = 400 * time.Millisecond
	// exchangePeers is the number of random peers that a periodic round sends to.
	exchangePeers = 3
	// urgentPeers is the number of peers that a requested round sends to, which announces that this daemon drains.
	urgentPeers = 16
	// exchangeTimeout limits one call to a peer.
	exchangeTimeout = 600 * time.Millisecond
	// leavingGossipTime is how long the leaving of an endpoint is included in messages.
	leavingGossipTime = 10 * time.Second
)

// message is the state that a daemon sends to its peers; some methods use only a part of the fields.
type message struct {
	Name string `json:"name"`
	// Address is the sender's peer address.
	Address       string `json:"address,omitempty"`
	FailureDomain string `json:"failureDomain,omitempty"`
	Draining      bool   `json:"draining,omitempty"`
	// Version is the version of the sender's configuration in force, 0 without one.
	Version int64 `json:"version"`
	// Usage is the sender's work at endpoints, by endpoint id.
	Usage map[string]dispatch.Usage `json:"usage,omitempty"`
	// Crashes are requests that crashed endpoints.
	Crashes []Crash `json:"crashes,omitempty"`
	// Leaving has the start times of endpoints that leave, by id.
	Leaving map[string]int64 `json:"leaving,omitempty"`
}

// messageReply has the receiver's configuration version and the endpoints that leave and were not in the message.
type messageReply struct {
	Version int64            `json:"version"`
	Leaving map[string]int64 `json:"leaving,omitempty"`
}

// Crash is the news that a request crashed an endpoint while it ran there.
type Crash struct {
	// Digest identifies the request; it is the same when the caller sends it again.
	Digest   uint64 `json:"digest,string"`
	Endpoint string `json:"endpoint"`
}

// Requests is the state of the requests that this daemon serves, as far as other daemons need it.
type Requests interface {
	// Draining reports whether the daemon has received the signal to stop.
	Draining() bool
	// LocalUsage returns this daemon's work at endpoints by endpoint id, UsageAt that at one endpoint.
	LocalUsage() map[string]dispatch.Usage
	UsageAt(endpoint string) dispatch.Usage
	// SetPeerUsage records another daemon's work at endpoints.
	SetPeerUsage(now time.Time, peer string, usage map[string]dispatch.Usage)
	// Crashes returns recent crashes, NoteCrash records one.
	Crashes(now time.Time) []Crash
	NoteCrash(found Crash)
}

// Exchange gossips with other daemons: it exchanges load, endpoints that leave, crashes and configuration versions, and
// distributes the topics of the store.
type Exchange struct {
	Name, Address, FailureDomain string
	// Feeds are the followed topics by name.
	Feeds    map[string]*Feed
	Requests Requests
	Control  *control.Control
	Client   *peer.Client
	Logger   logrus.FieldLogger
	// Parse decodes a configuration that a peer sent.
	Parse func(data []byte) (*catalog.Catalog, error)
	Now   func() time.Time

	roundRequests chan struct{}
	work          chan struct{}
	parts         chan *TopicPart
	// newer holds at most one peer with a newer configuration; see noticeVersion.
	newer chan newerVersion

	sharing atomic.Pointer[sharing]

	mutex sync.Mutex
	// changed are the engines for which this daemon's work has changed since it was last sent.
	changed map[string]bool
	// failures are the peers whose last call failed, by address.
	failures map[string]*peerFailure
}

// New returns an exchange that needs its exported fields set before Run.
func New() *Exchange {
	return &Exchange{Client: peer.NewClient(), Now: time.Now, roundRequests: make(chan struct{}, 1), work: make(chan struct{}, 1),
		parts: make(chan *TopicPart, feedBuffer), newer: make(chan newerVersion, 1), Feeds: map[string]*Feed{}, failures: map[string]*peerFailure{}, changed: map[string]bool{}}
}

// Register adds the handlers of the gateway's methods to a peer server.
func (exc *Exchange) Register(srv *peer.Server) {
	srv.Handlers[exchangeMethod] = answer(func(ctx context.Context, msg *message) any {
		return exc.receive(ctx, msg)
	})
	srv.Handlers[configurationMethod] = answer(func(_ context.Context, msg *message) any {
		return exc.answerConfiguration(msg)
	})
	srv.Handlers[workMethod] = answer(func(_ context.Context, msg *message) any {
		exc.Requests.SetPeerUsage(exc.Now(), msg.Name, msg.Usage)
		return nil
	})
	srv.Handlers[leavingMethod] = answer(func(ctx context.Context, msg *message) any {
		exc.Control.Send(ctx, control.Leaving{BornAt: msg.Leaving, Source: msg.Name})
		return nil
	})
	srv.Handlers[crashMethod] = answer(func(_ context.Context, found *Crash) any {
		exc.Requests.NoteCrash(*found)
		return nil
	})
	srv.Handlers[topicMethod] = answer(func(_ context.Context, part *TopicPart) any {
		exc.receiveTopic(part)
		return nil
	})
}

// answer returns a handler that decodes the parameters of a method.
func answer[T any](handle func(ctx context.Context, params *T) any) peer.Handler {
	return func(ctx context.Context, params json.RawMessage) (any, error) {
		var decoded T
		if err := json.Unmarshal(params, &decoded); err != nil {
			return nil, trace.BadParameter("parameters are not valid: %v", err)
		}
		return handle(ctx, &decoded), nil
	}
}

// RequestRound makes Run send a round of messages now, to more peers than a periodic one; it does not block.
func (exc *Exchange) RequestRound() {
	select {
	case exc.roundRequests <- struct{}{}:
	default:
	}
}

// Run sends rounds of messages until the context is cancelled.
func (exc *Exchange) Run(ctx context.Context) {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for {
		count := exchangePeers
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-exc.roundRequests:
			count = urgentPeers
		}
		exc.round(ctx, count)
	}
}

func (exc *Exchange) round(ctx context.Context, count int) {
	snp := exc.Control.Snapshot()
	msg := exc.compose(snp)
	for _, address := range exc.addresses(count) {
		go exc.send(ctx, address, msg)
	}
}

func (exc *Exchange) compose(snp *control.Snapshot) *message {
	return &message{
		Name: exc.Name, Address: exc.Address, FailureDomain: exc.FailureDomain, Draining: exc.Requests.Draining(),
		Crashes: exc.Requests.Crashes(exc.Now()), Version: snp.Version(), Usage: exc.Requests.LocalUsage(), Leaving: exc.leaving(snp),
	}
}

func (exc *Exchange) leaving(snp *control.Snapshot) map[string]int64 {
	bornAt := map[string]int64{}
	for id, mrk := range snp.Fleet.Leaving {
		if exc.Now().Sub(mrk.At) < leavingGossipTime {
			bornAt[id] = mrk.StartedAt
		}
	}
	return bornAt
}

func (exc *Exchange) send(ctx context.Context, address string, msg *message) {
	callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var reply messageReply
	err := exc.Client.Call(callCtx, address, exchangeMethod, msg, &reply)
	exc.noteAnswer(address, err)
	if err != nil {
		return
	}
	if len(reply.Leaving) > 0 {
		exc.Control.Send(ctx, control.Leaving{BornAt: reply.Leaving, Source: address})
	}
	exc.noticeVersion(reply.Version, address)
}

func (exc *Exchange) receive(ctx context.Context, msg *message) *messageReply {
	exc.Requests.SetPeerUsage(exc.Now(), msg.Name, msg.Usage)
	for _, found := range msg.Crashes {
		exc.Requests.NoteCrash(found)
	}
	snp := exc.Control.Snapshot()
	per := control.Peer{Address: msg.Address, FailureDomain: msg.FailureDomain, Draining: msg.Draining}
	if per != snp.Peers[msg.Name] {
		exc.Control.Send(ctx, control.PeerList{Peers: map[string]control.Peer{msg.Name: per}})
	}
	if len(msg.Leaving) > 0 {
		exc.Control.Send(ctx, control.Leaving{BornAt: msg.Leaving, Source: msg.Name})
	}
	reply := &messageReply{Version: snp.Version(), Leaving: exc.leaving(snp)}
	for id := range msg.Leaving {
		delete(reply.Leaving, id)
	}
	exc.noticeVersion(msg.Version, msg.Address)
	return reply
}
