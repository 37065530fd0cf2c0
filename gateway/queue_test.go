package gateway

import (
	"context"
	"io"
	"net/http"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"go.yaml.in/yaml/v3"

	"papayacroft/catalog"
	"papayacroft/dispatch"
	"papayacroft/exchange"
	"papayacroft/scheduler"
)

// wakeCase is an event that frees capacity for a stream that waits.
type wakeCase struct {
	Name, Guards string
	// Own and Peer are the numbers of streams of this daemon and of another one at the only engine, which has one slot; Denied is the
	// time until the engine may be asked for a permit again.
	Own, Peer int
	Denied    time.Duration
	// Event is what happens 10 ms after the stream has begun to wait: end, peer, endpoint, lost, leave, stop or nothing.
	Event string
	// Waited is the wait, and Reason the reason of a refusal; empty if the stream was sent.
	Waited time.Duration
	Reason dispatch.Reason
}

// wakeStart is the time between the start of a wait and the event.
const wakeStart = 10 * time.Millisecond

// Guards against the failures that the cases of testdata/wake.yaml describe: capacity that is used late, as by a poll.
func TestQueueWakes(t *testing.T) {
	data, err := os.ReadFile("testdata/wake.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var cases []wakeCase
	if err := yaml.Unmarshal(data, &cases); err != nil || len(cases) == 0 {
		t.Fatalf("got %d cases, error %v; want some", len(cases), err)
	}
	for _, cas := range cases {
		t.Run(cas.Name, func(t *testing.T) {
			t.Log(cas.Guards)
			synctest.Test(t, cas.run)
		})
	}
}

func (cas *wakeCase) run(t *testing.T) {
	srv, snp := queueServer()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go srv.RunQueue(ctx)
	var flights []*dispatch.Flight
	for range cas.Own {
		flights = append(flights, srv.begin("e", dispatch.Work{Tokens: 100}))
	}
	if cas.Peer > 0 {
		srv.SetPeerUsage(time.Now(), "other", map[string]dispatch.Usage{"e": {Flights: cas.Peer, Tokens: 100}})
	}
	if cas.Denied > 0 {
		srv.Throttle.Deny(time.Now(), "e", cas.Denied)
	}
	rqs := streamRequest(srv, 4*time.Second)
	caller, leave := context.WithCancel(t.Context())
	defer leave()
	result := make(chan scheduler.Outcome, 1)
	go func() {
		tkt := srv.newTicket(rqs, dispatch.Work{Tokens: 100}, false)
		result <- srv.awaitOutcome(caller, rqs, tkt)
	}()
	time.Sleep(wakeStart)
	switch cas.Event {
	case "end":
		srv.end(flights[0])
	case "peer":
		srv.SetPeerUsage(time.Now(), "other", map[string]dispatch.Usage{"e": {}})
	case "endpoint":
		srv.mutex.Lock()
		snp.Fleet.Endpoints["e2"] = catalog.Endpoint{ID: "e2", Service: "pool", State: catalog.StateReady, Slots: 1}
		srv.mutex.Unlock()
		srv.WakeQueue()
	case "lost":
		srv.mutex.Lock()
		delete(snp.Fleet.Endpoints, "e")
		srv.mutex.Unlock()
		srv.WakeQueue()
	case "leave":
		leave()
	case "stop":
		srv.StopQueue()
	}
	out := <-result
	if got, want := out.Choice.Reason, cas.Reason; got != want {
		t.Errorf("got reason %q, want %q", got, want)
	}
	if got, want := out.Waited, cas.Waited; got != want {
		t.Errorf("got a wait of %v, want %v", got, want)
	}
	if got := srv.Scheduler.Queue.Len(); got != 0 {
		t.Errorf("got %d waiting requests, want none", got)
	}
	cancel()
	synctest.Wait()
}

// queueServer returns a server with a queue, a service with one engine with one slot, and its view.
func queueServer() (*Server, *fixedSnapshot) {
	snp := &fixedSnapshot{
		Catalog: catalog.NewCatalog(1, nil, []catalog.Service{{Name: "pool", Engine: &catalog.Engine{Slots: 1, CapacityTokens: 10000}}}, nil),
		Fleet: catalog.FleetView{Endpoints: map[string]catalog.Endpoint{
			"e": {ID: "e", Service: "pool", State: catalog.StateReady, Slots: 1},
		}},
	}
	srv := NewServer()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	srv.Snapshots, srv.Logger = snp, logger
	srv.Scheduler = scheduler.New(srv.Balancer)
	return srv, snp
}

func streamRequest(srv *Server, target time.Duration) *request {
	now := srv.Now()
	return &request{
		http: &http.Request{}, service: "pool", begun: now, deadline: now.Add(30 * time.Second), logger: srv.Logger, excluded: map[string]bool{},
		route: &catalog.Route{Name: "long", Kind: catalog.KindStream, Target: target, Timeout: 30 * time.Second},
	}
}

// Guards against a retry that counts as a first attempt, or whose target counts from its own start, and against calls without a
// route's timeout that count as retries.
func TestRetriesAreRecognised(t *testing.T) {
	srv, _ := queueServer()
	for _, cas := range []struct {
		deadline time.Duration
		kind     catalog.Kind
		retried  bool
		target   time.Duration
	}{
		{30 * time.Second, catalog.KindStream, false, 4 * time.Second},
		{0, catalog.KindStream, false, 4 * time.Second},
		{29200 * time.Millisecond, catalog.KindStream, false, 4 * time.Second},
		{28 * time.Second, catalog.KindStream, true, 2 * time.Second},
		{20 * time.Second, catalog.KindStream, true, -6 * time.Second},
		{20 * time.Second, catalog.KindIdempotent, false, 4 * time.Second},
	} {
		rqs := streamRequest(srv, 4*time.Second)
		rqs.Deadline, rqs.route.Kind = cas.deadline, cas.kind
		tkt := srv.newTicket(rqs, dispatch.Work{}, false)
		if got, want := tkt.Retried, cas.retried; got != want {
			t.Errorf("deadline %v of a %s: got retried %t, want %t", cas.deadline, cas.kind, got, want)
		}
		if got, want := tkt.TargetAt.Sub(rqs.begun), cas.target; got != want {
			t.Errorf("deadline %v of a %s: got target %v, want %v", cas.deadline, cas.kind, got, want)
		}
	}
}

// Guards against work that stays counted at an engine, or tokens charged to an organisation, for a request that got its turn but was
// not sent.
func TestTurnIsTakenBack(t *testing.T) {
	srv, _ := queueServer()
	rqs := streamRequest(srv, 4*time.Second)
	rqs.organisation = "one"
	if cho := srv.awaitTurn(t.Context(), rqs, dispatch.Work{Tokens: 100}, false); cho.Endpoint == nil {
		t.Fatalf("got %s, want an endpoint", cho)
	}
	srv.releaseGranted(rqs)
	srv.releaseGranted(rqs)
	if got, want := srv.UsageAt("e"), (dispatch.Usage{}); got != want {
		t.Errorf("got usage %+v, want %+v", got, want)
	}
	if got := srv.Scheduler.Queue.Share("one"); got != 0 {
		t.Errorf("got share %.2f of the tokens served, want 0", got)
	}
}

// Guards against work without its output, for which neither a run time nor the output that is left can be expected.
func TestExpectedOutputIsKept(t *testing.T) {
	srv, _ := queueServer()
	rqs := streamRequest(srv, 4*time.Second)
	rqs.PromptTokens, rqs.MaxTokens = 1000, 500
	if got, want := srv.expect(rqs), (dispatch.Work{Tokens: 1200, Prefill: 1000, Output: 200}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// Guards against a refusal by the queue without a Retry-After while the only endpoint has a pause, and against one that is too short or
// too long for the caller.
func TestRetryAfterOfPauses(t *testing.T) {
	for _, cas := range []struct{ pause, left, want time.Duration }{
		{2 * time.Second, 30 * time.Second, 2 * time.Second},
		{3 * time.Second, 6 * time.Second, 2 * time.Second},
		{20 * time.Millisecond, 30 * time.Second, 100 * time.Millisecond},
	} {
		synctest.Test(t, func(t *testing.T) {
			srv, snp := queueServer()
			edp := snp.Fleet.Endpoints["e"]
			srv.Balancer.Paused(srv.Now(), &edp, cas.pause)
			rqs := streamRequest(srv, 4*time.Second)
			rqs.deadline = rqs.begun.Add(cas.left)
			trs := &tries{retryAfter: fullRetry}
			cho := srv.awaitTurn(t.Context(), rqs, dispatch.Work{Tokens: 100}, false)
			trs.noteChoice(&cho)
			if got, want := cho.Reason, dispatch.ReasonPaused; got != want {
				t.Errorf("got reason %q, want %q", got, want)
			}
			if got := trs.refusal(t.Context(), srv.Now(), rqs).retryAfter; got != cas.want {
				t.Errorf("pause %v, %v left: got Retry-After %v, want %v", cas.pause, cas.left, got, cas.want)
			}
		})
	}
}

// Guards against an organisation that is charged once more for each send that has run nowhere, or gets back more than its charge.
func TestSendsThatHaveNotRunAreNotCharged(t *testing.T) {
	for _, cas := range []struct {
		res  outcome
		want float64
	}{{outcomeNotRun, 0}, {outcomeUnreached, 0}, {outcomeUnknown, 0.5}} {
		srv, snp := queueServer()
		srv.Scheduler.Queue.Served(srv.Now(), "two", 100)
		rqs := streamRequest(srv, 4*time.Second)
		rqs.organisation = "one"
		rqs.PromptTokens = 80
		one := &run{request: rqs, server: srv, work: dispatch.Work{Tokens: 100, Prefill: 80}}
		edp := snp.Fleet.Endpoints["e"]
		srv.awaitTurn(t.Context(), rqs, one.work, false)
		flt, _ := srv.beginStream(rqs, &edp, one.work)
		srv.end(flt)
		rqs.sends++
		srv.shouldRetry(t.Context(), rqs, &tries{}, cas.res)
		if cas.want == 0 {
			one.noteEnded(false)
		}
		if got := srv.Scheduler.Queue.Share("one"); got != cas.want {
			t.Errorf("%s: got share %.2f of the tokens served, want %.2f", cas.res, got, cas.want)
		}
		if got, want := srv.Scheduler.Queue.Share("two"), 1-cas.want; got != want {
			t.Errorf("%s: got share %.2f of the other organisation, want %.2f", cas.res, got, want)
		}
	}
}

// Guards against all waiting requests that ask at once for the one permit of an endpoint with a limit: 20 streams asked 155 times in 2 s.
func TestOnePermitIsAskedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		srv, snp := queueServer()
		snp.Fleet.Endpoints["e"] = catalog.Endpoint{ID: "e", Service: "pool", State: catalog.StateReady, Slots: 100}
		ctx, cancel := context.WithCancel(t.Context())
		go srv.RunQueue(ctx)
		srv.Throttle.Learn("e", dispatch.RateLimit{PerSecond: 8, Named: true, At: srv.Now()})
		var asks, outstanding, most, sent int
		srv.AskPermit = func(_ context.Context, req *exchange.PermitRequest) (*exchange.PermitReply, error) {
			srv.mutex.Lock()
			asks++
			outstanding++
			most = max(most, outstanding)
			srv.mutex.Unlock()
			time.Sleep(time.Millisecond)
			rep := srv.GrantPermit(req)
			srv.mutex.Lock()
			outstanding--
			srv.mutex.Unlock()
			return rep, nil
		}
		for range 20 {
			go func() {
				rqs := streamRequest(srv, 4*time.Second)
				cho := srv.awaitTurn(ctx, rqs, dispatch.Work{Tokens: 100}, false)
				srv.mutex.Lock()
				defer srv.mutex.Unlock()
				if cho.Endpoint != nil {
					sent++
				}
			}()
		}
		time.Sleep(2 * time.Second)
		srv.mutex.Lock()
		if most != 1 || asks > 40 || sent < 8 {
			t.Errorf("got %d asks, %d at once, %d streams sent; want 40 at most, 1, 8 at least", asks, most, sent)
		}
		srv.mutex.Unlock()
		cancel()
		synctest.Wait()
	})
}

// Guards against a pass for each event of a burst, and for each request that begins to wait, which has just been compared with all engines.
func TestPassesAreSpaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		srv, _ := queueServer()
		ctx, cancel := context.WithCancel(t.Context())
		go srv.RunQueue(ctx)
		srv.begin("e", dispatch.Work{Tokens: 100})
		notes := 0
		srv.OnWaiting = func() { notes++ }
		count := func() int {
			srv.mutex.Lock()
			defer srv.mutex.Unlock()
			return notes
		}
		for range 20 {
			rqs := streamRequest(srv, 4*time.Second)
			go srv.awaitOutcome(ctx, rqs, srv.newTicket(rqs, dispatch.Work{Tokens: 100}, false))
			time.Sleep(50 * time.Millisecond)
		}
		if got := count() - 20; got > 12 {
			t.Errorf("got %d passes in 1 s in which 20 requests began to wait, want 12 at most", got)
		}
		before := count()
		for range 1000 {
			srv.WakeQueue()
			time.Sleep(100 * time.Microsecond)
		}
		if got := count() - before; got > 52 {
			t.Errorf("got %d passes in 100 ms with an event each 0.1 ms, want 52 at most", got)
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against a call that waits for a plain endpoint although one is free, or for longer than a third of its target.
func TestCallsWaitShortly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		srv, _ := queueServer()
		ctx, cancel := context.WithCancel(t.Context())
		go srv.RunQueue(ctx)
		for _, want := range []time.Duration{0, 150 * time.Millisecond} {
			rqs := streamRequest(srv, 450*time.Millisecond)
			rqs.route.Kind = catalog.KindOnce
			began := time.Now()
			cho := srv.awaitTurn(t.Context(), rqs, dispatch.Work{}, true)
			if cho.Endpoint == nil {
				t.Fatalf("got %s, want an endpoint", cho)
			}
			if got := time.Since(began); got < want || got > want+queueFallback {
				t.Errorf("got a wait of %v, want %v", got, want)
			}
			srv.beginGranted(rqs, "e", dispatch.Work{})
		}
		cancel()
		synctest.Wait()
	})
}
