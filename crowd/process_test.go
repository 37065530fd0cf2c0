package crowd

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"papayacroft/standin"
)

const (
	gatewaySettings = `name: front
failureDomain: a
callerAddress: %s
readyAddress: %s
peerAddress: %s
metricsAddress: %s
storeAddress: %s
drainNotice: 2s
memoryMB: 112
retries: {ratio: 0.2, extra: 50, window: 10s}
log: {level: info, format: json}
`
	entrySettings = `name: entry
failureDomain: a
region: here
callerAddress: %s
adminAddress: %s
peerAddress: %s
platform: {logURL: "http://%s", vmsURL: "http://%s"}
positionKeyFile: position.key
drainNotice: 2s
log: {level: info, format: json}
`
	// entryInventory has the digest of the credential rimu/members.
	entryInventory = `organisations:
  - name: rimu
    teams:
      - {name: members, credentialDigests: [c21d3e029f0172ee40353d927059041c405dbe3cf6b8fb163ab035cea4007ca9]}
owners:
  - {name: office, approvedTeams: [rimu/members]}
models: []
pools:
  - name: desk
    kind: service
    operations:
      - {name: ask, method: POST, path: /asks/*, class: ask, repeatable: true}
      - {name: look, method: GET, path: /looks/*, class: ask, repeatable: true}
endpoints:
  - {name: desk-1, pool: desk, owner: office, address: "%s", failureDomain: a}
`
	entryRules = `classes:
  - {name: ask, worth: 10, deadline: 20s}
`
	// largeBytes is the size of an answer to a request whose path contains /large; the programs take no longer ones.
	largeBytes      = 4 << 20
	entryLargeBytes = 1 << 20
	// events and eventBytes are the size of a stream.
	events, eventBytes = 4096, 16 << 10
	startTime          = 30 * time.Second
)

// process is a daemon whose store and endpoints are stand-ins in the test's process.
type process struct {
	cmd       *exec.Cmd
	ended     chan struct{}
	log       string
	addresses map[string]string
	// streams is the number of streams that the endpoint is sending.
	streams atomic.Int64
	// ordinary returns an ordinary request.
	ordinary func() (*http.Request, error)
}

// buildPrograms builds the project's programs and returns their directory.
func buildPrograms(t *testing.T) string {
	dir := t.TempDir()
	if out, err := exec.Command("go", "build", "-race=false", "-o", dir, "papayacroft/papayacroftd", "papayacroft/papayacroft").CombinedOutput(); err != nil {
		t.Fatalf("got %v, want programs: %s", err, out)
	}
	return dir
}

func startDaemon(t *testing.T, programs, program string, limit int) *process {
	if program == "entry" {
		return startEntry(t, programs, limit)
	}
	return startGateway(t, programs, limit)
}

func startGateway(t *testing.T, programs string, limit int) *process {
	store := standin.NewKeyedStore()
	service := serve(t, store)
	dmn := &process{}
	address := serve(t, http.HandlerFunc(dmn.answerSite))
	store.Put("keyed.op", "config", siteConfiguration(t))
	for number, service := range []string{"desk", "pool"} {
		entry, err := json.Marshal(map[string]any{
			"service": service, "address": address, "zone": "a", "slots": 64, "state": "ready", "sequence": 1, "born": 1000, "coldLeftMs": 0,
		})
		if err != nil {
			t.Fatal(err)
		}
		store.Put("keyed.servers", "e"+strconv.Itoa(number), entry)
	}
	adr := freeAddresses(t, 4)
	dmn.addresses = map[string]string{"caller": adr[0], "ready": adr[1], "peer": adr[2], "metrics": adr[3]}
	dmn.ordinary = func() (*http.Request, error) {
		req, err := http.NewRequest(http.MethodPost, "http://"+adr[0]+"/again/x", strings.NewReader("ordinary"))
		if err == nil {
			req.Host = "site.example"
			req.Header.Set("Attempt-Id", "ordinary-"+strconv.FormatInt(time.Now().UnixNano(), 36))
		}
		return req, err
	}
	dmn.start(t, programs, limit, fmt.Sprintf(gatewaySettings, adr[0], adr[1], adr[2], adr[3], service), "gateway")
	return dmn
}

func siteConfiguration(t *testing.T) []byte {
	var routes []map[string]any
	for _, rou := range []map[string]any{
		{"name": "again", "kind": "idempotent", "service": "desk", "maxAttempts": 2, "timeoutMs": 5000, "targetLatencyMs": 500},
		{"name": "long", "kind": "stream", "service": "pool", "maxAttempts": 1, "timeoutMs": 30000, "targetLatencyMs": 3000},
		{"name": "lasting", "kind": "stream", "service": "pool", "maxAttempts": 1, "timeoutMs": 600000, "targetLatencyMs": 3000},
	} {
		rou["host"], rou["pathPrefix"], rou["public"] = "site.example", "/"+rou["name"].(string)+"/", true
		routes = append(routes, rou)
	}
	data, err := json.Marshal(map[string]any{
		"version": 1, "routes": routes,
		"services": []map[string]any{{"name": "desk", "protocol": "h1"}, {"name": "pool", "protocol": "h1", "engine": map[string]any{
			"slots": 1000, "kvCapacityTokens": 3000000, "kvTokenBytes": 1000, "linkMbps": 10000,
		}}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// answerSite answers as an endpoint of the gateway does: a large answer, a stream of large events, or a short answer.
func (dmn *process) answerSite(wri http.ResponseWriter, req *http.Request) {
	hdr := wri.Header()
	hdr.Set("Attempt-Id", req.Header.Get("Attempt-Id"))
	hdr.Set("Response-Signature", "signed."+req.Header.Get("Expect-Instance"))
	switch {
	case strings.Contains(req.URL.Path, "/events"):
		dmn.streams.Add(1)
		defer dmn.streams.Add(-1)
		hdr.Set("Content-Type", "text/event-stream")
		for number := range events {
			if _, err := fmt.Fprintf(wri, "id: %d\ndata: %s\n\n", number+1, bytes.Repeat([]byte("x"), eventBytes)); err != nil {
				return
			}
		}
	case strings.Contains(req.URL.Path, "/large"):
		hdr.Set("Content-Length", strconv.Itoa(largeBytes))
		_, _ = wri.Write(bytes.Repeat([]byte("x"), largeBytes))
	default:
		fmt.Fprint(wri, "answer")
	}
}

func startEntry(t *testing.T, programs string, limit int) *process {
	log, vms := serve(t, standin.NewLog(400).Handler()), serve(t, standin.NewVMs(nil).Handler())
	desk := serve(t, http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		if strings.Contains(req.URL.Path, "/large") {
			_, _ = wri.Write(bytes.Repeat([]byte("x"), entryLargeBytes))
			return
		}
		fmt.Fprint(wri, "answer")
	}))
	adr := freeAddresses(t, 3)
	dmn := &process{addresses: map[string]string{"caller": adr[0], "admin": adr[1], "peer": adr[2]}}
	dmn.ordinary = func() (*http.Request, error) {
		req, err := http.NewRequest(http.MethodPost, "http://"+adr[0]+"/v1/services/desk/asks/x", strings.NewReader("ordinary"))
		if err == nil {
			req.Header.Set("Authorization", "Bearer rimu/members")
		}
		return req, err
	}
	dmn.start(t, programs, limit, fmt.Sprintf(entrySettings, adr[0], adr[1], adr[2], log, vms))
	dir := filepath.Dir(dmn.log)
	writeFile(t, filepath.Join(dir, "inventory.yaml"), fmt.Sprintf(entryInventory, desk))
	writeFile(t, filepath.Join(dir, "rules.yaml"), entryRules)
	for until := time.Now().Add(startTime); ; time.Sleep(sampleTime) {
		cmd := exec.Command(filepath.Join(programs, "papayacroft"), "publish", "--inventory", "inventory.yaml", "--rules", "rules.yaml", "--daemons", adr[1], "--log", "http://"+log)
		cmd.Dir = dir
		out, err := cmd.CombinedOutput()
		if err == nil {
			return dmn
		}
		if time.Now().After(until) {
			t.Fatalf("got %v, want a publish: %s; %s", err, out, dmn.lastLines())
		}
	}
}

// start starts the program with a limit of descriptors, if it is not 0.
func (dmn *process) start(t *testing.T, programs string, limit int, settings string, args ...string) {
	dir := t.TempDir()
	writeFile(t, filepath.Join(dir, "settings.yaml"), settings)
	writeFile(t, filepath.Join(dir, "position.key"), strings.Repeat("crowd-key-", 4))
	dmn.log = filepath.Join(dir, "log")
	out, err := os.Create(dmn.log)
	if err != nil {
		t.Fatal(err)
	}
	defer out.Close()
	script := `exec "$@"`
	if limit > 0 {
		script = fmt.Sprintf(`ulimit -n %d; exec "$@"`, limit)
	}
	args = append([]string{"-c", script, "sh", filepath.Join(programs, "papayacroftd")}, args...)
	dmn.cmd = exec.Command("sh", append(args, "--settings", "settings.yaml")...)
	dmn.cmd.Dir, dmn.cmd.Stdout, dmn.cmd.Stderr = dir, out, out
	if err := dmn.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	dmn.ended = make(chan struct{})
	go func() {
		_ = dmn.cmd.Wait()
		close(dmn.ended)
	}()
	t.Cleanup(func() {
		_ = dmn.cmd.Process.Kill()
		<-dmn.ended
	})
}

func (dmn *process) hasEnded() bool {
	select {
	case <-dmn.ended:
		return true
	default:
		return false
	}
}

// lastLines returns the end of the log.
func (dmn *process) lastLines() string {
	data, err := os.ReadFile(dmn.log)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-1500):])
}

// peakMB returns the largest resident memory that the process has had.
func (dmn *process) peakMB(t *testing.T) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", dmn.cmd.Process.Pid))
	if err != nil {
		t.Fatalf("got %v, want the state of the process; %s", err, dmn.lastLines())
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.Atoi(strings.Fields(value)[0])
			if err != nil {
				t.Fatal(err)
			}
			return kilobytes / 1024
		}
	}
	t.Fatalf("got no VmHWM, want one; %s", dmn.lastLines())
	return 0
}

// sampleDescriptors returns the largest number of open descriptors until leave is closed.
func (dmn *process) sampleDescriptors(leave <-chan struct{}) <-chan int {
	most := make(chan int, 1)
	go func() {
		peak := 0
		for {
			if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", dmn.cmd.Process.Pid)); err == nil {
				peak = max(peak, len(entries))
			}
			select {
			case <-leave:
				most <- peak
				return
			case <-time.After(sampleTime):
			}
		}
	}()
	return most
}

func serve(t *testing.T, hdl http.Handler) string {
	srv := httptest.NewServer(hdl)
	t.Cleanup(func() {
		srv.CloseClientConnections()
		_ = srv.Listener.Close()
	})
	return srv.Listener.Addr().String()
}

func freeAddresses(t *testing.T, count int) []string {
	addresses, err := standin.FreeAddresses(count)
	if err != nil {
		t.Fatal(err)
	}
	return addresses
}

func writeFile(t *testing.T, name, content string) {
	if err := os.WriteFile(name, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
}
