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
	// methodLeaving is the peers' method that tells of a leaving endpoint.
	methodLeaving = "endpoint.leaving"
	// leavingCheck is the time after which a sign on this daemon goes to peers.
	leavingCheck = 100 * time.Millisecond
	// returnCheck is the least time between two questions whether a leaving endpoint is back.
	// It grows with the number of daemons, because all of them ask the same endpoint.
	returnCheck          = 2 * time.Second
	returnCheckPerMember = 25 * time.Millisecond
)

// leavingWatch keeps new work from leaving endpoints on every daemon.
//
// An endpoint is leaving once it answers 503 with code leaving, or reports so, to any daemon, or once the
// platform's list says so. It is back when a load report that is newer than the sign says that it isn't
// leaving, and the list does not say that it is.
type leavingWatch struct {
	daemon *Daemon
	// applied holds the time of the newest sign per endpoint.
	applied map[string]time.Time
	// asked holds the time at which a leaving endpoint is asked again.
	asked map[string]time.Time
	// listed holds the endpoints that the platform's list calls leaving.
	listed atomic.Pointer[map[string]bool]
	signs  chan membership.Notice
}

func (dmn *Daemon) buildLeaving() {
	wat := &leavingWatch{
		daemon:  dmn,
		applied: map[string]time.Time{},
		asked:   map[string]time.Time{},
		signs:   make(chan membership.Notice, 64),
	}
	wat.listed.Store(&map[string]bool{})
	report := dmn.entry.Endpoints.OnLoad
	dmn.entry.Endpoints.OnLoad = func(name string, lod endpoint.Load) {
		lod.Leaving = lod.Leaving || (*wat.listed.Load())[name]
		report(name, lod)
	}
	dmn.peers.Handlers[methodLeaving] = wat.handle
	dmn.tasks = append(dmn.tasks, wat.run)
}

func (wat *leavingWatch) handle(ctx context.Context, params json.RawMessage) (any, error) {
	var ntc membership.Notice
	if err := json.Unmarshal(params, &ntc); err != nil {
		return nil, trace.BadParameter("notice is not valid: %v", err)
	}
	select {
	case wat.signs <- ntc:
	case <-ctx.Done():
	}
	return struct{}{}, nil
}

func (wat *leavingWatch) run(ctx context.Context) {
	ticker := time.NewTicker(leavingCheck)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case ntc := <-wat.signs:
			wat.apply(ctx, time.Now(), ntc)
		case <-ticker.C:
			wat.check(ctx, time.Now())
		}
	}
}

// check looks for new signs and asks leaving endpoints whether they are back.
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
		wat.ask(ctx, now, edp, len(snp.Members))
	}
	for name := range wat.asked {
		if wat.daemon.tracker.Status(name).LeavingSince.IsZero() {
			delete(wat.asked, name)
		}
	}
}

// wasLeaving reports whether the endpoint was leaving at the last check already.
func (wat *leavingWatch) wasLeaving(name string) bool {
	_, ok := wat.asked[name]
	return ok
}

// checkList takes in what the platform's list says of endpoints.
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

// apply notes a sign that is newer than the last one and passes it on.
func (wat *leavingWatch) apply(ctx context.Context, now time.Time, ntc membership.Notice) {
	if !ntc.Since.After(wat.applied[ntc.Endpoint]) {
		return
	}
	wat.applied[ntc.Endpoint] = ntc.Since
	lod := wat.daemon.tracker.Status(ntc.Endpoint).Load
	if !lod.Leaving && lod.At.After(ntc.Since) {
		return
	}
	// As a load report of the sign's time it outlasts reports that were made before.
	lod.At, lod.Leaving = ntc.Since, true
	wat.daemon.tracker.Report(now, ntc.Endpoint, lod)
	wat.daemon.tracker.Leaving(now, ntc.Endpoint)
	wat.daemon.Logger.WithField("endpoint", ntc.Endpoint).WithField("since", ntc.Since).Info("endpoint is leaving")
	wat.daemon.gossip.notice(now, ntc)
	wat.tell(ctx, ntc)
}

// tell sends a sign to some peers, which pass it on; regular exchanges repeat it for those that it misses.
func (wat *leavingWatch) tell(ctx context.Context, ntc membership.Notice) {
	go func() {
		var grp errgroup.Group
		for _, tgt := range wat.daemon.gossip.sample() {
			grp.Go(func() error {
				return wat.daemon.peerClient.Call(ctx, tgt.Address, methodLeaving, ntc, nil)
			})
		}
		if err := grp.Wait(); err != nil {
			wat.daemon.Logger.WithError(err).Debug("a peer could not be told of a leaving endpoint")
		}
	}()
}

// ask gets a load report from a leaving endpoint now and then, because no other traffic brings one.
func (wat *leavingWatch) ask(ctx context.Context, now time.Time, edp inventory.Endpoint, members int) {
	interval := max(returnCheck, time.Duration(members)*returnCheckPerMember)
	if at, ok := wat.asked[edp.Name]; ok && now.Before(at) {
		return
	}
	_, again := wat.asked[edp.Name]
	wat.asked[edp.Name] = now.Add(interval/2 + rand.N(interval))
	if !again {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, returnCheck)
		defer cancel()
		// The report reaches the tracker through OnLoad.
		_, _ = wat.daemon.entry.Endpoints.Load(ctx, endpoint.Target{Name: edp.Name, Address: edp.Address})
	}()
}
