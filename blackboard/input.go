package blackboard

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"papayacroft/configuration"
	"papayacroft/provider"
)

// LogBatch brings records of the configuration stream.
type LogBatch struct {
	// Asked is the offset that the read began at.
	Asked  int64
	Batch  provider.Batch
	Logger logrus.FieldLogger
	// Next receives the offset to read from next; it needs room for one value.
	Next chan<- int64
}

// Apply judges each record in offset order and puts the last version in force.
func (bat LogBatch) Apply(now time.Time, brd *Board) {
	brd.LogReadAt, brd.LogError = now, ""
	behind := brd.Configuration.Behind()
	_, errs := brd.Configuration.ApplyBatch(bat.Asked, bat.Batch)
	for _, err := range errs {
		bat.Logger.WithError(err).Warn("configuration record passed over")
	}
	if !behind && brd.Configuration.Behind() {
		bat.Logger.WithFields(logrus.Fields{"asked": bat.Asked, "first": bat.Batch.First}).
			Warn("configuration records expired before they were read; waiting for a snapshot")
	}
	brd.install(now, bat.Logger)
	bat.Next <- brd.Configuration.Next
}

// PeerConfiguration brings what a peer answered to a fetch.
type PeerConfiguration struct {
	Peer   string
	Reply  *configuration.FetchReply
	Logger logrus.FieldLogger
}

// Apply adopts the peer's version if it is newer.
func (pco PeerConfiguration) Apply(now time.Time, brd *Board) {
	changed, err := brd.Configuration.AdoptReply(pco.Reply)
	if err != nil {
		pco.Logger.WithField("peer", pco.Peer).WithError(err).Warn("configuration record passed over")
	}
	if changed {
		pco.Logger.WithFields(logrus.Fields{"peer": pco.Peer, "version": brd.Configuration.Current.Number}).Info("configuration fetched from a peer")
	}
	brd.install(now, pco.Logger)
}

// install puts the newest configuration in force.
// A restarted daemon waits until it reaches the version that its former incarnation had in force.
func (brd *Board) install(now time.Time, log logrus.FieldLogger) {
	cur := brd.Configuration.Current
	if cur.Number <= brd.InForce.Number || cur.Number < brd.VersionFloor {
		return
	}
	brd.Index = brd.Configuration.Index()
	brd.InForce, brd.InForceSince = cur, now
	log.WithFields(logrus.Fields{"version": cur.Number, "offset": cur.Offset}).Info("configuration in force")
}

// LogFailure tells that the log could not be read.
type LogFailure struct {
	Err error
}

// Apply notes the failure; the configuration stays in force.
func (fai LogFailure) Apply(_ time.Time, brd *Board) {
	brd.LogError = fai.Err.Error()
}

// VMList brings the platform's list.
type VMList struct {
	VMs []provider.VM
}

// Apply replaces the list.
func (vml VMList) Apply(now time.Time, brd *Board) {
	brd.VMs, brd.VMsReadAt = slices.Clone(vml.VMs), now
}

// Drain asks the daemon to take no new work.
type Drain struct{}

// Apply notes the time at which the drain began.
func (Drain) Apply(now time.Time, brd *Board) {
	if brd.DrainingSince.IsZero() {
		brd.DrainingSince = now
	}
}
