package test

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"papayacroft/membership"
)

// loadPause is the time between two calls to one address. The resulting rate is far above the limits in the scripts.
const loadPause = 5 * time.Millisecond

// cmdLimitOwner finds the daemon that owns an organisation's limits: limitowner ORGANISATION DAEMONS.
// It sets OWNER to that daemon's name, and OTHER1, OTHER2 and so on to the caller addresses of the other daemons.
func cmdLimitOwner(ts *testscript.TestScript, _ bool, args []string) {
	body, problem := (&httpCall{method: http.MethodGet, url: "http://" + ts.Getenv("ADMIN1") + "/admin/status", status: http.StatusOK}).run()
	if problem != "" {
		ts.Fatalf("status: %s", problem)
	}
	var status struct{ Members []membership.Member }
	ts.Check(json.Unmarshal([]byte(body), &status))
	order := membership.Rendezvous(status.Members, "limits\x00"+args[0])
	if daemons, err := strconv.Atoi(args[1]); err != nil || len(order) != daemons {
		ts.Fatalf("got %d live members; want %s", len(order), args[1])
	}
	ts.Setenv("OWNER", order[0].Name)
	for i, mem := range order[1:] {
		ts.Setenv("OTHER"+strconv.Itoa(i+1), ts.Getenv("ENTRY"+strings.TrimPrefix(mem.Name, "entry-")))
	}
}

// cmdLoad makes calls for some seconds through each address at once, and fails unless the rate of successful calls,
// over all addresses, lies within bounds: load SECONDS LEAST MOST ADDRESS,ADDRESS... PATH [options as for http].
func cmdLoad(ts *testscript.TestScript, _ bool, args []string) {
	var numbers [3]float64
	for i := range numbers {
		number, err := strconv.ParseFloat(args[i], 64)
		ts.Check(err)
		numbers[i] = number
	}
	var admitted atomic.Int64
	var wgr sync.WaitGroup
	begin := time.Now()
	end := begin.Add(time.Duration(numbers[0] * float64(time.Second)))
	for _, address := range strings.Split(args[3], ",") {
		cal := parseHTTPCall(ts, append([]string{http.MethodGet, "http://" + address + args[4]}, args[5:]...))
		wgr.Go(func() {
			for ; time.Now().Before(end); time.Sleep(loadPause) {
				if _, problem := cal.run(); problem == "" {
					admitted.Add(1)
				}
			}
		})
	}
	wgr.Wait()
	got := float64(admitted.Load()) / time.Since(begin).Seconds()
	ts.Logf("%.1f requests/s admitted", got)
	if got < numbers[1] || got > numbers[2] {
		ts.Fatalf("got %.1f requests/s admitted; want between %s and %s", got, args[1], args[2])
	}
}
