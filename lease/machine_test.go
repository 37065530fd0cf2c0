package lease

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"papayacroft/provider"
)

// machineSeeds is the number of runs with the margin, and of runs without it, in TestMarginIsNeeded.
var machineSeeds = flag.Uint64("machine-seeds", 100, "runs of the machine with and without the margin")

// firstSeed is the seed of the first run. It is a little less than 448, the first seed of all that shows an overlap
// without the margin.
const firstSeed = 400

const (
	// machineRefresh and machineRetention are shorter than in production, so that records expire during a run,
	// but have the same ratio.
	machineRefresh   = 10 * time.Second
	machineRetention = refreshesPerRetention * machineRefresh
)

// party is one daemon with its read and its order in flight.
type party struct {
	// seenToken is the last token of the lease in seenTable, which is the party's table at the last check.
	seenTable *Table
	seenToken int64

	name        string
	table       *Table
	reading     bool
	readStart   time.Time
	batch       provider.Batch
	ordering    bool
	token       int64
	checkedAt   time.Time
	pausedUntil time.Time
	// cutOff is true while the daemon cannot reach the log.
	cutOff bool
}

// machine simulates two parties that order one engine. Each may be cut off from the log, and all answers to appends are lost.
type machine struct {
	now         time.Time
	records     []provider.Record
	checksFence bool
	parties     [2]*party
	// highest is the greatest token whose order took effect.
	highest int64
	// overlaps counts the orders that took effect after one with a greater token.
	orders, overlaps int
	refused          int
	restarts         int
	// compared counts the comparisons between a party that started after records expired and one that read those records.
	compared int
}

func newMachine(margin time.Duration, checksFence bool) *machine {
	mac := &machine{now: time.Unix(1000, 0), checksFence: checksFence, highest: None}
	for i := range mac.parties {
		mac.parties[i] = &party{name: fmt.Sprintf("daemon-%d", i), table: newMachineTable(margin)}
	}
	return mac
}

func newMachineTable(margin time.Duration) *Table {
	tab := NewTable(machineRetention)
	tab.Margin, tab.Refresh = margin, machineRefresh
	return tab
}

// restart replaces a party by one that has read nothing; an order in flight stays in flight.
func (mac *machine) restart(pty *party) {
	mac.restarts++
	pty.name = fmt.Sprintf("%s-%d", pty.name[:len("daemon-0")], mac.restarts)
	pty.table, pty.reading = newMachineTable(pty.table.Margin), false
}

// step simulates one event; choose returns a number below its argument.
func (mac *machine) step(choose func(n int) int) {
	mac.now = mac.now.Add(time.Duration(choose(4)) * 50 * time.Millisecond)
	if choose(300) == 0 {
		pty := mac.parties[choose(2)]
		pty.cutOff = !pty.cutOff
	}
	pty := mac.parties[choose(2)]
	if pty.ordering && mac.now.Sub(pty.checkedAt) > 2*Margin-500*time.Millisecond {
		// An order takes effect within twice the margin, or not at all.
		mac.applyOrder(pty)
	}
	if mac.now.Before(pty.pausedUntil) {
		return
	}
	mac.act(pty, choose)
}

// act lets one party start or complete a read, take the lease, check and send an order, complete one, restart or pause.
func (mac *machine) act(pty *party, choose func(n int) int) {
	switch choose(14) {
	case 0, 10, 11:
		if !pty.cutOff && !pty.reading {
			pty.reading, pty.readStart, pty.batch = true, mac.now, mac.read(pty.table.Next)
		}
	case 1, 2, 12, 13:
		if pty.reading {
			pty.reading = false
			pty.table.Apply(pty.readStart, mac.now, pty.batch)
		}
	case 3:
		mac.take(pty, choose)
	case 4, 5, 8, 9:
		mac.check(pty)
	case 6:
		if pty.ordering && choose(8) == 0 {
			mac.applyOrder(pty)
		}
	case 7:
		if choose(60) == 1 {
			mac.restart(pty)
		} else if choose(60) == 0 && !pty.ordering {
			pty.pausedUntil = mac.now.Add(time.Duration(choose(30)) * time.Second)
		}
	}
}

func (mac *machine) read(from int64) provider.Batch {
	first := int64(1)
	for _, rec := range mac.records {
		if mac.now.Sub(rec.At) > machineRetention {
			first = rec.Offset + 1
		}
	}
	next := int64(len(mac.records)) + 1
	return provider.Batch{First: first, Next: next, Records: mac.records[min(max(from, first), next)-1:]}
}

// take appends a lease record if the lease is vacant or needs a refresh. Sometimes it does so while another party
// holds the lease, like a daemon that suspects that the holder is cut off. The party ignores the answer to the append,
// as if it were lost.
func (mac *machine) take(pty *party, choose func(n int) int) {
	les, ok := pty.table.Lease(mac.now, "llm")
	suspects := ok && les.Holder != pty.name && (mac.other(pty).cutOff && choose(2) == 0 || choose(40) == 0)
	due := !ok && pty.table.Vacant(mac.now, "llm") || pty.table.RefreshDue(mac.now, "llm", pty.name) || suspects
	if pty.cutOff || !due || pty.table.ReadAt.IsZero() {
		return
	}
	body, err := Record{Pool: "llm", Holder: pty.name, BasedOn: les.Token}.Serialize()
	if err != nil {
		panic(err)
	}
	mac.records = append(mac.records, provider.Record{Offset: int64(len(mac.records)) + 1, At: mac.now, Body: body})
}

func (mac *machine) other(pty *party) *party {
	if pty == mac.parties[0] {
		return mac.parties[1]
	}
	return mac.parties[0]
}

func (mac *machine) check(pty *party) {
	token, ok := pty.table.MayOrder(mac.now, "llm", pty.name, mac.checksFence)
	if ok && !pty.ordering {
		pty.ordering, pty.token, pty.checkedAt = true, token, mac.now
	}
}

func (mac *machine) applyOrder(pty *party) {
	pty.ordering = false
	late := mac.now.Sub(pty.checkedAt) >= 2*Margin
	switch {
	case mac.checksFence && pty.token < mac.highest:
		mac.refused++
	case !mac.checksFence && late:
	default:
		mac.orders++
		if pty.token < mac.highest {
			mac.overlaps++
		}
		mac.highest = max(mac.highest, pty.token)
	}
}

// disagreement describes how the parties' leases differ after both have read the stream to its end, whether they read
// all of it or started after records expired.
func (mac *machine) disagreement() string {
	one, two := mac.parties[0].table, mac.parties[1].table
	end := int64(len(mac.records)) + 1
	if one.Next != end || two.Next != end {
		return ""
	}
	first, ok := one.Lease(mac.now, "llm")
	second, same := two.Lease(mac.now, "llm")
	if !ok && !one.Vacant(mac.now, "llm") || !same && !two.Vacant(mac.now, "llm") {
		// One of them started after records expired and has not read enough yet to know the lease.
		return ""
	}
	if one.gap != two.gap && ok {
		mac.compared++
	}
	if first.Token != second.Token || first.Holder != second.Holder {
		return fmt.Sprintf("got leases %+v and %+v after the same records; want the same", first, second)
	}
	return ""
}

// tokenDecrease describes a lease token that is less than an earlier one of the same table, if there is one.
func (pty *party) tokenDecrease() string {
	if pty.seenTable != pty.table {
		pty.seenTable, pty.seenToken = pty.table, None
	}
	got := pty.table.pools["llm"]
	if got == nil || !got.held {
		return ""
	}
	if got.lease.Token < pty.seenToken {
		return fmt.Sprintf("got token %d after %d; want a greater one", got.lease.Token, pty.seenToken)
	}
	pty.seenToken = got.lease.Token
	return ""
}

// Guards against an order that takes effect after one of a later holder, which an engine without token check cannot
// refuse; against daemons that derive different leases from the same records; and against tokens that decrease.
func TestNoTwoHoldersOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		mac := newMachine(Margin, rapid.Bool().Draw(t, "checksFence"))
		choose := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }
		for range 1000 {
			mac.step(choose)
			if problem := mac.disagreement(); problem != "" {
				t.Fatal(problem)
			}
			for _, pty := range mac.parties {
				if problem := pty.tokenDecrease(); problem != "" {
					t.Fatal(problem)
				}
			}
			if mac.overlaps > 0 {
				t.Fatalf("got an order of an earlier holder with token below %d; want none", mac.highest)
			}
		}
	})
}

// Guards against a simulation that cannot show what the margin prevents: without the margin, orders of two holders
// must overlap, and with it they must not.
func TestMarginIsNeeded(t *testing.T) {
	for _, tst := range []struct {
		margin  time.Duration
		overlap bool
	}{{Margin, false}, {0, true}} {
		orders, overlaps, compared := 0, 0, 0
		for run := range *machineSeeds {
			mac := newMachine(tst.margin, false)
			rnd := rand.New(rand.NewPCG(firstSeed+run, 1))
			for range 3000 {
				mac.step(rnd.IntN)
				if problem := mac.disagreement(); problem != "" {
					t.Fatalf("seed %d: %s", firstSeed+run, problem)
				}
			}
			compared += mac.compared
			orders += mac.orders
			overlaps += mac.overlaps
		}
		t.Logf("margin %s: %d orders, %d overlapping; %d comparisons after records expired", tst.margin, orders, overlaps, compared)
		if compared == 0 {
			t.Error("got no comparison with a party that started after records expired; want some")
		}
		if got, want := overlaps > 0, tst.overlap; got != want {
			t.Errorf("margin %s: got overlap %v in %d orders; want %v", tst.margin, got, orders, want)
		}
	}
}

// Guards against a daemon that takes a lease with a record based on an outdated one, because another record was stored
// between its read and its append.
func TestFirstInOffsetOrderWins(t *testing.T) {
	tab := NewTable(retention)
	var bat provider.Batch
	for i, rec := range []Record{
		{Pool: "llm", Holder: "one", BasedOn: None},
		{Pool: "llm", Holder: "two", BasedOn: None},
		{Pool: "llm", Holder: "three", BasedOn: 1},
		{Pool: "llm", Holder: "two", BasedOn: 1},
	} {
		body, err := rec.Serialize()
		if err != nil {
			t.Fatal(err)
		}
		bat.Records = append(bat.Records, provider.Record{Offset: int64(i + 1), At: time.Unix(1000, 0), Body: body})
	}
	bat.First, bat.Next = 1, 5
	now := time.Unix(1000, 0)
	tab.Apply(now, now, bat)
	got, _ := tab.Lease(now, "llm")
	if want := (Lease{Pool: "llm", Holder: "three", Token: 3, Tenure: 3, At: now, Since: now, GrantedAt: now}); got != want {
		t.Errorf("got %+v; want %+v", got, want)
	}
}

// Measures how fast a table applies the lease records of 8 pools.
func BenchmarkApply(b *testing.B) {
	now := time.Unix(1000, 0)
	tab := NewTable(retention)
	base := map[string]int64{}
	for i := 0; b.Loop(); i++ {
		pool := fmt.Sprintf("pool-%d", i%8)
		if _, ok := base[pool]; !ok {
			base[pool] = None
		}
		body, err := Record{Pool: pool, Holder: "one", BasedOn: base[pool]}.Serialize()
		if err != nil {
			b.Fatal(err)
		}
		offset := int64(i + 1)
		tab.Apply(now, now, provider.Batch{First: 1, Next: offset + 1, Records: []provider.Record{{Offset: offset, Body: body}}})
		base[pool] = offset
	}
}
