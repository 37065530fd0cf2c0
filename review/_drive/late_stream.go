package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// A generation has blurbEvents events, the first one after blurbFirst and the others after blurbPause each. The sheet has up to
	// 14.7 events, an aim of 1,500 ms for the first one and pauses of up to 180 ms.
	blurbEvents = 14
	blurbFirst  = 1400 * time.Millisecond
	blurbPause  = 175 * time.Millisecond
	// blurbDeadline is the deadline of the clients and timeoutMs of the route.
	blurbDeadline = 6 * time.Second
	// excusedTime is the time after a SIGTERM up to which the rule excuses requests that still run in the last sixth of graceS.
	excusedTime = 3 * time.Second
	// rollGap is gap_s of a roll_term.
	rollGap = time.Second
	// clientGap is the time between two requests of all clients; the sheet has 4.85 a second.
	clientGap = 206 * time.Millisecond
	// The machines are stopped in turn rolls times, the next time rollPause after the last stop.
	rolls           = 2
	stoppedMachines = 2
	firstRoll       = 3 * time.Second
	rollPause       = 13 * time.Second
	sendingTime     = 30 * time.Second
)

// balancer is the platform's entry: it asks for readiness once a second and takes a machine out after two misses.
type balancer struct {
	daemons []*daemon
	mutex   sync.Mutex
	misses  map[*daemon]int
}

func newBalancer(daemons []*daemon) *balancer {
	bal := &balancer{daemons: daemons, misses: map[*daemon]int{}}
	for _, dmn := range daemons {
		go func() {
			for {
				time.Sleep(time.Second)
				isReady := dmn.isReady()
				bal.mutex.Lock()
				if bal.misses[dmn]++; isReady {
					bal.misses[dmn] = 0
				}
				bal.mutex.Unlock()
			}
		}()
	}
	return bal
}

// pick returns the machine for a new connection from a zone, and how many of the zone's machines are in rotation. With fewer
// than half of them, but not none, all get connections.
func (bal *balancer) pick(zone string) (chosen *daemon, inRotation int) {
	bal.mutex.Lock()
	defer bal.mutex.Unlock()
	var all, up, elsewhere []*daemon
	for _, dmn := range bal.daemons {
		switch isUp := bal.misses[dmn] < 2; {
		case dmn.zone != zone && isUp:
			elsewhere = append(elsewhere, dmn)
		case dmn.zone == zone:
			all = append(all, dmn)
			if isUp {
				up = append(up, dmn)
			}
		}
	}
	from := up
	switch {
	case len(up) == 0:
		from = elsewhere
	case 2*len(up) < len(all):
		from = all
	}
	return from[rand.IntN(len(from))], len(up)
}

// playLateStream stops two of the three machines of a zone in turn while clients ask for streams that take 3.7 s.
func playLateStream(wld *world, trouble bool) (verdict, error) {
	answer := func(eng *engine, arr *arrival, wri http.ResponseWriter, req *http.Request) {
		select {
		case <-time.After(blurbFirst):
		case <-req.Context().Done():
			return
		}
		eng.stream(arr, wri, req, blurbEvents, func(int) time.Duration { return blurbPause })
	}
	for _, zone := range []string{"akl-a", "akl-a", "akl-a", "akl-b", "akl-b", "akl-b"} {
		if err := wld.addEngine("i-"+newID()[:8], "pool", zone, 48, answer); err != nil {
			return verdict{}, err
		}
	}
	if err := wld.putConfig(config(7)); err != nil {
		return verdict{}, err
	}
	for _, place := range [][2]string{{"akl-a-1", "akl-a"}, {"akl-a-2", "akl-a"}, {"akl-a-3", "akl-a"}, {"akl-b-1", "akl-b"}, {"akl-b-2", "akl-b"}} {
		if _, err := wld.addDaemon("front-"+place[0], place[1]); err != nil {
			return verdict{}, err
		}
	}
	if err := wld.awaitAll(); err != nil {
		return verdict{}, err
	}
	bal := newBalancer(wld.daemons)
	time.Sleep(2 * time.Second)
	replies := make(chan *reply, 1000)
	var sent sync.WaitGroup
	if trouble {
		sent.Go(func() {
			time.Sleep(firstRoll)
			for number := range rolls * stoppedMachines {
				if number > 0 && number%stoppedMachines == 0 {
					time.Sleep(rollPause)
				}
				dmn := wld.daemons[number%stoppedMachines]
				sent.Go(func() {
					dmn.stop()
					time.Sleep(restartDelay)
					if err := dmn.start(); err != nil {
						wld.note("%s: %v", dmn.name, err)
					}
				})
				time.Sleep(rollGap)
			}
		})
	}
	for until := time.Now().Add(sendingTime); time.Now().Before(until); time.Sleep(clientGap) {
		dmn, up := bal.pick("akl-a")
		sent.Go(func() {
			elapsed, stopped := dmn.sinceStop(time.Now())
			rep := wld.stream(dmn, "/blurb/2f", blurbDeadline, 2200, 4*blurbEvents)
			rep.afterStop = elapsed
			when := "before a SIGTERM"
			if stopped {
				rep.stopped = true
				when = fmt.Sprintf("%.3f s after the last SIGTERM", elapsed.Seconds())
			}
			wld.note("%s; sent %s at %.3f with %d of 3 machines of the zone in rotation; endpoints: %v", rep, when, rep.sentAt.Sub(wld.began).Seconds(), up, wld.passedOn(rep.id))
			replies <- rep
		})
	}
	sent.Wait()
	close(replies)
	return judgeLateStreams(wld, replies), nil
}

// judgeLateStreams counts the streams that a stopping machine has cut although the rule doesn't excuse it.
func judgeLateStreams(wld *world, replies chan *reply) verdict {
	total, whole, refused, excused, cut := 0, 0, 0, 0, 0
	for rep := range replies {
		total++
		switch {
		case rep.whole && rep.status == http.StatusOK && rep.events == blurbEvents:
			whole++
		case rep.whole:
			refused++
		case !wld.hasRun(rep.id) || rep.endAt.Sub(rep.sentAt) >= blurbDeadline-100*time.Millisecond:
			excused++
		case !rep.stopped || rep.afterStop <= excusedTime || rep.afterStop > graceTime+time.Second:
			excused++
		default:
			cut++
		}
	}
	return verdict{broken: cut > 0, text: fmt.Sprintf(
		"LOST: %d of %d streams were cut by a machine that they were sent to more than 3 s after its SIGTERM, while a sound engine was at work on them; %d whole, %d answered with a refusal or an error, %d ended otherwise",
		cut, total, whole, refused, excused)}
}
