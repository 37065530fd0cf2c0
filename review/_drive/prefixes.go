package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	crowdSize  = 1200
	crowdWaves = 3
	// crowdHold is how long the crowd's connections stay open with a body that lacks its last byte.
	crowdHold = 4 * time.Second
	headLimit = 16384
)

// crowdRequest is a request of legal size whose prompt has very many short parts, without the last byte of its body.
func crowdRequest() string {
	body := strings.Repeat("x", 100)
	head := func(parts string) string {
		return "POST /writeup/2f HTTP/1.1\r\nHost: " + siteHost + "\r\nAttempt-Id: " + newID() + "\r\nModel: m\r\nToken-Usage: 4000,80\r\nPrompt-Prefix: " + parts +
			"\r\nDeadline-Ms: 39000\r\nAuthorization: Bearer " + siteKey + "\r\nContent-Length: 100\r\n\r\n"
	}
	parts := strings.Repeat(":,", (headLimit-len(head(""))-256)/2)
	return head(strings.TrimSuffix(parts, ",")) + body[:99]
}

// playPrefixes sends crowds of such requests to two machines in turn, and an ordinary request beside each.
func playPrefixes(wld *world, trouble bool) (verdict, error) {
	if err := checkDescriptors(); err != nil {
		return verdict{}, err
	}
	for _, zone := range []string{"akl-a", "akl-b"} {
		if err := wld.addEngine("i-"+newID()[:8], "desk", zone, 6, answerPlain); err != nil {
			return verdict{}, err
		}
		if err := wld.addEngine("i-"+newID()[:8], "pool", zone, 48, answerPlain); err != nil {
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
	ends, most := make([]int, len(wld.daemons)), 0.0
	for wave := range crowdWaves {
		for i, dmn := range wld.daemons {
			ended, peak, err := playWave(wld, dmn, trouble)
			if err != nil {
				return verdict{}, err
			}
			if ended {
				ends[i]++
			}
			most = max(most, peak)
			wld.note("wave %d at %s: at most %.0f MB of %d, ended: %t", wave+1, dmn.name, peak, memoryMB, ended)
		}
	}
	broken := true
	for _, count := range ends {
		broken = broken && count >= crowdWaves
	}
	return verdict{broken: broken, text: fmt.Sprintf("Fault: processes went over their memory of %d MB and were ended %v times on the two machines (%d of each are a fault); most memory %.0f MB",
		memoryMB, ends, crowdWaves, most)}, nil
}

// playWave sends one crowd to a machine. It ends the process when that exceeds its memory, as the platform does, and starts it again.
func playWave(wld *world, dmn *daemon, trouble bool) (ended bool, peak float64, err error) {
	pid, exited := dmn.current()
	done := make(chan struct{})
	var crowd, watch sync.WaitGroup
	watch.Go(func() {
		for {
			if used := residentMB(pid); used > peak {
				peak = used
			}
			if peak > memoryMB {
				wld.note("%s: process %d has %.0f MB, more than %d; it is killed", dmn.name, pid, peak, memoryMB)
				_ = syscall.Kill(pid, syscall.SIGKILL)
				<-exited
				ended = true
				return
			}
			select {
			case <-done:
				return
			case <-exited:
				ended = true
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
	})
	answers := make(chan string, crowdSize)
	if trouble {
		wld.note("%s: %d clients send a head of %d bytes and a body without its last byte", dmn.name, crowdSize, strings.Index(crowdRequest(), "\r\n\r\n"))
		for range crowdSize {
			crowd.Go(func() { answers <- joinCrowd(dmn) })
		}
	}
	time.Sleep(crowdHold / 2)
	rep := wld.send(dmn, "/ballot/2f", 600*time.Millisecond, nil, "a ballot")
	wld.note("an ordinary client: %s", rep)
	crowd.Wait()
	close(answers)
	counts := map[string]int{}
	for text := range answers {
		counts[text]++
	}
	wld.note("%s: the crowd got %v", dmn.name, counts)
	close(done)
	watch.Wait()
	if !ended {
		return false, peak, nil
	}
	time.Sleep(restartDelay)
	if err := dmn.start(); err != nil {
		return true, peak, err
	}
	return true, peak, dmn.awaitReady()
}

// joinCrowd sends one request and keeps its connection open for crowdHold. It returns what the client got.
func joinCrowd(dmn *daemon) string {
	con, err := net.DialTimeout("tcp", dmn.caller, time.Second)
	if err != nil {
		return "no connection"
	}
	defer con.Close()
	if _, err := con.Write([]byte(crowdRequest())); err != nil {
		return "a closed connection"
	}
	_ = con.SetReadDeadline(time.Now().Add(crowdHold))
	buf := make([]byte, 64)
	count, err := con.Read(buf)
	if count > 0 {
		line, _, _ := strings.Cut(string(buf[:count]), "\r\n")
		return line
	}
	if netErr, ok := err.(net.Error); ok && netErr.Timeout() { //nolint:errorlint // the error is not wrapped
		return "nothing yet"
	}
	return "a closed connection"
}
