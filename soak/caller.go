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
	// callDeadline is how long callers wait.
	callDeadline = 8 * time.Second
	// maxPause is the longest time between two calls of a caller.
	maxPause = 250 * time.Millisecond
	// leaveShare is the part of the streams whose caller leaves early.
	leaveShare = 0.08
	maxEvents  = 150
)

var routes = []string{"once", "again", "long", "short"}

// call is one attempt of a caller and what came of it.
type call struct {
	id, route, key string
	daemon         *daemon
	sent, ended    time.Time
	status         int
	body           string
	// events are the ids of the events that came, wanted is how many were asked for.
	events    []int
	wanted    int
	foreign   bool
	whole     bool
	left      bool
	err       error
	signature string
}

// isStream reports whether the answer is a stream.
func (cal *call) isStream() bool {
	return cal.route == "long" || cal.route == "short"
}

// repeatable reports whether the request may run more than once.
func (cal *call) repeatable() bool {
	return cal.route == "again" || cal.route == "short"
}

// runCaller calls daemons one call after the other; it keeps its connection until that fails.
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
			if rnd.Float64() < leaveShare {
				cal.left = true
				callCtx, cancel = context.WithTimeout(context.Background(), time.Duration(rnd.Int64N(int64(time.Second))))
			}
		}
		cal.run(callCtx, trn)
		cancel()
		wld.record(cal)
		if cal.err != nil || cal.status == http.StatusServiceUnavailable {
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
	cal.body, cal.err, cal.whole = string(body), err, err == nil
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
	cal.whole = cal.err == nil
}
