package retry

import (
	"testing"
	"time"

	"papayacroft/inventory"
)

// Guards against retries that multiply the load on a pool that is down.
func TestBudgetsBoundRetries(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	bud, key := NewBudgets(), Key{Team: inventory.ParseTeamRef("rimu/members"), Pool: "llm"}
	spent := 0
	for range 1000 {
		bud.Request(now, key)
		if bud.Spend(now, key) {
			spent++
		}
	}
	if want := 109; spent < want || spent > want+1 {
		t.Errorf("got %d retries for 1000 requests in no time; want %d, which is 10%% and the burst", spent, want)
	}
	if bud.Spend(now, key) {
		t.Error("got a retry from an empty account")
	}
	if !bud.Spend(now.Add(time.Second), key) {
		t.Error("got no retry a second later; want one")
	}
	if !bud.Spend(now, Key{Team: key.Team, Pool: "other"}) {
		t.Error("got no retry in another pool; want accounts apart")
	}
}

// Guards against pauses that exceed their upper bound.
func TestPausesStayInBounds(t *testing.T) {
	pauses := NewPauses()
	for i := range 50 {
		got := pauses.NextBackOff()
		if got < 0 || got > maxPause+time.Millisecond || i == 0 && got > minPause+time.Millisecond {
			t.Fatalf("got pause %s as number %d; want at most 50ms at first and 1s later", got, i)
		}
	}
}
