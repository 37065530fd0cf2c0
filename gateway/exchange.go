package gateway

import (
	"context"
	"encoding/json"
	"math/rand/v2"
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
	workMethod     = "gateway.work"
	topicMethod    = "gateway.topic"
	crashMethod    = "gateway.crash"
	// workDelay gathers the generations that are sent at about the same time in one message.
	workDelay = 3 * time.Millisecond
	// exchangeInterval is the time between two rounds of messages to some peers.
	exchangeInterval = 400 * time.Millisecond
	// exchangePeers is the number of peers that a round reaches.
	exchangePeers = 3
	// newsPeers is the number of peers told at once of a leaving endpoint or a new version.
	newsPeers = 16
	// forwardWidth is the number of peers to which a daemon sends a part of a topic itself.
	forwardWidth = 8
	// maxAddressees bounds the peers that are told of a part of a topic.
	maxAddressees = 1024
	// exchangeTimeout bounds one message.
	exchangeTimeout = 600 * time.Millisecond
	// notifyTimeout bounds a message without an answer.
	notifyTimeout = 100 * time.Millisecond
	// minPeerPause and maxPeerPause bound the time for which a peer that does not answer is left alone.
	minPeerPause = 300 * time.Millisecond
	maxPeerPause = 5 * time.Second
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

// messageReply carries the configuration if the sender's is older.
type messageReply struct {
	Version       int64            `json:"version"`
	Configuration []byte           `json:"configuration,omitempty"`
	Leaving       map[string]int64 `json:"leaving,omitempty"`
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

	mutex sync.Mutex
	// changed are the engines whose work is to be told.
	changed map[string]bool
	// failures are the peers that did not answer.
	failures map[string]*peerFailure
}

// peerFailure says how long a peer that did not answer is left alone.
type peerFailure struct {
	pause time.Duration
	until time.Time
}

// NewExchange returns an exchange that needs its exported fields set before Run.
func NewExchange() *Exchange {
	return &Exchange{Client: peer.NewClient(), Now: time.Now, news: make(chan struct{}, 1), work: make(chan struct{}, 1),
		parts: make(chan *TopicPart, feedBuffer), Feeds: map[string]*Feed{}, failures: map[string]*peerFailure{}, changed: map[string]bool{}}
}

// Register adds the method to a peer server.
func (exc *Exchange) Register(srv *peer.Server) {
	srv.Handlers[exchangeMethod] = func(ctx context.Context, params json.RawMessage) (any, error) {
		var msg message
		if err := json.Unmarshal(params, &msg); err != nil {
			return nil, trace.BadParameter("message is not valid: %v", err)
		}
		return exc.receive(ctx, &msg), nil
	}
	srv.Handlers[workMethod] = func(_ context.Context, params json.RawMessage) (any, error) {
		var msg message
		if err := json.Unmarshal(params, &msg); err != nil {
			return nil, trace.BadParameter("message is not valid: %v", err)
		}
		exc.takeUsage(&msg)
		return nil, nil
	}
	srv.Handlers[topicMethod] = func(_ context.Context, params json.RawMessage) (any, error) {
		var part TopicPart
		if err := json.Unmarshal(params, &part); err != nil {
			return nil, trace.BadParameter("part of a topic is not valid: %v", err)
		}
		if fed, ok := exc.Feeds[part.Topic]; ok {
			fed.Hear(&part)
		}
		if len(part.Forward) > 0 {
			exc.ShareTopic(&part)
		}
		return nil, nil
	}
}

// RegisterCrashes adds the method by which daemons tell of requests that crash endpoints.
func (exc *Exchange) RegisterCrashes(srv *peer.Server) {
	srv.Handlers[crashMethod] = func(_ context.Context, params json.RawMessage) (any, error) {
		var found crash
		if err := json.Unmarshal(params, &found); err != nil {
			return nil, trace.BadParameter("crash is not valid: %v", err)
		}
		exc.Server.noteCrash(found)
		return nil, nil
	}
}

// ShareCrash tells all peers of a request that crashed an endpoint.
func (exc *Exchange) ShareCrash(found crash) {
	exc.notify(context.Background(), exc.addresses(maxAddressees), crashMethod, found)
}

// ShareTopic tells the peers what this daemon read; it does not block.
func (exc *Exchange) ShareTopic(part *TopicPart) {
	select {
	case exc.parts <- part:
	default:
	}
}

// Work asks to tell the users of an engine at once what this daemon has there.
func (exc *Exchange) Work(endpoint string) {
	exc.mutex.Lock()
	exc.changed[endpoint] = true
	exc.mutex.Unlock()
	select {
	case exc.work <- struct{}{}:
	default:
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

// RunNotices tells the peers of new generations and of what was read from the store, until the context ends.
func (exc *Exchange) RunNotices(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-exc.work:
			sleep(ctx, workDelay)
			exc.tellWork(ctx)
		case part := <-exc.parts:
			exc.forward(ctx, part)
		}
	}
}

// tellWork tells the users of each engine whose work changed what this daemon has there.
func (exc *Exchange) tellWork(ctx context.Context) {
	exc.mutex.Lock()
	changed := exc.changed
	exc.changed = map[string]bool{}
	exc.mutex.Unlock()
	shr := exc.Server.sharing.Load()
	if shr == nil {
		return
	}
	answering := exc.Answering()
	for id := range changed {
		exc.Server.mutex.Lock()
		msg := &message{Name: exc.Name, Usage: map[string]dispatch.Usage{id: exc.Server.Desk.Work(id)}}
		exc.Server.mutex.Unlock()
		var addresses []string
		for _, name := range shr.users[id] {
			if per, ok := answering[name]; ok {
				addresses = append(addresses, per.Address)
			}
		}
		exc.notify(ctx, addresses, workMethod, msg)
	}
}

// forward sends a part of a topic to all its addressees: to a first one of each group, which forwards it to the others.
func (exc *Exchange) forward(ctx context.Context, part *TopicPart) {
	addresses := part.Forward
	if part.First {
		addresses = exc.addresses(maxAddressees)
	}
	groups := len(addresses)
	if groups > forwardWidth {
		groups = forwardWidth
	}
	for i := range groups {
		var rest []string
		for j := i + groups; j < len(addresses); j += groups {
			rest = append(rest, addresses[j])
		}
		exc.notify(ctx, addresses[i:i+1], topicMethod, &TopicPart{
			Topic: part.Topic, Reader: part.Reader, From: part.From, Next: part.Next, Records: part.Records, Forward: rest,
		})
	}
}

func (exc *Exchange) notify(ctx context.Context, addresses []string, method string, params any) {
	for _, address := range addresses {
		notifyCtx, cancel := context.WithTimeout(ctx, notifyTimeout)
		err := exc.Client.Notify(notifyCtx, address, method, params)
		cancel()
		exc.noteAnswer(address, err)
	}
}

// noteAnswer leaves a peer that does not answer alone for a time that grows.
func (exc *Exchange) noteAnswer(address string, err error) {
	exc.mutex.Lock()
	defer exc.mutex.Unlock()
	if err == nil {
		delete(exc.failures, address)
		return
	}
	fai, ok := exc.failures[address]
	if !ok {
		fai = &peerFailure{pause: minPeerPause}
		exc.failures[address] = fai
		exc.Logger.WithError(err).WithField("peer", address).Info("peer does not answer")
	}
	fai.until = exc.Now().Add(fai.pause)
	fai.pause = min(2*fai.pause, maxPeerPause)
}

// addresses returns some peers in random order.
func (exc *Exchange) addresses(count int) []string {
	snp := exc.Control.Snapshot()
	addresses := make([]string, 0, len(snp.Peers))
	now := exc.Now()
	exc.mutex.Lock()
	for _, per := range snp.Peers {
		if fai, ok := exc.failures[per.Address]; !ok || now.After(fai.until) {
			addresses = append(addresses, per.Address)
		}
	}
	exc.mutex.Unlock()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(count, len(addresses))]
}

// Answering returns the peers that answered last, by name.
func (exc *Exchange) Answering() map[string]Peer {
	answering := map[string]Peer{}
	exc.mutex.Lock()
	defer exc.mutex.Unlock()
	for name, per := range exc.Control.Snapshot().Peers {
		if exc.failures[per.Address] == nil {
			answering[name] = per
		}
	}
	return answering
}

// Members returns the names of the daemons that answer and of this one.
func (exc *Exchange) Members() []string {
	names := []string{exc.Name}
	for name := range exc.Answering() {
		names = append(names, name)
	}
	return names
}

// HasNeighbour reports whether another daemon of the failure domain takes callers.
func (exc *Exchange) HasNeighbour() bool {
	for _, per := range exc.Answering() {
		if per.FailureDomain == exc.FailureDomain && !per.Draining {
			return true
		}
	}
	return false
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
		Crashes: exc.Server.crashes(exc.Now()), Version: version(snp), Usage: exc.usage(), Leaving: exc.leaving(snp),
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
	if len(reply.Configuration) == 0 {
		return
	}
	cat, err := exc.Parse(reply.Configuration)
	if err != nil {
		exc.Logger.WithError(err).WithField("peer", address).Warn("configuration of a peer passed over")
		return
	}
	exc.Control.Send(ctx, Published{Catalog: cat, Source: address})
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
	reply := &messageReply{Version: version(snp), Leaving: exc.leaving(snp)}
	for id := range msg.Leaving {
		delete(reply.Leaving, id)
	}
	if reply.Version > msg.Version {
		reply.Configuration = snp.Catalog.Raw
	}
	if msg.Version > reply.Version {
		// The sender has a newer version: asking it brings the version here.
		exc.News()
	}
	return reply
}

func version(snp *Snapshot) int64 {
	if snp.Catalog == nil {
		return 0
	}
	return snp.Catalog.Version
}
