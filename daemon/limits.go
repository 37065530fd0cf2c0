package daemon

import "papayacroft/limit"

// buildLimits sets up the limits of teams and organisations, which daemons share.
func (dmn *Daemon) buildLimits() {
	agt := limit.NewAgent(dmn.incarnation)
	agt.Peers = dmn.peerClient
	agt.View = func() limit.View {
		snp := dmn.loop.Snapshot()
		vew := limit.View{Members: snp.Members, VMs: len(snp.VMs), OverLimit: dmn.gossip.over}
		if snp.Index != nil {
			vew.Configuration = snp.Index.Configuration
		}
		return vew
	}
	agt.AnnounceOverLimit = dmn.gossip.announceOver
	dmn.entry.Limits = agt.Limiter
	dmn.peers.Handlers[limit.MethodShare] = agt.HandleShare
	dmn.tasks = append(dmn.tasks, agt.Run)
}
