package gateway

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	"papayacroft/intake"
)

const (
	// maxAnswerHeadBytes limits the heads of an answer, those of 1xx responses included.
	maxAnswerHeadBytes = 64 << 10
	// maxPlainBytes limits an answer that is buffered until it is complete.
	maxPlainBytes = 4 << 20
	// freeBytes is the part of an answer that each request may buffer; what exceeds it is taken from the bufferPool.
	freeBytes = 16 << 10
	// poolBytes limits what all requests together may buffer beyond freeBytes each.
	poolBytes = 16 << 20
)

// The limits that an endpoint's answer may exceed.
var (
	errHeadTooLong   = errors.New("the head of the answer is too long")
	errAnswerTooLong = errors.New("the answer is too long")
	errEventTooLong  = errors.New("an event of the stream is too long")
	errNoEvents      = errors.New("the stream has data without events")
	errPoolExhausted = errors.New("too many long answers are buffered at once")
)

// errNotEvents is the error of an event stream with data that is not in the form of events.
var errNotEvents = errors.New("the stream has data that is no event")

// exceededLimit returns the name of the limit that an answer exceeded, as a metric label; it is empty for other errors.
func exceededLimit(err error) string {
	for name, limit := range map[string]error{
		"head": errHeadTooLong, "body": errAnswerTooLong, "event": errEventTooLong, "noEvents": errNoEvents, "memory": errPoolExhausted,
	} {
		if errors.Is(err, limit) {
			return name
		}
	}
	return ""
}

// headLimiter fails reads from a connection after maxAnswerHeadBytes until the head is complete.
type headLimiter struct {
	conn net.Conn
	left int
	done bool
}

// Read reads from the connection.
func (lmt *headLimiter) Read(buf []byte) (int, error) {
	if lmt.done {
		return lmt.conn.Read(buf)
	}
	if lmt.left <= 0 {
		return 0, errHeadTooLong
	}
	count, err := lmt.conn.Read(buf[:min(len(buf), lmt.left)])
	lmt.left -= count
	return count, err
}

// bufferPool is the memory for long answers of all requests of a server.
type bufferPool struct {
	used atomic.Int64
	// gate, if set, holds the memory for requests and answers together.
	gate *intake.Gate
}

// take reserves bytes; it returns false if the pool has not enough left. Callers that do not read their answers are
// dropped before.
func (pol *bufferPool) take(bytes int) bool {
	if !pol.tryTake(bytes) && !pol.gate.AwaitRelease(func() bool { return pol.tryTake(bytes) }) {
		return false
	}
	if !pol.gate.Reserve(bytes) {
		pol.used.Add(int64(-bytes))
		return false
	}
	return true
}

func (pol *bufferPool) tryTake(bytes int) bool {
	if pol.used.Add(int64(bytes)) > poolBytes {
		pol.used.Add(int64(-bytes))
		return false
	}
	return true
}

func (pol *bufferPool) release(bytes int) {
	if bytes > 0 {
		pol.used.Add(int64(-bytes))
		pol.gate.Unreserve(bytes)
	}
}

// buffer holds the data of one answer; what exceeds freeBytes is taken from the pool until it is released.
type buffer struct {
	pool  *bufferPool
	data  []byte
	taken int
}

// append adds data.
func (buf *buffer) append(data []byte) error {
	if size := len(buf.data) + len(data); size > cap(buf.data) && size > freeBytes {
		// The old array is garbage only after it has been copied.
		grown := 2 * size
		if !buf.pool.take(grown) {
			return errPoolExhausted
		}
		old := buf.taken
		buf.data = append(make([]byte, 0, grown), buf.data...)
		buf.taken = grown
		buf.pool.release(old)
	}
	buf.data = append(buf.data, data...)
	return nil
}

// release returns the reserved bytes to the pool; the data must not be used any more.
func (buf *buffer) release() {
	buf.pool.release(buf.taken)
	buf.data, buf.taken = nil, 0
}

// readAnswer reads the whole body of an answer. It returns an error for a body that is longer than maxPlainBytes, so that
// no truncated answer is relayed as a complete one. The caller must release the buffer.
func (pol *bufferPool) readAnswer(res *http.Response) (*buffer, error) {
	buf := &buffer{pool: pol}
	chunk := make([]byte, readBufferBytes)
	for {
		count, err := res.Body.Read(chunk)
		if len(buf.data)+count > maxPlainBytes {
			buf.release()
			return nil, errAnswerTooLong
		}
		if appendErr := buf.append(chunk[:count]); appendErr != nil {
			buf.release()
			return nil, appendErr
		}
		switch {
		case errors.Is(err, io.EOF):
			return buf, nil
		case err != nil:
			buf.release()
			return nil, err
		}
	}
}
