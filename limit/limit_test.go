package limit

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"papayacroft/inventory"
)

var begin = time.Unix(10_000, 0)

func testConfiguration(limits inventory.Limits) *inventory.Configuration {
	organisation := func(name string) inventory.Organisation {
		return inventory.Organisation{Name: name, Limits: limits, Teams: []inventory.Team{{Name: "members"}}}
	}
	return &inventory.Configuration{Organisations: map[string]inventory.Organisation{"rimu": organisation("rimu"), "nikau": organisation("nikau")}}
}

// cluster is a set of daemons that share limits; one Owner grants the shares of all organisations.
type cluster struct {
	now      time.Time
	cfg      *inventory.Configuration
	idx      *inventory.Index
	owner    *Owner
	limiters []*Limiter
	cutOff   map[int]bool
}

func newCluster(nodes int, limits inventory.Limits) *cluster {
	cfg := testConfiguration(limits)
	clu := &cluster{now: begin, cfg: cfg, idx: inventory.NewIndex(cfg), owner: NewOwner(), cutOff: map[int]bool{}}
	for range nodes {
		clu.join()
	}
	return clu
}

func (clu *cluster) join() {
	lim := NewLimiter()
	lim.Nodes = func() Nodes { return Nodes{Live: len(clu.limiters), All: len(clu.limiters)} }
	clu.limiters = append(clu.limiters, lim)
}

// run offers each daemon a rate of requests for one period and returns the admitted rates.
func (clu *cluster) run(organisation string, offered []float64) []float64 {
	const step = 10 * time.Millisecond
	admitted := make([]float64, len(offered))
	due := make([]float64, len(offered))
	ref := inventory.TeamRef{Organisation: organisation, Team: "members"}
	for range int(Period / step) {
		clu.now = clu.now.Add(step)
		for i, perSecond := range offered {
			for due[i] += perSecond * step.Seconds(); due[i] >= 1; due[i]-- {
				if permit, denial := clu.limiters[i].Acquire(clu.now, clu.idx, ref); denial == nil {
					permit.Release()
					admitted[i] += 1 / Period.Seconds()
				}
			}
		}
	}
	return admitted
}

func (clu *cluster) exchange() {
	nodes := Nodes{Live: len(clu.limiters), All: len(clu.limiters)}
	until := clu.owner.Over(clu.now)
	over := func(organisation string) bool { return clu.now.Before(until[organisation]) }
	for i, lim := range clu.limiters {
		req := ShareRequest{Node: fmt.Sprint(i), Reports: lim.Reports(clu.now, lim.Candidates(clu.now, over))}
		if clu.cutOff[i] {
			lim.RequestFailed(clu.now, req)
		} else {
			lim.Apply(clu.now, clu.now, "owner", req, clu.owner.Grant(clu.now, clu.cfg, nodes, req))
		}
		lim.Expire(clu.now, over)
	}
}

// shareSum adds up the shares that the daemons apply now.
func (clu *cluster) shareSum(organisation string) (sum Share) {
	for _, lim := range clu.limiters {
		if sub := lim.subjects[organisation]; sub != nil {
			sum.Rate += sub.share.Rate
			sum.Concurrent += sub.share.Concurrent
		}
	}
	return sum
}

func total(rates []float64) (sum float64) {
	for _, one := range rates {
		sum += one
	}
	return sum
}

// Guards against refusals below an organisation's limit when a load balancer spreads its requests unevenly over the
// daemons, and against admitting more than the limit.
func TestUnevenBalancingUsesTheLimit(t *testing.T) {
	clu := newCluster(8, inventory.Limits{RequestsPerSecond: 80})
	offered := []float64{70, 20, 2, 2, 2, 2, 2, 0}
	for range 4 {
		clu.run("rimu", offered)
		clu.exchange()
	}
	if got := total(clu.run("rimu", offered)); got < 72 || got > 81 {
		t.Errorf("got %.1f requests/s admitted; want between 72 and 81 of a limit of 80", got)
	}
}

// Guards against refusals of one organisation's requests because another exceeds its own limit.
func TestFloodLeavesShareOfOtherOrganisations(t *testing.T) {
	clu := newCluster(4, inventory.Limits{RequestsPerSecond: 40})
	withinLimit := []float64{8.01, 8.01, 8.01, 8.01}
	for range 4 {
		clu.run("rimu", []float64{1000, 1000, 1000, 1000})
		if got := total(clu.run("nikau", withinLimit)); got < 31 {
			t.Errorf("got %.1f requests/s of the organisation within its limit; want 32", got)
		}
		clu.exchange()
	}
}

// Guards against a daemon that gets no fair share after it joins, and against shares that add up to more than the
// limit and the static share of the joining daemon.
func TestJoiningMember(t *testing.T) {
	clu := newCluster(3, inventory.Limits{RequestsPerSecond: 60, Concurrent: 12})
	offered := []float64{100, 100, 100}
	for range 4 {
		clu.run("rimu", offered)
		clu.exchange()
	}
	clu.join()
	offered = append(offered, 100)
	for range 6 {
		clu.run("rimu", offered)
		if sum := clu.shareSum("rimu"); sum.Rate > 60+15+0.001 || sum.Concurrent > 12+3 {
			t.Errorf("got shares of %+v; want at most the limit and the joining daemon's static share", sum)
		}
		clu.exchange()
	}
	if got := clu.limiters[3].subjects["rimu"].share; math.Abs(got.Rate-15) > 0.001 || got.Concurrent != 3 {
		t.Errorf("got share %+v of the daemon that joined; want a quarter", got)
	}
}

// Guards against a daemon that keeps its granted share although it does not reach the new owner after the old one was
// lost, and against a new owner that grants again what the old one had granted.
func TestOwnerLost(t *testing.T) {
	clu := newCluster(4, inventory.Limits{RequestsPerSecond: 40})
	offered := []float64{100, 1, 1, 1}
	for range 4 {
		clu.run("rimu", offered)
		clu.exchange()
	}
	clu.owner = NewOwner()
	clu.owner.Observe(clu.now, "others", func(string) bool { return true })
	// One daemon does not reach the new owner and returns to its static share.
	clu.cutOff[0] = true
	for range 6 {
		clu.run("rimu", offered)
		clu.exchange()
		if sum := clu.shareSum("rimu"); sum.Rate > 40+10+0.001 {
			t.Errorf("got shares of %.1f requests/s; want at most the limit of 40 and one static share", sum.Rate)
		}
	}
	if got := clu.limiters[0].subjects["rimu"].share.Rate; got != 10 {
		t.Errorf("got share %.1f of the daemon without owner; want the static 10", got)
	}
}

// Guards against owners on both sides of a partition that each grant the whole limit.
func TestPartition(t *testing.T) {
	limits := inventory.Limits{RequestsPerSecond: 40, Concurrent: 8}
	sum := Share{}
	for half := range 2 {
		own := NewOwner()
		nodes := Nodes{Live: 4, All: 8}
		for round := range 4 {
			sum = Share{Rate: sum.Rate * float64(half), Concurrent: sum.Concurrent * half}
			for i := range 4 {
				rep := own.Grant(begin.Add(time.Duration(round)*Period), testConfiguration(limits), nodes,
					ShareRequest{Node: fmt.Sprint(half, i), Reports: []Report{{Subject: "rimu", Wanted: Share{100, 100}}}})
				if round == 3 {
					sum.Rate += rep.Shares[0].Rate
					sum.Concurrent += rep.Shares[0].Concurrent
				}
			}
		}
	}
	if sum.Rate > 40.001 || sum.Concurrent > 8 {
		t.Errorf("got shares of %+v in both halves; want at most %+v", sum, limits)
	}
}

// Guards against unexpired grants that add up to more than the limit when reports arrive in any order and replies
// get lost.
func TestGrantsStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limits := inventory.Limits{RequestsPerSecond: rapid.Float64Range(0.1, 1000).Draw(rt, "rate"), Concurrent: rapid.IntRange(1, 50).Draw(rt, "concurrent")}
		own, cfg, now := NewOwner(), testConfiguration(limits), begin
		held := map[int]Share{}
		expires := map[int]time.Time{}
		for range rapid.IntRange(1, 40).Draw(rt, "reports") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "wait")) * time.Millisecond)
			node := rapid.IntRange(0, 4).Draw(rt, "node")
			rep := Report{Subject: "rimu", Wanted: Share{rapid.Float64Range(0, 2000).Draw(rt, "demand"), rapid.IntRange(0, 60).Draw(rt, "wanted")}}
			if share, ok := held[node]; ok && now.Before(expires[node]) {
				rep.Held = &share
			}
			reply := own.Grant(now, cfg, Nodes{Live: 5, All: 5}, ShareRequest{Node: fmt.Sprint(node), Reports: []Report{rep}})
			if rapid.Bool().Draw(rt, "answered") {
				held[node], expires[node] = *reply.Shares[0], now.Add(lifetime(reply.reportInterval()))
			}
			var sum Share
			for one, share := range held {
				if now.Before(expires[one]) {
					sum.Rate += share.Rate
					sum.Concurrent += share.Concurrent
				}
			}
			if sum.Rate > limits.RequestsPerSecond*1.000001 || sum.Concurrent > limits.Concurrent {
				rt.Fatalf("got shares of %+v; want at most %+v", sum, limits)
			}
		}
	})
}

// Guards against a concurrency limit that ignores requests in flight or still counts requests that have ended.
func TestConcurrent(t *testing.T) {
	clu := newCluster(1, inventory.Limits{Concurrent: 2})
	ref := inventory.TeamRef{Organisation: "rimu", Team: "members"}
	first, _ := clu.limiters[0].Acquire(begin, clu.idx, ref)
	_, _ = clu.limiters[0].Acquire(begin, clu.idx, ref)
	if _, denial := clu.limiters[0].Acquire(begin, clu.idx, ref); denial == nil || denial.RetryAfterSeconds < 1 {
		t.Fatalf("got denial %+v of a third request; want one with a pause", denial)
	}
	first.Release()
	if _, denial := clu.limiters[0].Acquire(begin, clu.idx, ref); denial != nil {
		t.Fatalf("got denial %+v after a request ended; want none", denial)
	}
}

// BenchmarkAcquire measures the check of one request without a limit, admitted and refused, each on one goroutine
// and contended by all cores.
func BenchmarkAcquire(b *testing.B) {
	ref := inventory.TeamRef{Organisation: "rimu", Team: "members"}
	for name, limits := range map[string]inventory.Limits{
		"unlimited": {}, "admitted": {RequestsPerSecond: 1e9, Concurrent: 1e9}, "refused": {RequestsPerSecond: 1e-9},
	} {
		check := func(clu *cluster) {
			permit, _ := clu.limiters[0].Acquire(begin, clu.idx, ref)
			permit.Release()
		}
		b.Run(name+"/alone", func(b *testing.B) {
			clu := newCluster(1, limits)
			for b.Loop() {
				check(clu)
			}
		})
		b.Run(name+"/contended", func(b *testing.B) {
			clu := newCluster(1, limits)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					check(clu)
				}
			})
		})
	}
}

// BenchmarkShareMessage reports the bytes of one organisation in a share request and reply.
func BenchmarkShareMessage(b *testing.B) {
	const organisations = 1000
	for b.Loop() {
		req := ShareRequest{Node: "01890000-0000-7000-8000-000000000000"}
		var rep ShareReply
		for i := range organisations {
			name := fmt.Sprintf("society-%04d", i)
			share := Share{Rate: 12.375, Concurrent: 16}
			req.Reports = append(req.Reports, Report{Subject: name, Wanted: Share{11.5, 9}, Held: &share})
			rep.Shares = append(rep.Shares, &share)
		}
		sent, _ := json.Marshal(req)
		received, _ := json.Marshal(rep)
		b.ReportMetric(float64(len(sent))/organisations, "requestBytes/org")
		b.ReportMetric(float64(len(received))/organisations, "replyBytes/org")
	}
}

// Guards against reports of organisations whose demand is within the static share of each daemon: they would cost
// each daemon a message for each organisation.
func TestNoReportsWithinStaticShare(t *testing.T) {
	clu := newCluster(8, inventory.Limits{RequestsPerSecond: 80, Concurrent: 80})
	for range 4 {
		clu.run("rimu", []float64{9, 9, 9, 9, 9, 9, 9, 9})
		for i, lim := range clu.limiters {
			if got := lim.Candidates(clu.now, func(string) bool { return false }); len(got) > 0 {
				t.Fatalf("got %v to report of daemon %d; want nothing within the static share of 10", got, i)
			}
		}
	}
}

// Guards against daemons that use more than their static shares in a small or partitioned deployment, or while the
// organisation is over its limit.
func TestOvercommittedShare(t *testing.T) {
	limits := inventory.Limits{RequestsPerSecond: 100}
	for nodes, want := range map[Nodes]float64{
		{Live: 8, All: 8}: 12.5, {Live: 100, All: 100}: 4, {Live: 91, All: 100}: 4, {Live: 50, All: 100}: 1, {Live: 0, All: 100}: 1,
	} {
		if got := OvercommittedShare(limits, nodes).Rate; got != want {
			t.Errorf("got share %.2f of %+v; want %.2f", got, nodes, want)
		}
	}
	clu := newCluster(1, limits)
	clu.limiters[0].Nodes = func() Nodes { return Nodes{Live: 100, All: 100} }
	clu.run("rimu", []float64{1})
	clu.limiters[0].Expire(clu.now, func(string) bool { return true })
	if got := clu.limiters[0].subjects["rimu"].share.Rate; got != 1 {
		t.Errorf("got share %.2f of an organisation over its limit; want the static 1", got)
	}
}

// Guards against a daemon that does not report its granted share to a new owner because its demand has fallen below
// its static share.
func TestHeldSharesAreReportedToNewOwner(t *testing.T) {
	clu := newCluster(8, inventory.Limits{RequestsPerSecond: 80})
	for range 4 {
		clu.run("rimu", []float64{70})
		clu.exchange()
	}
	clu.run("rimu", []float64{1})
	lim := clu.limiters[0]
	lim.ReportToNewOwners(func(string) string { return "another" })
	reports := lim.Reports(clu.now, lim.Candidates(clu.now, func(string) bool { return false }))
	if len(reports) != 1 || reports[0].Held == nil || reports[0].Held.Rate < 60 {
		t.Errorf("got reports %+v; want the held share", reports)
	}
}

// Guards against a daemon that stays at its static share because it never resumes reports of an organisation after
// several reports without demand.
func TestReportsResumeAfterIdlePeriods(t *testing.T) {
	clu := newCluster(2, inventory.Limits{RequestsPerSecond: 20})
	for _, rate := range []float64{40, 40, 40, 0, 0, 0, 0, 0, 0, 0, 0, 40, 40, 40, 40} {
		clu.run("rimu", []float64{rate})
		clu.exchange()
	}
	if got := clu.limiters[0].subjects["rimu"].share.Rate; got < 19.9 {
		t.Errorf("got share %.1f after periods without demand; want the limit of 20", got)
	}
}
