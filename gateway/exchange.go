package gateway

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"papayacroft/catalog"
	"papayacroft/dispatch"
	"papayacroft/peer"
)

const (
	exchangeMethod = "gateway.exchange"
	// exchangeInterval is the time between two rounds of messages to some peers.
	exchangeInterval = 400 * time.Millisecond
	// exchangePeers is the number of peers that a round reaches.
	exchangePeers = 3
	// newsPeers is the number of peers told at once that this daemon drains.
	newsPeers = 16
	// exchangeTimeout bounds one message.
	exchangeTimeout = 600 * time.Millisecond
	// newsAge is how long an endpoint's leaving is told.
	newsAge = 10 * time.Second
)

// message is what daemons tell each other.
type message struct {
	Name string `json:"name"`
	// Address is where the sender takes messages.
	Address       string                    `json:"address,omitempty"`
	FailureDomain string                    `json:"failureDomain,omitempty"`
	Draining      bool                      `json:"draining,omitempty"`
	Version       int64                     `json:"version"`
	Usage         map[string]dispatch.Usage `json:"usage,omitempty"`
	// Crashes are requests that crashed endpoints.
	Crashes []crash `json:"crashes,omitempty"`
	// Leaving has the starts of endpoints that leave, by id.
	Leaving map[string]int64 `json:"leaving,omitempty"`
}

// messageReply tells the sender what it may not know.
type messageReply struct {
	Version int64            `json:"version"`
	Leaving map[string]int64 `json:"leaving,omitempty"`
}

// Exchange tells other daemons what this one knows and learns from them.
type Exchange struct {
	Name, Address, FailureDomain string
	// Feeds are the followed topics by name.
	Feeds   map[string]*Feed
	Server  *Server
	Control *Control
	Client  *peer.Client
	Logger  logrus.FieldLogger
	// Parse decodes a configuration that a peer sent.
	Parse func(data []byte) (*catalog.Catalog, error)
	Now   func() time.Time

	news  chan struct{}
	work  chan struct{}
	parts chan *TopicPart
	newer chan newerVersion

	mutex sync.Mutex
	// changed are the engines whose work is to be told.
	changed map[string]bool
	// failures are the peers that did not answer.
	failures map[string]*peerFailure
}

// NewExchange returns an exchange that needs its exported fields set before Run.
func NewExchange() *Exchange {
	return &Exchange{Client: peer.NewClient(), Now: time.Now, news: make(chan struct{}, 1), work: make(chan struct{}, 1),
		parts: make(chan *TopicPart, feedBuffer), newer: make(chan newerVersion, 1), Feeds: map[string]*Feed{}, failures: map[string]*peerFailure{}, changed: map[string]bool{}}
}

// Register adds the methods to a peer server.
func (exc *Exchange) Register(srv *peer.Server) {
	srv.Handlers[exchangeMethod] = answer(func(ctx context.Context, msg *message) any {
		return exc.receive(ctx, msg)
	})
	srv.Handlers[configurationMethod] = answer(func(_ context.Context, msg *message) any {
		return exc.answerConfiguration(msg)
	})
	srv.Handlers[workMethod] = answer(func(_ context.Context, msg *message) any {
		exc.takeUsage(msg)
		return nil
	})
	srv.Handlers[leavingMethod] = answer(func(ctx context.Context, msg *message) any {
		exc.Control.Send(ctx, Leaving{BornAt: msg.Leaving, Source: msg.Name})
		return nil
	})
	srv.Handlers[crashMethod] = answer(func(_ context.Context, found *crash) any {
		exc.Server.noteCrash(*found)
		return nil
	})
	srv.Handlers[topicMethod] = answer(func(_ context.Context, part *TopicPart) any {
		exc.hearTopic(part)
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

// News asks for a round of messages at once.
func (exc *Exchange) News() {
	select {
	case exc.news <- struct{}{}:
	default:
	}
}

// Run sends messages until the context ends.
func (exc *Exchange) Run(ctx context.Context) {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for {
		count := exchangePeers
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-exc.news:
			count = newsPeers
		}
		exc.round(ctx, count)
	}
}

func (exc *Exchange) usage() map[string]dispatch.Usage {
	exc.Server.mutex.Lock()
	defer exc.Server.mutex.Unlock()
	return exc.Server.Desk.Own()
}

func (exc *Exchange) takeUsage(msg *message) {
	exc.Server.mutex.Lock()
	defer exc.Server.mutex.Unlock()
	exc.Server.Desk.Peer(exc.Now(), msg.Name, msg.Usage)
}

func (exc *Exchange) round(ctx context.Context, count int) {
	snp := exc.Control.Snapshot()
	msg := exc.compose(snp)
	for _, address := range exc.addresses(count) {
		go exc.send(ctx, address, msg)
	}
}

func (exc *Exchange) compose(snp *Snapshot) *message {
	return &message{
		Name: exc.Name, Address: exc.Address, FailureDomain: exc.FailureDomain, Draining: exc.Server.Draining(),
		Crashes: exc.Server.crashes(exc.Now()), Version: currentVersion(snp), Usage: exc.usage(), Leaving: exc.leaving(snp),
	}
}

func (exc *Exchange) leaving(snp *Snapshot) map[string]int64 {
	bornAt := map[string]int64{}
	for id, mrk := range snp.Fleet.Leaving {
		if exc.Now().Sub(mrk.At) < newsAge {
			bornAt[id] = mrk.BornAt
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
		exc.Control.Send(ctx, Leaving{BornAt: reply.Leaving, Source: address})
	}
	exc.noticeVersion(reply.Version, address)
}

func (exc *Exchange) receive(ctx context.Context, msg *message) *messageReply {
	exc.takeUsage(msg)
	for _, found := range msg.Crashes {
		exc.Server.noteCrash(found)
	}
	snp := exc.Control.Snapshot()
	per := Peer{Address: msg.Address, FailureDomain: msg.FailureDomain, Draining: msg.Draining}
	if per != snp.Peers[msg.Name] {
		exc.Control.Send(ctx, PeerList{Peers: map[string]Peer{msg.Name: per}})
	}
	if len(msg.Leaving) > 0 {
		exc.Control.Send(ctx, Leaving{BornAt: msg.Leaving, Source: msg.Name})
	}
	reply := &messageReply{Version: currentVersion(snp), Leaving: exc.leaving(snp)}
	for id := range msg.Leaving {
		delete(reply.Leaving, id)
	}
	exc.noticeVersion(msg.Version, msg.Address)
	return reply
}
