package intake

import (
	"bytes"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxHeadBytes bounds the configured limit of a head. It is the limit of net/http too, which never decides.
	maxHeadBytes = 256 << 10
	// firstHeadBytes is the first buffer for a head that does not arrive at once.
	firstHeadBytes = 4 << 10
	// blankQueue is the first buffer for blank bytes that precede a head; it has room for more than maxBlankBytes.
	blankQueue = 4 * maxBlankBytes
	// armTime is the interval at which a deadline is moved: moving it at each read or write would cost more than the
	// accuracy is worth.
	armTime = 250 * time.Millisecond
	// minBodyRate is the least rate of a body in bytes a second, once bodyGrace has passed.
	minBodyRate = 16 << 10
	bodyGrace   = 10 * time.Second
	// lateTime is the time for a second try after a time-out: deadlines also expire while the process or the machine is
	// paused, although the client has sent or read meanwhile.
	lateTime = 250 * time.Millisecond
	// DefaultStall is the default of Limits.BodyStall and Limits.ReaderStall: callers within a region need milliseconds.
	DefaultStall = 5 * time.Second
)

// past is a deadline that ends a pending read or write at once.
var past = time.Unix(1, 0)

// state is what a connection reads next.
type state int

const (
	stateHead state = iota
	stateBody
	// stateSealed means that nothing more is read.
	stateSealed
)

// Conn is a client's connection. It hands out a request's head only when that has arrived whole and its memory is
// reserved, and nothing beyond the request's end.
type Conn struct {
	net.Conn
	gate *Gate
	pool *pool
	// raw is true for connections of peers, whose bytes are no requests of HTTP.
	raw    bool
	holder Holder
	close  sync.Once

	// waitingSince is when the connection was opened or began to wait for its next request, in Unix nanoseconds; 0 from a
	// request's head until its answer is written. served is true once a request was served.
	waitingSince atomic.Int64
	served       atomic.Bool
	// reading is true while the body of a request has not arrived whole.
	reading atomic.Bool
	// writingSince is when the pending write began, in Unix nanoseconds; 0 without one.
	writingSince atomic.Int64
	// dropped and writeDropped are true once the budget has ended the request or the answer.
	dropped, writeDropped atomic.Bool
	// outer is the read deadline that was set from outside, readArmed and writeArmed are when the own ones were set, all
	// in Unix nanoseconds; 0 means none.
	outer, readArmed, writeArmed atomic.Int64

	// The fields below belong to the goroutine that reads.
	state  state
	limits *Limits
	head   head
	chunks chunks
	// left is what is left of a body with a length; received is what has arrived of the body since bodyBegan.
	left, received int64
	bodyBegan      time.Time
	// begun is true once a byte of this head arrived that is not blank.
	begun bool
	// late is true once a read of this head, or of this body after the time for the whole of it, was tried again.
	late bool
	// queue is data that was read but not handed out; its first ready bytes may be.
	queue []byte
	ready int
	// err is the error of all further reads.
	err error
}

func newConn(gat *Gate, pol *pool, raw bool, con net.Conn) *Conn {
	one := &Conn{Conn: con, gate: gat, pool: pol, raw: raw}
	one.holder.Drop, one.holder.Peer = one.drop, raw
	one.waitingSince.Store(gat.Now().UnixNano())
	return one
}

// Read reads from the connection.
func (con *Conn) Read(buf []byte) (int, error) {
	switch {
	case con.raw:
		count, err := con.Conn.Read(buf)
		con.holder.Touch(con.gate.Now())
		return count, err
	case con.ready > 0:
		return con.handOut(buf), nil
	case con.err != nil:
		return 0, con.err
	case con.state == stateSealed:
		return 0, io.EOF
	case con.state == stateBody:
		return con.readBody(buf)
	case len(buf) == 1:
		return con.readAhead(buf)
	}
	return con.readHead(buf)
}

// handOut copies data that may be handed out.
func (con *Conn) handOut(buf []byte) int {
	count := copy(buf, con.queue[:con.ready])
	con.ready -= count
	con.dequeue(count)
	return count
}

func (con *Conn) dequeue(count int) {
	if con.queue = con.queue[count:]; len(con.queue) == 0 {
		con.queue = nil
	}
}

// readAhead reads the first byte after a request while that is served: net/http reads it to notice that the caller left.
func (con *Conn) readAhead(buf []byte) (int, error) {
	count := copy(buf, con.queue)
	if count > 0 {
		con.dequeue(count)
	} else {
		var err error
		if count, err = con.Conn.Read(buf); count == 0 {
			return 0, err
		}
	}
	con.head.ahead++
	if buf[0] == '\r' || buf[0] == lineFeed {
		con.head.blank++
	}
	return count, nil
}

// readHead reads until the head of a request has arrived and hands it out. A head that arrives in one piece is not
// copied.
func (con *Conn) readHead(buf []byte) (int, error) {
	now := con.gate.Now()
	con.gate.reset(&con.holder)
	con.limits = con.gate.limits.Load()
	con.head.limit = con.limits.HeadBytes
	con.late = false
	con.setIdle(now)
	con.begun = con.head.ahead > con.head.blank
	_ = con.Conn.SetReadDeadline(now.Add(con.limits.IdleTime))
	if con.begun {
		_ = con.Conn.SetReadDeadline(now.Add(con.limits.HeadTime))
	}
	con.beginHead(con.queue)
	end, err := con.head.scan(con.queue)
	if end == 0 && err == nil && len(con.queue) == 0 {
		var count int
		if count, end, err = con.readFirst(buf); end > 0 && err == nil {
			return con.finishHead(buf[:count], end)
		}
	}
	for end == 0 && err == nil {
		end, err = con.readMore()
	}
	if err == nil {
		err = con.beginRequest()
	}
	if err != nil {
		return con.refuseHead(buf, err)
	}
	con.ready = end
	return con.handOut(buf), nil
}

// beginHead sets the deadline of a head when its first byte arrives. Blank bytes before it begin no head: some callers end
// a body with an empty line.
func (con *Conn) beginHead(data []byte) {
	if con.begun || len(bytes.Trim(data, "\r\n")) == 0 {
		return
	}
	con.begun, con.late = true, false
	_ = con.Conn.SetReadDeadline(con.gate.Now().Add(con.limits.HeadTime))
}

// readFirst waits for the first bytes of a head and returns their number and the length of the whole head, 0 if it has
// not arrived; then the bytes are queued.
func (con *Conn) readFirst(buf []byte) (count, end int, err error) {
	if count, err = con.readHeadPart(buf); count == 0 {
		return 0, 0, err
	}
	if end, err = con.head.scan(buf[:count]); end > 0 || err != nil {
		return count, end, err
	}
	con.beginHead(buf[:count])
	if con.dropped.Load() {
		return count, 0, ErrMemory
	}
	return count, 0, con.enqueue(buf[:count])
}

// readHeadPart reads a part of a head. After a time-out it tries once more; the rest of the head then has lateTime in all.
func (con *Conn) readHeadPart(buf []byte) (int, error) {
	count, err := con.Conn.Read(buf)
	if count > 0 || !isTimeout(err) || con.late {
		return count, err
	}
	con.late = true
	return con.readLate(buf, err)
}

// readLate reads once more after a time-out, unless the connection was dropped or the deadline set to end the read.
func (con *Conn) readLate(buf []byte, err error) (int, error) {
	if con.dropped.Load() || con.outer.Load() == past.UnixNano() {
		return 0, err
	}
	con.readArmed.Store(0)
	_ = con.Conn.SetReadDeadline(con.gate.Now().Add(lateTime))
	if con.dropped.Load() {
		_ = con.Conn.SetReadDeadline(past)
	}
	return con.Conn.Read(buf)
}

// readBodyPart reads a part of a body. After a time-out it tries once more. If the time that the body's size allows, or
// that was set from outside, has passed by then, it is extended, but only once for each body, so that its rate stays
// limited.
func (con *Conn) readBodyPart(buf []byte) (int, error) {
	con.armRead()
	count, err := con.Conn.Read(buf)
	if count > 0 || !isTimeout(err) {
		return count, err
	}
	now, outer := con.gate.Now(), con.outer.Load()
	isOver := !now.Before(con.bodyLimit()) || outer != 0 && now.UnixNano() >= outer
	if isOver && con.late {
		return 0, err
	}
	if count, err = con.readLate(buf, err); count > 0 && isOver {
		con.late = true
		con.bodyBegan, con.received = now, 0
		if outer != 0 {
			con.outer.CompareAndSwap(outer, now.Add(con.limits.BodyStall).UnixNano())
		}
	}
	return count, err
}

// bodyLimit returns the time until which a body of the size so far must have arrived.
func (con *Conn) bodyLimit() time.Time {
	return con.bodyBegan.Add(bodyGrace + time.Duration(con.received)*time.Second/minBodyRate)
}

// enqueue begins to collect a head. The few blank bytes before one need no reservation.
func (con *Conn) enqueue(data []byte) error {
	if !con.begun {
		con.queue = append(make([]byte, 0, blankQueue), data...)
		return nil
	}
	if err := con.gate.take(&con.holder, int64(max(firstHeadBytes, 2*len(data)))); err != nil {
		return err
	}
	con.queue = append(make([]byte, 0, max(firstHeadBytes, 2*len(data))), data...)
	return nil
}

// readMore reads more of a head into the queue.
func (con *Conn) readMore() (int, error) {
	if size := len(con.queue); size == cap(con.queue) {
		grown := max(firstHeadBytes, 2*size)
		if err := con.gate.take(&con.holder, int64(grown)); err != nil {
			return 0, err
		}
		con.queue = append(make([]byte, 0, grown), con.queue...)
		con.gate.release(&con.holder, int64(size))
	}
	size := len(con.queue)
	count, err := con.readHeadPart(con.queue[size:cap(con.queue)])
	con.queue = con.queue[:size+count]
	con.beginHead(con.queue)
	con.holder.Touch(con.gate.Now())
	if count == 0 && err != nil {
		return 0, err
	}
	return con.head.scan(con.queue)
}

// finishHead hands out a head that arrived in one piece, with what has arrived of its body.
func (con *Conn) finishHead(data []byte, end int) (int, error) {
	if err := con.beginRequest(); err != nil {
		return con.refuseHead(data, err)
	}
	if con.state == stateSealed || len(data) == end {
		return end, nil
	}
	return end + con.takeBody(data[end:]), nil
}

// beginRequest reserves the memory of a head and sets the state for its body.
func (con *Conn) beginRequest() error {
	if err := con.gate.take(&con.holder, con.head.cost()); err != nil {
		return err
	}
	con.waitingSince.Store(0)
	con.holder.Touch(con.gate.Now())
	con.left, con.received, con.chunks, con.late = con.head.length, 0, chunks{}, false
	switch {
	case con.head.framing == framingUnknown:
		con.state = stateSealed
	case con.head.framing == framingChunked || con.left > 0:
		con.state = stateBody
		con.reading.Store(true)
		con.bodyBegan = con.gate.Now()
		con.readArmed.Store(0)
	}
	if con.state == stateBody {
		return nil
	}
	con.head = head{}
	return con.keep()
}

// readBody reads from the body of a request, and not beyond its end.
func (con *Conn) readBody(buf []byte) (int, error) {
	if con.head.framing == framingLength {
		buf = buf[:min(int64(len(buf)), con.left)]
	}
	count := copy(buf, con.queue)
	if count > 0 {
		con.dequeue(count)
	} else {
		var err error
		if count, err = con.readBodyPart(buf); count == 0 {
			return 0, con.bodyError(err)
		}
		con.holder.Touch(con.gate.Now())
	}
	if used := con.takeBody(buf[:count]); used > 0 {
		return used, nil
	}
	return 0, con.err
}

// takeBody finds the end of the body in data; what follows it is kept for the next request. It returns the length of
// the body's part.
func (con *Conn) takeBody(data []byte) int {
	used, done, err := len(data), false, error(nil)
	if con.head.framing == framingChunked {
		used, done, err = con.chunks.scan(data)
	} else {
		used = int(min(int64(used), con.left))
		con.left -= int64(used)
		done = con.left == 0
	}
	con.received += int64(used)
	if err != nil {
		con.err = err
		con.gate.note(err, con)
		return used
	}
	if used < len(data) {
		con.queue = append(append([]byte(nil), data[used:]...), con.queue...)
	}
	if done {
		con.reading.Store(false)
		con.state, con.head = stateHead, head{}
	}
	return used
}

// bodyError returns the error of all further reads after a read of the body has failed.
func (con *Conn) bodyError(err error) error {
	switch {
	case con.dropped.Load():
		con.err = ErrMemory
	case isTimeout(err):
		con.err = ErrBodyTime
	default:
		return err
	}
	con.gate.note(con.err, con)
	return con.err
}

// armRead sets the deadline of the next read of a body: the earliest of the deadline set from outside, the longest pause,
// and the time that a body of this size may have taken.
func (con *Conn) armRead() {
	now := con.gate.Now()
	if armed := con.readArmed.Load(); armed != 0 && now.UnixNano()-armed < int64(armTime) {
		return
	}
	con.readArmed.Store(now.UnixNano())
	until := now.Add(con.gate.limits.Load().BodyStall)
	if allowed := con.bodyLimit(); allowed.Before(until) {
		until = allowed
	}
	if outer := con.outer.Load(); outer != 0 && outer < until.UnixNano() {
		until = time.Unix(0, outer)
	}
	_ = con.Conn.SetReadDeadline(until)
	if con.dropped.Load() {
		_ = con.Conn.SetReadDeadline(past)
	}
}

// SetReadDeadline sets the deadline of reads; a connection whose request was dropped stays at its end.
func (con *Conn) SetReadDeadline(until time.Time) error {
	con.outer.Store(0)
	if !until.IsZero() {
		con.outer.Store(until.UnixNano())
	}
	con.readArmed.Store(0)
	if con.dropped.Load() {
		until = past
	}
	return con.Conn.SetReadDeadline(until)
}

// drop ends the reading of the request.
func (con *Conn) drop() {
	con.dropped.Store(true)
	if con.raw {
		_ = con.Conn.Close()
		return
	}
	_ = con.Conn.SetReadDeadline(past)
}

// endRequest releases what a request has reserved. If its body was not read, net/http reads and discards that before it
// drops the head; the memory is released after that, and the request may be dropped meanwhile.
func (con *Conn) endRequest() {
	if con.state != stateBody {
		con.gate.reset(&con.holder)
	}
}

// setIdle records that the connection waits for its next request, unless it does already. The answer to the last one has
// been written whole then, because net/http reads the next head only after that.
func (con *Conn) setIdle(now time.Time) {
	if con.waitingSince.CompareAndSwap(0, now.UnixNano()) {
		con.served.Store(true)
	}
}

// Close closes the connection.
func (con *Conn) Close() error {
	con.close.Do(func() {
		con.pool.remove(con)
		con.gate.reset(&con.holder)
	})
	return con.Conn.Close()
}

// setResetOnClose sets whether closing the connection resets it, also when the process ends.
func (con *Conn) setResetOnClose(isSet bool) {
	tcp, ok := con.Conn.(*net.TCPConn)
	if !ok {
		return
	}
	// -1 is the default of the system.
	seconds := -1
	if isSet {
		seconds = 0
	}
	// An error means that the connection has ended already.
	_ = tcp.SetLinger(seconds)
}
