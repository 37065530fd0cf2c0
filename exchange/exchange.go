// Package exchange is what the daemons tell each other: work at endpoints, endpoints that leave, requests that crash
// endpoints, configuration versions, and the topics of the store, which one daemon reads for all.
package exchange

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"papayacroft/catalog"
	"papayacroft/control"
	"papayacroft/dispatch"
	"papayacroft/peer"
)

const (
	exchangeMethod = "gateway.exchange"
	// exchangeInterval is the interval at which a daemon gossips with one neighbour after the other.
	exchangeInterval = 400 * time.Millisecond
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
	// Waiting is the work that waits at the sender, by service and priority; nil if the sender has no queue.
	Waiting dispatch.WaitingTokens `json:"waiting,omitzero"`
	// Crashes are requests that crashed endpoints.
	Crashes []Crash `json:"crashes,omitempty"`
	// Survivals show which of the parts of prompts in Crashes are sound.
	Survivals Survivals `json:"survivals,omitempty"`
	// Leaving has the start times of endpoints that leave, by id.
	Leaving map[string]int64 `json:"leaving,omitempty"`
	// LeavingSum is a hash of the endpoints that leave. Gossip carries it in place of Leaving.
	LeavingSum uint64 `json:"leavingSum,omitempty,string"`
	// EvacuatedSum is a hash of the evacuated failure domains; 0 if there are none.
	EvacuatedSum uint64 `json:"evacuatedSum,omitempty,string"`
}

// messageReply has the receiver's configuration version and, if it knows of other leaving endpoints or other evacuations than
// the sender, all that it knows of.
type messageReply struct {
	Version        int64            `json:"version"`
	LeavingDiffers bool             `json:"leavingDiffers,omitempty"`
	Leaving        map[string]int64 `json:"leaving,omitempty"`
	// EvacuationsDiffer is true if the sender's EvacuatedSum is another one. Evacuations is nil if the receiver has not learnt
	// them yet.
	EvacuationsDiffer bool         `json:"evacuationsDiffer,omitempty"`
	Evacuations       *evacuations `json:"evacuations,omitempty"`
}

// Crash is the news that a request crashed an endpoint while it ran there.
type Crash struct {
	// Digest identifies the request; it is the same when the caller sends it again.
	Digest   uint64 `json:"digest,string"`
	Endpoint string `json:"endpoint"`
	// StartedAt distinguishes the endpoint from a later one with the same id.
	StartedAt int64 `json:"startedAt,omitempty"`
	// AgeMS is the time since the crash in ms.
	AgeMS int64 `json:"ageMs"`
	// Parts are the parts of the request's prompt that other requests may have in common with it.
	Parts []string `json:"parts,omitempty"`
	// Begun is true if the endpoint had begun to answer the request and had sent no event, Started if it had sent events.
	Begun   bool `json:"begun,omitempty"`
	Started bool `json:"started,omitempty"`
	// AnswerMS is the time from the start of the answer to the crash in ms.
	AnswerMS int64 `json:"answerMs,omitempty"`
	// Ended is true if the answer had ended before the crash, Trial if the request ran to show which part is at fault.
	Ended bool `json:"ended,omitempty"`
	Trial bool `json:"trial,omitempty"`
}

// Survival is a run of a request whose endpoint has not crashed. Without an endpoint, it states that a part was sound.
type Survival struct {
	Endpoint  string `json:"endpoint,omitempty"`
	StartedAt int64  `json:"startedAt,omitempty"`
	// Digest identifies the request, and Parts are as in Crash.
	Digest uint64   `json:"digest,omitempty,string"`
	Parts  []string `json:"parts"`
	// AgeMS is the time since the start of the answer in ms, and LastedMS the time from then to the latest event.
	AgeMS    int64 `json:"ageMs"`
	LastedMS int64 `json:"lastedMs"`
	// Whole is true if the answer has ended whole, Settled if that was long ago.
	Whole   bool `json:"whole,omitempty"`
	Settled bool `json:"settled,omitempty"`
}

// Survivals are the runs in one message.
type Survivals []Survival

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
	// Survivals returns runs that show which parts in Crashes are sound, NoteSurvivals records some.
	Survivals(now time.Time) Survivals
	NoteSurvivals(runs Survivals)
	// GrantPermit answers a daemon that asks for a permit.
	GrantPermit(req *PermitRequest) *PermitReply
	// NoteLimit records an endpoint's limit, and reports whether to announce it to other daemons.
	NoteLimit(lim *EndpointLimit) bool
}

// Exchange gossips with other daemons: it exchanges load, endpoints that leave, crashes and configuration versions, and
// distributes the topics of the store.
type Exchange struct {
	Name, Address, FailureDomain string
	// Feeds are the followed topics by name.
	Feeds    map[string]*Feed
	Requests Requests
	// Backlog, if set, is the work that waits for capacity.
	Backlog Backlog
	Control *control.Control
	Client  *peer.Client
	Logger  logrus.FieldLogger
	// Parse decodes a configuration that a peer sent.
	Parse func(data []byte) (*catalog.Catalog, error)
	Now   func() time.Time

	// broadcasts are the handlers of messages that are broadcast, by method.
	broadcasts map[string]peer.Handler

	roundRequests chan struct{}
	work          chan struct{}
	waiting       chan struct{}
	parts         chan *TopicPart
	// newer holds at most one peer with a newer configuration; see noticeVersion.
	newer chan newerVersion

	sharing atomic.Pointer[sharing]

	mutex sync.Mutex
	// changed are the engines for which this daemon's work has changed since it was last sent.
	changed map[string]bool
	// failures are the peers whose last call failed, by address; failureChanges counts the times that one was added or
	// removed.
	failures       map[string]*peerFailure
	failureChanges int64
	lastRoster     *roster
}

// New returns an exchange that needs its exported fields set before Run.
func New() *Exchange {
	return &Exchange{
		Client: peer.NewClient(), Now: time.Now, Feeds: map[string]*Feed{}, broadcasts: map[string]peer.Handler{},
		roundRequests: make(chan struct{}, 1), work: make(chan struct{}, 1), waiting: make(chan struct{}, 1), parts: make(chan *TopicPart, feedBuffer),
		newer: make(chan newerVersion, 1), changed: map[string]bool{}, failures: map[string]*peerFailure{},
	}
}

// Register adds the handlers of the exchange's methods to a peer server.
func (exc *Exchange) Register(srv *peer.Server) {
	srv.Handlers[exchangeMethod] = answer(func(ctx context.Context, msg *message) any {
		return exc.receive(ctx, msg)
	})
	srv.Handlers[configurationMethod] = answer(func(_ context.Context, msg *message) any {
		return exc.answerConfiguration(msg)
	})
	srv.Handlers[workMethod] = answer(func(_ context.Context, msg *message) any {
		exc.heard(msg.Name)
		exc.receiveWaiting(msg)
		exc.Requests.SetPeerUsage(exc.Now(), msg.Name, msg.Usage)
		return nil
	})
	srv.Handlers[permitMethod] = answer(func(_ context.Context, req *PermitRequest) any {
		return exc.answerPermit(req)
	})
	exc.broadcasts[limitMethod] = answer(func(_ context.Context, lim *EndpointLimit) any {
		exc.Requests.NoteLimit(lim)
		return nil
	})
	srv.Handlers[limitMethod] = answer(func(_ context.Context, lim *EndpointLimit) any {
		exc.receiveLimit(lim)
		return nil
	})
	exc.broadcasts[leavingMethod] = answer(func(ctx context.Context, msg *message) any {
		exc.Control.Send(ctx, control.Leaving{BornAt: msg.Leaving, Source: msg.Name})
		return nil
	})
	exc.broadcasts[crashMethod] = answer(func(_ context.Context, found *Crash) any {
		exc.Requests.NoteCrash(*found)
		return nil
	})
	exc.broadcasts[survivalMethod] = answer(func(_ context.Context, runs *Survivals) any {
		exc.Requests.NoteSurvivals(*runs)
		return nil
	})
	exc.broadcasts[topicMethod] = answer(func(_ context.Context, part *TopicPart) any {
		exc.receiveTopic(part)
		return nil
	})
	srv.Handlers[evacuationMethod] = answer(func(ctx context.Context, msg *evacuations) any {
		exc.applyEvacuations(ctx, msg.Name, msg)
		return nil
	})
	// A peer whose gossip shows that it lacks leaving endpoints gets them directly.
	srv.Handlers[leavingMethod] = exc.broadcasts[leavingMethod]
	srv.Handlers[broadcastMethod] = func(ctx context.Context, params json.RawMessage) (any, error) {
		var msg broadcast
		if err := json.Unmarshal(params, &msg); err != nil {
			return nil, trace.BadParameter("parameters are not valid: %v", err)
		}
		return exc.receiveBroadcast(ctx, &msg)
	}
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

// RequestRound makes Run gossip with all neighbours now; it does not block.
func (exc *Exchange) RequestRound() {
	select {
	case exc.roundRequests <- struct{}{}:
	default:
	}
}

// Run gossips until the context is cancelled.
func (exc *Exchange) Run(ctx context.Context) {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for turn := rand.IntN(maxNeighbours); ; turn++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			neighbours := exc.roster().ring.neighbours()
			if len(neighbours) > 0 {
				exc.gossip(ctx, neighbours[turn%len(neighbours)])
			}
			if address, ok := exc.silentPeer(exc.Now()); ok {
				exc.gossip(ctx, address)
			}
		case <-exc.roundRequests:
			exc.gossip(ctx, exc.roster().ring.neighbours()...)
		}
	}
}

// gossip sends this daemon's state to peers without waiting for their replies.
func (exc *Exchange) gossip(ctx context.Context, addresses ...string) {
	snp := exc.Control.Snapshot()
	leaving := exc.leaving(snp)
	msg := &message{
		Name: exc.Name, Address: exc.Address, FailureDomain: exc.FailureDomain, Draining: exc.Requests.Draining(),
		Crashes: exc.Requests.Crashes(exc.Now()), Survivals: exc.Requests.Survivals(exc.Now()), Version: snp.Version(), LeavingSum: leavingSum(leaving),
		EvacuatedSum: evacuatedSum(&snp.Fleet.Evacuations),
	}
	// In a larger fleet, a neighbour rarely uses the same engines.
	if len(exc.Members()) <= engineUsers {
		msg.Usage = exc.Requests.LocalUsage()
	}
	for _, address := range addresses {
		go exc.send(ctx, address, msg, leaving)
	}
}

// leaving returns the endpoints that this daemon has learnt to be leaving in the last leavingGossipTime.
func (exc *Exchange) leaving(snp *control.Snapshot) map[string]int64 {
	bornAt := map[string]int64{}
	for id, mrk := range snp.Fleet.Leaving {
		if exc.Now().Sub(mrk.At) < leavingGossipTime {
			bornAt[id] = mrk.StartedAt
		}
	}
	return bornAt
}

// leavingSum returns a hash that does not depend on the order of the endpoints.
func leavingSum(bornAt map[string]int64) uint64 {
	var sum uint64
	for id, at := range bornAt {
		sum += xxhash.Sum64String(id + strconv.FormatInt(at, 10))
	}
	return sum
}

func (exc *Exchange) send(ctx context.Context, address string, msg *message, leaving map[string]int64) {
	callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var reply messageReply
	err := exc.Client.Call(callCtx, address, exchangeMethod, msg, &reply)
	exc.noteAnswer(address, err)
	if err != nil {
		return
	}
	if reply.LeavingDiffers {
		exc.reconcileLeaving(ctx, address, leaving, reply.Leaving)
	}
	if reply.EvacuationsDiffer {
		exc.reconcileEvacuations(ctx, address, reply.Evacuations)
	}
	exc.noticeVersion(reply.Version, address)
}

// reconcileLeaving applies the leaving endpoints that a peer knows of, and sends it those that it lacks.
func (exc *Exchange) reconcileLeaving(ctx context.Context, address string, own, theirs map[string]int64) {
	if len(theirs) > 0 {
		exc.Control.Send(ctx, control.Leaving{BornAt: theirs, Source: address})
	}
	missing := map[string]int64{}
	for id, at := range own {
		if known, ok := theirs[id]; !ok || known < at {
			missing[id] = at
		}
	}
	if len(missing) > 0 {
		exc.notify(ctx, address, leavingMethod, &message{Name: exc.Name, Leaving: missing})
	}
}

func (exc *Exchange) receive(ctx context.Context, msg *message) *messageReply {
	exc.heard(msg.Name)
	exc.Requests.SetPeerUsage(exc.Now(), msg.Name, msg.Usage)
	exc.Requests.NoteSurvivals(msg.Survivals)
	for _, found := range msg.Crashes {
		exc.Requests.NoteCrash(found)
	}
	snp := exc.Control.Snapshot()
	per := control.Peer{Address: msg.Address, FailureDomain: msg.FailureDomain, Draining: msg.Draining}
	if per != snp.Peers[msg.Name] {
		exc.Control.Send(ctx, control.PeerList{Peers: map[string]control.Peer{msg.Name: per}})
	}
	exc.noticeVersion(msg.Version, msg.Address)
	reply := &messageReply{Version: snp.Version()}
	if leaving := exc.leaving(snp); leavingSum(leaving) != msg.LeavingSum {
		reply.LeavingDiffers, reply.Leaving = true, leaving
	}
	if own := &snp.Fleet.Evacuations; evacuatedSum(own) != msg.EvacuatedSum {
		reply.EvacuationsDiffer, reply.Evacuations = true, exc.encodeEvacuations(own)
	}
	return reply
}
