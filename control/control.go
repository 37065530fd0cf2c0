// Package control owns a daemon's view of the configuration, the endpoints and the other daemons.
package control

import (
	"context"
	"maps"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"papayacroft/catalog"
)

const (
	// tickInterval is the interval of the control goroutine's periodic work.
	tickInterval = 100 * time.Millisecond
	// maxTickGap is the time without periodic work after which the process counts as paused.
	maxTickGap = 1500 * time.Millisecond
	// resumeTime is the time after a pause within which the store is read if it can be.
	resumeTime  = 300 * time.Millisecond
	inputBuffer = 64
	// sourceStore is logged as the source of information that comes from an entry in the store or from its removal.
	sourceStore = "store"
)

// Snapshot is the daemon's view of configuration, endpoints and peers at one moment; readers must not modify it.
type Snapshot struct {
	// Catalog is nil until the first configuration has been received.
	Catalog *catalog.Catalog
	Fleet   catalog.FleetView
	// Peers are the other daemons by name; PeerChanges is the number of changes of them so far.
	Peers       map[string]Peer
	PeerChanges int64
	// StoreReadAt is when this daemon, or a peer that shared its read, last read the store.
	StoreReadAt time.Time
	// StoreEra is the store's era, 0 if it states none; StoreRestores is the number of times that it has changed since the start.
	StoreEra, StoreRestores int64
	// TickedAt is when the snapshot was made, and ResumedAt when the process went on after a pause; see IsStale.
	TickedAt, ResumedAt time.Time
}

// IsStale reports whether the process has been paused since the store was last read, so that the configuration and the
// endpoints of the snapshot may be out of date.
func (snp *Snapshot) IsStale(now time.Time) bool {
	if now.Sub(snp.ResumedAt) < resumeTime && snp.StoreReadAt.Before(snp.ResumedAt) {
		return true
	}
	return now.Sub(snp.TickedAt) > maxTickGap
}

// Input is a message to the control goroutine.
type Input interface {
	Apply(now time.Time, ctl *Control)
}

// Control owns the daemon's view of configuration, endpoints and peers; its goroutine applies all changes in sequence.
type Control struct {
	Logger logrus.FieldLogger
	Now    func() time.Time
	// OnTick, if set, is called with the newest snapshot every tickInterval.
	OnTick func(snp *Snapshot)
	// OnLeaving, if set, is called for each endpoint that leaves after each change of the endpoints and every tickInterval.
	OnLeaving func(id string)
	// OnEndpoints, if set, is called after each change of the endpoints; it must not block.
	OnEndpoints func()

	catalog     *catalog.Catalog
	fleet       *catalog.Fleet
	peers       map[string]Peer
	peerChanges int64
	storeReadAt time.Time
	storeLost   bool
	storeEra    int64
	// storeRestores is the number of times that storeEra has changed since the start.
	storeRestores int64
	// tickedAt is the time of the last periodic work, and resumedAt the end of the last pause.
	tickedAt, resumedAt time.Time
	// sources is who reported that an endpoint leaves, by id, until that is logged; without an entry it was the store.
	sources map[string]string
	// evacuationSource is who reported the last change of the evacuations.
	evacuationSource string
	inputs           chan Input
	snapshot         atomic.Pointer[Snapshot]
}

// New returns a Control with an empty view; Run must be started.
func New() *Control {
	ctl := &Control{
		Now: time.Now, fleet: catalog.NewFleet(), peers: map[string]Peer{}, sources: map[string]string{}, inputs: make(chan Input, inputBuffer),
	}
	ctl.snapshot.Store(&Snapshot{})
	return ctl
}

// Snapshot returns the newest snapshot.
func (ctl *Control) Snapshot() *Snapshot {
	return ctl.snapshot.Load()
}

// Send queues an input for the control goroutine; it blocks while the queue is full.
func (ctl *Control) Send(ctx context.Context, inp Input) {
	select {
	case ctl.inputs <- inp:
	case <-ctx.Done():
	}
}

// Run applies inputs until the context is cancelled.
func (ctl *Control) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case inp := <-ctl.inputs:
			now := ctl.Now()
			ctl.notePause(now)
			inp.Apply(now, ctl)
			ctl.publish()
		case <-ticker.C:
			now := ctl.Now()
			ctl.notePause(now)
			ctl.fleet.Expire(now)
			ctl.publish()
			ctl.remindLeaving(ctl.Snapshot())
			if ctl.OnTick != nil {
				ctl.OnTick(ctl.Snapshot())
			}
		}
	}
}

// notePause records the end of a pause of the process.
func (ctl *Control) notePause(now time.Time) {
	if gap := now.Sub(ctl.tickedAt); gap > maxTickGap && !ctl.tickedAt.IsZero() {
		ctl.resumedAt = now
		ctl.Logger.WithField("pause", gap).Warn("process goes on after a pause; requests wait until the store has been read")
	}
	ctl.tickedAt = now
}

func (ctl *Control) publish() {
	old := ctl.snapshot.Load()
	snp := &Snapshot{Catalog: ctl.catalog, Fleet: ctl.fleet.View(), Peers: ctl.peers, PeerChanges: ctl.peerChanges, StoreReadAt: ctl.storeReadAt,
		StoreEra: ctl.storeEra, StoreRestores: ctl.storeRestores,
		TickedAt: ctl.tickedAt, ResumedAt: ctl.resumedAt}
	ctl.snapshot.Store(snp)
	if snp.Fleet.Changes != old.Fleet.Changes {
		ctl.announceEvacuations(old, snp)
		ctl.announce(old, snp)
		if ctl.OnEndpoints != nil {
			ctl.OnEndpoints()
		}
	}
}

// announce logs the endpoints that were added or begin to leave, and calls OnLeaving.
func (ctl *Control) announce(old, snp *Snapshot) {
	for id := range snp.Fleet.Leaving {
		_, known := old.Fleet.Leaving[id]
		if !known {
			source, found := ctl.sources[id]
			if !found {
				source = sourceStore
			}
			delete(ctl.sources, id)
			ctl.Logger.WithFields(logrus.Fields{"endpoint": id, "source": source, "listed": snp.has(id)}).Info("endpoint leaves")
		}
	}
	ctl.remindLeaving(snp)
	for id, edp := range snp.Fleet.Endpoints {
		if !old.has(id) {
			ctl.Logger.WithFields(logrus.Fields{"endpoint": id, "service": edp.Service, "address": edp.Address}).Debug("endpoint added")
		}
	}
}

// Version returns the version of the configuration in force, 0 without one.
func (snp *Snapshot) Version() int64 {
	if snp.Catalog == nil {
		return 0
	}
	return snp.Catalog.Version
}

// remindLeaving calls OnLeaving for each endpoint that leaves.
func (ctl *Control) remindLeaving(snp *Snapshot) {
	if ctl.OnLeaving == nil {
		return
	}
	for id := range snp.Fleet.Leaving {
		ctl.OnLeaving(id)
	}
}

func (snp *Snapshot) has(id string) bool {
	_, listed := snp.Fleet.Endpoints[id]
	return listed
}

// ConfigurationUpdate is the input for a configuration that was read from the store or received from a peer.
type ConfigurationUpdate struct {
	Catalog *catalog.Catalog
	Source  string
}

// Apply puts the configuration in force unless the one in force has the same or a later version.
func (upd ConfigurationUpdate) Apply(_ time.Time, ctl *Control) {
	if ctl.catalog != nil && upd.Catalog.Version <= ctl.catalog.Version {
		return
	}
	ctl.catalog = upd.Catalog
	ctl.Logger.WithFields(logrus.Fields{
		"version": upd.Catalog.Version, "source": upd.Source, "routes": len(upd.Catalog.Routes),
		"organisations": len(upd.Catalog.Organisations), "keyless": upd.Catalog.Keyless,
	}).Info("configuration in force")
}

// EndpointUpdate is the input for entries of endpoints in the store.
type EndpointUpdate struct {
	Endpoints []catalog.Endpoint
	// Removed are the ids of the endpoints whose entries were removed; those that are in Endpoints too were written again.
	Removed []string
	// Whole is true if Endpoints is the complete list, so that endpoints that are missing in it were removed.
	Whole bool
}

// Apply updates the fleet with the entries.
func (upd EndpointUpdate) Apply(now time.Time, ctl *Control) {
	if upd.Whole {
		ctl.fleet.Replace(now, upd.Endpoints)
		return
	}
	for _, id := range upd.Removed {
		ctl.fleet.Remove(now, id)
	}
	for _, edp := range upd.Endpoints {
		ctl.fleet.Put(now, edp)
	}
}

// StoreRead is the input for the result of a read of the store.
type StoreRead struct {
	Err error
}

// Apply records the outage of the store or its end.
func (str StoreRead) Apply(now time.Time, ctl *Control) {
	if str.Err != nil {
		ctl.fleet.RecordOutage(now)
		if !ctl.storeLost {
			ctl.Logger.WithError(str.Err).WithField("age", now.Sub(ctl.storeReadAt)).Warn("store lost")
		}
		ctl.storeLost = true
		return
	}
	if ctl.storeLost {
		ctl.fleet.RecordOutage(now)
		ctl.Logger.WithField("outage", now.Sub(ctl.storeReadAt)).Info("store regained")
	}
	ctl.storeLost = false
	ctl.storeReadAt = now
}

// StoreEra is the input for the era that the store stated for one of its topics. Before is the one that it stated before, 0 if the
// topic is read for the first time.
type StoreEra struct {
	Era, Before int64
}

// Apply records a change of the era, which happens when the store returns from a copy. Entries that are missing in the copy are
// written again, so their removal is delayed as after an outage.
func (era StoreEra) Apply(now time.Time, ctl *Control) {
	if era.Before != 0 {
		ctl.fleet.RecordOutage(now)
	}
	if era.Before != 0 && era.Era != ctl.storeEra {
		ctl.storeRestores++
		ctl.Logger.WithFields(logrus.Fields{"era": era.Era, "before": ctl.storeEra}).Warn("store returned from a copy; its topics are read whole")
	}
	ctl.storeEra = era.Era
}

// Leaving is the input for endpoints that are going to stop, as they reported themselves or as a peer reported.
type Leaving struct {
	// BornAt is the start time of each endpoint by id; it distinguishes an endpoint from an earlier one with the same id.
	BornAt map[string]int64
	Source string
	// Stated is true if they said so in answers to this daemon.
	Stated bool
}

// Apply marks the endpoints as leaving.
func (lea Leaving) Apply(now time.Time, ctl *Control) {
	for id, bornAt := range lea.BornAt {
		if ctl.fleet.MarkLeaving(now, id, bornAt, lea.Stated) {
			ctl.sources[id] = lea.Source
		}
	}
}

// Peer is another daemon.
type Peer struct {
	Address       string
	FailureDomain string
	// Draining is true if the daemon has received the signal to stop.
	Draining bool
}

// PeerList is the input for other daemons, by name; it need not be complete.
type PeerList struct {
	Peers map[string]Peer
}

// Apply adds or updates the daemons. It removes none: the back-off in noteAnswer covers daemons that have stopped.
func (pel PeerList) Apply(_ time.Time, ctl *Control) {
	var peers map[string]Peer
	for name, per := range pel.Peers {
		if ctl.peers[name] == per {
			continue
		}
		if peers == nil {
			peers = maps.Clone(ctl.peers)
		}
		ctl.Logger.WithFields(logrus.Fields{"peer": name, "address": per.Address, "draining": per.Draining}).Info("peer added or changed")
		peers[name] = per
	}
	if peers != nil {
		ctl.peers = peers
		ctl.peerChanges++
	}
}
