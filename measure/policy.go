package main

import (
	"math/rand/v2"
	"slices"

	"papayacroft/endpoint"
	"papayacroft/routing"
)

// policy is a routing policy. A baseline sends each request immediately; the product's policy queues requests and
// reserves engine memory for them.
type policy struct {
	name string
	// choose is the endpoint choice of a baseline; it is nil for the product's policy and its ablations.
	choose func(nod *node, names []string, rnd *rand.Rand) string
	// The fields from here to memoryMargin switch off or change mechanisms of the product's policy in ablations.
	without       routing.Mechanisms
	sample        int
	fixedLevel    float64
	unfair        bool
	noAgeing      bool
	worthPriority bool
	noWindow      bool
	memoryMargin  float64
	// allSeeds runs an ablation with as many seeds as the product's policy, not with ablationSeeds at most.
	allSeeds bool
	// scenarios lists the scenarios in which an ablation runs, separated by spaces.
	scenarios string
}

// seeds returns the number of seeds that an ablation runs with, given the number for the product's policy.
func (pol *policy) seeds(all int) int {
	if pol.allSeeds {
		return all
	}
	return min(all, ablationSeeds)
}

var baselines = []policy{
	{name: "round robin", choose: func(nod *node, names []string, _ *rand.Rand) string {
		nod.roundRobinTurn++
		return names[nod.roundRobinTurn%len(names)]
	}},
	{name: "least in flight", choose: func(nod *node, names []string, rnd *rand.Rand) string {
		return leastLoaded(names, rnd, func(name string) int { return nod.tracker.Status(name).InFlight })
	}},
	{name: "least reported load", choose: func(nod *node, names []string, rnd *rand.Rand) string {
		return leastLoaded(names, rnd, func(name string) int { return reportedLoad(nod.tracker.Status(name).Load) })
	}},
	{name: "power of two", choose: func(nod *node, names []string, rnd *rand.Rand) string {
		two := []string{names[rnd.IntN(len(names))], names[rnd.IntN(len(names))]}
		return leastLoaded(two, rnd, func(name string) int { return reportedLoad(nod.tracker.Status(name).Load) })
	}},
}

// productPolicy is papayacroft's own routing and admission with all mechanisms.
var productPolicy = policy{name: "papayacroft"}

// productMargin is the part of an engine's memory that the product never reserves.
const productMargin = 0.08

// highLoadScenarios are the scenarios in which most ablations run.
const highLoadScenarios = "load-0.9 load-1.2"

// ablations are variants of the product's policy, each with one mechanism switched off or changed.
var ablations = []policy{
	{name: "without reservation", without: routing.Mechanisms{Memory: true}, scenarios: "load-0.9 load-1.2 flood"},
	{name: "fixed level 0.85", fixedLevel: 0.85, scenarios: highLoadScenarios},
	{name: "without correction", without: routing.Mechanisms{Correction: true}, scenarios: "load-0.9 load-1.2 flood"},
	{name: "without interval", without: routing.Mechanisms{Interval: true}, scenarios: "load-0.9 slow-engine"},
	{name: "without prefix", without: routing.Mechanisms{Prefix: true}, scenarios: "load-0.6 load-0.9"},
	{name: "without fairness", unfair: true, scenarios: "load-1.2 flood"},
	{name: "without ageing", noAgeing: true, scenarios: "load-1.2 flood"},
	{name: "engine priority by worth", worthPriority: true, scenarios: highLoadScenarios},
	{name: "without service window", noWindow: true, scenarios: highLoadScenarios},
	{name: "sample 2", sample: 2, scenarios: highLoadScenarios},
	{name: "sample 10", sample: 10, scenarios: highLoadScenarios},
	{name: "memory margin 4%", memoryMargin: 0.04, scenarios: mainScenario, allSeeds: true},
	{name: "memory margin 6%", memoryMargin: 0.06, scenarios: mainScenario, allSeeds: true},
	{name: "memory margin 10%", memoryMargin: 0.10, scenarios: mainScenario, allSeeds: true},
	{name: "memory margin 14%", memoryMargin: 0.14, scenarios: mainScenario, allSeeds: true},
}

// marginPolicies lists the product's policy and the ablations that change only the memory margin, by ascending margin.
func marginPolicies() []policy {
	all := []policy{}
	for _, pol := range ablations {
		if pol.memoryMargin > 0 {
			all = append(all, pol)
		}
	}
	pos := slices.IndexFunc(all, func(pol policy) bool { return pol.memoryMargin > productMargin })
	return slices.Insert(all, pos, productPolicy)
}

// reportedLoad is the value by which baselines compare endpoints: mostly the used memory of engines and the number of
// calls at plain services. A waiting request weighs as much as 1,000 used tokens or running requests.
func reportedLoad(lod endpoint.Load) int {
	return lod.UsedTokens + 1000*lod.Waiting + lod.Running
}

// leastLoaded returns the name with the smallest value; ties are broken at random.
func leastLoaded(names []string, rnd *rand.Rand, value func(name string) int) string {
	shuffled := slices.Clone(names)
	rnd.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	return slices.MinFunc(shuffled, func(one, two string) int { return value(one) - value(two) })
}
