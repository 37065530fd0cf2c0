package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"papayacroft/catalog"
	"papayacroft/dispatch"
)

// BenchmarkPass is a pass over waiting requests that fit nowhere, at a daemon that uses 16 of 60 engines with 16 users each.
func BenchmarkPass(b *testing.B) {
	for _, waiting := range []int{4, 256} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			now, rnd := time.Unix(1_700_000_000, 0), rand.New(rand.NewPCG(1, 1))
			dec := newDecisions(&decisionCase{})
			dec.vew.Preferred = map[string]bool{}
			for i := range 60 {
				id := fmt.Sprint("e", i)
				dec.vew.Fleet.Endpoints[id] = catalog.Endpoint{ID: id, Service: "pool", State: catalog.StateReady, Slots: engineSlots}
				dec.vew.Preferred[id] = i < 16
				for peer := range 15 {
					usage := dispatch.Usage{Flights: 1, Tokens: 1700, Prefill: 100 * (peer % 3)}
					dec.sch.Balancer.SetPeerUsage(now, fmt.Sprint("d", peer), map[string]dispatch.Usage{id: usage})
				}
			}
			for i := range waiting {
				tkt := (&decisionTicket{ID: fmt.Sprint(i), Tokens: 3000 + rnd.IntN(1000), Prompt: 3000, Priority: i % 3, Deadline: 60}).ticket(now)
				tkt.Organisation = fmt.Sprint(i % 24)
				dec.sch.Submit(now, rnd, dec.vew, tkt)
			}
			b.ReportAllocs()
			for b.Loop() {
				dec.sch.Pass(now, rnd, dec.vew)
			}
			b.ReportMetric(float64(dec.sch.Queue.Len()), "waiting")
		})
	}
}
