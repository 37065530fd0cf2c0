package blackboard

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"papayacroft/configuration"
	"papayacroft/provider"
)

// LogBatch is the input with the records that a read of the configuration stream returned.
type LogBatch struct {
	// From is the offset from which the read began.
	From   int64
	Batch  provider.Batch
	Logger logrus.FieldLogger
	// Next receives the offset to read from next. It must be buffered, so that the control goroutine does not block.
	Next chan<- int64
}

// Apply accepts or rejects each record in offset order and puts the resulting version in force.
func (bat LogBatch) Apply(now time.Time, brd *Board) {
	brd.LogReadAt, brd.LogError = now, ""
	behind := brd.Configuration.Behind()
	_, errs := brd.Configuration.ApplyBatch(bat.From, bat.Batch)
	for _, err := range errs {
		bat.Logger.WithError(err).Warn("ignored an invalid configuration record")
	}
	if !behind && brd.Configuration.Behind() {
		bat.Logger.WithFields(logrus.Fields{"asked": bat.From, "first": bat.Batch.First}).
			Warn("configuration records expired before they were read; waiting for a snapshot")
	}
	brd.install(now, bat.Logger)
	bat.Next <- brd.Configuration.Next
}

// PeerConfiguration is the input with a peer's reply to a configuration fetch.
type PeerConfiguration struct {
	Peer   string
	Reply  *configuration.FetchReply
	Logger logrus.FieldLogger
}

// Apply adopts the peer's version if it is newer.
func (pco PeerConfiguration) Apply(now time.Time, brd *Board) {
	changed, err := brd.Configuration.AdoptReply(pco.Reply)
	if err != nil {
		pco.Logger.WithField("peer", pco.Peer).WithError(err).Warn("ignored an invalid configuration record")
	}
	if changed {
		pco.Logger.WithFields(logrus.Fields{"peer": pco.Peer, "version": brd.Configuration.Current.Number}).Info("configuration fetched from a peer")
	}
	brd.install(now, pco.Logger)
}

// install puts the newest configuration in force. After a restart the daemon does so only once it has reached the
// version that its previous incarnation had in force, so that it does not serve with an older one.
func (brd *Board) install(now time.Time, log logrus.FieldLogger) {
	cur := brd.Configuration.Current
	if cur.Number <= brd.InForce.Number || cur.Number < brd.VersionFloor {
		return
	}
	brd.Index = brd.Configuration.Index()
	brd.InForce, brd.InForceSince = cur, now
	log.WithFields(logrus.Fields{"version": cur.Number, "offset": cur.Offset}).Info("configuration in force")
}

// LogFailure is the input for a failed read of the log.
type LogFailure struct {
	Err error
}

// Apply records the error; the configuration stays in force.
func (fai LogFailure) Apply(_ time.Time, brd *Board) {
	brd.LogError = fai.Err.Error()
}

// VMList is the input with the platform's list of VMs.
type VMList struct {
	VMs []provider.VM
}

// Apply replaces the list.
func (vml VMList) Apply(now time.Time, brd *Board) {
	brd.VMs, brd.VMsReadAt = slices.Clone(vml.VMs), now
}

// Drain is the input that makes the daemon stop accepting new requests.
type Drain struct{}

// Apply records the time at which the drain began; a repeated Drain does not change it.
func (Drain) Apply(now time.Time, brd *Board) {
	if brd.DrainingSince.IsZero() {
		brd.DrainingSince = now
	}
}
