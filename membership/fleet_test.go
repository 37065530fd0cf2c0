package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"papayacroft/provider"
)

const (
	fleetDomains = 18
	fleetRegions = 5
	fleetStep    = 100 * time.Millisecond
	// callTimeout is the time after which a call to an unreachable daemon fails, the same as in package peer.
	callTimeout = time.Second
)

// fleetNode is one daemon of a fleet; a down node neither sends nor answers.
type fleetNode struct {
	tab     *Table
	name    string
	address string
	domain  int
	region  int
	down    bool
	nextAt  time.Time
	// noticeForwarded is true after the node forwarded the notice of a leaving endpoint.
	noticeForwarded bool
	// failing is the target of a call in flight that times out at nextAt.
	failing string
	// bytes counts the bytes that the node sent and received.
	bytes int
}

// fleet runs tables with the daemons' timing on a simulated clock.
type fleet struct {
	started, now time.Time
	rnd          *rand.Rand
	nodes        []*fleetNode
	index        map[string]*fleetNode
	vms          []provider.VM
	// cut reports whether two nodes cannot reach each other.
	cut func(one, other *fleetNode) bool
	// interval is the time between two exchanges of a node.
	interval time.Duration
	// forwardNotices is true while nodes that receive the notice of a leaving endpoint forward it.
	forwardNotices bool
	// bytes counts the bytes of all nodes in the current second; peak is the greatest mean over all nodes in one second.
	bytes, peak int
}

func newFleet(count int) *fleet {
	flt := &fleet{
		now: time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC), rnd: rand.New(rand.NewPCG(5, 18)), index: map[string]*fleetNode{},
		cut: func(_, _ *fleetNode) bool { return false }, interval: ExchangeInterval,
	}
	for i := range count {
		domain := i % fleetDomains
		node := &fleetNode{
			name: fmt.Sprintf("entry-%03d", i), address: fmt.Sprintf("10.20.%d.%d:9400", domain, i/fleetDomains+10),
			domain: domain, region: domain % fleetRegions,
		}
		flt.nodes, flt.index[node.name] = append(flt.nodes, node), node
		flt.vms = append(flt.vms, provider.VM{Name: node.name, Address: node.address, State: provider.VMLive})
	}
	for _, node := range flt.nodes {
		flt.start(node)
	}
	flt.started = flt.now
	return flt
}

// start gives a node a new incarnation with an identifier as long as that of a real daemon.
func (flt *fleet) start(node *fleetNode) {
	node.tab = NewTable(flt.now, Member{
		Name: node.name, Address: node.address, AdminAddress: node.address[:len(node.address)-4] + "9500",
		FailureDomain: fmt.Sprintf("region-%d-%c", node.region, 'a'+node.domain/fleetRegions),
		Incarnation:   fmt.Sprintf("%08x-1111-4222-8333-%012x", flt.rnd.Uint32(), flt.rnd.Uint64()>>16),
	})
	node.tab.SetVMs(flt.vms)
	node.down, node.failing = false, ""
	node.nextAt = flt.now.Add(time.Duration(flt.rnd.Int64N(int64(ExchangeInterval))))
}

// run advances the clock; after each step it stops if done reports true.
func (flt *fleet) run(dur time.Duration, done func() bool) {
	for end := flt.now.Add(dur); flt.now.Before(end); {
		flt.now = flt.now.Add(fleetStep)
		for _, node := range flt.nodes {
			if !node.down && !flt.now.Before(node.nextAt) {
				flt.exchange(node)
			}
			if flt.forwardNotices {
				flt.forwardNotice(node)
			}
		}
		if flt.now.Sub(flt.now.Truncate(time.Second)) == 0 {
			flt.peak, flt.bytes = max(flt.peak, flt.bytes/len(flt.nodes)), 0
		}
		if done != nil && done() {
			return
		}
	}
}

func (flt *fleet) exchange(node *fleetNode) {
	node.tab.Tick(flt.now)
	if node.failing != "" {
		node.tab.Failed(flt.now, node.failing)
		node.failing = ""
	}
	node.nextAt = flt.now.Add(flt.interval - 100*time.Millisecond + time.Duration(flt.rnd.Int64N(int64(200*time.Millisecond))))
	tgt, ok := node.tab.Target(flt.rnd)
	if !ok {
		return
	}
	peer := flt.index[tgt.Name]
	if peer.down || flt.cut(node, peer) {
		node.failing, node.nextAt = tgt.Name, flt.now.Add(callTimeout)
		return
	}
	ask := node.tab.Message(flt.now, flt.rnd, tgt.Name, false)
	flt.receive(peer, ask)
	reply := peer.tab.Message(flt.now, flt.rnd, node.name, true)
	flt.receive(node, reply)
	flt.countBytes(node, peer, size(ask)+size(reply)+2*rpcBytes)
	if node.tab.WantsList(flt.now, flt.rnd, reply) {
		req := node.tab.ListRequest(flt.now)
		rep, err := peer.tab.List(req)
		if err == nil {
			err = node.tab.ReceiveList(flt.now, rep)
		}
		if err != nil {
			panic(err)
		}
		flt.countBytes(node, peer, size(req)+size(rep)+2*rpcBytes)
	}
}

// forwardNotice sends a notice to some random members once, a step after the node received it, as daemons do with the
// method endpoint.leaving.
func (flt *fleet) forwardNotice(node *fleetNode) {
	notices := node.tab.Notices()
	if node.noticeForwarded || len(notices) == 0 || !node.tab.notices[notices[0].Endpoint].receivedAt.Before(flt.now) {
		return
	}
	node.noticeForwarded = true
	for _, tgt := range node.tab.Sample(flt.rnd, 8) {
		flt.index[tgt.Name].tab.AddNotice(flt.now, notices[0])
		flt.countBytes(node, flt.index[tgt.Name], size(notices[0])+2*rpcBytes)
	}
}

// receive merges a message and fetches a newer configuration, as daemons do.
func (flt *fleet) receive(node *fleetNode, msg Message) {
	node.tab.Receive(flt.now, msg)
	if msg.Sender.Version > node.tab.self.Version {
		node.tab.SetVersion(msg.Sender.Version)
	}
}

func (flt *fleet) countBytes(node, peer *fleetNode, bytes int) {
	node.bytes += bytes
	peer.bytes += bytes
	flt.bytes += 2 * bytes
}

// rate returns the mean over all nodes and the greatest rate of a node, in bytes sent and received per second, and
// resets the counts.
func (flt *fleet) rate(dur time.Duration) (mean, most int) {
	for _, node := range flt.nodes {
		mean += node.bytes
		most = max(most, node.bytes)
		node.bytes = 0
	}
	seconds := int(dur / time.Second)
	return mean / len(flt.nodes) / seconds, most / seconds
}

// knows reports whether a table holds the current incarnation of another node in a state.
func (node *fleetNode) knows(other *fleetNode, sta State) bool {
	rec, ok := node.tab.members[other.name]
	return ok && rec.State == sta && rec.Incarnation == other.tab.self.Incarnation
}

// spread runs until each of the observers knows about each observed node, and returns the time that each pair took.
func (flt *fleet) spread(limit time.Duration, observers, observed []*fleetNode, knows func(node, other *fleetNode) bool) (times []time.Duration, missing int) {
	type pair struct{ node, other *fleetNode }
	var open []pair
	for _, node := range observers {
		for _, other := range observed {
			if node != other {
				open = append(open, pair{node, other})
			}
		}
	}
	start := flt.now
	flt.run(limit, func() bool {
		if flt.now.Sub(flt.now.Truncate(500*time.Millisecond)) != 0 {
			return false
		}
		open = slices.DeleteFunc(open, func(par pair) bool {
			if !knows(par.node, par.other) {
				return false
			}
			times = append(times, flt.now.Sub(start))
			return true
		})
		return len(open) == 0
	})
	return times, len(open)
}

func (flt *fleet) where(keep func(node *fleetNode) bool) (nodes []*fleetNode) {
	for _, node := range flt.nodes {
		if keep(node) {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

func (flt *fleet) up() []*fleetNode {
	return flt.where(func(node *fleetNode) bool { return !node.down })
}

// quantiles describes a distribution by its median, 0.9, 0.99 and greatest value.
func quantiles(times []time.Duration) string {
	if len(times) == 0 {
		return "none"
	}
	slices.Sort(times)
	at := func(part int) time.Duration { return times[(len(times)-1)*part/100] }
	return fmt.Sprintf("p50 %v, p90 %v, p99 %v, greatest %v of %d", at(50), at(90), at(99), at(100), len(times))
}

func checkWithin(t *testing.T, what string, times []time.Duration, missing int, bound time.Duration) {
	t.Helper()
	t.Logf("%s: %s, %d missing", what, quantiles(times), missing)
	if missing > 0 || len(times) > 0 && times[len(times)-1] > bound {
		t.Errorf("%s: got %s, %d missing; want all within %v", what, quantiles(times), missing, bound)
	}
}

// checkMost checks that 99 of 100 pairs took at most the bound and at most one in 1,000 is missing. It does not check
// every pair because the time of the last ones is random.
func checkMost(t *testing.T, what string, times []time.Duration, missing int, bound time.Duration) {
	t.Helper()
	t.Logf("%s: %s, %d missing", what, quantiles(times), missing)
	if all := len(times) + missing; 1000*missing > all || len(times) < all*99/100 || times[all*99/100-1] > bound {
		t.Errorf("%s: got %s, %d missing; want 0.99 within %v and at most one in 1,000 missing", what, quantiles(times), missing, bound)
	}
}

func live(node, other *fleetNode) bool { return node.knows(other, StateLive) }

// notUsed reports whether a node does not use another one as a member, because it is gone or was never known.
func notUsed(node, other *fleetNode) bool {
	rec, ok := node.tab.members[other.name]
	return !ok || rec.State == StateGone
}
