package main

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// tricklers is the number of connections of the crowd; the machine has 4,100 descriptors.
	tricklers   = 1450
	pieceTime   = 400 * time.Millisecond
	trickleTime = 25 * time.Second
	// otherClients is the number of ordinary clients that open connections, contactTime is contactMs.
	otherClients = 8
	contactTime  = 3 * time.Second
)

// playTrickle lets many clients send legal bodies piece by piece, while ordinary clients open new connections.
func playTrickle(record string) {
	wld := newWorld(record)
	keys := map[string][]string{"huka270": {"key-one"}}
	wld.store.put(topicOperator, "config", configuration(1, []map[string]any{
		routeOf("cast", "/pule252/", "non_idempotent", "desk", 600, 100, 1),
		routeOf("check", "/puxa403/", "idempotent", "desk", 600, 100, 2),
	}, keys))
	wld.engines = append(wld.engines, newEngine(wld.store, wld.log, "i-0", "desk"), newEngine(wld.store, wld.log, "i-1", "desk"))
	wld.addGateways(1)
	gat := wld.gateways[0]
	stop := make(chan struct{})
	var grp sync.WaitGroup
	time.Sleep(4 * time.Second)
	wld.log.note("the crowd begins")
	if wld.trouble {
		for i := range tricklers {
			grp.Go(func() { trickle(gat, i, stop) })
		}
	}
	time.Sleep(time.Second)
	var last atomic.Int64
	last.Store(time.Now().UnixNano())
	var longest, answered, failed atomic.Int64
	for i := range otherClients {
		grp.Go(func() {
			for j := 0; ; j++ {
				select {
				case <-stop:
					return
				case <-time.After(200 * time.Millisecond):
				}
				ans := call(gat.front, "GET", "/puxa403/2f", fmt.Sprintf("other-%d-%d", i, j), "key-one", 600*time.Millisecond)
				if ans.status == 0 {
					failed.Add(1)
					continue
				}
				answered.Add(1)
				now := time.Now().UnixNano()
				longest.Store(max(longest.Load(), now-last.Swap(now)))
			}
		})
	}
	ready := 0
	until := time.Now().Add(trickleTime)
	for time.Now().Before(until) {
		if gat.isReady() {
			ready++
		} else {
			wld.log.note("not ready")
		}
		time.Sleep(time.Second)
	}
	close(stop)
	grp.Wait()
	longest.Store(max(longest.Load(), time.Now().UnixNano()-last.Load()))
	span := time.Duration(longest.Load())
	wld.end(span > contactTime, fmt.Sprintf("ready %d times of %.0f; ordinary clients: %d answered, %d not; the longest time without an answered connection is %v",
		ready, trickleTime.Seconds(), answered.Load(), failed.Load(), span.Round(10*time.Millisecond)))
}

// trickle sends requests with a body piece by piece.
func trickle(gat *Gateway, number int, stop chan struct{}) {
	for {
		con, err := net.DialTimeout("tcp", gat.front, time.Second)
		if err == nil {
			head := requestHead("POST", "/pule252/2f", fmt.Sprintf("slow-%d", number), "key-one", 10*time.Second, "Content-Length: 1000")
			_, err = io.WriteString(con, head+"\r\n")
		}
		for err == nil {
			select {
			case <-stop:
				_ = con.Close()
				return
			case <-time.After(pieceTime):
			}
			_, err = io.WriteString(con, "x")
		}
		if con != nil {
			_ = con.Close()
		}
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}
