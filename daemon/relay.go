package daemon

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"papayacroft/blackboard"
	"papayacroft/configuration"
	"papayacroft/retry"
)

const (
	// fetchGrace is a delay before a fetch, in which the record that a peer has already read may arrive from the log.
	fetchGrace = 200 * time.Millisecond
	// fetchTimeout is long enough for a snapshot with 6,200 organisations over a slow link.
	fetchTimeout = 3 * time.Second
	// snapshotTimeout limits the append of a snapshot to the log.
	snapshotTimeout = 5 * time.Second
)

// source is a peer that may have a newer configuration.
type source struct {
	name    string
	address string
	version int64
}

// handleFetch sends the configuration to a peer that lacks records or has an older version.
func (dmn *Daemon) handleFetch(_ context.Context, params json.RawMessage) (any, error) {
	var req configuration.FetchRequest
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, trace.BadParameter("request is not valid: %v", err)
	}
	return dmn.loop.Snapshot().ConfigurationView.Answer(req)
}

// fetchFromPeers fetches configuration versions from peers that this daemon has not read from the log yet.
func (dmn *Daemon) fetchFromPeers(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case src := <-dmn.gossip.sources:
			dmn.fetch(ctx, src)
		case <-ctx.Done():
		}
	}
}

func (dmn *Daemon) fetch(ctx context.Context, src source) {
	retry.Sleep(ctx, fetchGrace)
	snp := dmn.loop.Snapshot()
	if src.version <= snp.ConfigurationView.Current.Number && !snp.Behind {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	req := configuration.FetchRequest{Version: snp.ConfigurationView.Current.Number, ReadTo: snp.ConfigurationView.ReadTo}
	var reply configuration.FetchReply
	if err := dmn.peerClient.Call(ctx, src.address, configuration.MethodFetch, req, &reply); err != nil {
		dmn.Logger.WithField("peer", src.name).WithError(err).Warn("configuration could not be fetched")
		return
	}
	dmn.loop.Send(ctx, blackboard.PeerConfiguration{Peer: src.name, Reply: &reply, Logger: dmn.Logger})
}

// snapshotter appends a configuration snapshot to the log before the records that make up the configuration expire.
type snapshotter struct {
	daemon    *Daemon
	schedule  configuration.SnapshotSchedule
	appending atomic.Bool
}

func newSnapshotter(dmn *Daemon) *snapshotter {
	return &snapshotter{daemon: dmn, schedule: configuration.SnapshotSchedule{
		Retention: time.Duration(dmn.Settings.Platform.LogRetention),
		Rand:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}}
}

// Step appends a snapshot in the background when one is due and no append is in progress.
func (snt *snapshotter) Step(now time.Time, brd *blackboard.Board) {
	due := !snt.appending.Load() && brd.LogError == "" && brd.Configuration.SnapshotDue(now, snt.schedule.Retention)
	if !snt.schedule.Step(now, due) {
		return
	}
	snt.appending.Store(true)
	vew := brd.Configuration.View()
	go func() {
		defer snt.appending.Store(false)
		offset, err := snt.daemon.appendSnapshot(vew)
		lin := snt.daemon.Logger.WithField("version", vew.Current.Number)
		if err != nil {
			lin.WithError(err).Warn("snapshot could not be appended")
			return
		}
		lin.WithField("offset", offset).Info("snapshot appended")
	}()
}

func (dmn *Daemon) appendSnapshot(vew *configuration.View) (int64, error) {
	snp, err := vew.Snapshot()
	if err != nil {
		return 0, trace.Wrap(err)
	}
	body, err := (&configuration.Record{Snapshot: snp}).Serialize()
	if err != nil {
		return 0, trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), snapshotTimeout)
	defer cancel()
	offset, err := dmn.log.Append(ctx, configuration.Stream, body)
	return offset, trace.Wrap(err)
}
