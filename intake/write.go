package intake

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// writeBytes is the size of one write: a caller must read as much within Limits.ReaderStall.
	writeBytes = 64 << 10
	// refuseTime limits the time for a refusal, and that for which the caller's further bytes are read and discarded so
	// that it gets the refusal before the connection is reset.
	refuseTime = 300 * time.Millisecond
	// retryAfter is the Retry-After in seconds of a request for which there was no memory.
	retryAfter = 1
)

// Write writes to the connection. It fails if the caller does not read for Limits.ReaderStall.
func (con *Conn) Write(data []byte) (int, error) {
	total := 0
	for {
		count, err := con.writePiece(data[total:min(len(data), total+writeBytes)])
		total += count
		if isTimeout(err) {
			con.gate.note(errRate, con)
		}
		if err != nil || total == len(data) {
			return total, err
		}
	}
}

// writePiece writes one piece. After a time-out it tries once more with lateTime; if that writes a part, the rest of the
// piece has Limits.ReaderStall again, once, so that the caller's rate stays limited.
func (con *Conn) writePiece(piece []byte) (int, error) {
	con.armWrite(con.gate.Now())
	count, err := con.writeOnce(piece)
	if !isTimeout(err) || con.writeDropped.Load() {
		return count, err
	}
	con.writeArmed.Store(0)
	_ = con.Conn.SetWriteDeadline(con.gate.Now().Add(lateTime))
	if con.writeDropped.Load() {
		_ = con.Conn.SetWriteDeadline(past)
	}
	more, err := con.writeOnce(piece[count:])
	count += more
	if !isTimeout(err) || more == 0 || con.writeDropped.Load() {
		return count, err
	}
	con.armWrite(con.gate.Now())
	more, err = con.writeOnce(piece[count:])
	return count + more, err
}

func (con *Conn) writeOnce(piece []byte) (int, error) {
	con.writingSince.Store(con.gate.Now().UnixNano())
	defer con.writingSince.Store(0)
	return con.Conn.Write(piece)
}

func (con *Conn) armWrite(now time.Time) {
	if armed := con.writeArmed.Load(); armed == 0 || now.UnixNano()-armed >= int64(armTime) {
		con.writeArmed.Store(now.UnixNano())
		_ = con.Conn.SetWriteDeadline(now.Add(con.gate.limits.Load().ReaderStall + armTime))
	}
	if con.writeDropped.Load() {
		_ = con.Conn.SetWriteDeadline(past)
	}
}

// SetWriteDeadline does nothing: each write has a deadline of its own.
func (con *Conn) SetWriteDeadline(time.Time) error {
	return nil
}

// SetDeadline sets the deadline of reads.
func (con *Conn) SetDeadline(until time.Time) error {
	return con.SetReadDeadline(until)
}

// dropWriter ends the pending write of an answer.
func (con *Conn) dropWriter() {
	con.writeDropped.Store(true)
	_ = con.Conn.SetWriteDeadline(past)
}

// refusals are the statuses of requests whose head exceeded a limit.
var refusals = map[string]int{
	"head": http.StatusRequestHeaderFieldsTooLarge, "malformed": http.StatusBadRequest, "blankLines": http.StatusBadRequest,
	"headTime": http.StatusRequestTimeout, "memory": http.StatusServiceUnavailable,
}

// refuseHead answers a request whose head was not handed out, and ends the connection. The error is io.EOF, to which
// net/http adds no answer of its own.
func (con *Conn) refuseHead(buf []byte, err error) (int, error) {
	con.err = err
	switch {
	case con.dropped.Load():
		con.err = ErrMemory
	case isTimeout(err) && con.begun:
		con.err = errHeadTime
	case isTimeout(err):
		con.err = io.EOF
	}
	status := refusals[limitName(con.err)]
	if status == 0 {
		return 0, con.err
	}
	con.gate.note(con.err, con)
	text := con.err.Error()
	con.err = io.EOF
	con.queue = nil
	con.gate.reset(&con.holder)
	retry := ""
	if status == http.StatusServiceUnavailable {
		retry = fmt.Sprintf("Retry-After: %d\r\n", retryAfter)
	}
	_ = con.Conn.SetDeadline(con.gate.Now().Add(refuseTime))
	_, _ = fmt.Fprintf(con.Conn, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\n%sContent-Length: %d\r\nConnection: close\r\n\r\n%s\n",
		status, http.StatusText(status), retry, len(text)+1, text)
	if tcp, ok := con.Conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	for {
		if _, err := con.Conn.Read(buf); err != nil {
			return 0, io.EOF
		}
	}
}
