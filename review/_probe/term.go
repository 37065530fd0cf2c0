package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// streamEvents at the engine's interval take 3 s.
	streamEvents = 60
	streams      = 10
	// againTime is the time between the two signals.
	againTime = time.Second
)

// playTerm stops a machine while it relays short streams, and sends the signal to stop again a second later, before graceS.
func playTerm(record string) {
	wld := newWorld(record)
	wld.store.put(topicOperator, "config", configuration(1, []map[string]any{
		routeOf("write", "/lohu930/", "stream", "pool", 39000, 1800, 1),
	}, map[string][]string{"huka270": {"key-one"}}))
	for i := range 2 {
		eng := newEngine(wld.store, wld.log, fmt.Sprintf("i-%d", i), "pool")
		eng.events = streamEvents
		wld.engines = append(wld.engines, eng)
	}
	wld.addGateways(2)
	time.Sleep(4 * time.Second)
	gat := wld.gateways[0]
	var grp sync.WaitGroup
	var whole, cut atomic.Int64
	for i := range streams {
		grp.Go(func() {
			id := fmt.Sprintf("stream-%d", i)
			events, err := readStream(gat.front, id)
			wld.log.note("%s: %d events of %d, %v", id, events, streamEvents, err)
			if err == nil && events == streamEvents {
				whole.Add(1)
			} else {
				cut.Add(1)
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	began := time.Now()
	gat.signal(syscall.SIGTERM)
	time.Sleep(againTime)
	if wld.trouble {
		gat.signal(syscall.SIGTERM)
	}
	grp.Wait()
	wld.log.note("%s ended: %v, %v after the first signal", gat.name, gat.awaitEnd(10*time.Second), time.Since(began).Round(time.Millisecond))
	wld.end(cut.Load() > 0, fmt.Sprintf("%d streams whole, %d cut", whole.Load(), cut.Load()))
}

// readStream sends a request of a stream and returns the number of events; the error is nil if the answer ended whole.
func readStream(address, id string) (int, error) {
	con, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, err
	}
	defer con.Close()
	head := requestHead("POST", "/lohu930/2f", id, "key-one", 39*time.Second, "Model: m", "Token-Usage: 100,240", "Prompt-Prefix: a1:50,b2:50", "Content-Length: 4")
	if _, err := io.WriteString(con, head+"\r\nbody"); err != nil {
		return 0, err
	}
	res, err := http.ReadResponse(bufio.NewReader(con), &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return strings.Count(string(data), "id: "), err
}
