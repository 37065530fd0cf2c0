package gateway_test

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// limitWindow is the span over which an endpoint's limit is judged. It may get limitFactor times what its limit allows,
// and limitExtra requests more.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitExtra  = 5
)

// runLimit runs commands for endpoints that name a limit of requests a second; it returns false for other commands.
func (sit *site) runLimit(args []string) bool {
	switch args[0] {
	case "limit": // limit ENGINE PER_SECOND|none: the endpoint names this limit from now on, or none
		sit.engines[args[1]].SetRateLimit(strings.ReplaceAll(args[2], "none", ""))
	case "flood": // flood NAME ROUTE PER_SECOND DURATION DAEMON...: sends calls to the daemons in turn and waits for their ends
		sit.flood(args[1], args[2], sit.number(args[3]), sit.duration(args[4]), args[5:])
	case "stopPermits": // stopPermits ENGINE: ends the daemon that hands out the permits for the endpoint
		for name, dmn := range sit.daemons {
			if dmn.Exchange.Assigned(args[1]) == name {
				dmn.stop()
				dmn.kill()
				sit.stopped = name
			}
		}
		if sit.stopped == "" {
			sit.fatalf("got no daemon that hands out permits, want one")
		}
	case "count": // count: runs count from now on
		sit.countedFrom = time.Now()
	case "within": // within ENGINE PER_SECOND: no span of limitWindow has more runs than the limit allows
		sit.checkWithin(args[1], float64(sit.number(args[2])))
	case "gets": // gets ENGINE COUNT: the endpoint got at least so many counted runs
		if got, want := len(sit.countedRuns(args[1])), sit.number(args[2]); got < want {
			sit.fatalf("got %d runs, want %d at least", got, want)
		}
	case "served": // served FLOOD COUNT: at least so many calls got status 200, all others 503 with a Retry-After
		sit.checkServed(args[1], sit.number(args[2]))
	default:
		return false
	}
	return true
}

func (sit *site) flood(name, route string, perSecond int, dur time.Duration, daemons []string) {
	// $answering stands for all daemons that have not been ended by stopPermits.
	if daemons[0] == "$answering" {
		daemons = slices.DeleteFunc(slices.Sorted(maps.Keys(sit.daemons)), func(name string) bool { return name == sit.stopped })
	}
	began := time.Now()
	for number := range int(dur.Seconds() * float64(perSecond)) {
		call := fmt.Sprintf("%s%d", name, number)
		sit.floods[name] = append(sit.floods[name], call)
		sit.startPrompt(call, daemons[number%len(daemons)], "/"+route+"/"+strconv.Itoa(number), "", nil)
		time.Sleep(time.Until(began.Add(time.Duration(number+1) * time.Second / time.Duration(perSecond))))
	}
	for _, call := range sit.floods[name] {
		sit.finished(call)
	}
}

// countedRuns returns the times of an endpoint's runs since the command count.
func (sit *site) countedRuns(engine string) []time.Time {
	var times []time.Time
	for _, run := range sit.engines[engine].Runs() {
		if run.At.After(sit.countedFrom) {
			times = append(times, run.At)
		}
	}
	return times
}

func (sit *site) checkWithin(engine string, perSecond float64) {
	times := sit.countedRuns(engine)
	most := limitFactor*perSecond*limitWindow.Seconds() + limitExtra
	for from, first := range times {
		count := 0
		for _, at := range times[from:] {
			if at.Sub(first) < limitWindow {
				count++
			}
		}
		if float64(count) > most {
			sit.fatalf("got %d runs in %s, want %.0f at most", count, limitWindow, most)
		}
	}
}

func (sit *site) checkServed(name string, want int) {
	got := 0
	for _, call := range sit.floods[name] {
		cal := sit.finished(call)
		switch {
		case cal.status == http.StatusOK:
			got++
		case cal.status != http.StatusServiceUnavailable || cal.retryAfter == "":
			sit.fatalf("got status %d (%s, %v) with Retry-After %q, want 200, or 503 with one", cal.status, cal.body, cal.err, cal.retryAfter)
		}
	}
	if got < want {
		sit.fatalf("got %d calls served, want %d at least", got, want)
	}
}
