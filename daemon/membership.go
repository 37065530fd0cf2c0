package daemon

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"papayacroft/blackboard"
	"papayacroft/configuration"
	"papayacroft/membership"
)

const (
	// immediateFanout is the number of peers to which an urgent change is sent at once, ahead of the next regular
	// exchange.
	immediateFanout = 8
	// exchangeJitter spreads the exchanges of daemons that started at the same time.
	exchangeJitter = 200 * time.Millisecond
)

// gossip runs the exchanges of the membership table with peers and copies data between the table and the blackboard.
type gossip struct {
	daemon *Daemon
	// announce makes run exchange with several peers at once after this daemon began to drain.
	announce chan struct{}
	// sources receives peers that may have a newer configuration; fetchFromPeers reads it.
	sources chan source

	exchanges atomic.Int64
	failures  atomic.Int64

	mutex     sync.Mutex
	table     *membership.Table
	rnd       *rand.Rand
	vmsReadAt time.Time
}

// buildMembership sets up gossip between daemons and what depends on it: configuration transfer and leavingWatch.
func (dmn *Daemon) buildMembership() {
	set := dmn.Settings
	gsp := &gossip{
		daemon:   dmn,
		announce: make(chan struct{}, 1),
		sources:  make(chan source, 1),
		rnd:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		table: membership.NewTable(time.Now(), membership.Member{
			Name: set.Name, Address: set.PeerAddress, AdminAddress: set.AdminAddress,
			FailureDomain: set.FailureDomain, Incarnation: dmn.incarnation,
		}),
	}
	dmn.gossip = gsp
	dmn.loop.Controllers = append(dmn.loop.Controllers, gsp, newSnapshotter(dmn))
	dmn.peers.Handlers[membership.MethodExchange] = gsp.handleExchange
	dmn.peers.Handlers[membership.MethodList] = gsp.handleList
	dmn.peers.Handlers[configuration.MethodFetch] = dmn.handleFetch
	dmn.tasks = append(dmn.tasks, gsp.run, dmn.fetchFromPeers)
	dmn.buildLeaving()
}

// Step copies the version in force, the VM list and the start of a drain from the board into the table, and the members
// and the version floor from the table onto the board.
func (gsp *gossip) Step(now time.Time, brd *blackboard.Board) {
	gsp.mutex.Lock()
	defer gsp.mutex.Unlock()
	gsp.table.SetVersion(brd.InForce.Number)
	if !brd.VMsReadAt.Equal(gsp.vmsReadAt) {
		gsp.vmsReadAt = brd.VMsReadAt
		gsp.table.SetVMs(brd.VMs)
	}
	if !brd.DrainingSince.IsZero() && gsp.table.Leave() {
		select {
		case gsp.announce <- struct{}{}:
		default:
		}
	}
	gsp.table.Tick(now)
	if gsp.table.Changed() {
		brd.Members = gsp.table.Members(now)
	}
	brd.VersionFloor = gsp.table.FormerVersion()
}

// run exchanges with one peer at each interval, and with several at once when this daemon starts to drain.
func (gsp *gossip) run(ctx context.Context) {
	for ctx.Err() == nil {
		timer := time.NewTimer(membership.ExchangeInterval - exchangeJitter/2 + rand.N(exchangeJitter))
		select {
		case <-timer.C:
			if tgt, ok := gsp.target(); ok {
				gsp.exchange(ctx, tgt)
			}
		case <-gsp.announce:
			var wgr sync.WaitGroup
			for _, tgt := range gsp.sample() {
				wgr.Go(func() { gsp.exchange(ctx, tgt) })
			}
			wgr.Wait()
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

func (gsp *gossip) target() (membership.Target, bool) {
	gsp.mutex.Lock()
	defer gsp.mutex.Unlock()
	return gsp.table.Target(gsp.rnd)
}

func (gsp *gossip) sample() []membership.Target {
	gsp.mutex.Lock()
	defer gsp.mutex.Unlock()
	return gsp.table.Sample(gsp.rnd, immediateFanout)
}

func (gsp *gossip) notices() []membership.Notice {
	gsp.mutex.Lock()
	defer gsp.mutex.Unlock()
	return gsp.table.Notices()
}

func (gsp *gossip) recordNotice(now time.Time, ntc membership.Notice) {
	gsp.mutex.Lock()
	defer gsp.mutex.Unlock()
	gsp.table.AddNotice(now, ntc)
}

// over reports whether gossip says that an organisation is near or over its limit, which its owner decides.
func (gsp *gossip) over(organisation string) bool {
	gsp.mutex.Lock()
	defer gsp.mutex.Unlock()
	return gsp.table.IsOverLimit(time.Now(), organisation)
}

func (gsp *gossip) announceOver(now time.Time, over map[string]time.Time) {
	gsp.mutex.Lock()
	defer gsp.mutex.Unlock()
	for organisation, until := range over {
		gsp.table.MarkOverLimit(now, organisation, until.Sub(now))
	}
}

func (gsp *gossip) message(to string, reply bool) membership.Message {
	gsp.mutex.Lock()
	defer gsp.mutex.Unlock()
	return gsp.table.Message(time.Now(), gsp.rnd, to, reply)
}

func (gsp *gossip) exchange(ctx context.Context, tgt membership.Target) {
	gsp.exchanges.Add(1)
	var reply membership.Message
	err := gsp.daemon.peerClient.Call(ctx, tgt.Address, membership.MethodExchange, gsp.message(tgt.Name, false), &reply)
	if err != nil {
		gsp.failures.Add(1)
		gsp.daemon.Logger.WithField("peer", tgt.Name).WithError(err).Debug("exchange failed")
		gsp.mutex.Lock()
		defer gsp.mutex.Unlock()
		gsp.table.Failed(time.Now(), tgt.Name)
		return
	}
	gsp.receive(reply)
	gsp.fetchList(ctx, tgt, reply)
}

// fetchList fetches the members that this daemon lacks from a peer, if the peer's message shows that it has many more.
func (gsp *gossip) fetchList(ctx context.Context, tgt membership.Target, msg membership.Message) {
	now := time.Now()
	gsp.mutex.Lock()
	wanted := gsp.table.WantsList(now, gsp.rnd, msg)
	var req membership.ListRequest
	if wanted {
		req = gsp.table.ListRequest(now)
	}
	gsp.mutex.Unlock()
	if !wanted {
		return
	}
	var reply membership.ListReply
	err := gsp.daemon.peerClient.Call(ctx, tgt.Address, membership.MethodList, req, &reply)
	if err == nil {
		gsp.mutex.Lock()
		defer gsp.mutex.Unlock()
		err = gsp.table.ReceiveList(time.Now(), reply)
	}
	if err != nil {
		gsp.daemon.Logger.WithField("peer", tgt.Name).WithError(err).Debug("member list could not be fetched")
	}
}

func (gsp *gossip) handleList(_ context.Context, params json.RawMessage) (any, error) {
	var req membership.ListRequest
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, trace.BadParameter("request is not valid: %v", err)
	}
	gsp.mutex.Lock()
	defer gsp.mutex.Unlock()
	return gsp.table.List(req)
}

// receive merges a message into the table. It queues the sender as a source if the sender's configuration is newer or
// this daemon waits for a configuration snapshot.
func (gsp *gossip) receive(msg membership.Message) {
	gsp.mutex.Lock()
	gsp.table.Receive(time.Now(), msg)
	gsp.mutex.Unlock()
	snp := gsp.daemon.loop.Snapshot()
	if msg.Sender.Version > snp.ConfigurationView.Current.Number || snp.Behind {
		select {
		case gsp.sources <- source{msg.Sender.Name, msg.Sender.Address, msg.Sender.Version}:
		default:
		}
	}
}

func (gsp *gossip) handleExchange(_ context.Context, params json.RawMessage) (any, error) {
	var msg membership.Message
	if err := json.Unmarshal(params, &msg); err != nil {
		return nil, trace.BadParameter("message is not valid: %v", err)
	}
	gsp.receive(msg)
	return gsp.message(msg.Sender.Name, true), nil
}
