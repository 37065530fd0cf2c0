// Command probe plays the scripts of the third review: it starts gateways as processes, beside stand-ins for the platform's
// store, engines and clients.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
	// scriptTime is the longest time that a script may take.
	scriptTime = 110 * time.Second
)

// Log writes record.txt.
type Log struct {
	mutex sync.Mutex
	began time.Time
	file  *os.File
}

func newLog(path string) *Log {
	file, err := os.Create(path)
	if err != nil {
		unable("record: %v", err)
	}
	return &Log{began: time.Now(), file: file}
}

// note writes a line with the time since the start.
func (log *Log) note(format string, args ...any) {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	_, _ = fmt.Fprintf(log.file, "%8.3f "+format+"\n", append([]any{time.Since(log.began).Seconds()}, args...)...)
}

// processes are those that the script has started.
var processes struct {
	mutex sync.Mutex
	all   []*exec.Cmd
}

// started records a process, so that it does not outlive the script.
func started(cmd *exec.Cmd) {
	processes.mutex.Lock()
	defer processes.mutex.Unlock()
	processes.all = append(processes.all, cmd)
}

// unable ends all processes and the script because it could not run.
func unable(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "unable: "+format+"\n", args...)
	processes.mutex.Lock()
	for _, cmd := range processes.all {
		_ = cmd.Process.Kill()
	}
	os.Exit(exitUnable)
}

// watch ends the script when it gets a signal or has run for too long.
func watch() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case sig := <-signals:
			unable("got %v", sig)
		case <-time.After(scriptTime):
			unable("not done after %v", scriptTime)
		}
	}()
}

// world is the stand-ins and the processes of one script.
type world struct {
	log      *Log
	folder   string
	store    *Store
	engines  []*Engine
	gateways []*Gateway
	trouble  bool
}

// newWorld starts a store with the first configuration.
func newWorld(record string) *world {
	folder, err := os.MkdirTemp("", "probe")
	if err != nil {
		unable("folder: %v", err)
	}
	log := newLog(record)
	wld := &world{log: log, folder: folder, store: newStore(log), trouble: os.Getenv("TROUBLE") != "0"}
	log.note("trouble: %v", wld.trouble)
	return wld
}

// addGateways starts processes and waits until they are ready.
func (wld *world) addGateways(count int) {
	for range count {
		gat := newGateway(wld.log, wld.folder, fmt.Sprintf("front-akl-a-%d", len(wld.gateways)+1), wld.store.Address)
		wld.gateways = append(wld.gateways, gat)
		gat.start()
	}
	for _, gat := range wld.gateways {
		gat.awaitReady()
	}
}

// end ends all processes and keeps their logs if KEEP names a folder.
func (wld *world) end(broken bool, verdict string) {
	for _, gat := range wld.gateways {
		gat.mutex.Lock()
		_ = gat.process.Process.Kill()
		gat.mutex.Unlock()
		<-gat.ended
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.CopyFS(filepath.Join(keep, filepath.Base(wld.folder)), os.DirFS(wld.folder))
	}
	_ = os.RemoveAll(wld.folder)
	code := exitHeld
	if broken {
		code = exitBroken
	}
	wld.log.note("%s; exit %d", verdict, code)
	fmt.Println(verdict)
	os.Exit(code)
}

// routeOf returns a route of a configuration.
func routeOf(name, prefix, kind, service string, timeoutMs, targetMs, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": "ficu95.example", "pathPrefix": prefix, "kind": kind, "timeoutMs": timeoutMs, "targetLatencyMs": targetMs,
		"priority": 1, "service": service, "maxAttempts": attempts, "public": false, "sticky": kind == "stream", "resumable": false, "gapAimMs": 180,
	}
}

// configuration returns a version with the usual routes; keys are those of each tenant.
func configuration(version int, routes []map[string]any, keys map[string][]string) []byte {
	tenants := []map[string]any{}
	for name, all := range keys {
		tenants = append(tenants, map[string]any{"name": name, "apiKeys": all, "priority": 1})
	}
	data, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "tenants": tenants,
		"services": []map[string]any{
			{"name": "desk", "healthPath": "/health", "maxConnections": 100, "protocol": "h1", "tls": false},
			{"name": "desk-two", "healthPath": "/health", "maxConnections": 100, "protocol": "h1", "tls": false},
			{"name": "pool", "healthPath": "/health", "maxConnections": 372, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 48, "kvCapacityTokens": 34454, "kvTokenBytes": 327680, "linkMbps": 47000, "moves": true, "backups": true, "stride": 4,
				"most": 12, "pinMs": 4000, "holdMs": 2000, "handleS": 5, "models": []map[string]any{{"name": "m"}},
			}},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		unable("configuration: %v", err)
	}
	return data
}

func main() {
	scripts := map[string]func(record string){"era": playEra, "tenant": playTenant, "newcomers": playNewcomers}
	if len(os.Args) != 3 || scripts[os.Args[1]] == nil {
		unable("usage: probe SCRIPT RECORD")
	}
	watch()
	scripts[os.Args[1]](os.Args[2])
}
