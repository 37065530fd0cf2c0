package exchange_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"papayacroft/control"
	"papayacroft/dispatch"
	"papayacroft/exchange"
)

// waitingWork is the work that waits at one daemon, and what it heard of others.
type waitingWork struct {
	mutex sync.Mutex
	own   dispatch.WaitingTokens
	heard map[string]dispatch.WaitingTokens
	at    time.Time
	count int
}

// WaitingTokens returns the work that waits here.
func (wtw *waitingWork) WaitingTokens() dispatch.WaitingTokens {
	wtw.mutex.Lock()
	defer wtw.mutex.Unlock()
	if wtw.own == nil {
		return dispatch.WaitingTokens{}
	}
	return wtw.own
}

// SetPeerWaiting records what waits at a peer.
func (wtw *waitingWork) SetPeerWaiting(now time.Time, peer string, tokens dispatch.WaitingTokens) {
	wtw.mutex.Lock()
	defer wtw.mutex.Unlock()
	wtw.heard[peer], wtw.at = tokens, now
	wtw.count++
}

func (wtw *waitingWork) set(own dispatch.WaitingTokens) {
	wtw.mutex.Lock()
	defer wtw.mutex.Unlock()
	wtw.own = own
}

// Waiting work must reach a peer within some milliseconds, be renewed before it expires there after a second, and be taken back with the
// next message on work. Otherwise daemons decide without it, or hold requests back for work that no longer waits.
func TestWaitingWorkIsShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var grp sync.WaitGroup
		network := simNet{}
		peers := map[string]control.Peer{}
		backlogs := map[string]*waitingWork{}
		for _, name := range []string{"a", "b"} {
			network[name] = newSimNode(name)
			peers[name] = control.Peer{Address: name, FailureDomain: "a"}
			backlogs[name] = &waitingWork{heard: map[string]dispatch.WaitingTokens{}}
		}
		setup := func(exc *exchange.Exchange) { exc.Backlog = backlogs[exc.Name] }
		one := startSteady(ctx, &grp, network, peers, network["a"], "a", &steadyRequests{}, setup)
		startSteady(ctx, &grp, network, peers, network["b"], "b", &steadyRequests{}, setup)
		grp.Go(func() { one.RunBacklog(ctx) })
		time.Sleep(2 * time.Second)
		backlogs["a"].set(dispatch.WaitingTokens{"pool": {0: 2550}})
		one.WaitingChanged()
		time.Sleep(50 * time.Millisecond)
		heard := func() (tokens int, age time.Duration, count int) {
			backlogs["b"].mutex.Lock()
			defer backlogs["b"].mutex.Unlock()
			return backlogs["b"].heard["a"]["pool"][0], time.Since(backlogs["b"].at), backlogs["b"].count
		}
		if got, _, _ := heard(); got != 2550 {
			t.Errorf("got %d tokens 50 ms after they began to wait, want 2550", got)
		}
		_, _, before := heard()
		for range 30 {
			time.Sleep(100 * time.Millisecond)
			if _, age, _ := heard(); age > time.Second {
				t.Fatalf("got word that is %v old while work waits, want a second at most", age)
			}
		}
		if _, _, after := heard(); after-before > 8 {
			t.Errorf("got %d messages in 3 s of unchanged waiting work, want 8 at most", after-before)
		}
		backlogs["a"].set(nil)
		one.WorkChanged("e")
		time.Sleep(50 * time.Millisecond)
		if got, _, _ := heard(); got != 0 {
			t.Errorf("got %d tokens after the wait, want 0", got)
		}
		cancel()
		for _, nod := range network {
			nod.kill()
		}
		grp.Wait()
	})
}
