package exchange_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"papayacroft/catalog"
	"papayacroft/control"
	"papayacroft/exchange"
)

// evacuationBound is the time within which gossip must tell all neighbours.
const evacuationBound = 2 * time.Second

// A daemon that missed the broadcast of an evacuation, or of its end, must learn of it by gossip, also one that could not read
// the store since its start, and one that believes that nothing is evacuated.
func TestGossipTellsEvacuations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var grp sync.WaitGroup
		defer grp.Wait()
		defer cancel()
		network := simNet{}
		peers := map[string]control.Peer{}
		for _, name := range []string{"reader", "cutOff", "missed"} {
			network[name] = newSimNode(name)
			peers[name] = control.Peer{Address: name, FailureDomain: "a"}
		}
		exchanges := map[string]*exchange.Exchange{}
		for name, nod := range network {
			exc := startGranting(ctx, &grp, network, peers, nod, name, &grantingRequests{})
			exchanges[name] = exc
			grp.Go(func() { exc.Run(ctx) })
		}
		reader := exchanges["reader"].Control
		reader.Send(ctx, control.Evacuations{Whole: true, ReadTo: 3})
		exchanges["missed"].Control.Send(ctx, control.Evacuations{Whole: true, ReadTo: 3})
		for _, stp := range []struct {
			name   string
			record catalog.EvacuationRecord
		}{
			{"evacuated", catalog.EvacuationRecord{Domain: "z", Offset: 5}},
			{"lifted", catalog.EvacuationRecord{Domain: "z", Offset: 8, Removed: true}},
			{"evacuated again", catalog.EvacuationRecord{Domain: "z", Offset: 9}},
		} {
			reader.Send(ctx, control.Evacuations{Records: []catalog.EvacuationRecord{stp.record}, Source: "store"})
			time.Sleep(evacuationBound)
			for name, exc := range exchanges {
				evs := exc.Control.Snapshot().Fleet.Evacuations
				if got, want := evs.Has("z"), !stp.record.Removed; got != want || evs.Unread {
					t.Errorf("%s: got evacuated %t, unread %t at %s, want %t and read", stp.name, got, evs.Unread, name, want)
				}
			}
		}
		// Calls in flight must have ended before the test does.
		cancel()
		time.Sleep(evacuationBound)
		for _, nod := range network {
			nod.kill()
		}
		time.Sleep(evacuationBound)
	})
}
