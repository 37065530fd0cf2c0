package gateway

import (
	"context"
	"time"

	"papayacroft/catalog"
	"papayacroft/control"
)

const (
	// sourceStated is logged as the source of what an endpoint said in an answer to this daemon.
	sourceStated = "answer"
	// markTimeout limits the wait for the control goroutine, which applies a mark within milliseconds.
	markTimeout = time.Second
)

// noteLeaving reports an endpoint whose answer says that it leaves, unless that is known. An answer of another endpoint at
// its address says nothing of it.
func (srv *Server) noteLeaving(edp *catalog.Endpoint, ans Answer) {
	if !ans.Leaving || ans.Misdirected || srv.OnLeaving == nil {
		return
	}
	if mrk, known := srv.Snapshots.Snapshot().Fleet.Leaving[edp.ID]; known && mrk.Stated && mrk.StartedAt >= edp.StartedAt {
		return
	}
	srv.OnLeaving(edp.ID, edp.StartedAt)
}

// markLeaving marks an endpoint that said in an answer that it leaves, and tells the other daemons.
func (dmn *Daemon) markLeaving(id string, bornAt int64) {
	_, known := dmn.Control.Snapshot().Fleet.Leaving[id]
	mark := map[string]int64{id: bornAt}
	ctx, cancel := context.WithTimeout(context.Background(), markTimeout)
	defer cancel()
	dmn.Control.Send(ctx, control.Leaving{BornAt: mark, Source: sourceStated, Stated: true})
	if !known {
		dmn.Exchange.ShareLeaving(mark)
	}
}
