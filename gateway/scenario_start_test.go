package gateway_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"papayacroft/document"
	"papayacroft/gateway"
	"papayacroft/logline"
	"papayacroft/platform"
	"papayacroft/settings"
	"papayacroft/standin"
)

func (sit *site) startEngine(args []string) {
	sit.born++
	edp := &siteEndpoint{SiteEngine: standin.NewSiteEngine(args[0]), service: args[1], domain: args[2], born: sit.born}
	edp.Born = sit.born
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

// restartEngine starts an engine again under its id and address.
func (sit *site) restartEngine(id, name string) {
	sit.born++
	edp := sit.engines[id]
	edp.born, edp.beats = sit.born, 0
	other := &siteEndpoint{SiteEngine: standin.NewSiteEngine(id), server: edp.server}
	other.Born, other.Site = sit.born, edp.Site
	edp.answering.Store(other.SiteEngine)
	sit.engines[name] = other
	sit.beat(id, "ready")
}

func (sit *site) beat(id, state string) {
	edp := sit.engines[id]
	edp.beats++
	sit.write(id, state, edp.beats)
}

// write writes an endpoint's entry with a number.
func (sit *site) write(id, state string, sequence int) {
	edp := sit.engines[id]
	entry, err := json.Marshal(map[string]any{
		"service": edp.service, "address": edp.server.Listener.Addr().String(), "zone": edp.domain, "slots": 8, "state": state,
		"sequence": sequence, "born": edp.born, "coldLeftMs": max(0, time.Until(edp.coldUntil).Milliseconds()),
	})
	if err != nil {
		sit.fatalf("%v", err)
	}
	sit.store.Put("keyed.servers", id, entry)
}

// writeOdd writes an entry of an id as no endpoint writes it: nested deeply, with a number too large for any field, with a port
// out of range, with more slots than any endpoint has, with a start far in the future, or with a key that is not valid UTF-8.
func (sit *site) writeOdd(id, form string) {
	fields := map[string]string{
		"service": `"desk"`, "address": `"127.0.0.1:9"`, "zone": `"a"`, "slots": "8", "state": `"ready"`, "sequence": "1", "born": "1000",
	}
	switch form {
	case "deep":
		fields["more"] = strings.Repeat("[", oddDepth) + strings.Repeat("]", oddDepth)
	case "number":
		fields["sequence"] = "1e999"
	case "port":
		fields["address"] = `"127.0.0.1:65536"`
	case "slots":
		fields["slots"] = "1000000000000000000"
	case "born":
		fields["born"] = "9000000000000000000"
	case "key":
		id += "\xff"
	default:
		sit.fatalf("%q is no form of an entry", form)
	}
	var parts []string
	for name, value := range fields {
		parts = append(parts, fmt.Sprintf("%q:%s", name, value))
	}
	sit.store.Put("keyed.servers", id, []byte("{"+strings.Join(parts, ",")+"}"))
}

// oddDepth is the depth of a deeply nested entry; the record stays below the 256 KB that the store takes.
const oddDepth = 100_000

// siteChanges are the differences of a configuration from the usual one.
type siteChanges struct {
	// without has the routes, the organisations, the service desk and the fields tenants, limits and services that are left out;
	// allServices stands for an empty list of services.
	without map[string]bool
	// moved has the services of routes, priorities their priorities, and zero a field that is 0, by route; "limits" is the
	// section of limits.
	moved, zero map[string]string
	priorities  map[string]int
	// more is a number of further routes, coldPerS and coldS are values of both services; 0 means none.
	more, coldPerS, coldS int
	emptyKey              bool
}

// parseChanges reads the words of the command publish.
func parseChanges(words []string) *siteChanges {
	chg := &siteChanges{without: map[string]bool{}, moved: map[string]string{}, zero: map[string]string{}, priorities: map[string]int{}}
	for i := 0; i < len(words); i++ {
		switch words[i] {
		case "routes":
			i++
			chg.more, _ = strconv.Atoi(words[i])
		case "cold":
			chg.coldPerS, _ = strconv.Atoi(words[i+1])
			chg.coldS, _ = strconv.Atoi(words[i+2])
			i += 2
		case "zero":
			chg.zero[words[i+1]] = words[i+2]
			i += 2
		case "emptyKey":
			chg.emptyKey = true
		case "without":
			i++
			chg.without[words[i]] = true
		case "move":
			chg.moved[words[i+1]] = words[i+2]
			i += 2
		case "priority":
			chg.priorities[words[i+1]], _ = strconv.Atoi(words[i+2])
			i += 2
		}
	}
	return chg
}

// configuration returns a configuration with two services and a route for each kind of request.
func configuration(version string, changes []string) []byte {
	chg := parseChanges(changes)
	var routes []map[string]any
	for _, rou := range []map[string]any{
		{"name": "once", "kind": "non_idempotent", "service": "desk", "maxAttempts": 1, "timeoutMs": 2000, "targetLatencyMs": 500},
		{"name": "slow", "kind": "non_idempotent", "service": "desk", "maxAttempts": 1, "timeoutMs": 20000, "targetLatencyMs": 500},
		{"name": "again", "kind": "idempotent", "service": "desk", "maxAttempts": 2, "timeoutMs": 2000, "targetLatencyMs": 500},
		{"name": "long", "kind": "stream", "service": "pool", "maxAttempts": 1, "timeoutMs": 30000, "targetLatencyMs": 3000},
		{"name": "short", "kind": "stream", "service": "pool", "maxAttempts": 2, "timeoutMs": 30000, "targetLatencyMs": 3000, "resumable": true},
		{"name": "check", "kind": "idempotent", "service": "pool", "maxAttempts": 2, "timeoutMs": 2000, "targetLatencyMs": 500},
		{"name": "open", "kind": "idempotent", "service": "desk", "maxAttempts": 2, "timeoutMs": 2000, "targetLatencyMs": 500, "public": true},
	} {
		name := rou["name"].(string)
		if chg.without[name] {
			continue
		}
		if service, ok := chg.moved[name]; ok {
			rou["service"] = service
		}
		rou["priority"] = chg.priorities[name]
		if field, ok := chg.zero[name]; ok {
			rou[field] = 0
		}
		rou["host"], rou["pathPrefix"] = "site.example", "/"+name+"/"
		routes = append(routes, rou)
	}
	for number := range chg.more {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("more%d", number), "host": "site.example", "pathPrefix": fmt.Sprintf("/more%d/", number),
			"kind": "idempotent", "service": "desk", "maxAttempts": 2, "timeoutMs": 2000, "targetLatencyMs": 500,
		})
	}
	engine := map[string]any{
		"slots": 8, "kvCapacityTokens": 30000, "moves": true, "backups": true, "stride": 4, "handleS": 5, "kvTokenBytes": 1000, "linkMbps": 10000,
	}
	services := []map[string]any{{"name": "pool", "protocol": "h1", "engine": engine}}
	if !chg.without["desk"] {
		services = append(services, map[string]any{"name": "desk", "protocol": "h1"})
	}
	if chg.coldPerS > 0 {
		for _, svc := range services {
			svc["coldPerS"], svc["coldS"] = chg.coldPerS, chg.coldS
		}
	}
	limits := map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4096, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
	if field, ok := chg.zero["limits"]; ok {
		limits[field] = 0
	}
	num, _ := strconv.Atoi(version)
	doc := map[string]any{
		"version": num, "routes": routes, "tenants": chg.organisations(), "services": services,
		"limits": limits,
	}
	if chg.without["allServices"] {
		doc["services"] = []any{}
	}
	for _, field := range []string{"tenants", "limits", "services"} {
		if chg.without[field] {
			delete(doc, field)
		}
	}
	data, _ := json.Marshal(doc)
	return data
}

// organisations returns the list of organisations of a configuration.
func (chg *siteChanges) organisations() []map[string]any {
	tenants := []map[string]any{}
	for _, name := range []string{"one", "two"} {
		if !chg.without[name] {
			tenants = append(tenants, map[string]any{"name": name, "apiKeys": []string{"key-" + name}})
		}
		if chg.emptyKey {
			tenants[0]["apiKeys"] = []string{"key-one", ""}
		}
	}
	return tenants
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
		Log:     settings.Log{Level: "info", Format: "json"}, Contracts: sit.contracts,
		Queue: settings.Queue{Enabled: sit.queue},
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
