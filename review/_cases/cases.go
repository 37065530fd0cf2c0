package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	systemPart = "5c1e07a2:60"
	badPart    = "91bd3f06"
	// eventPause is the time between two events of a stream.
	eventPause = 5 * time.Millisecond
	// fewEvents is the number of events of a short stream.
	fewEvents = 6
	gateways  = 4
)

// streams returns a handler that sends a whole stream.
func streams(events int, pause time.Duration) func(cal *call) {
	return func(cal *call) {
		cal.head(http.StatusOK, "text/event-stream", chunked)
		for number := cal.lastEvent() + 1; number <= events; number++ {
			time.Sleep(pause)
			if !cal.chunk(event(number, cal.id)) {
				return
			}
		}
		cal.chunk("")
	}
}

// addPool starts model engines in different zones.
func (sit *site) addPool(serves ...func(cal *call)) ([]*engine, error) {
	var pool []*engine
	zones := []string{"akl-a", "akl-b", "wlg-a", "chc-a"}
	for i, serve := range serves {
		eng, err := sit.addEngine(fmt.Sprintf("i-llm%d", i+1), poolService, zones[i%len(zones)], 48, serve)
		if err != nil {
			return nil, err
		}
		putEngine(eng)
		pool = append(pool, eng)
	}
	return pool, nil
}

// sendAll sends requests at a steady rate, one gateway after the other, and waits for their answers.
func (sit *site) sendAll(count int, perSecond float64, deadline time.Duration, make func(i int) (path, prefix string)) []*attempt {
	var all []*attempt
	var group sync.WaitGroup
	begun := time.Now()
	for i := range count {
		time.Sleep(time.Until(begun.Add(time.Duration(float64(i) / perSecond * float64(time.Second)))))
		path, prefix := make(i)
		att := newAttempt(sit.gateways[i%len(sit.gateways)], path, prefix)
		all = append(all, att)
		group.Go(func() {
			att.send(sit.rec, deadline)
			att.sendAgain(sit.rec, deadline, sit.gateways[(i+1)%len(sit.gateways)])
		})
	}
	group.Wait()
	return all
}

func soundPrefix(i int) string {
	return fmt.Sprintf("%s,%08x:540", systemPart, 0x10000000+i)
}

// caseRefused: one engine in eight fails one request in 50 with status 500; with trouble, these answers are cut short.
func caseRefused(sit *site, trouble bool) (bool, error) {
	const every = 50
	sound := streams(fewEvents, eventPause)
	faulty := func(cal *call) {
		if cal.eng.countAnswer()%every != 0 {
			sound(cal)
			return
		}
		const text = "out of memory while generating\n"
		sit.rec.add("engine %s: %s has run and fails with 500, cut short: %v", cal.eng.id, cal.id, trouble)
		if !trouble {
			cal.answer(http.StatusInternalServerError, text)
			return
		}
		cal.head(http.StatusInternalServerError, "text/plain", fmt.Sprintf("Content-Length: %d\r\n", len(text)))
		cal.write("%s", text[:len(text)/2])
	}
	if _, err := sit.addPool(faulty, sound, sound, sound, sound, sound, sound, sound); err != nil {
		return false, err
	}
	if err := sit.startGateways(gateways); err != nil {
		return false, err
	}
	var all []*attempt
	for range 2 {
		all = append(all, sit.sendAll(440, 84, 10*time.Second, func(i int) (string, string) { return "/writeup/1f", soundPrefix(i) })...)
		time.Sleep(2 * time.Second)
	}
	ran := sit.runsByID()
	broken := 0
	for _, att := range all {
		if !att.isRefused() || ran[att.id] == 0 {
			continue
		}
		broken++
		sit.rec.say("%s has run and was answered %d, which promises that it has not run: %q", att.id, att.status, att.body)
		if att.again != nil && ran[att.again.id] > 0 {
			sit.rec.say("so its client sent it again as %s, and it ran a second time", att.again.id)
		}
		sit.logLines(att.id)
	}
	sit.rec.say("%d requests, %d of them ran and were answered 429 or 503", len(all), broken)
	return broken > 0, nil
}

// runsByID returns how often each request ran.
func (sit *site) runsByID() map[string]int {
	ran := map[string]int{}
	enginesMutex.Lock()
	defer enginesMutex.Unlock()
	for _, eng := range engines {
		for _, cal := range eng.arrivalsOf() {
			ran[cal.id]++
		}
	}
	return ran
}

// caseOrder: with trouble, one engine in three ends one stream in 50 inside an event.
func caseOrder(sit *site, trouble bool) (bool, error) {
	const every = 50
	sound := streams(fewEvents, eventPause)
	faulty := func(cal *call) {
		if cal.eng.countAnswer()%every != 0 || !trouble {
			sound(cal)
			return
		}
		cal.head(http.StatusOK, "text/event-stream", chunked)
		for number := 1; number <= fewEvents/2; number++ {
			time.Sleep(eventPause)
			cal.chunk(event(number, cal.id))
		}
		half := event(fewEvents/2+1, cal.id)
		cal.chunk(half[:len(half)/2])
		cal.chunk("")
		sit.rec.add("engine %s: %s stops inside event %d of %d", cal.eng.id, cal.id, fewEvents/2+1, fewEvents)
	}
	if _, err := sit.addPool(faulty, sound, sound); err != nil {
		return false, err
	}
	if err := sit.startGateways(gateways); err != nil {
		return false, err
	}
	var all []*attempt
	for range 2 {
		all = append(all, sit.sendAll(220, 42, 6*time.Second, func(i int) (string, string) {
			return []string{"/writeup/1f", "/blurb/2f"}[i%2], soundPrefix(i)
		})...)
		time.Sleep(2 * time.Second)
	}
	return sit.endedEarly(all, fewEvents), nil
}

// endedEarly reports whether a stream ended as complete before its last event.
func (sit *site) endedEarly(all []*attempt, events int) bool {
	broken, whole := 0, 0
	for _, att := range all {
		got, inEvent := att.events()
		switch {
		case att.status != http.StatusOK || !att.whole:
		case got == events && !inEvent:
			whole++
		default:
			broken++
			sit.rec.say("%s (%s): the answer ends as complete after %d of %d events, inside an event: %v", att.id, att.path, got, events, inEvent)
			sit.logLines(att.id)
		}
	}
	sit.rec.say("%d streams, %d whole, %d ended as complete before their last event", len(all), whole, broken)
	return broken > 0
}

// caseMoved: an engine gets notice and leaves; its generations are moved. With trouble, one in 20 of its answers has
// neither a length nor chunks.
func caseMoved(sit *site, trouble bool) (bool, error) {
	const (
		every, events = 20, 160
		pause         = 20 * time.Millisecond
		notice        = 1540 * time.Millisecond
	)
	var leaver atomic.Pointer[engine]
	serve := func(cal *call) { sit.generate(cal, events, pause, trouble && cal.eng == leaver.Load(), every) }
	// One engine of six leaves.
	pool, err := sit.addPool(serve, serve, serve, serve, serve, serve)
	if err != nil {
		return false, err
	}
	leaver.Store(pool[0])
	if err := sit.startGateways(gateways); err != nil {
		return false, err
	}
	time.AfterFunc(2200*time.Millisecond, func() {
		sit.rec.add("engine %s gets notice: it leaves in %s", pool[0].id, notice)
		pool[0].setDraining()
		time.AfterFunc(notice, func() {
			pool[0].crash(0)
			sit.remove(pool[0].id, "left")
		})
	})
	all := sit.sendAll(165, 76, 39*time.Second, func(i int) (string, string) { return "/writeup/1f", soundPrefix(i) })
	return sit.endedEarly(all, events), nil
}

// generate runs a stream that can be moved to another engine.
func (sit *site) generate(cal *call, events int, pause time.Duration, unframes bool, every int) {
	eng, gen := cal.eng, &generation{stopped: make(chan struct{})}
	gen.made = cal.lastEvent()
	if from := cal.req.Header.Get("Kv-From"); from != "" {
		handle := from[strings.LastIndex(from, "/")+1:]
		eng.mutex.Lock()
		_, known := eng.copies[handle]
		delete(eng.copies, handle)
		eng.mutex.Unlock()
		if !known {
			cal.write("HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
			return
		}
		sit.rec.add("engine %s: %s goes on from a copy after event %d", eng.id, cal.id, gen.made)
	}
	eng.mutex.Lock()
	eng.generations[cal.id] = gen
	eng.mutex.Unlock()
	defer func() {
		eng.mutex.Lock()
		delete(eng.generations, cal.id)
		eng.mutex.Unlock()
	}()
	unframed := unframes && eng.countAnswer()%every == 0
	if unframed {
		sit.rec.add("engine %s: the answer to %s has neither a length nor chunks", eng.id, cal.id)
		cal.head(http.StatusOK, "text/event-stream", "")
	} else {
		cal.head(http.StatusOK, "text/event-stream", chunked)
	}
	for {
		select {
		case <-gen.stopped:
			sit.rec.add("engine %s: %s stopped after event %d for a move; its stream is closed without its end", eng.id, cal.id, gen.made)
			return
		case <-time.After(pause):
		}
		eng.mutex.Lock()
		gen.made++
		number := gen.made
		eng.mutex.Unlock()
		if number > events {
			break
		}
		sent := false
		if unframed {
			sent = cal.write("%s", event(number, cal.id))
		} else {
			sent = cal.chunk(event(number, cal.id))
		}
		if !sent {
			return
		}
	}
	if !unframed {
		cal.chunk("")
	}
}

// caseDrain: an engine drains. With trouble, it was cut off from the store for a while before, and a write of that time
// arrives late.
func caseDrain(sit *site, trouble bool) (bool, error) {
	const (
		cut     = 3200 * time.Millisecond
		work    = 15 * time.Millisecond
		stays   = 8 * time.Second
		traffic = 33
	)
	answers := func(cal *call) {
		time.Sleep(work)
		cal.answer(http.StatusOK, "counted "+cal.id)
	}
	zones := []string{"akl-a", "akl-b", "wlg-a", "chc-a", "akl-a"}
	var desk []*engine
	for i, zone := range zones {
		eng, err := sit.addEngine(fmt.Sprintf("i-desk%d", i+1), deskService, zone, 6, answers)
		if err != nil {
			return false, err
		}
		putEngine(eng)
		desk = append(desk, eng)
	}
	leaver := desk[0]
	leaver.link = &link{sit: sit}
	if err := sit.startGateways(gateways); err != nil {
		return false, err
	}
	var ackAt time.Time
	var acked sync.WaitGroup
	acked.Add(1)
	go func() {
		defer acked.Done()
		// The cut begins just before the engine's next write.
		elapsed := time.Since(leaver.born) % heartbeat
		time.Sleep(2*heartbeat - elapsed - 50*time.Millisecond)
		begun := time.Now()
		if trouble {
			sit.rec.add("engine %s is cut off from the store for %s", leaver.id, cut)
			leaver.link.cut(cut)
		}
		time.Sleep(time.Until(begun.Add(cut + 600*time.Millisecond)))
		leaver.setDraining()
		ackAt = time.Now()
		sit.rec.add("the store has accepted that %s is draining; it gets no request after %s", leaver.id, drain)
	}()
	all := sit.sendAll(int(stays/time.Second)*traffic+4*traffic, traffic, 600*time.Millisecond, func(i int) (string, string) {
		return []string{"/ballot/2f", "/tally/3f"}[i%2], ""
	})
	acked.Wait()
	broken := 0
	for _, cal := range leaver.arrivalsOf() {
		if after := cal.at.Sub(ackAt); after > drain {
			broken++
			sit.rec.say("%s %s reaches %s %.3f s after the store accepted that it is draining", cal.id, cal.req.URL.Path, leaver.id, after.Seconds())
			sit.logLines(cal.id)
		}
	}
	served := 0
	for _, att := range all {
		if att.status == http.StatusOK && att.whole {
			served++
		}
	}
	sit.rec.say("%d requests, %d served, %d reached the draining engine too late", len(all), served, broken)
	return broken > 0, nil
}

// casePart: requests with one part come at each gateway. With trouble, each engine that begins to write an answer on it
// crashes.
func casePart(sit *site, trouble bool) (bool, error) {
	const (
		down   = 3 * time.Second
		length = 26 * time.Second
		crowd  = 6
	)
	// An engine writes the first event before it crashes, or with EVENTS=0 in the environment only the head.
	events := 1
	if os.Getenv("EVENTS") == "0" {
		events = 0
	}
	var mutex sync.Mutex
	var crashes, bad []time.Time
	// A draft of the sound requests takes a second.
	sound := streams(40, 5*eventPause)
	serve := func(cal *call) {
		if !strings.Contains(cal.req.Header.Get("Prompt-Prefix"), badPart) {
			sound(cal)
			return
		}
		mutex.Lock()
		bad = append(bad, cal.at)
		mutex.Unlock()
		if !trouble {
			sound(cal)
			return
		}
		cal.head(http.StatusOK, "text/event-stream", chunked)
		for number := range events {
			time.Sleep(eventPause)
			cal.chunk(event(number+1, cal.id))
		}
		time.Sleep(eventPause)
		mutex.Lock()
		crashes = append(crashes, time.Now())
		mutex.Unlock()
		cal.eng.crash(down)
	}
	serves := make([]func(cal *call), crowd)
	for i := range serves {
		serves[i] = serve
	}
	if _, err := sit.addPool(serves...); err != nil {
		return false, err
	}
	if err := sit.startGateways(gateways); err != nil {
		return false, err
	}
	// Five requests a second, one of them with the bad part.
	all := sit.sendAll(5*int(length/time.Second), 5, 10*time.Second, func(i int) (string, string) {
		if i%5 == 2 {
			return "/writeup/1f", fmt.Sprintf("%s,%s:40,%08x:500", systemPart, badPart, 0x20000000+i)
		}
		return "/writeup/1f", soundPrefix(i)
	})
	mutex.Lock()
	defer mutex.Unlock()
	late, lost := 0, 0
	const fifth = 5
	for _, at := range bad {
		if len(crashes) >= fifth && at.Sub(crashes[fifth-1]) > contact {
			late++
		}
	}
	for _, att := range all {
		if !strings.Contains(att.prefix, badPart) && !(att.status == http.StatusOK && att.whole) {
			lost++
		}
	}
	sit.rec.say("%d requests with the part reached engines, which crashed %d times; %d later than %s after the fifth crash (3 are allowed); %d of the sound requests were not served",
		len(bad), len(crashes), late, contact, lost)
	return late > 3, nil
}
