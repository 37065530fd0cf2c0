package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// fleetSize is the number of machines of the site and three of its four spare ones.
	fleetSize = 10
	// fleetCopyAge is the age of the copy when the store goes away, fleetAwayTime how long it is away.
	fleetCopyAge  = 5 * time.Second
	fleetAwayTime = 2500 * time.Millisecond
	// comingTime is the time from the store's return to the start of the new engines, routeTime that to the new version.
	comingTime = 600 * time.Millisecond
	routeTime  = 1500 * time.Millisecond
	// steadyTime is the time from the new version to the first request: contactMs, configApplyMs and some more.
	steadyTime = 8 * time.Second
	// newEngines beside 13 others are a share of 0.23.
	newEngines = 3
	// perMachine is the number of requests for each route that each machine gets.
	perMachine = 20
)

// playNewcomers takes the store away and brings it back from a copy. New engines register, and a route to them is added.
func playNewcomers(record string) {
	wld := newWorld(record)
	keys := map[string][]string{"huka270": {"key-one"}}
	routes := []map[string]any{
		routeOf("cast", "/pule252/", "non_idempotent", "desk", 600, 100, 1),
		routeOf("check", "/puxa403/", "idempotent", "desk", 600, 100, 2),
		routeOf("write", "/lohu930/", "stream", "pool", 39000, 1800, 1),
	}
	wld.store.put(topicOperator, "config", configuration(1, routes, keys))
	for i := range 9 {
		wld.engines = append(wld.engines, newEngine(wld.store, wld.log, fmt.Sprintf("i-pool-%d", i), "pool"))
		time.Sleep(heartbeat / 13)
	}
	for i := range 4 {
		wld.engines = append(wld.engines, newEngine(wld.store, wld.log, fmt.Sprintf("i-desk-%d", i), "desk"))
		time.Sleep(heartbeat / 13)
	}
	wld.addGateways(fleetSize)
	time.Sleep(6 * time.Second)
	copied := wld.store.copyTopics()
	time.Sleep(fleetCopyAge)
	if wld.trouble {
		wld.store.leave(false)
		wld.log.note("the store is away")
		time.Sleep(fleetAwayTime)
		wld.store.comeBack(copied)
		wld.log.note("the store is back from a copy, era 2")
		for _, eng := range wld.engines {
			eng.beat()
		}
	}
	time.Sleep(comingTime)
	for i := range newEngines {
		wld.engines = append(wld.engines, newEngine(wld.store, wld.log, fmt.Sprintf("i-new-%d", i), "desk-two"))
	}
	wld.log.note("%d engines of a service that had none have started", newEngines)
	time.Sleep(routeTime - comingTime)
	_, ok := wld.store.put(topicOperator, "config", configuration(4, append(routes, routeOf("added", "/nyfi13/", "idempotent", "desk-two", 600, 100, 2)), keys))
	wld.log.note("the operator adds a route to that service, acknowledged %v", ok)
	time.Sleep(steadyTime)
	first, added := wld.ask("/puxa403/2f"), wld.ask("/nyfi13/2f")
	all := fleetSize * perMachine
	wld.end(4*added < first, fmt.Sprintf("of %d requests each, %d on a first route and %d on the added one were served", all, first, added))
}

// ask sends requests of a path to all machines and returns the number that were served.
func (wld *world) ask(path string) int {
	served := 0
	var mutex sync.Mutex
	var grp sync.WaitGroup
	for _, gat := range wld.gateways {
		grp.Go(func() {
			counts := map[int]int{}
			last := ""
			for i := range perMachine {
				ans := call(gat.front, "GET", path, fmt.Sprintf("%s-%s-%d", gat.name, path[1:5], i), "key-one", 600*time.Millisecond)
				counts[ans.status]++
				if ans.status != http.StatusOK {
					last = ans.body
				}
				time.Sleep(100 * time.Millisecond)
			}
			mutex.Lock()
			defer mutex.Unlock()
			served += counts[http.StatusOK]
			wld.log.note("%s: %s answered %v %s", gat.name, path, counts, last)
		})
	}
	grp.Wait()
	return served
}
