package entry

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"papayacroft/blackboard"
	"papayacroft/endpoint"
	"papayacroft/inventory"
	"papayacroft/routing"
)

func newAdmissionServer() (*Server, *call) {
	idx := inventory.NewIndex(&inventory.Configuration{
		Owners:    map[string]inventory.Owner{"office": {Name: "office", ApprovedTeams: []string{"x/team"}}},
		Pools:     map[string]inventory.Pool{"llm": {Name: "llm", Kind: inventory.PoolKindEngine, Models: []string{"writer"}}},
		Endpoints: map[string]inventory.Endpoint{"a": {Name: "a", Pool: "llm", Owner: "office"}},
		Classes:   map[string]inventory.Class{"writeUp": {Name: "writeUp", Worth: 1}},
	})
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	srv := NewServer()
	srv.Tracker, srv.Logger = routing.NewTracker(), logger
	srv.Board = fixedBoard{&blackboard.Snapshot{Index: idx}}
	srv.BuildAdmission()
	return srv, &call{snapshot: srv.Board.Snapshot(), logger: logger, team: inventory.TeamRef{Organisation: "x", Team: "team"}}
}

func (srv *Server) reportUse(used int) {
	srv.Tracker.Report(srv.Now(), "a", endpoint.Load{At: srv.Now(), UsedTokens: used, CapacityTokens: 1000, Running: used / 100})
	srv.DispatchWaiting()
}

func newWriteUp(cal *call) *generation {
	return newGeneration(time.Now(), cal, &CompletionRequest{Model: "writer", Class: "writeUp", Prompt: strings.Repeat("note", 100), MaxTokens: 100})
}

// Guards against a waiting request that is not admitted as soon as a load report shows free memory, and against
// memory that stays reserved after the caller disconnected.
func TestLoadReportAdmitsWaitingRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		srv, cal := newAdmissionServer()
		ctx, cancel := context.WithCancel(t.Context())
		srv.reportUse(990)
		start := time.Now()
		gen := newWriteUp(cal)
		done := make(chan *Refusal, 1)
		go func() {
			_, ref := srv.admit(ctx, cal, gen, start.Add(time.Minute))
			done <- ref
		}()
		time.Sleep(time.Second)
		srv.reportUse(100)
		if ref := <-done; ref != nil {
			t.Fatalf("got refusal %v, want an engine", ref)
		}
		if got, want := time.Since(start), time.Second; got != want {
			t.Errorf("admitted after %s, want %s", got, want)
		}
		if got := srv.Tracker.Status("a").OwnRunning; got != 1 {
			t.Errorf("running: got %d, want 1", got)
		}
		cancel()
		synctest.Wait()
		if got := srv.Tracker.Status("a").OwnRunning; got != 0 {
			t.Errorf("running after the caller left before the start: got %d, want 0", got)
		}
	})
}

// Guards against a request that goes on waiting after the end of another generation has freed memory for it.
func TestGenerationEndAdmitsWaitingRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		srv, cal := newAdmissionServer()
		srv.reportUse(420)
		first, second := newWriteUp(cal), newWriteUp(cal)
		if _, ref := srv.admit(t.Context(), cal, first, time.Now().Add(time.Minute)); ref != nil {
			t.Fatal(ref)
		}
		srv.observeStart(first)
		done := make(chan *Refusal, 1)
		go func() {
			_, ref := srv.admit(t.Context(), cal, second, time.Now().Add(time.Minute))
			done <- ref
		}()
		// A request that has waited may use the whole capacity, but the first request still holds its reservation.
		time.Sleep(time.Second)
		srv.DispatchWaiting()
		if got, want := srv.Waiting(), 1; got != want {
			t.Fatalf("waiting: got %d, want %d", got, want)
		}
		first.complete = true
		srv.observeEnd(first, "a")
		if ref := <-done; ref != nil {
			t.Fatalf("got refusal %v, want an engine", ref)
		}
		if got := srv.Tracker.Status("a").OwnRunning; got != 1 {
			t.Errorf("running: got %d, want 1", got)
		}
		srv.endAdmission(second, false)
	})
}

// Guards against requests that stay in the queue after their deadline or after their caller disconnected.
func TestAdmitStopsAtDeadlineOrDisconnect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		srv, cal := newAdmissionServer()
		srv.reportUse(990)
		_, ref := srv.admit(t.Context(), cal, newWriteUp(cal), time.Now().Add(time.Second))
		if ref == nil || ref.Code != routing.CodeDeadlineExceeded || ref.Outcome != OutcomeNotRun || ref.RetryAfterSeconds == 0 {
			t.Errorf("deadline: got %v, want notRun with deadlineExceeded and a time to try again", ref)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, ref = srv.admit(ctx, cal, newWriteUp(cal), time.Now().Add(time.Minute)); ref == nil {
			t.Error("caller left: got an engine")
		}
		if got := srv.Waiting(); got != 0 {
			t.Errorf("waiting: got %d, want 0", got)
		}
	})
}
