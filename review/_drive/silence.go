package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// silenceEvents are the events of a stream, silenceAt the one after which its engine puts it back for preemptedTime.
	silenceEvents = 30
	silenceAt     = 8
	eventPause    = 100 * time.Millisecond
	preemptedTime = 1800 * time.Millisecond
	silentStreams = 6
)

// playSilence stops a machine while engines whose memory has run out have preempted streams for 1.8 s and take no new requests.
func playSilence(wld *world, trouble bool) (verdict, error) {
	var mutex sync.Mutex
	full := false
	answer := func(eng *engine, arr *arrival, wri http.ResponseWriter, req *http.Request) {
		mutex.Lock()
		isFull := full
		mutex.Unlock()
		if isFull {
			refuseFull(eng, wri)
			return
		}
		eng.stream(arr, wri, req, silenceEvents, func(id int) time.Duration {
			if id == silenceAt {
				return preemptedTime
			}
			return eventPause
		})
	}
	for _, zone := range []string{"akl-a", "akl-b"} {
		if err := wld.addEngine("i-"+newID()[:8], "pool", zone, 48, answer); err != nil {
			return verdict{}, err
		}
	}
	if err := wld.putConfig(config(7)); err != nil {
		return verdict{}, err
	}
	for _, zone := range []string{"akl-a", "akl-b", "wlg-a"} {
		if _, err := wld.addDaemon("front-"+zone+"-1", zone); err != nil {
			return verdict{}, err
		}
	}
	if err := wld.awaitAll(); err != nil {
		return verdict{}, err
	}
	time.Sleep(4 * time.Second)
	dmn := wld.daemons[0]
	replies := make(chan *reply, silentStreams)
	var sent sync.WaitGroup
	for range silentStreams {
		sent.Go(func() {
			rep := wld.stream(dmn, "/blurb/2f", blurbDeadline, 2200, 4*silenceEvents)
			wld.note("%s; sent at %.3f; endpoints: %v", rep, rep.sentAt.Sub(wld.began).Seconds(), wld.passedOn(rep.id))
			replies <- rep
		})
	}
	time.Sleep(400 * time.Millisecond)
	mutex.Lock()
	full = true
	mutex.Unlock()
	wld.note("the engines are full: they refuse new requests and preempt streams for %s", preemptedTime)
	if trouble {
		sent.Go(dmn.stop)
	}
	sent.Wait()
	close(replies)
	whole, cut := 0, 0
	for rep := range replies {
		_, stopped := dmn.sinceStop(rep.endAt)
		switch {
		case rep.whole && rep.status == http.StatusOK && rep.events == silenceEvents:
			whole++
		case !rep.whole && stopped && wld.hasRun(rep.id) && rep.endAt.Sub(rep.sentAt) < blurbDeadline-100*time.Millisecond:
			cut++
		}
	}
	return verdict{broken: cut > 0, text: fmt.Sprintf(
		"LOST: a stopping machine cut %d of %d streams while their sound engine was silent for %s and then went on; %d whole", cut, silentStreams, preemptedTime, whole)}, nil
}
