package gateway_test

import (
	"strconv"
	"strings"
	"time"
)

// The bound of a cold endpoint: in each coldWindow it may get coldOverage times the requests that it sustains, and coldSlack
// more.
const (
	coldWindow  = time.Second
	coldOverage = 1.5
	coldSlack   = 5
)

// runCold runs commands for endpoints that are cold, or that ask for a pause; it returns false for other commands.
func (sit *site) runCold(args []string) bool {
	switch args[0] {
	case "coldEntry": // coldEntry ENGINE DURATION: its entry says from now on that it is cold for so long
		sit.engines[args[1]].coldUntil = time.Now().Add(sit.duration(args[2]))
		sit.beat(args[1], "ready")
	case "coldAnswers": // coldAnswers ENGINE DURATION: its answers say from now on that it is cold for so long
		sit.engines[args[1]].SetCold(sit.duration(args[2]))
	case "coldAt": // coldAt ENGINE: waits until all daemons have an entry that says that it is cold
		for _, dmn := range sit.daemons {
			sit.await("the entry", func() bool { return time.Now().Before(dmn.Control.Snapshot().Fleet.Endpoints[args[1]].WarmAt) })
		}
	case "withinCold": // withinCold ENGINE PER_SECOND: no second has more runs since count than the bound of a cold endpoint allows
		sit.checkWithinCold(args[1], sit.number(args[2]))
	case "pause": // pause ENGINE SECONDS|none: its refusals ask for such a pause
		sit.engines[args[1]].SetPause(strings.ReplaceAll(args[2], "none", ""))
	case "refused": // refused ENGINE COUNT: it has refused at most so many requests since half a second after count
		got := 0
		for _, at := range sit.engines[args[1]].Refused() {
			if at.Sub(sit.countedFrom) > 500*time.Millisecond {
				got++
			}
		}
		if want := sit.number(args[2]); got > want {
			sit.fatalf("got %d requests, want %d at most", got, want)
		}
	case "retryWithin": // retryWithin CALL MIN MAX: the answer's Retry-After in seconds is between these
		cal := sit.finished(args[1])
		got, err := strconv.ParseFloat(cal.retryAfter, 64)
		least, _ := strconv.ParseFloat(args[2], 64)
		most, _ := strconv.ParseFloat(args[3], 64)
		if err != nil || got < least || got > most {
			sit.fatalf("got Retry-After %q, status %d, want %g to %g", cal.retryAfter, cal.status, least, most)
		}
	default:
		return false
	}
	return true
}

func (sit *site) checkWithinCold(engine string, perSecond int) {
	times := sit.countedRuns(engine)
	most := int(coldOverage*float64(perSecond) + coldSlack)
	for from, first := range times {
		count := 0
		for _, at := range times[from:] {
			if at.Sub(first) < coldWindow {
				count++
			}
		}
		if count > most {
			sit.fatalf("got %d runs in %s, want %d at most", count, coldWindow, most)
		}
	}
}
