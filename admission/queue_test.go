package admission

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"go.yaml.in/yaml/v3"
)

var testStart = time.Unix(1_700_000_000, 0)

type queueStep struct {
	At               float64
	Push, Org, Class string
	Rank             int
	Worth, Deadline  float64
	Target           float64
	Drops            string
	Served           string
	Tokens           float64
	Block, Peek      string
	Next, Expire     []string
}

type queueCase struct {
	Name, Guards string
	Capacity     int
	Steps        []queueStep
}

// Guards against the failures that the cases of testdata/queue.yaml describe.
func TestQueue(t *testing.T) {
	data, err := os.ReadFile("testdata/queue.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var cases []queueCase
	if err := yaml.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	for _, cas := range cases {
		t.Run(cas.Name, func(t *testing.T) {
			que := NewQueue()
			if cas.Capacity > 0 {
				que.Capacity = cas.Capacity
			}
			blocked := Blocked{}
			for i, stp := range cas.Steps {
				if got, want := stp.run(que, blocked); got != want {
					t.Errorf("step %d: got %s, want %s", i, got, want)
				}
			}
		})
	}
}

// run applies one step to the queue and returns its result and the wanted one.
func (stp *queueStep) run(que *Queue, blocked Blocked) (got, want string) {
	now := testStart.Add(time.Duration(stp.At * float64(time.Second)))
	switch {
	case stp.Push != "":
		itm := &Item{ID: stp.Push, Organisation: stp.Org, Class: stp.Class, Resource: "model", Rank: stp.Rank, Worth: stp.Worth}
		itm.Deadline = now.Add(time.Duration((stp.Deadline + 1000*indicator(stp.Deadline == 0)) * float64(time.Second)))
		itm.Target = time.Duration(stp.Target * float64(time.Second))
		if victim := que.Push(now, itm); victim != nil {
			got = victim.ID
		}
		return got, stp.Drops
	case stp.Served != "":
		que.Served(now, stp.Served, stp.Tokens)
	case stp.Block != "":
		blocked.Add("model", stp.Block)
	case stp.Peek != "":
		return que.Next(now, blocked).ID, stp.Peek
	case stp.Next != nil:
		var order []string
		for itm := que.Next(now, blocked); itm != nil; itm = que.Next(now, blocked) {
			order = append(order, itm.ID)
			que.Remove(itm)
		}
		return fmt.Sprint(order), fmt.Sprint(stp.Next)
	case stp.Expire != nil:
		expired := []string{}
		for _, itm := range que.Expire(now) {
			expired = append(expired, itm.ID)
		}
		return fmt.Sprint(expired), fmt.Sprint(stp.Expire)
	}
	return "", ""
}

func indicator(yes bool) float64 {
	if yes {
		return 1
	}
	return 0
}

// Guards against estimates that ignore the tokens generated so far, old lengths that keep their weight forever, and
// reservations above maxTokens.
func TestLengths(t *testing.T) {
	var lng Lengths
	knd := Kind{"writeUp", "writer"}
	if got, want := lng.Remaining(knd, 0, 100, 0.5), 100; got != want {
		t.Errorf("without history: got %d, want %d", got, want)
	}
	for i := range 160 {
		lng.Observe(knd, []int{10, 10, 10, 100}[i%4])
	}
	for _, cas := range []struct {
		generated, maxTokens int
		quantile             float64
		want                 int
	}{
		{0, 1000, 0.5, 10}, {0, 1000, 0.9, 100}, {0, 50, 0.9, 50},
		{20, 1000, 0.5, 80}, {20, 60, 0.5, 40}, {200, 1000, 0.5, 100}, {1000, 1000, 0.5, 1},
	} {
		if got := lng.Remaining(knd, cas.generated, cas.maxTokens, cas.quantile); got < cas.want*95/100 || got > cas.want*105/100 {
			t.Errorf("after %d of %d at %.1f: got %d, want %d", cas.generated, cas.maxTokens, cas.quantile, got, cas.want)
		}
	}
	for range 4 * lengthHalving {
		lng.Observe(knd, 500)
	}
	if got := lng.Remaining(knd, 0, 1000, 0.5); got < 475 || got > 525 {
		t.Errorf("after a change: got %d, want about 500", got)
	}
}

// Guards against a level that preemptions don't raise, that completions don't lower, or that exceeds its upper bound.
func TestLevel(t *testing.T) {
	lvl := NewLevel()
	lvl.Preempted(3)
	raised := lvl.Value()
	if raised <= startLevel {
		t.Errorf("after preemptions: got %.2f, want more than %.2f", raised, startLevel)
	}
	for range int(3 / targetPreempted) {
		lvl.Completed()
	}
	if got := lvl.Value(); got < startLevel-0.01 || got > startLevel+0.01 {
		t.Errorf("after completions at the target share: got %.2f, want %.2f", got, startLevel)
	}
	lvl.Preempted(1000)
	if got, want := lvl.Value(), maxLevel; got != want {
		t.Errorf("upper bound: got %.2f, want %.2f", got, want)
	}
}

// Guards against a window that doesn't shrink while calls queue at the endpoint, or doesn't grow again when none queue.
func TestWindow(t *testing.T) {
	win := NewWindow()
	fill := func() int {
		for win.Open() {
			win.Sent()
		}
		return win.inFlight
	}
	for range 1000 {
		fill()
		win.Finished(true)
	}
	if got, want := fill(), minWindow; got != want {
		t.Errorf("while calls queue: got %d in flight, want %d", got, want)
	}
	for range 100 {
		win.Finished(false)
		fill()
	}
	if got := win.inFlight; got < 10 {
		t.Errorf("when none queue: got %d in flight, want at least 10", got)
	}
}

func BenchmarkQueue(b *testing.B) {
	que := NewQueue()
	for i := range DefaultCapacity / 2 {
		que.Push(testStart, &Item{Organisation: fmt.Sprint(i % 20), Class: fmt.Sprint(i % 2), Resource: "model", Rank: i % 2, Deadline: testStart.Add(time.Hour)})
	}
	b.ReportAllocs()
	for b.Loop() {
		que.Push(testStart, &Item{Organisation: "7", Class: "1", Resource: "model", Rank: 1, Deadline: testStart.Add(time.Hour)})
		que.Expire(testStart)
		que.Remove(que.Next(testStart, nil))
	}
}

// Guards against an order of requests that depends on the iteration order of a map.
func TestQueueDeterministic(t *testing.T) {
	var first []string
	for range 20 {
		que := NewQueue()
		for i := range 30 {
			que.Push(testStart, &Item{ID: fmt.Sprint(i), Organisation: fmt.Sprint(i % 7), Class: fmt.Sprint(i % 3), Resource: "model", Rank: i % 2, Deadline: testStart.Add(time.Hour)})
		}
		var order []string
		for itm := que.Next(testStart, nil); itm != nil; itm = que.Next(testStart, nil) {
			order = append(order, itm.ID)
			que.Remove(itm)
		}
		if first != nil && !slices.Equal(order, first) {
			t.Fatalf("got %v, want %v", order, first)
		}
		first = order
	}
}
