package answer_test

import (
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"papayacroft/answer"
)

// connTimeout limits the reads and writes of a test of connections.
const connTimeout = 10 * time.Second

// connPair returns the two ends of a connection.
func connPair(t *testing.T) (con *answer.Conn, peer *net.TCPConn) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer lis.Close()
	dialed, err := net.Dial("tcp", lis.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = dialed.Close() })
	accepted, err := lis.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = accepted.Close() })
	return &answer.Conn{Conn: dialed}, accepted.(*net.TCPConn)
}

// reset resets a connection.
func reset(t *testing.T, con *net.TCPConn) {
	t.Helper()
	if err := con.SetLinger(0); err != nil {
		t.Fatal(err)
	}
	if err := con.Close(); err != nil {
		t.Fatal(err)
	}
}

// endRecorder is a connection that records that a write has failed.
type endRecorder struct {
	net.Conn
	failed bool
}

// Write writes to the connection.
func (rec *endRecorder) Write(data []byte) (int, error) {
	num, err := rec.Conn.Write(data)
	rec.failed = rec.failed || err != nil
	return num, err
}

// writeUntilFailure writes until the connection has ended, so that a write sees how; it must not report it.
func writeUntilFailure(t *testing.T, con *answer.Conn) {
	t.Helper()
	rec := &endRecorder{Conn: con.Conn}
	con.Conn = rec
	for end := time.Now().Add(connTimeout); !rec.failed && time.Now().Before(end); time.Sleep(time.Millisecond) {
		if num, err := con.Write([]byte("data")); num != len("data") || err != nil {
			t.Fatalf("got %d bytes written, error %v; want %d", num, err, len("data"))
		}
	}
	if !rec.failed {
		t.Fatal("the writes did not fail")
	}
}

// checkRead reads to the end and compares what was read and the error, where nil is that of an end without a failure.
func checkRead(t *testing.T, con *answer.Conn, want string, wantErr error) {
	t.Helper()
	if err := con.SetReadDeadline(time.Now().Add(connTimeout)); err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(con); string(got) != want || !errors.Is(err, wantErr) {
		t.Errorf("got %q, error %v; want %q, error %v", got, err, want, wantErr)
	}
}

// A reset that a write has seen must not look like the end of the answer to the reader, which still gets what arrived before.
func TestWriteSeesReset(t *testing.T) {
	con, peer := connPair(t)
	if _, err := io.WriteString(peer, "part"); err != nil {
		t.Fatal(err)
	}
	reset(t, peer)
	writeUntilFailure(t, con)
	checkRead(t, con, "part", syscall.ECONNRESET)
}

// A reset while a write waits must not look like the end of the answer, whether the read or the write sees it.
func TestResetWhileWriting(t *testing.T) {
	for range 50 {
		con, peer := connPair(t)
		done := make(chan struct{})
		go func() {
			defer close(done)
			_, _ = io.Copy(con, strings.NewReader(strings.Repeat("x", 8<<20)))
		}()
		if _, err := io.WriteString(peer, "part"); err != nil {
			t.Fatal(err)
		}
		time.AfterFunc(5*time.Millisecond, func() {
			_ = peer.SetLinger(0)
			_ = peer.Close()
		})
		checkRead(t, con, "part", syscall.ECONNRESET)
		<-done
	}
}

// An answer that its connection ends is whole, also if the connection is reset after that and a write has seen the reset.
func TestWriteSeesResetAfterEnd(t *testing.T) {
	con, peer := connPair(t)
	if _, err := io.WriteString(peer, "whole"); err != nil {
		t.Fatal(err)
	}
	if err := peer.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	reset(t, peer)
	writeUntilFailure(t, con)
	checkRead(t, con, "whole", nil)
}

// A write that waits must not delay the end of a whole answer.
func TestEndWhileWriting(t *testing.T) {
	con, peer := connPair(t)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = io.Copy(con, strings.NewReader(strings.Repeat("x", 64<<20)))
	}()
	if _, err := io.WriteString(peer, "whole"); err != nil {
		t.Fatal(err)
	}
	if err := peer.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	checkRead(t, con, "whole", nil)
	<-done
}
