package main

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// contactTime is contactMs of the small deployments, tryingClients the number of clients that the rule names.
	contactTime   = 3 * time.Second
	tryingClients = 7
	// slowCrowd is the number of clients that send their bodies in pieces of one byte, each slowPause.
	slowCrowd = 1600
	slowPause = 400 * time.Millisecond
	// slowTime is how long they do.
	slowTime = 9 * time.Second
	// ordinaryPause is the pause between two tries of an ordinary client.
	ordinaryPause = 250 * time.Millisecond
)

// dialFrom opens a connection from a loopback address.
func dialFrom(ctx context.Context, source, address string) (net.Conn, error) {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}, Timeout: time.Second}
	return dialer.DialContext(ctx, "tcp", address)
}

// playTrickle holds the connections of a machine with bodies of legal size that arrive piece by piece, and lets ordinary clients
// open new connections.
func playTrickle(wld *world, trouble bool) (verdict, error) {
	if err := checkDescriptors(); err != nil {
		return verdict{}, err
	}
	for _, zone := range []string{"akl-a", "akl-b"} {
		if err := wld.addEngine("i-"+newID()[:8], "desk", zone, 6, answerPlain); err != nil {
			return verdict{}, err
		}
	}
	if err := wld.putConfig(config(7)); err != nil {
		return verdict{}, err
	}
	dmn, err := wld.addDaemon("front-akl-a-1", "akl-a")
	if err != nil {
		return verdict{}, err
	}
	if err := wld.awaitAll(); err != nil {
		return verdict{}, err
	}
	time.Sleep(time.Second)
	began := time.Now()
	var all sync.WaitGroup
	if trouble {
		wld.note("%d clients at 127.0.0.66 begin to send bodies of 1,000 bytes, a byte each %s", slowCrowd, slowPause)
		for range slowCrowd {
			all.Go(func() { sendSlowly(dmn) })
			time.Sleep(time.Millisecond)
		}
	}
	wld.note("%d ordinary clients begin to try", tryingClients+1)
	var mutex sync.Mutex
	var answered []time.Time
	outcomes := map[string]int{}
	ready, asked := 0, 0
	from, until := time.Now(), began.Add(slowTime)
	all.Go(func() {
		for ; time.Now().Before(until); time.Sleep(time.Second) {
			asked++
			if dmn.isReady() {
				ready++
			}
		}
	})
	for number := range tryingClients + 1 {
		source := fmt.Sprintf("127.0.1.%d", number+1)
		all.Go(func() {
			for ; time.Now().Before(until); time.Sleep(ordinaryPause) {
				text := tryBallot(dmn, source)
				mutex.Lock()
				outcomes[text]++
				if strings.HasPrefix(text, "HTTP/") {
					answered = append(answered, time.Now())
				}
				mutex.Unlock()
			}
		})
	}
	all.Wait()
	longest, last := time.Duration(0), from
	for _, at := range append(answered, until) {
		longest = max(longest, at.Sub(last))
		last = at
	}
	wld.note("ready %d of %d times; the ordinary clients got %v", ready, asked, outcomes)
	return verdict{broken: longest > contactTime && ready == asked, text: fmt.Sprintf(
		"RECOVER: the machine said that it is ready %d of %d times and answered no new connection of %d ordinary clients for %.1f s (contactMs is %.0f s); they got %v",
		ready, asked, tryingClients+1, longest.Seconds(), contactTime.Seconds(), outcomes)}, nil
}

// sendSlowly sends a request whose body arrives a byte at a time.
func sendSlowly(dmn *daemon) {
	con, err := dialFrom(context.Background(), "127.0.0.66", dmn.caller)
	if err != nil {
		return
	}
	defer con.Close()
	_, err = fmt.Fprintf(con, "POST /ballot/2f HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 39000\r\nAuthorization: Bearer %s\r\nContent-Length: 1000\r\n\r\n",
		siteHost, newID(), siteKey)
	for until := time.Now().Add(slowTime); err == nil && time.Now().Before(until); time.Sleep(slowPause) {
		_, err = con.Write([]byte("x"))
	}
}

// tryBallot sends a ballot on a new connection and returns the status line of its answer, or how it ended without one.
func tryBallot(dmn *daemon, source string) string {
	con, err := dialFrom(context.Background(), source, dmn.caller)
	if err != nil {
		return "no connection"
	}
	defer con.Close()
	_ = con.SetDeadline(time.Now().Add(time.Second))
	_, _ = fmt.Fprintf(con, "POST /ballot/2f HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 600\r\nAuthorization: Bearer %s\r\nContent-Length: 8\r\n\r\na ballot",
		siteHost, newID(), siteKey)
	buf := make([]byte, 256)
	count, err := con.Read(buf)
	if count == 0 {
		if netErr, ok := err.(net.Error); ok && netErr.Timeout() { //nolint:errorlint // the error is not wrapped
			return "no answer within 1 s"
		}
		return "a closed connection"
	}
	line, _, _ := strings.Cut(string(buf[:count]), "\r\n")
	return line
}
