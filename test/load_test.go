package test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/rogpeppe/go-internal/testscript"

	"papayacroft/retry"
)

// readMetric returns the sum of a metric over all labels.
func readMetric(ts *testscript.TestScript, admin, name string) float64 {
	res, err := http.Get("http://" + admin + "/metrics")
	ts.Check(err)
	defer res.Body.Close()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(res.Body)
	ts.Check(err)
	family, ok := families[name]
	if !ok {
		ts.Fatalf("metric %s does not exist", name)
	}
	sum := 0.0
	for _, one := range family.GetMetric() {
		sum += one.GetGauge().GetValue() + one.GetCounter().GetValue()
	}
	return sum
}

// cmdPeak checks that the peak resident memory of a process is at most MEGABYTES: peak NAME MEGABYTES.
func cmdPeak(ts *testscript.TestScript, _ bool, args []string) {
	most, err := strconv.Atoi(args[1])
	ts.Check(err)
	prs := scriptProcesses(ts)
	prs.mutex.Lock()
	pid := prs.running[args[0]].Process.Pid
	prs.mutex.Unlock()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	ts.Check(err)
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	var kilobytes int
	_, err = fmt.Sscan(rest, &kilobytes)
	ts.Check(err)
	ts.Logf("peak of %s is %d MB", args[0], kilobytes>>10)
	if kilobytes>>10 > most {
		ts.Fatalf("got a peak of %d MB; want at most %d", kilobytes>>10, most)
	}
}

// cmdMetric waits until a daemon's metric is between MIN and MAX: metric ADMIN NAME MIN MAX.
func cmdMetric(ts *testscript.TestScript, _ bool, args []string) {
	low, err := strconv.ParseFloat(args[2], 64)
	ts.Check(err)
	high, err := strconv.ParseFloat(args[3], 64)
	ts.Check(err)
	for deadline := time.Now().Add(eventuallyTimeout); ; time.Sleep(eventuallyPause) {
		got := readMetric(ts, args[0], args[1])
		if got >= low && got <= high {
			ts.Logf("%s is %.0f", args[1], got)
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("got %s %.0f; want %.0f to %.0f", args[1], got, low, high)
		}
	}
}

// slowBuffer is the size of the socket receive buffer, in bytes, of a caller that does not read.
const slowBuffer = 4 << 10

// cmdSlow starts streams whose callers read one byte and no more: slow COUNT ENTRY CREDENTIAL BODY.
func cmdSlow(ts *testscript.TestScript, _ bool, args []string) {
	count, err := strconv.Atoi(args[0])
	ts.Check(err)
	clt := &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		con, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return con, con.(*net.TCPConn).SetReadBuffer(slowBuffer)
	}}}
	for range count {
		req, err := http.NewRequest(http.MethodPost, "http://"+args[1]+"/v1/completions", strings.NewReader(args[3]))
		ts.Check(err)
		req.Header.Set("Authorization", "Bearer "+args[2])
		res, err := clt.Do(req)
		ts.Check(err)
		ts.Defer(func() { _ = res.Body.Close() })
		_, err = res.Body.Read(make([]byte, 1))
		ts.Check(err)
	}
}

// cmdStorm sends COUNT requests at once and checks that their retries stay within the budget of one team and pool:
// storm COUNT MIN ENTRY ADMIN CREDENTIAL ENGINES. The daemon must count at least MIN retries, and the engines that
// can be reached must not have received more retries than that count.
func cmdStorm(ts *testscript.TestScript, _ bool, args []string) {
	count, err := strconv.Atoi(args[0])
	ts.Check(err)
	least, err := strconv.ParseFloat(args[1], 64)
	ts.Check(err)
	before, began := readMetric(ts, args[3], "papayacroft_retries_total"), time.Now()
	var wgr sync.WaitGroup
	for i := range count {
		wgr.Go(func() {
			cal := parseHTTPCall(ts, []string{
				http.MethodPost, "http://" + args[2] + "/v1/completions", "-header", "Authorization: Bearer " + args[4],
				"-body", fmt.Sprintf(`{"model":"writer","class":"writeUp","prompt":"storm %d"}`, i),
			})
			_, _ = cal.run()
		})
	}
	wgr.Wait()
	elapsed, retries := time.Since(began), readMetric(ts, args[3], "papayacroft_retries_total")-before
	budget := retry.Burst + retry.RequestShare*float64(count) + retry.RefillPerSecond*elapsed.Seconds()
	seen := retriesAt(ts, strings.Split(args[5], ","))
	ts.Logf("%d requests in %s: %.0f retries by the daemon's count, %.0f at the engines; the budget is %.0f", count, elapsed.Round(time.Second), retries, seen, budget)
	if retries < least || retries > budget || seen > retries {
		ts.Fatalf("got %.0f retries by the daemon's count and %.0f at the engines; want %.0f to %.0f, and no more at the engines", retries, seen, least, budget)
	}
}

// retriesAt returns the number of failed starts beyond the first of each prompt, over all engines that can be
// reached.
func retriesAt(ts *testscript.TestScript, engines []string) float64 {
	starts := map[string]int{}
	for _, address := range engines {
		res, err := http.Get("http://" + address + "/failed")
		if err != nil {
			continue
		}
		var failed map[string]int
		ts.Check(json.NewDecoder(res.Body).Decode(&failed))
		ts.Check(res.Body.Close())
		for prompt, number := range failed {
			starts[prompt] += number
		}
	}
	retries := 0
	for _, number := range starts {
		retries += number - 1
	}
	return float64(retries)
}
