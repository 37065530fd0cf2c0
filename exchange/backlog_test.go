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

// Waiting work must reach a peer within some milliseconds, be renewed before it expires there after a second, however often the queue
// changes, and be taken back with the next message on work. Otherwise daemons decide without it, or hold requests back for work that no
// longer waits. Requests that wait briefly must not cause a message each: one goes to about 60 daemons.
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
		pair := &waitingPair{t: t, exc: one, own: backlogs["a"], peer: backlogs["b"]}
		pair.begin()
		pair.renew(func() { time.Sleep(100 * time.Millisecond) })
		pair.renew(func() {
			one.WaitingChanged()
			time.Sleep(5 * time.Millisecond)
		})
		pair.flap()
		time.Sleep(time.Second)
		pair.begin()
		pair.own.set(nil)
		one.WorkChanged("e")
		time.Sleep(50 * time.Millisecond)
		if got, _, _ := pair.heard(); got != 0 {
			t.Errorf("got %d tokens after the wait, want 0", got)
		}
		cancel()
		for _, nod := range network {
			nod.kill()
		}
		grp.Wait()
	})
}

// waitingPair is a daemon with waiting work and a peer that hears of it.
type waitingPair struct {
	t         *testing.T
	exc       *exchange.Exchange
	own, peer *waitingWork
}

func (par *waitingPair) heard() (tokens int, age time.Duration, count int) {
	par.peer.mutex.Lock()
	defer par.peer.mutex.Unlock()
	return par.peer.heard["a"]["pool"][0], time.Since(par.peer.at), par.peer.count
}

// change sets the work that waits and reports the change.
func (par *waitingPair) change(own dispatch.WaitingTokens) {
	par.own.set(own)
	par.exc.WaitingChanged()
}

// begin checks that the peer hears of work that begins to wait.
func (par *waitingPair) begin() {
	par.t.Helper()
	par.change(dispatch.WaitingTokens{"pool": {0: 2550}})
	time.Sleep(50 * time.Millisecond)
	if got, _, _ := par.heard(); got != 2550 {
		par.t.Errorf("got %d tokens 50 ms after they began to wait, want 2550", got)
	}
}

// renew checks that the peer's word of unchanged work is renewed while what happens at the queue is repeated.
func (par *waitingPair) renew(happens func()) {
	par.t.Helper()
	_, _, before := par.heard()
	for began := time.Now(); time.Since(began) < 3*time.Second; {
		happens()
		if _, age, _ := par.heard(); age > time.Second {
			par.t.Fatalf("got word that is %v old while work waits, want a second at most", age)
		}
	}
	if _, _, after := par.heard(); after-before > 8 {
		par.t.Errorf("got %d messages in 3 s of unchanged waiting work, want 8 at most", after-before)
	}
}

// flap checks the number of messages about requests that wait for 20 ms each.
func (par *waitingPair) flap() {
	par.t.Helper()
	_, _, before := par.heard()
	for range 50 {
		par.change(dispatch.WaitingTokens{"pool": {0: 2550}})
		time.Sleep(20 * time.Millisecond)
		par.change(nil)
		time.Sleep(40 * time.Millisecond)
	}
	if _, _, after := par.heard(); after-before > 7 {
		par.t.Errorf("got %d messages in 3 s of brief waits, want 7 at most", after-before)
	}
}
