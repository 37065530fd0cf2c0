package main

import (
	"fmt"
	"time"
)

// applyTime is configApplyMs of the small deployment.
const applyTime = 2 * time.Second

// playTenant takes the only tenant, and with it the last keys, out of the configuration.
func playTenant(record string) {
	wld := newWorld(record)
	routes := []map[string]any{
		routeOf("cast", "/pule252/", "non_idempotent", "desk", 600, 100, 1),
		routeOf("check", "/puxa403/", "idempotent", "desk", 600, 100, 2),
	}
	version := func(number int, keys map[string][]string) {
		data := configuration(number, routes, keys)
		_, ok := wld.store.put(topicOperator, "config", data)
		wld.log.note("the operator writes version %d, acknowledged %v: %s", number, ok, data)
	}
	version(1, map[string][]string{"huka270": {"key-one", "key-two"}})
	wld.engines = append(wld.engines, newEngine(wld.store, wld.log, "i-0", "desk"), newEngine(wld.store, wld.log, "i-1", "desk"))
	wld.addGateways(2)
	time.Sleep(4 * time.Second)
	sent := map[string]string{}
	send := func(stage string) {
		for i, gat := range wld.gateways {
			for _, key := range []string{"key-one", "key-two", "never-held"} {
				for n := range 5 {
					id := fmt.Sprintf("%s-%s-%d-%d", stage, key, i, n)
					sent[id] = key
					ans := call(gat.front, "POST", "/pule252/2f", id, key, 600*time.Millisecond)
					wld.log.note("%s: answered %d", id, ans.status)
				}
			}
		}
	}
	send("before")
	allowed := map[string]bool{"key-one": true, "key-two": true}
	if wld.trouble {
		version(4, map[string][]string{"huka270": {"key-one"}})
		time.Sleep(applyTime)
		version(7, map[string][]string{})
		allowed = map[string]bool{}
	}
	time.Sleep(2 * applyTime)
	send("after")
	count, bad := map[string]int{}, 0
	for _, eng := range wld.engines {
		for _, one := range eng.allRuns() {
			key := sent[one.id]
			if key == "never-held" || one.id[:5] == "after" && !allowed[key] {
				bad++
				count[key]++
				wld.log.note("%s ran at %s, tenant %q, key %s", one.id, eng.id, one.tenant, key)
			}
		}
	}
	wld.end(bad > 0, fmt.Sprintf("of %d requests, %d ran with a key that is not allowed: %v", len(sent), bad, count))
}
