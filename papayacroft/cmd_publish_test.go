package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"papayacroft/configuration"
	"papayacroft/daemon"
)

// Guards against a last round of queries that the time-out cuts off: its failed queries would list VMs as missing
// that have confirmed the version before.
func TestWaitKeepsConfirmedVMsAfterTimeout(t *testing.T) {
	requests := 0
	web := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		if requests++; requests > 2 {
			<-req.Context().Done()
			return
		}
		_ = json.NewEncoder(wri).Encode(daemon.Status{
			Name: "entry-1", Version: 1, VMsReadAt: time.Now(), VMsWithoutDaemon: []string{"entry-2"},
			Outcomes: []configuration.Outcome{{PublishID: "one", Verdict: configuration.VerdictAccepted, Version: 1}},
		})
	}))
	defer web.Close()
	opt := &options{daemons: []string{strings.TrimPrefix(web.URL, "http://")}}
	rep := &publishReport{PublishID: "one"}
	(&publisher{options: opt}).wait(t.Context(), rep, 300*time.Millisecond)
	if got, want := len(rep.InForce), 1; got != want {
		t.Errorf("got %d VMs in force; want %d", got, want)
	}
	if got, want := strings.Join(rep.Missing, " "), "entry-2"; got != want {
		t.Errorf("got missing %q; want %q", got, want)
	}
}

// Guards against a publish that reports a version as in force on every VM before any daemon has read the platform's
// VM list, when there may be VMs that no daemon knows.
func TestWaitNeedsTheVMList(t *testing.T) {
	web := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(wri).Encode(daemon.Status{
			Name: "entry-1", Version: 1,
			Outcomes: []configuration.Outcome{{PublishID: "one", Verdict: configuration.VerdictAccepted, Version: 1}},
		})
	}))
	defer web.Close()
	opt := &options{daemons: []string{strings.TrimPrefix(web.URL, "http://")}}
	rep := &publishReport{PublishID: "one"}
	(&publisher{options: opt}).wait(t.Context(), rep, 300*time.Millisecond)
	if got, want := strings.Join(rep.Missing, " "), unreadVMList; got != want {
		t.Errorf("got missing %q; want %q", got, want)
	}
}
