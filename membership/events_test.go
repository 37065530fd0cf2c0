package membership

import (
	"testing"
	"time"
)

const (
	// gossipBudget is the part of a node's 2 KB/s that membership may use, in bytes a second.
	gossipBudget = 1600
	// burstBudget bounds the mean over all nodes in any one second, when many nodes fetch a list at once.
	// The mean reaches 3.5 KB in a second when 400 members start at once, or half of them restart.
	burstBudget = 4000
)

// beginMeasuring resets the counts of bytes and returns a function that checks the counts since then.
func (flt *fleet) beginMeasuring(t *testing.T, what string) func() {
	start := flt.now
	flt.rate(time.Second)
	flt.peak, flt.bytes = 0, 0
	return func() {
		t.Helper()
		mean, most := flt.rate(max(time.Second, flt.now.Sub(start).Truncate(time.Second)))
		t.Logf("%s: over %v %d B/s per member, %d B/s of one, %d B/s in one second", what, flt.now.Sub(start), mean, most, flt.peak)
		if mean > gossipBudget || flt.peak > burstBudget {
			t.Errorf("%s: got %d B/s per member, %d in one second; want at most %d and %d", what, mean, flt.peak, gossipBudget, burstBudget)
		}
	}
}

// settled returns a fleet whose members know each other. It checks the time and the bytes that they need for that.
func settled(t *testing.T) *fleet {
	t.Helper()
	t.Parallel()
	flt := newFleet(fleetSize)
	check := flt.beginMeasuring(t, "first minute of all members")
	times, missing := flt.spread(time.Minute, flt.nodes, flt.nodes, live)
	flt.run(time.Minute-flt.now.Sub(flt.started), nil)
	check()
	t.Logf("known in the first minute: %s, %d missing", quantiles(times), missing)
	if missing > (len(times)+missing)/5 {
		t.Errorf("got %d of %d pairs that do not know each other after a minute; want at most a fifth", missing, len(times)+missing)
	}
	_, missing = flt.spread(4*time.Minute, flt.nodes, flt.nodes, live)
	if missing > 0 {
		t.Errorf("got %d pairs that do not know each other after 5 minutes; want none", missing)
	}
	return flt
}

// Guards against gossip that exceeds its budget in the steady state, in the first minute of a new member, or after the
// loss of a failure domain. Guards as well against a dead member that others use for too long, and a new one that they
// use too late.
func TestFleetLosesDomain(t *testing.T) {
	flt := settled(t)
	flt.run(2*time.Minute, nil)
	check := flt.beginMeasuring(t, "steady")
	flt.run(30*time.Second, nil)
	check()

	one := flt.nodes[:1]
	flt.nodes[0].down = true
	times, missing := flt.spread(time.Minute, flt.up(), one, notUsed)
	checkWithin(t, "one member dead", times, missing, 30*time.Second)
	flt.run(time.Minute, nil)
	check = flt.beginMeasuring(t, "one member new")
	flt.start(flt.nodes[0])
	start := flt.now
	times, missing = flt.spread(time.Minute, flt.nodes[1:], one, live)
	checkWithin(t, "new member known", times, missing, 15*time.Second)
	times, missing = flt.spread(time.Minute, one, flt.nodes, live)
	checkWithin(t, "others known to the new member", times, missing, 30*time.Second)
	flt.run(time.Minute-flt.now.Sub(start), nil)
	if rate := flt.nodes[0].bytes / 60; rate > gossipBudget {
		t.Errorf("got %d B/s of a new member in its first minute; want at most %d", rate, gossipBudget)
	}
	t.Logf("new member in its first minute: %d B/s", flt.nodes[0].bytes/60)
	check()

	lost := flt.where(func(node *fleetNode) bool { return node.domain == 3 })
	check = flt.beginMeasuring(t, "domain lost")
	for _, node := range lost {
		node.down = true
	}
	times, missing = flt.spread(time.Minute, flt.up(), lost, notUsed)
	check()
	checkWithin(t, "domain lost", times, missing, time.Minute)
}

// Guards against members that others still know by their former incarnations after half of all members restarted, when
// there are more changes than messages can carry.
func TestFleetRestartsHalf(t *testing.T) {
	flt := settled(t)
	flt.run(2*time.Minute, nil)
	half := flt.where(func(node *fleetNode) bool { return node.domain%2 == 0 })
	check := flt.beginMeasuring(t, "half restarted")
	for _, node := range half {
		flt.start(node)
	}
	start := flt.now
	times, missing := flt.spread(4*time.Minute, flt.nodes, half, live)
	flt.run(4*time.Minute-flt.now.Sub(start), nil)
	check()
	checkWithin(t, "half restarted", times, missing, 4*time.Minute)
}

// Guards against regions that were cut off from each other for an hour and, once they are connected again, do not find
// each other's members, exceed the gossip budget or keep an old version.
func TestFleetRegionsApart(t *testing.T) {
	flt := settled(t)
	inside := func(node *fleetNode) bool { return node.region < 2 }
	few, many := flt.where(inside), flt.where(func(node *fleetNode) bool { return !inside(node) })
	check := flt.beginMeasuring(t, "regions cut")
	flt.cut = func(one, other *fleetNode) bool { return inside(one) != inside(other) }
	times, missing := flt.spread(10*time.Minute, few, many, notUsed)
	check()
	checkMost(t, "other side gone", times, missing, 4*time.Minute)
	for _, node := range many {
		node.tab.SetVersion(8)
	}
	// Nothing changes in the remaining hour, so one exchange a minute is enough to apply the time-outs.
	flt.interval = time.Minute
	flt.run(time.Hour, nil)
	flt.interval = ExchangeInterval
	flt.run(time.Minute, nil)

	check = flt.beginMeasuring(t, "regions joined")
	flt.cut = func(_, _ *fleetNode) bool { return false }
	start := flt.now
	var version time.Duration
	times, missing = flt.spread(10*time.Minute, few, many, func(node, other *fleetNode) bool {
		if version == 0 && len(flt.where(func(node *fleetNode) bool { return node.tab.self.Version < 8 })) == 0 {
			version = flt.now.Sub(start)
		}
		return live(node, other)
	})
	check()
	checkMost(t, "other side live", times, missing, 4*time.Minute)
	t.Logf("version in force on all after %v", version)
	if version == 0 || version > 30*time.Second {
		t.Errorf("got the version on all after %v; want 30s", version)
	}
}

// Guards against a member that resumes after the others declared it gone and stays gone for them, or declares them
// gone.
func TestFleetMemberWakes(t *testing.T) {
	flt := settled(t)
	asleep := flt.nodes[7:8]
	asleep[0].down = true
	flt.run(90*time.Second, nil)
	asleep[0].down = false
	check := flt.beginMeasuring(t, "member woke")
	times, missing := flt.spread(time.Minute, flt.nodes, asleep, live)
	check()
	checkWithin(t, "member live again", times, missing, 30*time.Second)
	times, missing = flt.spread(time.Minute, asleep, flt.nodes, live)
	checkWithin(t, "others live in the view of that member", times, missing, 30*time.Second)
}

// Guards against a notice of a leaving endpoint that takes more than 3 s to reach all daemons, which use the endpoint
// until then, and against a version that takes more than 4 s to reach daemons that cannot read the log.
func TestFleetHearsInTime(t *testing.T) {
	flt := settled(t)
	flt.forwardNotices = true
	flt.nodes[0].tab.AddNotice(flt.now, Notice{Endpoint: "engine-17", Since: flt.now})
	times, missing := flt.spread(10*time.Second, flt.nodes, flt.nodes[:1], func(node, _ *fleetNode) bool { return len(node.tab.notices) > 0 })
	checkWithin(t, "leaving endpoint", times, missing, 3*time.Second)

	cut := flt.where(func(node *fleetNode) bool { return node.region == 0 })
	for _, node := range flt.nodes {
		if node.region != 0 {
			node.tab.SetVersion(9)
		}
	}
	times, missing = flt.spread(10*time.Second, cut, flt.nodes[1:2], func(node, _ *fleetNode) bool { return node.tab.self.Version == 9 })
	checkWithin(t, "version without the log", times, missing, 4*time.Second)
}
