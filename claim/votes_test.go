package claim_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"papayacroft/claim"
	"papayacroft/inventory"
	"papayacroft/membership"
	"papayacroft/peer"
	"papayacroft/provider"
	"papayacroft/standin"
)

const (
	measuredDaemons  = 8
	measuredDuration = 20 * time.Second
)

// countingLog is a log that counts the appends of all acquirers.
type countingLog struct {
	claim.Log
	mutex   sync.Mutex
	appends int
}

func (log *countingLog) Append(ctx context.Context, stream string, body []byte) (int64, error) {
	log.mutex.Lock()
	log.appends++
	log.mutex.Unlock()
	return log.Log.Append(ctx, stream, body)
}

// startAcquirers runs the acquirers of several daemons that reach each other over loopback.
func startAcquirers(b *testing.B, log claim.Log) []*claim.Acquirer {
	ctx, cancel := context.WithCancel(context.Background())
	var wgr sync.WaitGroup
	b.Cleanup(func() { cancel(); wgr.Wait() })
	var members []membership.Member
	var acquirers []*claim.Acquirer
	for number := range measuredDaemons {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		name := fmt.Sprint("entry-", number)
		acq := claim.NewAcquirer(log, name, lis.Addr().String())
		srv, clt := peer.NewServer(), peer.NewClient()
		srv.Logger = logrus.StandardLogger()
		srv.Handlers[claim.MethodAcquire] = acq.HandleAcquire
		acq.Peers = clt
		acquirers = append(acquirers, acq)
		members = append(members, membership.Member{Name: name, Address: lis.Addr().String(), Incarnation: name, State: membership.StateLive})
		b.Cleanup(clt.Close)
		wgr.Go(func() { _ = srv.Serve(ctx, lis) })
		wgr.Go(func() { acq.Run(ctx) })
	}
	for _, acq := range acquirers {
		acq.Members = func() []membership.Member { return members }
	}
	return acquirers
}

// BenchmarkVotes measures how long requests wait for their claims when they arrive at random at a given mean rate.
func BenchmarkVotes(b *testing.B) {
	for _, perSecond := range []float64{1, 50, 500} {
		b.Run(fmt.Sprintf("rate=%g", perSecond), func(b *testing.B) {
			for b.Loop() {
				measureVotes(b, perSecond)
			}
		})
	}
}

func measureVotes(b *testing.B, perSecond float64) {
	server := httptest.NewServer(standin.NewLog(400).Handler())
	defer server.Close()
	log := &countingLog{Log: provider.NewHTTPLog(server.URL)}
	acquirers := startAcquirers(b, log)
	var mutex sync.Mutex
	var latencies []time.Duration
	refused := 0
	vote := func(number int) {
		key := claim.KeyDigest(inventory.TeamRef{Organisation: "rimu", Team: "members"}, uuid.NewString())
		ctx, cancel := context.WithTimeout(context.Background(), claim.AcquireTimeout)
		defer cancel()
		started := time.Now()
		_, own, err := acquirers[number%len(acquirers)].Acquire(ctx, key, claim.BodyDigest("POST", "/ballots", nil), "")
		took := time.Since(started)
		mutex.Lock()
		defer mutex.Unlock()
		latencies = append(latencies, took)
		if err != nil || !own {
			refused++
		}
	}
	var wgr sync.WaitGroup
	rnd := rand.New(rand.NewPCG(1, 2))
	started := time.Now()
	due := started
	for number := 0; ; number++ {
		due = due.Add(time.Duration(rnd.ExpFloat64() / perSecond * float64(time.Second)))
		if due.Sub(started) > measuredDuration {
			break
		}
		time.Sleep(time.Until(due))
		wgr.Go(func() { vote(number) })
	}
	wgr.Wait()
	slices.Sort(latencies)
	millis := func(quantile float64) float64 {
		return float64(latencies[int(quantile*float64(len(latencies)-1))].Microseconds()) / 1000
	}
	b.ReportMetric(millis(0.5), "p50-ms")
	b.ReportMetric(millis(0.95), "p95-ms")
	b.ReportMetric(millis(0.99), "p99-ms")
	b.ReportMetric(millis(1), "max-ms")
	b.ReportMetric(float64(len(latencies)), "votes")
	b.ReportMetric(float64(refused), "refused")
	b.ReportMetric(float64(log.appends)/measuredDuration.Seconds(), "appends/s")
}
