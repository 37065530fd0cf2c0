package main

import (
	"fmt"
	"math"
	"strings"
)

// measure is a column of the tables.
type measure struct {
	name   string
	format string
	value  func(res result) float64
}

var measures = []measure{
	{"plain stall p99 ms", noDigit, func(res result) float64 { return res.plainStallP99 }},
	{"plain refused %", oneDigit, func(res result) float64 { return 100 * res.refusedPlain }},
	{"preemptions per 100", twoDigits, func(res result) float64 { return res.preemptions }},
	{"dearest class preempted per 100", twoDigits, func(res result) float64 { return res.topWorthPreemptions }},
	{"token gap p95 ms", oneDigit, func(res result) float64 { return res.gapP95 }},
	{"token gap p99 ms", oneDigit, func(res result) float64 { return res.gapP99 }},
	{"mean gap of request p95 ms", oneDigit, func(res result) float64 { return res.requestGapP95 }},
	{"first token p95 ms", noDigit, func(res result) float64 { return res.firstP95 }},
	{"engine stall p99 ms", noDigit, func(res result) float64 { return res.stallP99 }},
	{"engine refused %", oneDigit, func(res result) float64 { return 100 * res.refusedEngine }},
	{"service", "%.4f", func(res result) float64 { return res.service }},
	{"small p99 ms", noDigit, func(res result) float64 { return res.smallFirstP99 }},
	{"memory use", twoDigits, func(res result) float64 { return res.memoryUse }},
}

// The formats of the columns.
const (
	noDigit   = "%.0f"
	oneDigit  = "%.1f"
	twoDigits = "%.2f"
)

// table holds the results, one per seed, by deployment/scenario/policy.
type table struct {
	results map[string][]result
}

func newTable(results map[string][]result) *table {
	return &table{results}
}

// firstOf returns a table of the results of the first seeds only.
func (tbl *table) firstOf(seeds int) *table {
	few := newTable(map[string][]result{})
	for key, results := range tbl.results {
		few.results[key] = results[:min(seeds, len(results))]
	}
	return few
}

// tradeOffs returns a Markdown table that shows how preemptions and service depend on the memory margin.
func (tbl *table) tradeOffs() string {
	var out strings.Builder
	out.WriteString("| deployment | policy | preemptions per 100 | service lost per 100,000 | first token p95 ms |\n|---|---|---|---|---|\n")
	for _, dep := range deployments {
		for _, pol := range append(marginPolicies(), baselines...) {
			results := tbl.results[dep.name+"/"+mainScenario+"/"+pol.name]
			if len(results) == 0 {
				continue
			}
			fmt.Fprintf(&out, "| %s | %s |", dep.name, pol.name)
			for _, mea := range []measure{
				{"", "%.3f", func(res result) float64 { return res.preemptions }},
				{"", oneDigit, func(res result) float64 { return 1e5 * (1 - res.service) }},
				{"", noDigit, func(res result) float64 { return res.firstP95 }},
			} {
				mean, least, most := spread(results, mea.value)
				fmt.Fprintf(&out, " "+mea.format+" ("+mea.format+"–"+mea.format+") |", mean, least, most)
			}
			out.WriteString("\n")
		}
	}
	return out.String()
}

// spread returns the mean, the least and the largest value over the seeds.
func spread(results []result, value func(res result) float64) (mean, least, most float64) {
	least, most = math.Inf(1), math.Inf(-1)
	for _, res := range results {
		val := value(res)
		mean += val / float64(len(results))
		least, most = min(least, val), max(most, val)
	}
	return mean, least, most
}

// text returns one Markdown table per deployment and scenario; brackets hold the least and largest value over the
// seeds.
func (tbl *table) text() string {
	var out strings.Builder
	for _, dep := range deployments {
		for _, scn := range scenarios {
			out.WriteString(tbl.scenario(dep.name, scn.name))
		}
	}
	return out.String()
}

func (tbl *table) scenario(dep, scn string) string {
	var rows strings.Builder
	for _, pol := range append(append(append([]policy{}, baselines...), productPolicy), ablations...) {
		results := tbl.results[dep+"/"+scn+"/"+pol.name]
		if len(results) == 0 {
			continue
		}
		fmt.Fprintf(&rows, "| %s |", pol.name)
		for _, mea := range measures {
			mean, least, most := spread(results, mea.value)
			fmt.Fprintf(&rows, " "+mea.format+" ("+mea.format+"–"+mea.format+") |", mean, least, most)
		}
		rows.WriteString("\n")
	}
	if rows.Len() == 0 {
		return ""
	}
	var out strings.Builder
	fmt.Fprintf(&out, "### %s, %s\n\n| policy |", dep, scn)
	for _, mea := range measures {
		fmt.Fprintf(&out, " %s |", mea.name)
	}
	out.WriteString("\n|---|" + strings.Repeat("---|", len(measures)) + "\n")
	return out.String() + rows.String() + "\n"
}
