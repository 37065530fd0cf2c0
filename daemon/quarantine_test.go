package daemon

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"papayacroft/blackboard"
	"papayacroft/entry"
	"papayacroft/membership"
	"papayacroft/peer"
)

type setMembers []membership.Member

func (mem setMembers) Apply(_ time.Time, brd *blackboard.Board) { brd.Members = mem }

func startQuarantineDaemon(t *testing.T) (dmn *Daemon, address string) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dmn = NewDaemon()
	dmn.Logger = logrus.New()
	dmn.Logger.SetOutput(io.Discard)
	dmn.loop, dmn.entry = blackboard.NewLoop(), entry.NewServer()
	dmn.peers, dmn.peerClient = peer.NewServer(), peer.NewClient()
	dmn.buildQuarantine()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go dmn.loop.Run(ctx)
	go func() { _ = dmn.peers.Serve(ctx, lis) }()
	for _, tsk := range dmn.tasks {
		go tsk(ctx)
	}
	return dmn, lis.Addr().String()
}

// Guards against a request that crashes two engines through each daemon. That happens if a daemon doesn't send its
// quarantine reports to the other daemons.
func TestDaemonsShareQuarantine(t *testing.T) {
	one, address := startQuarantineDaemon(t)
	two, otherAddress := startQuarantineDaemon(t)
	one.loop.Send(t.Context(), setMembers{
		{Name: "one", Address: address, Incarnation: one.incarnation, State: membership.StateLive},
		{Name: "two", Address: otherAddress, Incarnation: two.incarnation, State: membership.StateLive},
	})
	for len(one.loop.Snapshot().Members) == 0 {
		time.Sleep(time.Millisecond)
	}
	for _, engine := range []string{"engine-1", "engine-2"} {
		if !one.entry.Quarantine.Begin(engine, "poison", engine) {
			t.Fatalf("got a refused run on %s; want it to begin", engine)
		}
		// The other daemon responds to the report that it has no run on the engine.
		if !one.entry.Quarantine.Confirm(t.Context(), engine, 1, func(context.Context) bool { return true }) {
			t.Fatalf("got no confirmed run on %s; want one", engine)
		}
		one.entry.Quarantine.Crash(engine, time.Now())
	}
	deadline := time.Now().Add(10 * time.Second)
	for time.Now().Before(deadline) {
		if _, ok := two.entry.Quarantine.Condemned("poison"); ok {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("got no quarantine of the request on the other daemon; want one")
}
