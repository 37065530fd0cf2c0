package test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rogpeppe/go-internal/testscript"

	"papayacroft/claim"
	"papayacroft/inventory"
)

// background holds the calls that a script runs in the background.
type background struct {
	mutex sync.Mutex
	calls map[string]chan struct{}
}

type backgroundKey struct{}

func newBackground() *background { return &background{calls: map[string]chan struct{}{}} }

// cmdKey sets NAME to a new idempotency key, and NAME_STREAM to the log stream of its claim by team rimu/members:
// key NAME [AGE]. AGE is how far the key's time lies in the past.
func cmdKey(ts *testscript.TestScript, _ bool, args []string) {
	key, err := uuid.NewV7()
	ts.Check(err)
	if len(args) == 2 {
		age, err := time.ParseDuration(args[1])
		ts.Check(err)
		millis := uint64(time.Now().Add(-age).UnixMilli())
		for i := range 6 {
			key[i] = byte(millis >> (8 * (5 - i)))
		}
	}
	team := inventory.TeamRef{Organisation: "rimu", Team: "members"}
	ts.Setenv(args[0], key.String())
	ts.Setenv(args[0]+"_STREAM", claim.ShardStream(claim.KeyDigest(team, key.String())))
}

// cmdBackground starts a call with the arguments of http and does not wait for its answer:
// background NAME METHOD URL ...; its status and body go to NAME.out.
func cmdBackground(ts *testscript.TestScript, _ bool, args []string) {
	cal := parseHTTPCall(ts, args[1:])
	cal.status = 0
	out := ts.MkAbs(args[0] + ".out")
	done := make(chan struct{})
	bgr := ts.Value(backgroundKey{}).(*background)
	bgr.mutex.Lock()
	defer bgr.mutex.Unlock()
	bgr.calls[args[0]] = done
	go func() {
		defer close(done)
		body, problem := cal.run()
		_ = writeFile(out, problem+"\n"+body)
	}()
}

// cmdAwait waits for the end of calls that were started by background: await NAME...
func cmdAwait(ts *testscript.TestScript, _ bool, args []string) {
	bgr := ts.Value(backgroundKey{}).(*background)
	for _, arg := range args {
		bgr.mutex.Lock()
		done := bgr.calls[arg]
		bgr.mutex.Unlock()
		<-done
	}
}

// cmdRan checks how often the services at all addresses together ran calls whose text contains BODY:
// ran BODY COUNT ADDRESS...
func cmdRan(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[1])
	ts.Check(err)
	got := 0
	for _, address := range args[2:] {
		body, problem := (&httpCall{method: http.MethodGet, url: "http://" + address + "/stats", status: http.StatusOK}).run()
		if problem != "" {
			ts.Fatalf("stats of %s: %s", address, problem)
		}
		runs := map[string]int{}
		ts.Check(json.Unmarshal([]byte(body), &runs))
		for call, count := range runs {
			if strings.Contains(call, args[0]) {
				got += count
			}
		}
	}
	if got != want {
		ts.Fatalf("got %d runs of %q; want %d", got, args[0], want)
	}
}

// cmdFlood makes COUNT calls one after another and writes the number of each status to FILE:
// flood FILE COUNT METHOD URL ...
func cmdFlood(ts *testscript.TestScript, _ bool, args []string) {
	count, err := strconv.Atoi(args[1])
	ts.Check(err)
	cal := parseHTTPCall(ts, args[2:])
	statuses := map[string]int{}
	for range count {
		_, problem := cal.run()
		statuses[problem]++
	}
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(fmt.Sprint(statuses)+"\n"), 0o600))
}
