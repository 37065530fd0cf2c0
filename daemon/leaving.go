package daemon

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"papayacroft/blackboard"
	"papayacroft/endpoint"
	"papayacroft/inventory"
	"papayacroft/membership"
	"papayacroft/provider"
)

const (
	// methodLeaving is the method between daemons that sends a notice of a leaving endpoint.
	methodLeaving = "endpoint.leaving"
	// leavingCheckInterval is the time between two checks of this daemon's own sources for leaving endpoints. It is
	// also the greatest delay before a notice from these sources goes to peers.
	leavingCheckInterval = 100 * time.Millisecond
	// returnPollInterval is the mean time between two polls of a leaving endpoint that find out whether it is back.
	// It is longer with many daemons, because all of them poll the same endpoint.
	returnPollInterval  = 2 * time.Second
	returnPollPerMember = 25 * time.Millisecond
)

// leavingWatch spreads notices of leaving endpoints to all daemons, so that none sends new work to these endpoints.
//
// An endpoint is leaving once any daemon gets a 503 response with code leaving or a load report with the leaving flag
// from it, or once the platform's list says so. It is back when a load report that is newer than the notice says
// that it isn't leaving and the platform's list doesn't say that it is.
type leavingWatch struct {
	daemon *Daemon
	// applied holds the time of the newest notice per endpoint.
	applied map[string]time.Time
	// nextPoll holds the time of the next poll for each endpoint that was leaving at the last check.
	nextPoll map[string]time.Time
	// listed holds the endpoints that are leaving according to the platform's list.
	listed atomic.Pointer[map[string]bool]
	// received holds notices from peers that have not been applied yet.
	received chan membership.Notice
}

func (dmn *Daemon) buildLeaving() {
	wat := &leavingWatch{
		daemon:   dmn,
		applied:  map[string]time.Time{},
		nextPoll: map[string]time.Time{},
		received: make(chan membership.Notice, 64),
	}
	wat.listed.Store(&map[string]bool{})
	report := dmn.entry.Endpoints.OnLoad
	dmn.entry.Endpoints.OnLoad = func(name string, lod endpoint.Load) {
		lod.Leaving = lod.Leaving || (*wat.listed.Load())[name]
		report(name, lod)
	}
	dmn.peers.Handlers[methodLeaving] = wat.handleNotice
	dmn.tasks = append(dmn.tasks, wat.run)
}

func (wat *leavingWatch) handleNotice(ctx context.Context, params json.RawMessage) (any, error) {
	var ntc membership.Notice
	if err := json.Unmarshal(params, &ntc); err != nil {
		return nil, trace.BadParameter("notice is not valid: %v", err)
	}
	select {
	case wat.received <- ntc:
	case <-ctx.Done():
	}
	return struct{}{}, nil
}

func (wat *leavingWatch) run(ctx context.Context) {
	ticker := time.NewTicker(leavingCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case ntc := <-wat.received:
			wat.apply(ctx, time.Now(), ntc)
		case <-ticker.C:
			wat.check(ctx, time.Now())
		}
	}
}

// check applies new notices from the platform's list, gossip and the tracker, and polls leaving endpoints.
func (wat *leavingWatch) check(ctx context.Context, now time.Time) {
	if snp := wat.daemon.loop.Snapshot(); snp.Index != nil {
		wat.checkSnapshot(ctx, now, snp)
	}
}

func (wat *leavingWatch) checkSnapshot(ctx context.Context, now time.Time, snp *blackboard.Snapshot) {
	wat.checkList(now, snp)
	for _, ntc := range wat.daemon.gossip.notices() {
		wat.apply(ctx, now, ntc)
	}
	for _, name := range wat.daemon.tracker.LeavingNames() {
		sta := wat.daemon.tracker.Status(name)
		edp, ok := snp.Index.Configuration.Endpoints[name]
		if !ok || sta.LeavingSince.IsZero() {
			continue
		}
		since := sta.LeavingSince
		if sta.Load.Leaving {
			since = sta.Load.At
		}
		if _, ok := wat.applied[name]; !ok || since.After(wat.applied[name]) && !wat.wasLeaving(name) {
			wat.apply(ctx, now, membership.Notice{Endpoint: name, Since: since})
		}
		wat.pollReturn(ctx, now, edp, len(snp.Members))
	}
	for name := range wat.nextPoll {
		if wat.daemon.tracker.Status(name).LeavingSince.IsZero() {
			delete(wat.nextPoll, name)
		}
	}
}

// wasLeaving reports whether the endpoint was already leaving at the last check.
func (wat *leavingWatch) wasLeaving(name string) bool {
	_, ok := wat.nextPoll[name]
	return ok
}

// checkList stores which endpoints are leaving according to the platform's list, and marks the new ones as leaving.
func (wat *leavingWatch) checkList(now time.Time, snp *blackboard.Snapshot) {
	leaving := map[string]bool{}
	for _, vmm := range snp.VMs {
		if vmm.State != provider.VMLeaving {
			continue
		}
		for name, edp := range snp.Index.Configuration.Endpoints {
			if name == vmm.Name || edp.Address == vmm.Address {
				leaving[name] = true
			}
		}
	}
	old := *wat.listed.Swap(&leaving)
	for name := range leaving {
		if !old[name] {
			wat.daemon.tracker.Leaving(now, name)
		}
	}
}

// apply marks the endpoint as leaving and forwards the notice, unless it isn't newer than the last notice of the
// endpoint or a newer load report says that the endpoint isn't leaving.
func (wat *leavingWatch) apply(ctx context.Context, now time.Time, ntc membership.Notice) {
	if !ntc.Since.After(wat.applied[ntc.Endpoint]) {
		return
	}
	wat.applied[ntc.Endpoint] = ntc.Since
	lod := wat.daemon.tracker.Status(ntc.Endpoint).Load
	if !lod.Leaving && lod.At.After(ntc.Since) {
		return
	}
	// A load report with the notice's time makes the tracker ignore older reports, which would end the leaving state.
	lod.At, lod.Leaving = ntc.Since, true
	wat.daemon.tracker.Report(now, ntc.Endpoint, lod)
	wat.daemon.tracker.Leaving(now, ntc.Endpoint)
	wat.daemon.Logger.WithField("endpoint", ntc.Endpoint).WithField("since", ntc.Since).Info("endpoint is leaving")
	wat.daemon.gossip.recordNotice(now, ntc)
	wat.forward(ctx, ntc)
}

// forward sends a notice to some peers in the background, and these forward it too. Peers that it doesn't reach get the
// notice through regular gossip exchanges.
func (wat *leavingWatch) forward(ctx context.Context, ntc membership.Notice) {
	go func() {
		var grp errgroup.Group
		for _, tgt := range wat.daemon.gossip.sample() {
			grp.Go(func() error {
				return wat.daemon.peerClient.Call(ctx, tgt.Address, methodLeaving, ntc, nil)
			})
		}
		if err := grp.Wait(); err != nil {
			wat.daemon.Logger.WithError(err).Debug("notice of a leaving endpoint not delivered to a peer")
		}
	}()
}

// pollReturn requests a load report from a leaving endpoint when its next poll is due. Without polls none would come,
// because the endpoint gets no requests. The first call for an endpoint only sets the time of its first poll.
func (wat *leavingWatch) pollReturn(ctx context.Context, now time.Time, edp inventory.Endpoint, members int) {
	interval := max(returnPollInterval, time.Duration(members)*returnPollPerMember)
	if at, ok := wat.nextPoll[edp.Name]; ok && now.Before(at) {
		return
	}
	_, again := wat.nextPoll[edp.Name]
	wat.nextPoll[edp.Name] = now.Add(interval/2 + rand.N(interval))
	if !again {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, returnPollInterval)
		defer cancel()
		// The report reaches the tracker through OnLoad.
		_, _ = wat.daemon.entry.Endpoints.Load(ctx, endpoint.Target{Name: edp.Name, Address: edp.Address})
	}()
}
