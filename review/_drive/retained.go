package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// endsForFault is the number of times that a process must end on each of two machines to be a fault.
	endsForFault = 3
	// longPrefixes is the size of Prompt-Prefix that makes a head of legal size; the usual ones have a few parts.
	longPrefix, usualPrefix = 15800, 60
	// A series has roundRequests requests of seriesClients clients and then largeClients requests with bodies of largeBytes,
	// which is maxBodyBytes, in each of its rounds.
	seriesRounds  = 8
	roundRequests = 1500
	seriesClients = 24
	largeClients  = 8
	largeBytes    = 4194304
)

// promptPrefix lists the parts of a prompt: one that is new, and others that many prompts have, up to a size.
func promptPrefix(size int) string {
	var text strings.Builder
	text.WriteString(newID()[:8] + ":2")
	for number := 0; text.Len() < size; number++ {
		fmt.Fprintf(&text, ",%08x:2", 0x5c1e0000+number)
	}
	return text.String()
}

// playRetained lets clients send complete requests of legal size, each of which is served, to two machines.
func playRetained(wld *world, trouble bool) (verdict, error) {
	answer := func(eng *engine, arr *arrival, wri http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		eng.stream(arr, wri, req, 1, func(int) time.Duration { return 0 })
	}
	for _, zone := range []string{"akl-a", "akl-b", "akl-a", "akl-b"} {
		if err := wld.addEngine("i-"+newID()[:8], "pool", zone, 48, answer); err != nil {
			return verdict{}, err
		}
	}
	if err := wld.putConfig(config(7)); err != nil {
		return verdict{}, err
	}
	for _, zone := range []string{"akl-a", "akl-b"} {
		if _, err := wld.addDaemon("front-"+zone+"-1", zone); err != nil {
			return verdict{}, err
		}
	}
	if err := wld.awaitAll(); err != nil {
		return verdict{}, err
	}
	time.Sleep(time.Second)
	size := usualPrefix
	if trouble {
		size = longPrefix
	}
	wld.note("each prompt lists its parts in %d bytes; maxHeaderBytes is %d", size, headLimit)
	ends, peaks, errs := make([]int, len(wld.daemons)), make([]float64, len(wld.daemons)), make([]error, len(wld.daemons))
	var all sync.WaitGroup
	for i, dmn := range wld.daemons {
		all.Go(func() { ends[i], peaks[i], errs[i] = playSeries(wld, dmn, size) })
	}
	all.Wait()
	wld.note("%d requests ran at endpoints", wld.runs())
	for _, err := range errs {
		if err != nil {
			return verdict{}, err
		}
	}
	return verdict{broken: min(ends[0], ends[1]) >= endsForFault, text: fmt.Sprintf(
		"Fault: processes went over their memory of %d MB and were ended %v times on the two machines (%d of each are a fault); most memory %.0f MB",
		memoryMB, ends, endsForFault, max(peaks[0], peaks[1]))}, nil
}

// playSeries sends a series of requests to a machine until its process has ended endsForFault times, or has not in a series.
func playSeries(wld *world, dmn *daemon, size int) (ends int, peak float64, err error) {
	for ends < endsForFault {
		served, used, ended := playRounds(wld, dmn, size)
		peak = max(peak, used)
		wld.note("%s: at most %.0f MB of %d after %d requests that were served whole; ended: %t", dmn.name, used, memoryMB, served, ended)
		if !ended {
			return ends, peak, nil
		}
		ends++
		time.Sleep(restartDelay)
		if err := dmn.start(); err != nil {
			return ends, peak, err
		}
		if err := dmn.awaitReady(); err != nil {
			return ends, peak, err
		}
	}
	return ends, peak, nil
}

// playRounds sends one series. It ends the process when that exceeds its memory, as the platform does.
func playRounds(wld *world, dmn *daemon, size int) (served int64, peak float64, ended bool) {
	pid, exited := dmn.current()
	var whole, others atomic.Int64
	done := make(chan struct{})
	send := func(prefix, body string) {
		rep := wld.send(dmn, "/blurb/2f", blurbDeadline, map[string]string{"Model": "m", "Token-Usage": "100,4", "Prompt-Prefix": prefix}, body)
		if rep.whole && rep.status == http.StatusOK {
			whole.Add(1)
		} else {
			others.Add(1)
		}
	}
	go func() {
		defer close(done)
		for round := 0; round < seriesRounds && dmn.isRunning(); round++ {
			var left atomic.Int64
			var all sync.WaitGroup
			for range seriesClients {
				all.Go(func() {
					for left.Add(1) <= roundRequests && dmn.isRunning() {
						send(promptPrefix(size), "a prompt")
					}
				})
			}
			all.Wait()
			for range largeClients {
				all.Go(func() { send(promptPrefix(usualPrefix), strings.Repeat("p", largeBytes)) })
			}
			all.Wait()
			wld.note("%s: round %d, %.0f MB", dmn.name, round+1, residentMB(pid))
		}
	}()
	for isDone := false; !isDone; {
		if peak = max(peak, residentMB(pid)); peak > memoryMB && !ended {
			wld.note("%s: process %d has %.0f MB, more than %d; it is killed", dmn.name, pid, peak, memoryMB)
			_ = syscall.Kill(pid, syscall.SIGKILL)
			<-exited
			ended = true
		}
		select {
		case <-done:
			isDone = true
		case <-time.After(10 * time.Millisecond):
		}
	}
	wld.note("%s: %d requests served whole, %d others", dmn.name, whole.Load(), others.Load())
	return whole.Load(), peak, ended
}
