package main

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// linkMode is what a proxy does with bytes.
type linkMode int

const (
	linkPasses linkMode = iota
	// linkDelays holds each piece back for linkDelay.
	linkDelays
	// linkHolds passes nothing in either direction, linkOneWay no answers.
	linkHolds
	linkOneWay
)

const (
	linkDelay = 150 * time.Millisecond
	linkPoll  = 10 * time.Millisecond
	linkBytes = 32 << 10
)

// proxy is a link to a program on the loopback network that can be disturbed.
type proxy struct {
	listener net.Listener

	mutex sync.Mutex
	// target is empty while nothing listens there.
	target string
	mode   linkMode
	conns  map[*proxyConn]bool
}

// proxyConn is one connection through a proxy.
type proxyConn struct {
	caller, target net.Conn
	// mute connections pass nothing for good.
	mute bool
}

func newProxy(target string) (*proxy, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, trace.Wrap(err)
	}
	prx := &proxy{listener: lis, target: target, conns: map[*proxyConn]bool{}}
	go prx.run()
	return prx, nil
}

func (prx *proxy) address() string {
	return prx.listener.Addr().String()
}

func (prx *proxy) run() {
	for {
		caller, err := prx.listener.Accept()
		if err != nil {
			return
		}
		go prx.serve(caller)
	}
}

func (prx *proxy) serve(caller net.Conn) {
	prx.mutex.Lock()
	address := prx.target
	prx.mutex.Unlock()
	target, err := net.Dial("tcp", address)
	if err != nil {
		reset(caller)
		return
	}
	con := &proxyConn{caller: caller, target: target}
	prx.mutex.Lock()
	prx.conns[con] = true
	prx.mutex.Unlock()
	go prx.pass(con, target, caller, true)
	prx.pass(con, caller, target, false)
}

// pass hands on what one side sends until it ends; answers come from the side that listens.
func (prx *proxy) pass(con *proxyConn, from, to net.Conn, answers bool) {
	defer prx.end(con)
	buf := make([]byte, linkBytes)
	for {
		count, err := from.Read(buf)
		if count > 0 && prx.hold(con, answers) {
			if _, err := to.Write(buf[:count]); err != nil {
				return
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				reset(to)
			}
			return
		}
	}
}

// hold waits until a piece may pass and reports whether the connection still stands.
func (prx *proxy) hold(con *proxyConn, answers bool) bool {
	delayed := false
	for {
		prx.mutex.Lock()
		mode, mute, open := prx.mode, con.mute, prx.conns[con]
		prx.mutex.Unlock()
		switch {
		case !open:
			return false
		case mute || mode == linkHolds || mode == linkOneWay && answers:
			time.Sleep(linkPoll)
		case mode == linkDelays && !delayed:
			delayed = true
			time.Sleep(linkDelay)
		default:
			return true
		}
	}
}

func (prx *proxy) end(con *proxyConn) {
	prx.mutex.Lock()
	delete(prx.conns, con)
	prx.mutex.Unlock()
	_ = con.caller.Close()
	_ = con.target.Close()
}

func (prx *proxy) set(mode linkMode) {
	prx.mutex.Lock()
	defer prx.mutex.Unlock()
	prx.mode = mode
}

func (prx *proxy) retarget(target string) {
	prx.mutex.Lock()
	defer prx.mutex.Unlock()
	prx.target = target
}

// silence lets the open connections pass nothing for good; new ones work.
func (prx *proxy) silence() {
	prx.mutex.Lock()
	defer prx.mutex.Unlock()
	for con := range prx.conns {
		con.mute = true
	}
}

// resetAll resets the open connections.
func (prx *proxy) resetAll() {
	prx.mutex.Lock()
	conns := prx.conns
	prx.conns = map[*proxyConn]bool{}
	prx.mutex.Unlock()
	for con := range conns {
		reset(con.caller)
		reset(con.target)
	}
}

func reset(con net.Conn) {
	if tcp, ok := con.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = con.Close()
}
