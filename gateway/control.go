package gateway

import (
	"context"
	"maps"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"papayacroft/catalog"
)

const (
	// tickInterval is the time between two rounds of the control goroutine without input.
	tickInterval = 100 * time.Millisecond
	inputBuffer  = 64
	// sourceStore is the source of what an entry in the store, or its absence, says.
	sourceStore = "store"
)

// Snapshot is what the daemon believed at one moment; readers don't change it.
type Snapshot struct {
	// Catalog is nil until a configuration is known.
	Catalog *catalog.Catalog
	Fleet   catalog.FleetView
	// Peers are the other daemons by name.
	Peers map[string]Peer
	// StoreReadAt is when the store last answered.
	StoreReadAt time.Time
}

// Input is a message to the control goroutine.
type Input interface {
	Apply(now time.Time, ctl *Control)
}

// Control is the goroutine that owns what the daemon believes.
type Control struct {
	Logger logrus.FieldLogger
	Now    func() time.Time
	// OnTick, if set, gets the newest snapshot every tickInterval.
	OnTick func(snp *Snapshot)
	// OnLeaving, if set, learns in each round of each endpoint that leaves.
	OnLeaving func(id string)

	catalog     *catalog.Catalog
	fleet       *catalog.Fleet
	peers       map[string]Peer
	storeReadAt time.Time
	storeLost   bool
	// sources says who told of endpoints that leave, if it wasn't the store.
	sources  map[string]string
	inputs   chan Input
	snapshot atomic.Pointer[Snapshot]
}

// NewControl returns a control goroutine that knows nothing yet.
func NewControl() *Control {
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

// Send hands an input to the control goroutine.
func (ctl *Control) Send(ctx context.Context, inp Input) {
	select {
	case ctl.inputs <- inp:
	case <-ctx.Done():
	}
}

// Run applies inputs until the context ends.
func (ctl *Control) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case inp := <-ctl.inputs:
			inp.Apply(ctl.Now(), ctl)
			ctl.publish()
		case <-ticker.C:
			ctl.fleet.Settle(ctl.Now())
			ctl.publish()
			if ctl.OnTick != nil {
				ctl.OnTick(ctl.Snapshot())
			}
		}
	}
}

func (ctl *Control) publish() {
	old := ctl.snapshot.Load()
	snp := &Snapshot{Catalog: ctl.catalog, Fleet: ctl.fleet.View(), Peers: ctl.peers, StoreReadAt: ctl.storeReadAt}
	ctl.snapshot.Store(snp)
	for id := range snp.Fleet.Leaving {
		_, known := old.Fleet.Leaving[id]
		if !known {
			source, told := ctl.sources[id]
			if !told {
				source = sourceStore
			}
			delete(ctl.sources, id)
			ctl.Logger.WithFields(logrus.Fields{fieldEndpoint: id, "source": source, "listed": snp.has(id)}).Info("endpoint leaves")
		}
		if ctl.OnLeaving != nil {
			ctl.OnLeaving(id)
		}
	}
	for id, edp := range snp.Fleet.Endpoints {
		if !old.has(id) {
			ctl.Logger.WithFields(logrus.Fields{fieldEndpoint: id, "service": edp.Service, "address": edp.Address}).Debug("endpoint known")
		}
	}
}

func (snp *Snapshot) has(id string) bool {
	_, listed := snp.Fleet.Endpoints[id]
	return listed
}

// Published brings a configuration from the store or a peer.
type Published struct {
	Catalog *catalog.Catalog
	Source  string
}

// Apply puts the configuration in force unless a newer one is.
func (pub Published) Apply(_ time.Time, ctl *Control) {
	if ctl.catalog != nil && pub.Catalog.Version <= ctl.catalog.Version {
		return
	}
	ctl.catalog = pub.Catalog
	ctl.Logger.WithFields(logrus.Fields{
		"version": pub.Catalog.Version, "source": pub.Source, "routes": len(pub.Catalog.Routes),
	}).Info("configuration in force")
}

// Registered brings entries of endpoints from the store.
type Registered struct {
	Endpoints []catalog.Endpoint
	// Removed are the ids of the entries that are gone.
	Removed []string
	// Whole is true if endpoints that are not listed are gone.
	Whole bool
}

// Apply takes in the entries.
func (reg Registered) Apply(now time.Time, ctl *Control) {
	if reg.Whole {
		ctl.fleet.Replace(now, reg.Endpoints)
		return
	}
	for _, edp := range reg.Endpoints {
		ctl.fleet.Put(now, edp)
	}
	for _, id := range reg.Removed {
		ctl.fleet.Remove(now, id)
	}
}

// StoreRead tells whether the store answered.
type StoreRead struct {
	Err error
}

// Apply notes the outage or its end.
func (str StoreRead) Apply(now time.Time, ctl *Control) {
	if str.Err != nil {
		ctl.fleet.Outage(now)
		if !ctl.storeLost {
			ctl.Logger.WithError(str.Err).WithField("age", now.Sub(ctl.storeReadAt)).Warn("store lost")
		}
		ctl.storeLost = true
		return
	}
	if ctl.storeLost {
		ctl.fleet.Outage(now)
		ctl.Logger.WithField("outage", now.Sub(ctl.storeReadAt)).Info("store regained")
	}
	ctl.storeLost = false
	ctl.storeReadAt = now
}

// Leaving tells that endpoints leave, by their own word or a peer's.
type Leaving struct {
	// BornAt has the start of each endpoint by id.
	BornAt map[string]int64
	Source string
}

// Apply marks the endpoints.
func (lea Leaving) Apply(now time.Time, ctl *Control) {
	for id, bornAt := range lea.BornAt {
		if ctl.fleet.MarkLeaving(now, id, bornAt) {
			ctl.sources[id] = lea.Source
		}
	}
}

// Peer is another daemon.
type Peer struct {
	Address       string
	FailureDomain string
	// Draining is true if the daemon is about to stop.
	Draining bool
}

// PeerList brings other daemons by name.
type PeerList struct {
	Peers map[string]Peer
}

// Apply adds the daemons; those that are gone stop answering and are asked ever more rarely.
func (pel PeerList) Apply(_ time.Time, ctl *Control) {
	peers := maps.Clone(ctl.peers)
	for name, per := range pel.Peers {
		if peers[name] != per {
			ctl.Logger.WithFields(logrus.Fields{"peer": name, "address": per.Address, "draining": per.Draining}).Info("daemon known")
		}
		peers[name] = per
	}
	ctl.peers = peers
}
