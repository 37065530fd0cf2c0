package main

import (
	"fmt"
	"math"
	"strings"
)

// target is a limit for a measure of the product's policy; the limit may depend on the best baseline's value.
type target struct {
	name     string
	scenario string
	format   string
	value    func(res result) float64
	// limit computes the limit from the best baseline's value and from the value of the product's policy in the scenario
	// load-0.6, which has no disturbance.
	limit func(best, alone float64) float64
	// higherIsBetter is true if the target is reached at or above the limit, false if at or below it.
	higherIsBetter bool
}

func fixedLimit(value float64) func(best, alone float64) float64 {
	return func(float64, float64) float64 { return value }
}

func fractionOfBest(part float64) func(best, alone float64) float64 {
	return func(best, _ float64) float64 { return best * part }
}

var targets = []target{
	{"first token p95 ms at 0.9", mainScenario, noDigit, func(res result) float64 { return res.firstP95 }, fixedLimit(1400), false},
	{"token gap p95 ms at 0.9", mainScenario, oneDigit, func(res result) float64 { return res.gapP95 }, fixedLimit(28), false},
	{"plain stall p99 ms at 1.2, a fifth of the best baseline's", "load-1.2", noDigit, func(res result) float64 { return res.plainStallP99 }, fractionOfBest(0.2), false},
	{"preemptions per 100 at 0.9, a quarter of the best baseline's", mainScenario, "%.3f", func(res result) float64 { return res.preemptions }, fractionOfBest(0.25), false},
	{"service at 0.6, not below the best baseline's", "load-0.6", serviceFormat, func(res result) float64 { return res.service }, fractionOfBest(1), true},
	{"service at 0.9, above the best baseline's", mainScenario, serviceFormat, func(res result) float64 { return res.service }, fractionOfBest(1), true},
	{"service at 1.2, above the best baseline's", "load-1.2", serviceFormat, func(res result) float64 { return res.service }, fractionOfBest(1), true},
	{"small organisations' p99 ms under a flood, 1.5 times without it", "flood", noDigit, func(res result) float64 { return res.smallFirstP99 },
		func(_, alone float64) float64 { return 1.5 * alone }, false},
}

// mainScenario is the scenario of most targets.
const mainScenario = "load-0.9"

const serviceFormat = "%.5f"

// targets returns a Markdown table of the targets and whether the mean over the seeds reaches them.
func (tbl *table) targets() string {
	var out strings.Builder
	out.WriteString("| target | deployment | papayacroft | limit | reached |\n|---|---|---|---|---|\n")
	for _, tgt := range targets {
		for _, dep := range deployments {
			results := tbl.results[dep.name+"/"+tgt.scenario+"/"+productPolicy.name]
			if len(results) == 0 {
				continue
			}
			got, _, _ := spread(results, tgt.value)
			alone, _, _ := spread(tbl.results[dep.name+"/load-0.6/"+productPolicy.name], tgt.value)
			limit := tgt.limit(tbl.bestBaseline(dep.name, tgt), alone)
			reached := got <= limit
			if tgt.higherIsBetter {
				reached = got >= limit
			}
			fmt.Fprintf(&out, "| %s | %s | "+tgt.format+" | "+tgt.format+" | %s |\n", tgt.name, dep.name, got, limit, yesNo(reached))
		}
	}
	return out.String()
}

func (tbl *table) bestBaseline(dep string, tgt target) float64 {
	best := math.NaN()
	for _, pol := range baselines {
		results := tbl.results[dep+"/"+tgt.scenario+"/"+pol.name]
		if len(results) == 0 {
			continue
		}
		mean, _, _ := spread(results, tgt.value)
		if math.IsNaN(best) || (mean < best) != tgt.higherIsBetter {
			best = mean
		}
	}
	return best
}

func yesNo(value bool) string {
	if value {
		return "yes"
	}
	return "**no**"
}
