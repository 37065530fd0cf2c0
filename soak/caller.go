package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"papayacroft/standin"
)

const (
	// callDeadline is the time after which a caller gives up its call; it is also the timeout of the routes.
	callDeadline = 8 * time.Second
	// maxPause is the longest pause between two calls of a caller.
	maxPause = 250 * time.Millisecond
	// abandonShare is the share of streams that the caller abandons before their end.
	abandonShare = 0.08
	// Most streams have up to maxEvents events; longShare of them have up to maxLongEvents, which take most of callDeadline.
	maxEvents     = 150
	longShare     = 0.4
	maxLongEvents = 450
	// stayShare is the share of 503 responses after which the caller sends its next request to the same daemon.
	stayShare = 0.5
)

var routes = []string{"once", "again", "long", "short"}

// call is one request of a caller with its result.
type call struct {
	id, route, key string
	daemon         *daemon
	sent, ended    time.Time
	status         int
	body           string
	// events are the ids of the events received; wanted is the number of events requested.
	events []int
	wanted int
	// foreign is true if an event has a malformed id or belongs to another request.
	foreign bool
	// complete is true if the response was read to its end without an error.
	complete bool
	// abandoned is true if the caller cancels the call after a random time, which is mostly before its stream ends.
	abandoned bool
	err       error
	signature string
}

// isStream reports whether the route responds with a stream of events.
func (cal *call) isStream() bool {
	return cal.route == "long" || cal.route == "short"
}

// repeatable reports whether a daemon may send the request to an endpoint again after a failure.
func (cal *call) repeatable() bool {
	return cal.route == "again" || cal.route == "short"
}

// runCaller sends one call after another to a daemon, over one connection as long as the daemon keeps it open. It chooses
// another daemon after an error, and in half of the cases after a 503 response, so that a stopping daemon has callers until
// its end.
func (wld *world) runCaller(ctx context.Context, number uint64) {
	rnd := rand.New(rand.NewPCG(wld.seed, number+1))
	trn := &http.Transport{MaxIdleConnsPerHost: 1}
	defer trn.CloseIdleConnections()
	dmn := wld.daemons[rnd.IntN(len(wld.daemons))]
	for count := 0; ctx.Err() == nil; count++ {
		cal := &call{id: fmt.Sprintf("c%d-%d", number, count), route: routes[rnd.IntN(len(routes))], key: "one", daemon: dmn}
		if rnd.IntN(3) == 0 {
			cal.key = "two"
		}
		callCtx, cancel := context.WithTimeout(context.Background(), callDeadline)
		if cal.isStream() {
			cal.wanted = 1 + rnd.IntN(maxEvents)
			if rnd.Float64() < longShare {
				cal.wanted = 1 + rnd.IntN(maxLongEvents)
			}
			if rnd.Float64() < abandonShare {
				cal.abandoned = true
				callCtx, cancel = context.WithTimeout(context.Background(), time.Duration(rnd.Int64N(int64(time.Second))))
			}
		}
		cal.run(callCtx, trn)
		cancel()
		wld.record(cal)
		if cal.err != nil || cal.status == http.StatusServiceUnavailable && rnd.Float64() >= stayShare {
			dmn = wld.daemons[rnd.IntN(len(wld.daemons))]
		}
		time.Sleep(time.Duration(rnd.Int64N(int64(maxPause))))
	}
}

func (cal *call) run(ctx context.Context, trn *http.Transport) {
	target := fmt.Sprintf("http://%s/%s/x", cal.daemon.caller, cal.route)
	if cal.isStream() {
		target += "?events=" + strconv.Itoa(cal.wanted)
	}
	cal.sent = time.Now()
	defer func() { cal.ended = time.Now() }()
	req, err := standin.NewSiteCall(ctx, target, cal.id, "key-"+cal.key, callDeadline)
	if err != nil {
		cal.err = err
		return
	}
	res, err := trn.RoundTrip(req)
	if err != nil {
		cal.err = err
		return
	}
	defer res.Body.Close()
	cal.status, cal.signature = res.StatusCode, standin.SiteSignature(res)
	if res.Header.Get("Content-Type") == "text/event-stream" {
		cal.readEvents(res.Body)
		return
	}
	body, err := io.ReadAll(res.Body)
	cal.body, cal.err, cal.complete = string(body), err, err == nil
}

func (cal *call) readEvents(body io.Reader) {
	scn := bufio.NewScanner(body)
	for scn.Scan() {
		if text, ok := strings.CutPrefix(scn.Text(), "id: "); ok {
			event, err := strconv.Atoi(text)
			if err != nil {
				cal.foreign = true
			}
			cal.events = append(cal.events, event)
		}
		if text, ok := strings.CutPrefix(scn.Text(), "data: "); ok && text != cal.id && text != "half" {
			cal.foreign = true
		}
	}
	cal.err = scn.Err()
	cal.complete = cal.err == nil
}
