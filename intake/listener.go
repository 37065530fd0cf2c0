package intake

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// acceptPause is the pause after a connection could not be accepted for lack of descriptors.
	acceptPause = 50 * time.Millisecond
	// socketBytes is the send and the receive buffer of a client's socket; the kernel doubles it. Without it, the kernel
	// buffers up to 6 MB of a body and 4 MB of an answer.
	socketBytes = 64 << 10
	// limitConnections is the name of the limit of connections.
	limitConnections = "connections"
)

// errConnections is the cause of connections that were closed because too many are open.
var errConnections = errors.New("too many connections are open")

// pool is the connections of one listener.
type pool struct {
	gate  *Gate
	most  int
	mutex sync.Mutex
	conns map[*Conn]bool
}

// add adds a connection and returns the one that must be closed for it, which is the new one if all others have requests
// that make progress.
func (pol *pool) add(now time.Time, con *Conn) *Conn {
	resumed := pol.gate.resumed(now)
	pol.mutex.Lock()
	defer pol.mutex.Unlock()
	if len(pol.conns) < pol.most {
		pol.conns[con] = true
		return nil
	}
	victim, lowest, oldest := con, classBusy, int64(0)
	for one := range pol.conns {
		cls, since := one.rank(now, resumed)
		if cls < lowest || cls == lowest && cls != classBusy && since < oldest {
			victim, lowest, oldest = one, cls, since
		}
	}
	if victim != con {
		delete(pol.conns, victim)
		pol.conns[con] = true
	}
	return victim
}

// class tells which connections are closed first when too many are open.
type class int

const (
	// classUnused connections have had no request for freshTime after they were opened.
	classUnused class = iota
	// classStalled connections have a request whose body has made no progress for stalledBody.
	classStalled
	// classIdle connections wait for their next request.
	classIdle
	// classFresh connections were opened less than freshTime ago and have had no request yet.
	classFresh
	// classBusy connections are not closed.
	classBusy
)

// stalledBody is the time without progress after which a body counts as stalled.
const stalledBody = time.Second

// freshTime is the time that a caller has for its first request before its connection counts as unused. Callers within a
// region need milliseconds.
const freshTime = time.Second

// rank returns the class of a connection, and since when it is in it, in Unix nanoseconds. Times without a request or
// progress begin again when the process resumed.
func (con *Conn) rank(now, resumed time.Time) (class, int64) {
	since := con.waitingSince.Load()
	progress := con.holder.progress.Load()
	lasts := func(from int64, least time.Duration) bool {
		return now.UnixNano()-max(from, resumed.UnixNano()) >= int64(least)
	}
	switch {
	case since != 0 && con.served.Load():
		return classIdle, since
	case since != 0 && lasts(since, freshTime):
		return classUnused, since
	case since != 0:
		return classFresh, since
	case con.reading.Load() && lasts(progress, stalledBody):
		return classStalled, progress
	}
	return classBusy, 0
}

func (pol *pool) remove(con *Conn) {
	pol.mutex.Lock()
	delete(pol.conns, con)
	pol.mutex.Unlock()
	pol.gate.mutex.Lock()
	delete(pol.gate.conns, con)
	pol.gate.mutex.Unlock()
}

// listener accepts connections up to a limit.
type listener struct {
	net.Listener
	pool *pool
	raw  bool
}

// Listen limits the connections of a listener of HTTP.
func (gat *Gate) Listen(lis net.Listener, most int) net.Listener {
	return &listener{Listener: lis, pool: &pool{gate: gat, most: most, conns: map[*Conn]bool{}}}
}

// ListenPeers limits the connections of a listener of peers, whose messages are admitted by BeginMessage.
func (gat *Gate) ListenPeers(lis net.Listener, most int) net.Listener {
	return &listener{Listener: lis, pool: &pool{gate: gat, most: most, conns: map[*Conn]bool{}}, raw: true}
}

// Accept returns the next connection. If too many are open, it closes one that has no request.
func (lis *listener) Accept() (net.Conn, error) {
	gat := lis.pool.gate
	for {
		raw, err := lis.Listener.Accept()
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ECONNABORTED) {
			time.Sleep(acceptPause)
			continue
		}
		if err != nil {
			return nil, err
		}
		con := newConn(gat, lis.pool, lis.raw, raw)
		gat.open(con)
		victim := lis.pool.add(gat.Now(), con)
		if victim != nil {
			gat.noteLimit(limitConnections, errConnections, victim)
			_ = victim.Close()
		}
		if victim == con {
			continue
		}
		if tcp, ok := raw.(*net.TCPConn); ok && !lis.raw {
			// An error means that the connection has failed already; its first read returns the error too.
			_ = tcp.SetReadBuffer(socketBytes)
			_ = tcp.SetWriteBuffer(socketBytes)
		}
		return con, nil
	}
}

// Handler releases what each request has reserved when it ends. While a request of HTTP/1.0 is served, closing its connection
// resets it: the client may take a plain end of the connection for the end of the answer.
func (gat *Gate) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		con := connOf(req.Context())
		if con == nil {
			next.ServeHTTP(wri, req)
			return
		}
		defer con.endRequest()
		if req.ProtoAtLeast(1, 1) {
			next.ServeHTTP(wri, req)
			return
		}
		con.setResetOnClose(true)
		next.ServeHTTP(wri, req)
		// Not reached if the handler aborts the answer.
		con.setResetOnClose(false)
	})
}

// HTTPServer returns a server for connections of the gate.
func (gat *Gate) HTTPServer(hdl http.Handler) *http.Server {
	return &http.Server{
		Handler: gat.Handler(hdl), ConnContext: ConnContext, MaxHeaderBytes: 2 * maxHeadBytes,
		// Conn has time-outs of its own, which follow the configuration.
		ReadHeaderTimeout: time.Hour, IdleTimeout: time.Hour,
	}
}

// messageTime limits the time for a message of a peer once it has begun.
const messageTime = 10 * time.Second

// messageCopies is the number of times that a message is held while it is decoded: the decoder's buffer, which doubles,
// and the parameters.
const messageCopies = 3

// BeginMessage reserves the memory of a peer's message of which so many bytes have not arrived yet, and limits the time for
// them. The returned function ends both. Messages that have arrived only show that the connection is in use.
func (gat *Gate) BeginMessage(con net.Conn, bytes int) (func(), error) {
	one, ok := con.(*Conn)
	if !ok {
		return func() {}, nil
	}
	if bytes == 0 {
		one.served.Store(true)
		one.waitingSince.Store(gat.Now().UnixNano())
		return func() {}, nil
	}
	one.waitingSince.Store(0)
	one.holder.Touch(gat.Now())
	one.reading.Store(true)
	if err := gat.take(&one.holder, int64(messageCopies*bytes)); err != nil {
		gat.note(errMessage, con)
		return nil, errMessage
	}
	_ = one.Conn.SetReadDeadline(gat.Now().Add(messageTime))
	return func() {
		_ = one.Conn.SetReadDeadline(time.Time{})
		one.reading.Store(false)
		one.endRequest()
		one.setIdle(gat.Now())
	}, nil
}
