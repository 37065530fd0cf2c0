package gateway_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"
	"github.com/sirupsen/logrus"

	"papayacroft/document"
	"papayacroft/gateway"
	"papayacroft/logline"
	"papayacroft/platform"
	"papayacroft/settings"
	"papayacroft/standin"
)

// stepTimeout limits each wait of a script. It is generous, so that scripts don't depend on the machine's speed.
const stepTimeout = 20 * time.Second

// loggedLines is the number of the last log lines of all daemons that a failed test prints.
const loggedLines = 40

// TestScenarios runs each script in testdata; the script's first line describes the required behaviour or the failure.
func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatalf("got %d scripts, error %v; want some", len(files), err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txtar"), func(t *testing.T) {
			t.Parallel()
			arc, err := txtar.ParseFile(file)
			if err != nil {
				t.Fatal(err)
			}
			sit := newSite(t)
			for number, line := range strings.Split(string(arc.Comment), "\n") {
				if line = strings.TrimSpace(line); line != "" && line[0] != '#' {
					sit.line = fmt.Sprintf("line %d: %s", number+1, line)
					sit.run(strings.Fields(line))
				}
			}
		})
	}
}

// site is the environment of one script: a store, endpoints, daemons and callers in one process.
type site struct {
	t       *testing.T
	line    string
	store   *standin.KeyedStore
	engines map[string]*siteEndpoint
	pool    *standin.SiteEngines
	daemons map[string]*siteDaemon
	calls   map[string]*siteCall
	logs    *safeBuffer
	born    int64
	// published is the newest configuration; exchanged is the value of traffic at the last markTraffic.
	published []byte
	exchanged int64
	// delivered is the number of reads of each topic that had returned records at the last markTraffic.
	delivered map[string]int
	// idle is the idle traffic in bytes a second and daemon, measured in a window that ended at idleUntil.
	idle      float64
	idleUntil time.Time
	// floods are the names of the calls of each flood; countedFrom is when runs begin to count for within and gets.
	floods      map[string][]string
	countedFrom time.Time
	// stopped is the daemon that stopPermits has ended.
	stopped string
}

type siteEndpoint struct {
	*standin.SiteEngine
	// answering is the endpoint that answers at the address; after the command reuse it is another one.
	answering atomic.Pointer[standin.SiteEngine]
	server    *httptest.Server
	service   string
	domain    string
	born      int64
	beats     int
	// crashed is true after a crash until replaceCrashed.
	crashed atomic.Bool
}

type siteDaemon struct {
	*gateway.Daemon
	caller, ready, metrics string
	// denied is true while the store refuses the requests of this daemon.
	denied atomic.Bool
	// stop and kill stand for the first and the second signal.
	stop, kill context.CancelFunc
	done       chan error
}

type siteCall struct {
	id         string
	mutex      sync.Mutex
	status     int
	body       string
	events     []int
	complete   bool
	err        error
	retryAfter string
	cancel     context.CancelFunc
	done       chan struct{}
}

type safeBuffer struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

// Write appends a log line.
func (buf *safeBuffer) Write(data []byte) (int, error) {
	buf.mutex.Lock()
	defer buf.mutex.Unlock()
	return buf.buffer.Write(data)
}

func (buf *safeBuffer) String() string {
	buf.mutex.Lock()
	defer buf.mutex.Unlock()
	return buf.buffer.String()
}

func newSite(t *testing.T) *site {
	sit := &site{
		t: t, store: standin.NewKeyedStore(), engines: map[string]*siteEndpoint{}, pool: standin.NewSiteEngines(), daemons: map[string]*siteDaemon{},
		calls: map[string]*siteCall{}, floods: map[string][]string{}, logs: &safeBuffer{}, born: 1000,
	}
	t.Cleanup(func() {
		for _, cal := range sit.calls {
			cal.cancel()
		}
		for _, dmn := range sit.daemons {
			dmn.stop()
		}
		for _, edp := range sit.engines {
			edp.server.CloseClientConnections()
		}
		if t.Failed() {
			lines := strings.Split(sit.logs.String(), "\n")
			t.Log(strings.Join(lines[max(0, len(lines)-loggedLines):], "\n"))
		}
	})
	return sit
}

func (sit *site) fatalf(format string, args ...any) {
	sit.t.Helper()
	sit.t.Fatalf("%s: %s", sit.line, fmt.Sprintf(format, args...))
}

func (sit *site) run(args []string) {
	for _, one := range []func([]string) bool{sit.runSite, sit.runStop, sit.runEndpoint, sit.runCaller, sit.runWait, sit.runFleet, sit.runPrompt, sit.runLimit, sit.checkTraffic, sit.checkAnswer, sit.checkRuns} {
		if one(args) {
			return
		}
	}
	sit.fatalf("unknown command %q", args[0])
}

// runSite runs commands for the store, the operator and daemons; it returns false for other commands.
func (sit *site) runSite(args []string) bool {
	switch args[0] {
	case "publish": // publish VERSION [without ROUTE|KEY]... [move ROUTE SERVICE] [routes COUNT]
		sit.published = configuration(args[1], args[2:])
		sit.markTraffic()
		sit.store.Put("keyed.op", "config", sit.published)
	case "garbage": // garbage TOPIC KEY: writes a record that can't be parsed
		sit.store.Put(args[1], args[2], []byte(`{"service":7`))
	case "compact": // compact TOPIC: deletes the topic's records except the newest of each key
		sit.store.Compact(args[1])
	case "store": // store MODE: sets the fault mode of the store; up means none
		sit.store.SetMode(standin.StoreMode(strings.ReplaceAll(args[1], "up", "")))
	case "deny": // deny DAEMON: the store refuses this daemon's requests from now on
		sit.daemons[args[1]].denied.Store(true)
	case "daemon": // daemon NAME DOMAIN: starts a daemon
		sit.startDaemon(args[1], args[2])
	case "daemons": // daemons COUNT DOMAIN: starts daemons d1, d2 and so on
		for number := range sit.number(args[1]) {
			sit.startDaemon(fmt.Sprintf("d%d", number+1), args[2])
		}
	case "elapse":
		time.Sleep(sit.duration(args[1]))
	default:
		return false
	}
	return true
}

// runStop runs commands for planned stops; it returns false for other commands.
func (sit *site) runStop(args []string) bool {
	switch args[0] {
	case "stop": // stop DAEMON: begins a planned stop, as the first signal does
		sit.daemons[args[1]].stop()
	case "kill": // kill DAEMON: ends a planned stop, as the second signal does
		sit.daemons[args[1]].kill()
	case "stopped": // stopped DAEMON [DURATION]: waits until the daemon has ended without an error, after at most this time
		defer func(began time.Time) {
			if len(args) > 2 && time.Since(began) > sit.duration(args[2]) {
				sit.fatalf("got the daemon's end after %v, want it within %s", time.Since(began), args[2])
			}
		}(time.Now())
		sit.await("the daemon to end", func() bool {
			select {
			case err := <-sit.daemons[args[1]].done:
				return err == nil
			default:
				return false
			}
		})
	default:
		return false
	}
	return true
}

// runEndpoint runs commands for endpoints; it returns false for other commands.
func (sit *site) runEndpoint(args []string) bool {
	switch args[0] {
	case "engine": // engine ID SERVICE DOMAIN [copy DURATION] [interval DURATION]: starts an endpoint
		sit.startEngine(args[1:])
	case "mode": // mode ENGINE MODE: sets the fault mode of an endpoint; serves means none
		sit.engines[args[1]].SetMode(standin.EngineMode(strings.ReplaceAll(args[2], "serves", "")))
	case "drain": // drain ENGINE: writes an entry with the state draining
		sit.beat(args[1], "draining")
	case "vanish": // vanish ENGINE: removes its entry while it still serves
		sit.store.Put("keyed.servers", args[1], nil)
	case "beat": // beat ENGINE: writes its entry again with the state ready
		sit.beat(args[1], "ready")
	case "leaves": // leaves ENGINE: the engine's report says from now on that it leaves
		sit.engines[args[1]].SetDraining()
	case "full": // full ENGINE: it refuses copies from now on
		sit.engines[args[1]].RefuseCopies()
	case "reuse": // reuse ENGINE NEW: another endpoint answers at its address; its entry remains
		other := &siteEndpoint{SiteEngine: standin.NewSiteEngine(args[2]), server: sit.engines[args[1]].server}
		sit.engines[args[1]].answering.Store(other.SiteEngine)
		sit.engines[args[2]] = other
	case "end": // end ENGINE: stops it without notice and closes its connections
		sit.engines[args[1]].Stop()
		sit.engines[args[1]].server.CloseClientConnections()
		_ = sit.engines[args[1]].server.Listener.Close()
	default:
		return false
	}
	return true
}

// runCaller runs commands for callers; it returns false for other commands.
func (sit *site) runCaller(args []string) bool {
	switch args[0] {
	case "call": // call NAME DAEMON ROUTE [KEY]: starts a plain request
		sit.startCall(args[1], args[2], "/"+args[3]+"/x", args[4:])
	case "stream": // stream NAME DAEMON ROUTE EVENTS [KEY]: starts a request for a stream of so many events
		sit.startCall(args[1], args[2], "/"+args[3]+"/x?events="+args[4], args[5:])
	case "poison": // poison NAME DAEMON ROUTE: starts a request that has the same content each time
		sit.startCall(args[1], args[2], "/"+args[3]+"/poison", nil)
	case "leave": // leave CALL: closes the caller's connection
		sit.calls[args[1]].cancel()
	default:
		return false
	}
	return true
}

// runWait runs commands that wait for a condition; it returns false for other commands.
func (sit *site) runWait(args []string) bool {
	switch args[0] {
	case "received": // received CALL COUNT: waits until the caller has received at least so many events
		sit.await("events", func() bool { return len(sit.calls[args[1]].received()) >= sit.number(args[2]) })
	case "begun": // begun CALL: waits until an endpoint runs the request
		sit.await("a run", func() bool { return len(sit.runs(args[1], nil)) > 0 })
	case "until": // until DAEMON ROUTE STATUS [KEY]: sends calls until one gets the status
		sit.await("status "+args[3], func() bool {
			name := fmt.Sprintf("until%d", len(sit.calls))
			sit.startCall(name, args[1], "/"+args[2]+"/x", args[4:])
			return sit.finished(name).status == sit.number(args[3])
		})
	case "ready": // ready DAEMON STATUS: waits until the readiness check has the status
		sit.await("readiness", func() bool {
			res, err := http.Get("http://" + sit.daemons[args[1]].ready + "/")
			if err != nil {
				return false
			}
			_ = res.Body.Close()
			return res.StatusCode == sit.number(args[2])
		})
	case "logged": // logged TEXT...: waits until a daemon has logged the text
		text := strings.Join(args[1:], " ")
		sit.await("a log line", func() bool { return strings.Contains(sit.logs.String(), text) })
	case "traced": // traced CALL TEXT...: waits until the history of the call, as papayacroft trace prints it, has the text
		text := strings.Join(args[2:], " ")
		sit.await("a line of the history with "+text, func() bool {
			lines, err := logline.Read(strings.NewReader(sit.logs.String()), func(*logline.Line) bool { return true })
			if err != nil {
				sit.fatalf("%v", err)
			}
			var out strings.Builder
			logline.Print(&out, logline.History(lines, sit.calls[args[1]].id))
			return strings.Contains(out.String(), text)
		})
	default:
		return false
	}
	return true
}

// checkAnswer runs commands that check the answers to callers; it returns false for other commands.
func (sit *site) checkAnswer(args []string) bool {
	switch args[0] {
	case "status": // status CALL STATUS: the answer has the status
		cal := sit.finished(args[1])
		if got, want := cal.status, sit.number(args[2]); got != want {
			sit.fatalf("got status %d (%s, %v), want %d", got, cal.body, cal.err, want)
		}
	case "complete": // complete CALL EVENTS: the caller received so many events, once each, in order, and the regular end
		cal := sit.finished(args[1])
		for at, event := range cal.events {
			if event != at+1 {
				sit.fatalf("got events %v, want each once and in order", cal.events)
			}
		}
		if got, want := len(cal.events), sit.number(args[2]); got != want || !cal.complete {
			sit.fatalf("got %d events, complete %t (%v), want %d and complete", got, cal.complete, cal.err, want)
		}
	case "broken": // broken CALL: the caller can detect that the answer is incomplete
		if cal := sit.finished(args[1]); cal.complete {
			sit.fatalf("got a complete answer of status %d, want a broken one", cal.status)
		}
	case "retryable": // retryable CALL: the answer has a Retry-After
		if cal := sit.finished(args[1]); cal.retryAfter == "" {
			sit.fatalf("got no Retry-After, want one")
		}
	default:
		return false
	}
	return true
}

// checkRuns runs commands that check which requests endpoints ran; it returns false for other commands.
func (sit *site) checkRuns(args []string) bool {
	switch args[0] {
	case "ran": // ran CALL COUNT [ENGINE]: waits for exactly so many runs, without those continued from a copy
		want := sit.number(args[2])
		sit.await(fmt.Sprintf("%d runs", want), func() bool { return len(sit.runs(args[1], args[3:])) == want })
	case "cut": // cut CALL: waits until the endpoint has detected that the connection was closed
		sit.await("the endpoint to notice", func() bool {
			runs := sit.runs(args[1], nil)
			return len(runs) == 1 && runs[0].CallerDisconnected
		})
	case "organisation": // organisation CALL NAME: the endpoint received this organisation and no key
		for _, run := range sit.runs(args[1], nil) {
			if run.Organisation != args[2] || run.Authorized {
				sit.fatalf("got organisation %q, key passed on %t, want %q and no key", run.Organisation, run.Authorized, args[2])
			}
		}
	default:
		return false
	}
	return true
}

func (sit *site) await(what string, done func() bool) {
	sit.t.Helper()
	for until := time.Now().Add(stepTimeout); !done(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(until) {
			sit.fatalf("timed out waiting for %s", what)
		}
	}
}

func (sit *site) number(text string) int {
	num, err := strconv.Atoi(text)
	if err != nil {
		sit.fatalf("%q is not a number", text)
	}
	return num
}

func (sit *site) duration(text string) time.Duration {
	dur, err := time.ParseDuration(text)
	if err != nil {
		sit.fatalf("%q is not a duration", text)
	}
	return dur
}

func (sit *site) runs(call string, engines []string) []standin.SiteRun {
	var runs []standin.SiteRun
	for id, edp := range sit.engines {
		if len(engines) > 0 && engines[0] != id {
			continue
		}
		for _, run := range edp.Runs() {
			if run.CallID == sit.calls[call].id && !run.Copied {
				runs = append(runs, run)
			}
		}
	}
	return runs
}

func (sit *site) startEngine(args []string) {
	sit.born++
	edp := &siteEndpoint{SiteEngine: standin.NewSiteEngine(args[0]), service: args[1], domain: args[2], born: sit.born}
	for i := 3; i+1 < len(args); i += 2 {
		switch args[i] {
		case "copy":
			edp.CopyTime = sit.duration(args[i+1])
		case "interval":
			edp.Interval = sit.duration(args[i+1])
		}
	}
	edp.answering.Store(edp.SiteEngine)
	edp.server = httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		edp.answering.Load().ServeHTTP(wri, req)
	}))
	edp.Crash = func() {
		edp.crashed.Store(true)
		_ = edp.server.Listener.Close()
	}
	sit.pool.Put(edp.server.Listener.Addr().String(), edp.SiteEngine)
	sit.engines[args[0]] = edp
	sit.beat(args[0], "ready")
}

func (sit *site) beat(id, state string) {
	edp := sit.engines[id]
	edp.beats++
	entry, err := json.Marshal(map[string]any{
		"service": edp.service, "address": edp.server.Listener.Addr().String(), "zone": edp.domain, "slots": 8, "state": state,
		"sequence": edp.beats, "born": edp.born, "coldLeftMs": 0,
	})
	if err != nil {
		sit.fatalf("%v", err)
	}
	sit.store.Put("keyed.servers", id, entry)
}

// configuration returns a configuration with two services and a route for each kind of request.
func configuration(version string, changes []string) []byte {
	without := map[string]bool{}
	moved := map[string]string{}
	more := 0
	for i := 0; i < len(changes); i++ {
		switch changes[i] {
		case "routes":
			i++
			more, _ = strconv.Atoi(changes[i])
		case "without":
			i++
			without[changes[i]] = true
		case "move":
			moved[changes[i+1]] = changes[i+2]
			i += 2
		}
	}
	var routes []map[string]any
	for _, rou := range []map[string]any{
		{"name": "once", "kind": "non_idempotent", "service": "desk", "maxAttempts": 1, "timeoutMs": 2000, "targetLatencyMs": 500},
		{"name": "again", "kind": "idempotent", "service": "desk", "maxAttempts": 2, "timeoutMs": 2000, "targetLatencyMs": 500},
		{"name": "long", "kind": "stream", "service": "pool", "maxAttempts": 1, "timeoutMs": 30000, "targetLatencyMs": 3000},
		{"name": "short", "kind": "stream", "service": "pool", "maxAttempts": 2, "timeoutMs": 30000, "targetLatencyMs": 3000, "resumable": true},
		{"name": "open", "kind": "idempotent", "service": "desk", "maxAttempts": 2, "timeoutMs": 2000, "targetLatencyMs": 500, "public": true},
	} {
		name := rou["name"].(string)
		if without[name] {
			continue
		}
		if service, ok := moved[name]; ok {
			rou["service"] = service
		}
		rou["host"], rou["pathPrefix"] = "site.example", "/"+name+"/"
		routes = append(routes, rou)
	}
	for number := range more {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("more%d", number), "host": "site.example", "pathPrefix": fmt.Sprintf("/more%d/", number),
			"kind": "idempotent", "service": "desk", "maxAttempts": 2, "timeoutMs": 2000, "targetLatencyMs": 500,
		})
	}
	var tenants []map[string]any
	for _, name := range []string{"one", "two"} {
		if !without[name] {
			tenants = append(tenants, map[string]any{"name": name, "apiKeys": []string{"key-" + name}})
		}
	}
	engine := map[string]any{
		"slots": 8, "kvCapacityTokens": 30000, "moves": true, "backups": true, "stride": 4, "handleS": 5, "kvTokenBytes": 1000, "linkMbps": 10000,
	}
	num, _ := strconv.Atoi(version)
	data, _ := json.Marshal(map[string]any{
		"version": num, "routes": routes, "tenants": tenants,
		"services": []map[string]any{{"name": "desk", "protocol": "h1"}, {"name": "pool", "protocol": "h1", "engine": engine}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4096, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	return data
}

func (sit *site) startDaemon(name, domain string) {
	one := &siteDaemon{done: make(chan error, 1)}
	storeProxy := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		if one.denied.Load() {
			wri.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		sit.store.ServeHTTP(wri, req)
	}))
	sit.t.Cleanup(storeProxy.CloseClientConnections)
	logger := logrus.New()
	logger.SetOutput(sit.logs)
	logger.SetFormatter(logline.NewFormatter(name))
	addresses, err := standin.FreeAddresses(4)
	if err != nil {
		sit.fatalf("%v", err)
	}
	set := &settings.Gateway{
		Name: name, FailureDomain: domain, CallerAddress: addresses[0], ReadyAddress: addresses[1],
		PeerAddress: addresses[2], MetricsAddress: addresses[3], StoreAddress: storeProxy.Listener.Addr().String(), DrainNotice: document.Duration(8 * time.Second),
		Retries: settings.RetryBudget{Ratio: 0.2, Extra: 50, Window: document.Duration(10 * time.Second)},
		Log:     settings.Log{Level: "info", Format: "json"},
	}
	dmn := gateway.NewDaemon()
	dmn.Settings, dmn.Logger = set, logger
	platform.Attach(dmn)
	ctx, cancel := context.WithCancel(context.Background())
	dmn.Kill, one.kill = context.WithCancel(context.Background())
	one.Daemon = dmn
	one.caller, one.ready, one.metrics, one.stop = set.CallerAddress, set.ReadyAddress, set.MetricsAddress, cancel
	sit.daemons[name] = one
	go func() { one.done <- dmn.Run(ctx) }()
	sit.await("the daemon to listen", func() bool {
		con, err := net.Dial("tcp", set.CallerAddress)
		if err == nil {
			_ = con.Close()
		}
		return err == nil
	})
}

func (sit *site) startCall(name, daemon, target string, key []string) {
	sit.startPrompt(name, daemon, target, "", key)
}

// startPrompt starts a request; prompt has the ids of its parts, separated by commas.
func (sit *site) startPrompt(name, daemon, target, prompt string, key []string) {
	ctx, cancel := context.WithCancel(context.Background())
	cal := &siteCall{id: "id-" + name, cancel: cancel, done: make(chan struct{})}
	sit.calls[name] = cal
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+sit.daemons[daemon].caller+target, strings.NewReader("body of "+target+prompt))
	if err != nil {
		sit.fatalf("%v", err)
	}
	req.Host = "site.example"
	req.Header.Set("Attempt-Id", cal.id)
	req.Header.Set("Token-Usage", "100,400")
	req.Header.Set("Tenant", "forged")
	if prompt != "" {
		req.Header.Set("Prompt-Prefix", strings.ReplaceAll(prompt, ",", ":50,")+":50")
	}
	credential := "key-one"
	if len(key) > 0 {
		credential = key[0]
	}
	req.Header.Set("Authorization", "Bearer "+credential)
	go cal.run(req)
}

func (cal *siteCall) run(req *http.Request) {
	defer close(cal.done)
	clt := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := clt.Do(req)
	if err != nil {
		cal.err = err
		return
	}
	defer res.Body.Close()
	cal.status, cal.retryAfter = res.StatusCode, res.Header.Get("Retry-After")
	if res.Header.Get("Content-Type") != "text/event-stream" {
		var body []byte
		body, cal.err = io.ReadAll(res.Body)
		cal.body, cal.complete = string(body), cal.err == nil
		return
	}
	scn := bufio.NewScanner(res.Body)
	for scn.Scan() {
		if text, ok := strings.CutPrefix(scn.Text(), "id: "); ok {
			event, _ := strconv.Atoi(text)
			cal.mutex.Lock()
			cal.events = append(cal.events, event)
			cal.mutex.Unlock()
		}
	}
	cal.err = scn.Err()
	cal.complete = cal.err == nil
}

func (cal *siteCall) received() []int {
	cal.mutex.Lock()
	defer cal.mutex.Unlock()
	return cal.events
}

func (sit *site) finished(name string) *siteCall {
	cal := sit.calls[name]
	select {
	case <-cal.done:
	case <-time.After(stepTimeout):
		sit.fatalf("call %s did not end", name)
	}
	return cal
}
