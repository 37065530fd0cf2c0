package retry

import (
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

// checkBegin begins a run and checks whether the quarantine allows it.
func checkBegin(t *testing.T, qua *Quarantine, id, digest, endpoint string, want bool) {
	t.Helper()
	if got := qua.Begin(start, id, digest, endpoint); got != want {
		t.Fatalf("got begin of %s on %s allowed %t; want %t", digest, endpoint, got, want)
	}
}

// checkTrial begins a suspect's trial, settles it if necessary, and checks its result. The value of idle says whether the
// other daemons and the endpoint report that nothing else runs there.
func checkTrial(t *testing.T, qua *Quarantine, id string, idle bool, want Trial) {
	t.Helper()
	got, _ := qua.Try(start, id, 2)
	if got == TrialAsk {
		got, _ = qua.Settle(id, idle)
	}
	if got != want {
		t.Fatalf("got trial %d of run %s; want %d", got, id, want)
	}
}

// checkCondemned checks whether a request is condemned.
func checkCondemned(t *testing.T, qua *Quarantine, now time.Time, digest string, want bool) {
	t.Helper()
	if _, got := qua.Condemned(now, digest); got != want {
		t.Fatalf("got %s condemned %t; want %t", digest, got, want)
	}
}

// Guards against condemning an innocent request because it ran on the same engine as a request that crashes engines.
func TestQuarantineSparesInnocent(t *testing.T) {
	qua := NewQuarantine()
	checkBegin(t, qua, "1", "poison", "engine-1", true)
	checkBegin(t, qua, "2", "innocent", "engine-1", true)
	qua.Crash(start, "1", start)
	qua.Crash(start, "2", start)
	checkCondemned(t, qua, start, "poison", false)
	checkBegin(t, qua, "3", "innocent", "engine-2", true)
	checkTrial(t, qua, "3", true, TrialAlone)
	checkBegin(t, qua, "4", "poison", "engine-2", false)
	checkBegin(t, qua, "4", "poison", "engine-3", true)
	checkTrial(t, qua, "4", true, TrialAlone)
	checkBegin(t, qua, "5", "bystander", "engine-3", false)
	checkBegin(t, qua, "5", "bystander", "engine-4", true)
	qua.Crash(start, "4", start)
	checkCondemned(t, qua, start, "poison", true)
	checkCondemned(t, qua, start, "innocent", false)
	checkCondemned(t, qua, start, "bystander", false)
	qua.Complete(start, "3")
	if qua.Suspect(start, "innocent") {
		t.Error("got a suspect that has completed")
	}
	checkCondemned(t, qua, start.Add(QuarantineTime), "poison", false)
}

// Guards against condemning a request that started on an endpoint after its crash, when another run there notices the
// crash late.
func TestQuarantineIgnoresLaterRuns(t *testing.T) {
	qua := NewQuarantine()
	checkBegin(t, qua, "1", "early", "engine-1", true)
	qua.Receive(start, Report{Digest: "late", Endpoint: "engine-2", Verdict: VerdictSuspect})
	if !qua.Begin(start.Add(2*time.Second), "2", "late", "engine-1") {
		t.Fatal("got begin refused")
	}
	qua.Crash(start.Add(3*time.Second), "1", start.Add(time.Second))
	checkCondemned(t, qua, start.Add(3*time.Second), "late", false)
	if !qua.Suspect(start.Add(3*time.Second), "early") {
		t.Error("got no suspect after a crash")
	}
}

// Guards against condemning a suspect although a suspect of another daemon ran on the crashed endpoint: both daemons
// would then condemn their own suspect for the same crash.
func TestQuarantineHonoursRemoteSuspects(t *testing.T) {
	qua := NewQuarantine()
	qua.Receive(start, Report{"remote", "engine-1", VerdictRunning, 1})
	qua.Receive(start, Report{"local", "engine-2", VerdictSuspect, 1})
	checkBegin(t, qua, "1", "local", "engine-1", false)
	checkBegin(t, qua, "1", "local", "engine-3", true)
	checkTrial(t, qua, "1", true, TrialAlone)
	qua.Receive(start, Report{"remote", "engine-3", VerdictRunning, 1})
	qua.Crash(start, "1", start)
	checkCondemned(t, qua, start, "local", false)
	qua.Receive(start, Report{"remote", "engine-3", VerdictCondemned, 1})
	checkCondemned(t, qua, start, "remote", true)
	checkBegin(t, qua, "2", "local", "engine-1", true)
	checkTrial(t, qua, "2", false, TrialWait)
	checkTrial(t, qua, "2", true, TrialAlone)
	qua.Crash(start, "2", start)
	checkCondemned(t, qua, start, "local", true)
	if qua.Receive(start, Report{"", "engine-1", VerdictSuspect, 1}) || qua.Receive(start, Report{"x", "engine-1", "guilty", 1}) {
		t.Error("got a malformed report accepted")
	}
}

// Guards against condemning a suspect for the crash of an endpoint that it shares with other requests, of this daemon or
// another, or on which it no longer runs alone because ClosedTime has passed.
func TestQuarantineRequiresExclusiveEndpoint(t *testing.T) {
	qua := NewQuarantine()
	crash := func(id string, at time.Time) { qua.Crash(at, id, at) }
	qua.Receive(start, Report{"innocent", "engine-1", VerdictSuspect, 1})
	checkBegin(t, qua, "1", "innocent", "engine-2", true)
	checkTrial(t, qua, "1", false, TrialShared)
	checkBegin(t, qua, "2", "poison", "engine-2", true)
	crash("2", start)
	checkCondemned(t, qua, start, "innocent", false)
	checkBegin(t, qua, "3", "beside", "engine-3", true)
	checkBegin(t, qua, "4", "innocent", "engine-3", true)
	checkTrial(t, qua, "4", true, TrialWait)
	checkBegin(t, qua, "5", "newcomer", "engine-3", false)
	qua.Complete(start, "3")
	checkTrial(t, qua, "4", true, TrialAlone)
	qua.Receive(start, Report{"innocent", "engine-3", VerdictShared, 2})
	checkBegin(t, qua, "5", "newcomer", "engine-3", true)
	crash("4", start)
	checkCondemned(t, qua, start, "innocent", false)
	checkBegin(t, qua, "6", "innocent", "engine-4", true)
	checkTrial(t, qua, "6", true, TrialAlone)
	if !qua.Closed(start)["engine-4"] || qua.Closed(start.Add(ClosedTime))["engine-4"] {
		t.Error("got an engine that is not closed, or closed for ever")
	}
	crash("6", start.Add(ClosedTime))
	checkCondemned(t, qua, start.Add(ClosedTime), "innocent", false)
}

// Guards against suspects that close engines which are in use, or more engines than allowed.
func TestQuarantineClosesFewEngines(t *testing.T) {
	qua := NewQuarantine()
	checkBegin(t, qua, "1", "own", "engine-1", true)
	qua.Receive(start, Report{"a", "engine-1", VerdictRunning, 1})
	checkBegin(t, qua, "2", "own", "engine-1", true)
	qua.Receive(start, Report{"a", "engine-2", VerdictRunning, 1})
	checkBegin(t, qua, "3", "own", "engine-2", false)
	qua.Receive(start, Report{"b", "engine-3", VerdictRunning, 1})
	qua.Receive(start, Report{"c", "engine-0", VerdictSuspect, 1})
	checkBegin(t, qua, "4", "c", "engine-4", true)
	checkTrial(t, qua, "4", true, TrialShared)
	qua.Receive(start, Report{"a", "engine-1", VerdictRunning, 2})
	checkBegin(t, qua, "5", "other", "engine-1", false)
	if got := len(qua.Closed(start)); got != 2 {
		t.Errorf("got %d closed engines; want 2", got)
	}
}
