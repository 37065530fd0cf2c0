package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	// awayTime is how long the store is away; it comes back from a copy that is copyAge older than the moment at which it left.
	awayTime = 2500 * time.Millisecond
	copyAge  = 3 * time.Second
	// nextChange is the time from the operator's first write after the store's return to its next change.
	nextChange = 10 * time.Millisecond
	// boundTime is contactMs + configApplyMs + outerMs of the small deployment.
	boundTime = 10 * time.Second
	checkTime = 10 * time.Second
)

// playEra takes the store away for a moment and brings it back from a copy that lacks two versions of the configuration. The
// operator writes the newest version again, and then a version that drops a key and moves a route.
func playEra(record string) {
	wld := newWorld(record)
	routes := func(service string) []map[string]any {
		return []map[string]any{
			routeOf("cast", "/pule252/", "non_idempotent", "desk", 600, 100, 1),
			routeOf("check", "/puxa403/", "idempotent", service, 600, 100, 2),
		}
	}
	both := map[string][]string{"huka270": {"key-one", "key-two"}}
	one := map[string][]string{"huka270": {"key-one"}}
	version := func(number int, service string, keys map[string][]string) {
		offset, ok := wld.store.put(topicOperator, "config", configuration(number, routes(service), keys))
		wld.log.note("the operator writes version %d: offset %d, acknowledged %v", number, offset, ok)
	}
	version(1, "desk", both)
	for i, service := range []string{"desk", "desk", "desk-two", "desk-two"} {
		wld.engines = append(wld.engines, newEngine(wld.store, wld.log, fmt.Sprintf("i-%d", i), service))
	}
	wld.addGateways(2)
	time.Sleep(2 * time.Second)
	copied := wld.store.copyTopics()
	time.Sleep(copyAge / 3)
	version(3, "desk", both)
	time.Sleep(copyAge / 3)
	version(5, "desk", both)
	time.Sleep(copyAge / 3)
	if wld.trouble {
		wld.store.leave(false)
		wld.log.note("the store is away")
		time.Sleep(awayTime)
		wld.store.comeBack(copied)
		wld.log.note("the store is back from a copy, era 2")
		version(5, "desk", both)
		for _, eng := range wld.engines {
			eng.beat()
		}
	}
	time.Sleep(nextChange)
	version(8, "desk-two", one)
	acknowledged := time.Now()
	time.Sleep(boundTime)
	wld.log.note("%v since the acknowledgement of version 8: requests that only older versions allow", time.Since(acknowledged).Round(time.Millisecond))
	sent := map[string]string{}
	for i := 0; time.Since(acknowledged) < boundTime+checkTime; i++ {
		for _, gat := range wld.gateways {
			for _, key := range []string{"key-one", "key-two"} {
				id := fmt.Sprintf("%s-%s-%d", gat.name, key, i)
				sent[id] = key
				ans := call(gat.front, "GET", "/puxa403/2f", id, key, 600*time.Millisecond)
				wld.log.note("%s: answered %d %s", id, ans.status, strings.TrimSpace(ans.body))
			}
		}
		time.Sleep(250 * time.Millisecond)
	}
	dropped, oldService := 0, 0
	for _, eng := range wld.engines {
		for _, run := range eng.allRuns() {
			key, late := sent[run.id]
			if !late {
				continue
			}
			wld.log.note("%s ran at %s of %s, tenant %q", run.id, eng.id, run.service, run.tenant)
			if key == "key-two" {
				dropped++
			}
			if run.service == "desk" {
				oldService++
			}
		}
	}
	wld.end(dropped+oldService > 0, fmt.Sprintf("of %d requests, %d ran with the dropped key and %d at the old service", len(sent), dropped, oldService))
}
