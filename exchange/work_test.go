package exchange_test

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"papayacroft/catalog"
	"papayacroft/control"
	"papayacroft/dispatch"
	"papayacroft/exchange"
	"papayacroft/peer"
)

// peerUsageLifetime is the time after which a daemon forgets what it heard of another one's work.
const peerUsageLifetime = 8 * time.Second

// steadyRequests are generations at one engine that begin once and run on; it records the work that peers report.
type steadyRequests struct {
	mutex sync.Mutex
	heard time.Time
}

func (*steadyRequests) Draining() bool { return false }
func (*steadyRequests) UsageAt(string) dispatch.Usage {
	return dispatch.Usage{Flights: 1, Tokens: 4000}
}
func (*steadyRequests) Crashes(time.Time) []exchange.Crash                        { return nil }
func (*steadyRequests) Survivals(time.Time) exchange.Survivals                    { return nil }
func (*steadyRequests) NoteSurvivals(exchange.Survivals)                          {}
func (*steadyRequests) GrantPermit(*exchange.PermitRequest) *exchange.PermitReply { return nil }
func (*steadyRequests) NoteLimit(*exchange.EndpointLimit) bool                    { return false }
func (*steadyRequests) NoteCrash(exchange.Crash)                                  {}

func (rqs *steadyRequests) LocalUsage() map[string]dispatch.Usage {
	return map[string]dispatch.Usage{"e": rqs.UsageAt("e")}
}

// SetPeerUsage records when a peer's work was reported.
func (rqs *steadyRequests) SetPeerUsage(now time.Time, _ string, usage map[string]dispatch.Usage) {
	rqs.mutex.Lock()
	defer rqs.mutex.Unlock()
	if _, ok := usage["e"]; ok {
		rqs.heard = now
	}
}

// A generation can run longer than a daemon remembers another one's work. If its work were reported only when it begins
// and ends, an engine would look empty meanwhile: on madera-nodo-grown, engines with 28,000 tokens of generations in
// 21,853 tokens of memory were chosen with a score of 0.5. Here each daemon has one of many peers' generations.
func TestUnchangedWorkIsSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var grp sync.WaitGroup
		defer grp.Wait()
		defer cancel()
		network := simNet{}
		requests := map[string]*steadyRequests{}
		peers := map[string]control.Peer{}
		for _, name := range []string{"a", "b", "c", "d", "f", "g", "h", "i", "j", "k", "l", "m", "n", "o", "p", "q", "r", "s"} {
			network[name] = newSimNode(name)
			peers[name] = control.Peer{Address: name, FailureDomain: "a"}
			requests[name] = &steadyRequests{}
		}
		for name, nod := range network {
			startSteady(ctx, &grp, network, peers, nod, name, requests[name])
		}
		time.Sleep(3 * peerUsageLifetime)
		users := 0
		for name, rqs := range requests {
			rqs.mutex.Lock()
			if age := time.Since(rqs.heard); !rqs.heard.IsZero() {
				users++
				if age > peerUsageLifetime {
					t.Errorf("%s: got work of peers that is %v old, want %v at most", name, age, peerUsageLifetime)
				}
			}
			rqs.mutex.Unlock()
		}
		if got, want := users, 16; got != want {
			t.Errorf("got %d daemons that heard of work at the engine, want %d", got, want)
		}
		for _, nod := range network {
			nod.kill()
		}
	})
}

// startSteady runs the exchange of one daemon that knows all others and the engine.
func startSteady(ctx context.Context, grp *sync.WaitGroup, network simNet, all map[string]control.Peer, nod *simNode, name string, rqs *steadyRequests, setups ...func(*exchange.Exchange)) *exchange.Exchange {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	ctl := control.New()
	ctl.Logger = logger
	exc := exchange.New()
	exc.Name, exc.Address, exc.Control, exc.Logger, exc.Requests = name, nod.address, ctl, logger, rqs
	exc.Client.Dial = network.dialer(nod)
	ctl.OnTick = exc.ShareEngines
	for _, stp := range setups {
		stp(exc)
	}
	srv := peer.NewServer()
	srv.Logger = logger
	exc.Register(srv)
	for _, tsk := range []func(context.Context){ctl.Run, exc.RunNotices} {
		grp.Go(func() { tsk(ctx) })
	}
	grp.Go(func() { _ = srv.Serve(ctx, nod) })
	others := map[string]control.Peer{}
	for one, per := range all {
		if one != name {
			others[one] = per
		}
	}
	ctl.Send(ctx, control.PeerList{Peers: others})
	ctl.Send(ctx, control.ConfigurationUpdate{Catalog: catalog.NewCatalog(1, nil, []catalog.Service{{Name: "pool", Engine: &catalog.Engine{Slots: 24}}}, nil)})
	ctl.Send(ctx, control.EndpointUpdate{Endpoints: []catalog.Endpoint{{ID: "e", Service: "pool", State: catalog.StateReady, Slots: 24}}})
	grp.Go(func() {
		time.Sleep(time.Second)
		exc.WorkChanged("e")
	})
	return exc
}
