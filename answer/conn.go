package answer

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Conn is a connection whose failures are reported after all that has been received. The kernel reports a failure, such as a
// reset, once: if a concurrent write sees it, the next read returns io.EOF, which would make an answer without a length look
// complete.
type Conn struct {
	net.Conn

	mu sync.Mutex
	// failure is the first error of a write that shows that the connection has failed.
	failure error
}

// Write writes to the connection. After the peer has closed or reset it, Write discards the data and returns no error: the peer
// may have sent a complete answer before it read the whole request, and clients that see a write fail do not read that answer.
func (con *Conn) Write(data []byte) (int, error) {
	con.mu.Lock()
	defer con.mu.Unlock()
	num, err := con.Conn.Write(data)
	if con.failure == nil && isFailure(err) {
		con.failure = err
	}
	if errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET) {
		return len(data), nil
	}
	return num, err
}

// ReadFrom writes what a reader returns. A bufio.Writer uses it to write long bodies in larger pieces than its buffer.
func (con *Conn) ReadFrom(src io.Reader) (int64, error) {
	return io.Copy(connWriter{con}, src)
}

// connWriter is a Conn without ReadFrom, which io.Copy would call.
type connWriter struct {
	con *Conn
}

// Write writes to the connection.
func (wri connWriter) Write(data []byte) (int, error) {
	return wri.con.Write(data)
}

// isFailure reports whether the error of a write shows that the connection has failed. EPIPE does not: a write returns it
// after a reset that follows the end of what the peer has sent.
func isFailure(err error) bool {
	return err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed)
}

// Read reads from the connection. It returns io.EOF only if the peer has closed the connection and it has not failed; a blocked
// write ends too then.
func (con *Conn) Read(buf []byte) (int, error) {
	num, err := con.Conn.Read(buf)
	if !errors.Is(err, io.EOF) {
		return num, err
	}
	// A write that has seen a failure holds the lock until it is recorded.
	_ = con.SetWriteDeadline(time.Unix(1, 0))
	con.mu.Lock()
	defer con.mu.Unlock()
	if con.failure != nil {
		return num, fmt.Errorf("the connection failed before the end of the answer: %w", con.failure)
	}
	return num, err
}
