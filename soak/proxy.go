package main

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// linkMode determines how a proxy forwards bytes.
type linkMode int

const (
	linkForwards linkMode = iota
	// linkDelays forwards each chunk of bytes after linkDelay.
	linkDelays
	// linkHolds forwards nothing in either direction until the mode changes; linkOneWay forwards requests, but no
	// responses.
	linkHolds
	linkOneWay
)

const (
	linkDelay = 150 * time.Millisecond
	linkPoll  = 10 * time.Millisecond
	linkBytes = 32 << 10
)

// proxy forwards TCP connections to a program on the loopback network and can delay, hold or reset them.
type proxy struct {
	listener net.Listener

	mutex sync.Mutex
	// target is the address of the program; empty before the program listens.
	target string
	mode   linkMode
	conns  map[*proxyConn]bool
}

// proxyConn is one connection through a proxy.
type proxyConn struct {
	caller, target net.Conn
	// silent is true if the connection stays open but forwards nothing any more, whatever the proxy's mode.
	silent bool
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
	go prx.forward(con, target, caller, true)
	prx.forward(con, caller, target, false)
}

// forward copies what one side sends to the other until the connection ends. answers is true for the direction from
// the target to the caller.
func (prx *proxy) forward(con *proxyConn, from, to net.Conn, answers bool) {
	defer prx.end(con)
	buf := make([]byte, linkBytes)
	for {
		count, err := from.Read(buf)
		if count > 0 && prx.awaitForwarding(con, answers) {
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

// awaitForwarding waits until the mode lets a chunk pass and returns false if the connection was closed meanwhile.
func (prx *proxy) awaitForwarding(con *proxyConn, answers bool) bool {
	delayed := false
	for {
		prx.mutex.Lock()
		mode, silent, open := prx.mode, con.silent, prx.conns[con]
		prx.mutex.Unlock()
		switch {
		case !open:
			return false
		case silent || mode == linkHolds || mode == linkOneWay && answers:
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

// silence makes the open connections forward nothing any more without closing them; new connections work.
func (prx *proxy) silence() {
	prx.mutex.Lock()
	defer prx.mutex.Unlock()
	for con := range prx.conns {
		con.silent = true
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
