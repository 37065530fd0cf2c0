package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// crowdSize is the number of connections that the crowd opens to each machine.
	crowdSize  = 800
	crowdWaves = 3
	waveTime   = 8 * time.Second
	// crowdHead is the size of a crowd's request head; maxHeaderBytes is 16,384.
	crowdHead  = 16000
	samplePoll = 10 * time.Millisecond
)

// playCrowd opens many connections whose requests have a legal head with a long Prompt-Prefix and a body that stops one byte
// short of its end. The platform kills a process whose memory exceeds memoryMb.
func playCrowd(record string) {
	wld := newWorld(record)
	keys := map[string][]string{"huka270": {"key-one"}}
	routes := []map[string]any{
		routeOf("cast", "/pule252/", "non_idempotent", "desk", 600, 100, 1),
		routeOf("check", "/puxa403/", "idempotent", "desk", 600, 100, 2),
	}
	wld.store.put(topicOperator, "config", configuration(1, routes, keys))
	for i := range 2 {
		wld.engines = append(wld.engines, newEngine(wld.store, wld.log, fmt.Sprintf("i-%d", i), "desk"))
	}
	wld.addGateways(2)
	stop := make(chan struct{})
	var ends [2]atomic.Int64
	var grp sync.WaitGroup
	for i, gat := range wld.gateways {
		grp.Go(func() { wld.ordinary(gat, stop) })
		grp.Go(func() { wld.enforceMemory(gat, &ends[i], stop) })
	}
	for wave := range crowdWaves {
		time.Sleep(2 * time.Second)
		wld.log.note("wave %d begins", wave+1)
		var crowd sync.WaitGroup
		if wld.trouble {
			for _, gat := range wld.gateways {
				crowd.Go(func() { wld.crowd(gat) })
			}
		}
		crowd.Wait()
		for _, gat := range wld.gateways {
			gat.awaitReady()
		}
	}
	close(stop)
	grp.Wait()
	first, second := ends[0].Load(), ends[1].Load()
	wld.end(first >= crowdWaves && second >= crowdWaves, fmt.Sprintf("ends by memory: %d and %d", first, second))
}

// crowd opens the connections of one wave to one machine and holds them for waveTime.
func (wld *world) crowd(gat *Gateway) {
	parts := strings.Repeat(":,", (crowdHead-300)/2) + "b2:1"
	var conns []net.Conn
	for i := range crowdSize {
		con, err := net.DialTimeout("tcp", gat.front, time.Second)
		if err != nil {
			continue
		}
		conns = append(conns, con)
		const length = 16
		head := requestHead("POST", "/pule252/2f", fmt.Sprintf("crowd-%d", i), "key-one", 10*time.Second, "Prompt-Prefix: "+parts,
			fmt.Sprintf("Content-Length: %d", length))
		_, _ = io.WriteString(con, head+"\r\n"+strings.Repeat("x", length-1))
	}
	wld.log.note("%s: the crowd has %d connections open", gat.name, len(conns))
	time.Sleep(waveTime)
	for _, con := range conns {
		_ = con.Close()
	}
}

// enforceMemory does what the platform does: it kills a process that exceeds memoryMb, and starts it again.
func (wld *world) enforceMemory(gat *Gateway, ends *atomic.Int64, stop chan struct{}) {
	most := 0.0
	for {
		select {
		case <-stop:
			wld.log.note("%s: at most %.0f MB since its start", gat.name, most)
			return
		case <-time.After(samplePoll):
		}
		size := gat.anonymousMB()
		most = max(most, size)
		if size <= memoryMB {
			continue
		}
		wld.log.note("%s has %.0f MB, more than the %d MB of its machine", gat.name, size, memoryMB)
		ends.Add(1)
		most = 0
		gat.signal(syscall.SIGKILL)
		gat.awaitEnd(time.Minute)
		time.Sleep(time.Second)
		gat.start()
	}
}

// ordinary sends a request each 100 ms.
func (wld *world) ordinary(gat *Gateway, stop chan struct{}) {
	counts := map[int]int{}
	for i := 0; ; i++ {
		select {
		case <-stop:
			wld.log.note("%s: answers to ordinary callers by status: %v", gat.name, counts)
			return
		case <-time.After(100 * time.Millisecond):
		}
		ans := call(gat.front, "GET", "/puxa403/2f", fmt.Sprintf("%s-%d", gat.name, i), "key-one", 600*time.Millisecond)
		counts[ans.status]++
	}
}
