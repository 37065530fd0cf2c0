package daemon

import (
	"time"

	"papayacroft/claim"
	"papayacroft/membership"
)

// buildClaims sets up claims, through which only one daemon runs a request that must not be repeated.
func (dmn *Daemon) buildClaims() {
	acq := claim.NewAcquirer(dmn.log, dmn.incarnation, dmn.Settings.PeerAddress)
	acq.Peers = dmn.peerClient
	acq.Members = func() []membership.Member { return dmn.loop.Snapshot().Members }
	dmn.entry.Claims = acq
	dmn.entry.KeyLifetime = claim.Lifetime(time.Duration(dmn.Settings.Platform.LogRetention))
	if dmn.entry.KeyLifetime < claim.KeyLifetime {
		dmn.Logger.WithField("keyLifetime", dmn.entry.KeyLifetime).Warn("the log's retention shortens the lifetime of idempotency keys")
	}
	dmn.peers.Handlers[claim.MethodAcquire] = acq.HandleAcquire
	dmn.peers.Handlers[claim.MethodResult] = acq.HandleResult
	dmn.tasks = append(dmn.tasks, acq.Run)
}
