package gateway_test

import (
	"bytes"
	"context"
	"fmt"
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

	"papayacroft/gateway"
	"papayacroft/logline"
	"papayacroft/standin"
)

// stepTimeout limits each wait of a script. It is generous, so that scripts don't depend on the machine's speed.
const stepTimeout = 20 * time.Second

// runsAlone marks scripts that count requests by time: permits for cold endpoints last 100 ms, which the processor time of
// many other scripts exceeds.
const runsAlone = "\n# Runs alone.\n"

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
			arc, err := txtar.ParseFile(file)
			if err != nil {
				t.Fatal(err)
			}
			if !strings.Contains(string(arc.Comment), runsAlone) {
				t.Parallel()
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
	copied  *standin.KeyedCopy
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
	// contracts is the setting of the daemons that start from now on.
	contracts string
	// queue is true if daemons start with a queue.
	queue bool
	// deadline is the deadline of the calls that start from now on; 0 means that of their route.
	deadline time.Duration
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
	// coldUntil is the time until which its entries say that it is cold.
	coldUntil time.Time
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
	for _, one := range []func([]string) bool{
		sit.runSite, sit.runStop, sit.runEndpoint, sit.runCaller, sit.runWait, sit.runFleet, sit.runPrompt, sit.runPrefix, sit.runLimit, sit.runEvacuation,
		sit.runCold, sit.checkTraffic, sit.checkAnswer, sit.checkRuns,
	} {
		if one(args) {
			return
		}
	}
	sit.fatalf("unknown command %q", args[0])
}

// runSite runs commands for the store, the operator and daemons; it returns false for other commands.
func (sit *site) runSite(args []string) bool {
	switch args[0] {
	case "publish": // publish VERSION [without ROUTE|ORGANISATION|desk|allServices|tenants|limits|services]... [move ROUTE SERVICE] [priority ROUTE NUMBER]... [routes COUNT] [cold PER_SECOND SECONDS] [emptyKey] [zero ROUTE|limits FIELD]...
		sit.published = configuration(args[1], args[2:])
		sit.markTraffic()
		sit.store.Put("keyed.op", "config", sit.published)
	case "garbage": // garbage TOPIC KEY: writes a record that can't be parsed
		sit.store.Put(args[1], args[2], []byte(`{"service":7`))
	case "odd": // odd ID FORM: another writer writes an entry with this id: deep, number, port, slots, born or key
		sit.writeOdd(args[1], args[2])
	case "compact": // compact TOPIC: deletes the topic's records except the newest of each key
		sit.store.Compact(args[1])
	case "copy": // copy: copies what the store holds
		sit.copied = sit.store.Copy()
	case "restore": // restore: the store holds what it held at the last copy, and its era rises
		sit.store.Restore(sit.copied)
	case "store": // store MODE: sets the fault mode of the store; up means none
		sit.store.SetMode(standin.StoreMode(strings.ReplaceAll(args[1], "up", "")))
	case "deny": // deny DAEMON: the store refuses this daemon's requests from now on
		sit.daemons[args[1]].denied.Store(true)
	case "queue": // queue: daemons that are started from now on have a queue
		sit.queue = true
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
	case "late": // late ENGINE SEQUENCE: its write with this number, of the state ready, reaches the store only now
		sit.write(args[1], "ready", sit.number(args[2]))
	case "says": // says ENGINE: it says from now on in all its answers that it leaves
		sit.engines[args[1]].SetSaysLeaving()
	case "states": // states ENGINE LOAD: its answers report this load from now on
		sit.engines[args[1]].SetStatedLoad(args[2])
	case "reborn": // reborn ENGINE NEW: a new incarnation under its id and address, whose runs count as those of NEW
		sit.restartEngine(args[1], args[2])
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
	case "call": // call NAME DAEMON ROUTE [KEY]: starts a plain request; the KEY none means no header for it, empty an empty key
		sit.startCall(args[1], args[2], "/"+args[3]+"/x", args[4:])
	case "stream": // stream NAME DAEMON ROUTE EVENTS [KEY]: starts a request for a stream of so many events
		sit.startCall(args[1], args[2], "/"+args[3]+"/x?events="+args[4], args[5:])
	case "deadline": // deadline DURATION: requests that start from now on state this deadline; 0s means none
		sit.deadline = sit.duration(args[1])
	case "resume": // resume NAME DAEMON ROUTE EVENTS LAST: starts a request for a stream of so many events that goes on after the event LAST
		sit.startResumed(args[1], args[2], "/"+args[3]+"/x?events="+args[4], args[5])
	case "slowBody": // slowBody NAME DAEMON ROUTE EVENTS DURATION: starts a request for a stream whose body ends after this time
		sit.startSlowBody(args[1], args[2], "/"+args[3]+"/x?events="+args[4], sit.duration(args[5]))
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
		sit.checkForeign(cal)
	case "broken": // broken CALL: the caller can detect that the answer is incomplete
		cal := sit.finished(args[1])
		if cal.complete {
			sit.fatalf("got a complete answer of status %d, want a broken one", cal.status)
		}
		sit.checkForeign(cal)
	case "retryable": // retryable CALL: the answer has a Retry-After
		if cal := sit.finished(args[1]); cal.retryAfter == "" {
			sit.fatalf("got no Retry-After, want one")
		}
	default:
		return false
	}
	return true
}

// checkForeign checks that a stream has nothing but events.
func (sit *site) checkForeign(cal *siteCall) {
	if len(cal.foreign) > 0 {
		sit.fatalf("got lines %q in the stream, want events only", cal.foreign)
	}
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
