package admission

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"go.yaml.in/yaml/v3"
)

type targetStep struct {
	At                  float64
	Push, Org, Resource string
	Rank                int
	Start, Deadline     float64
	Retried             bool
	Drops               string
	Served              string
	Tokens              float64
	Order, Overdue      []string
	Elsewhere           map[string]bool
	Hopeless            string
	Wait                float64
	Want                bool
}

type targetCase struct {
	Name, Guards string
	Capacity     int
	Steps        []targetStep
}

// Guards against the failures that the cases of testdata/target.yaml describe.
func TestQueueByTarget(t *testing.T) {
	data, err := os.ReadFile("testdata/target.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var cases []targetCase
	if err := yaml.Unmarshal(data, &cases); err != nil || len(cases) == 0 {
		t.Fatalf("got %d cases, error %v; want some", len(cases), err)
	}
	for _, cas := range cases {
		t.Run(cas.Name, func(t *testing.T) {
			t.Log(cas.Guards)
			que := NewQueue()
			que.ByTarget = true
			if cas.Capacity > 0 {
				que.Capacity = cas.Capacity
			}
			items := map[string]*Item{}
			for i, stp := range cas.Steps {
				if got, want := stp.run(que, items); got != want {
					t.Errorf("step %d: got %s, want %s", i, got, want)
				}
			}
		})
	}
}

// run applies one step to the queue and returns its result and the wanted one.
func (stp *targetStep) run(que *Queue, items map[string]*Item) (got, want string) {
	after := func(seconds float64) time.Time { return testStart.Add(time.Duration(seconds * float64(time.Second))) }
	now := after(stp.At)
	switch {
	case stp.Push != "":
		itm := &Item{ID: stp.Push, Organisation: stp.Org, Resource: "pool" + stp.Resource, Rank: stp.Rank, Retried: stp.Retried, Deadline: after(1000)}
		if stp.Deadline > 0 {
			itm.Deadline = after(stp.Deadline)
		}
		if stp.Start > 0 {
			itm.LatestStart = after(stp.Start)
		}
		items[stp.Push] = itm
		if victim := que.Push(now, itm); victim != nil {
			got = victim.ID
		}
		return got, stp.Drops
	case stp.Served != "":
		que.Served(now, stp.Served, stp.Tokens)
	case stp.Order != nil:
		return ids(que.Order(now)), fmt.Sprint(stp.Order)
	case stp.Overdue != nil:
		return ids(que.Overdue(now, stp.Elsewhere)), fmt.Sprint(stp.Overdue)
	case stp.Hopeless != "":
		return fmt.Sprint(items[stp.Hopeless].IsHopeless(now, time.Duration(stp.Wait*float64(time.Second)))), fmt.Sprint(stp.Want)
	}
	return "", ""
}

func ids(items []*Item) string {
	list := []string{}
	for _, itm := range items {
		list = append(list, itm.ID)
	}
	return fmt.Sprint(list)
}

// Guards against callers that come back all at once, before there is capacity, or too late to be served.
func TestRetryAfter(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	for _, cas := range []struct{ wait, left, least, most time.Duration }{
		{time.Second, 9 * time.Second, 800 * time.Millisecond, 1200 * time.Millisecond},
		{time.Minute, 9 * time.Second, 3 * time.Second, 3 * time.Second},
		{2900 * time.Millisecond, 9 * time.Second, 2320 * time.Millisecond, 3 * time.Second},
		{0, 9 * time.Second, minRetryAfter, minRetryAfter},
		{time.Second, 30 * time.Millisecond, minRetryAfter, minRetryAfter},
	} {
		seen := map[time.Duration]bool{}
		for range 100 {
			got := RetryAfter(rnd, cas.wait, cas.left)
			seen[got] = true
			if got < cas.least || got > cas.most {
				t.Fatalf("wait %v, left %v: got %v, want %v to %v", cas.wait, cas.left, got, cas.least, cas.most)
			}
		}
		if cas.least < cas.most && len(seen) < 50 {
			t.Errorf("wait %v, left %v: got %d different times of 100, want them spread", cas.wait, cas.left, len(seen))
		}
	}
}

// Guards against hints that are trusted although the learnt lengths predict better, and against good hints that are ignored.
func TestPredictor(t *testing.T) {
	for _, cas := range []struct {
		name        string
		hint        func(length int, rnd *rand.Rand) int
		least, most int
	}{
		{"accurate hints", func(length int, _ *rand.Rand) int { return length }, 700, 1000},
		{"hints of half the length", func(length int, _ *rand.Rand) int { return length / 2 }, 700, 1000},
		{"random hints", func(_ int, rnd *rand.Rand) int { return 1 + rnd.IntN(4000) }, 80, 500},
	} {
		rnd := rand.New(rand.NewPCG(1, 1))
		prd := NewPredictor()
		knd := Kind{"long", "pool"}
		if _, known := prd.Expect(knd, 100, 1000, 0.5); known {
			t.Errorf("%s: got an estimate without completed requests, want none", cas.name)
		}
		for range 400 {
			length := 100 + rnd.IntN(100)
			if rnd.IntN(10) == 0 {
				length = 800
			}
			prd.Observe(knd, cas.hint(length, rnd), length)
		}
		got, known := prd.Expect(knd, cas.hint(800, rnd), 4000, 0.5)
		if !known || got < cas.least || got > cas.most {
			t.Errorf("%s: got %d, known %t, want %d to %d", cas.name, got, known, cas.least, cas.most)
		}
		if got, _ := prd.Expect(knd, 0, 4000, 0.5); got < 100 || got > 200 {
			t.Errorf("%s: got %d without a hint, want the learnt median", cas.name, got)
		}
		if got, _ := prd.Expect(knd, cas.hint(800, rnd), 50, 0.5); got > 50 {
			t.Errorf("%s: got %d, want 50 at most", cas.name, got)
		}
	}
}
