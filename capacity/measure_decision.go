package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"papayacroft/inventory"
	"papayacroft/position"
	"papayacroft/routing"
)

var candidateSizes = []int{8, 31, 125, 500}

// measureDecision measures how the time of a routing decision grows with the number of engines that serve the model.
func measureDecision() ([]Slope, error) {
	slp := Slope{Name: "routing decision", Unit: "ns", Size: "candidate engine"}
	for _, size := range candidateSizes {
		idx := inventory.NewIndex(scaledConfiguration(10, size, 1))
		vew := routing.View{Index: idx, Statuses: routing.NewTracker(), FailureDomain: "domain-1"}
		rnd := rand.New(rand.NewPCG(1, 2))
		now := time.Now()
		result := testing.Benchmark(func(b *testing.B) {
			for i := range b.N {
				routing.Decide(now, rnd, vew, routing.Request{
					ID: "request", Team: inventory.TeamRef{Organisation: fmt.Sprintf("organisation-%d", i%10), Team: "team-0"},
					Model: "model-0", Class: scaleClass, PromptTokens: 100,
				})
			}
		})
		slp.add(float64(size), float64(result.NsPerOp()))
	}
	return []Slope{slp}, nil
}

// measurePosition measures how the time to serialize the positions of a stream grows with its tokens. The stream is
// signed once; each token's position appends its index.
func measurePosition() ([]Slope, error) {
	sgn := position.NewSigner([]byte("capacity-key-capacity-key-capacity-key"))
	stm := position.Stream{Generation: "4d1f4f80-7ad5-4c2f-9b1f-6d5f5f6d1d10", Endpoint: "engine-1", Model: "model-1", Class: scaleClass, Deadline: time.Now()}
	slp := Slope{Name: "positions of one stream", Unit: "ns", Size: "token"}
	for _, tokens := range []int{1, 100, 1000} {
		result := testing.Benchmark(func(b *testing.B) {
			for range b.N {
				signed, err := sgn.SerializeStream(stm)
				if err != nil {
					b.Fatal(err)
				}
				for index := range tokens {
					position.Serialize(signed, index)
				}
			}
		})
		slp.add(float64(tokens), float64(result.NsPerOp()))
	}
	return []Slope{slp}, nil
}

func median(times []time.Duration) time.Duration {
	slices.Sort(times)
	return times[len(times)/2]
}
