package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// earlyBufferBytes is the receive buffer of an EarlyServer's connections: a long upload to it has to wait.
const earlyBufferBytes = 4 << 10

// EarlyEnd says what happens on a connection after an early answer.
type EarlyEnd string

// The ends of early answers.
const (
	// EarlyReset resets the connection.
	EarlyReset EarlyEnd = "reset"
	// EarlyFinish closes the sending direction only.
	EarlyFinish EarlyEnd = "finish"
	// EarlyFinishReset closes the sending direction and resets the connection later.
	EarlyFinishReset EarlyEnd = "finishReset"
	// EarlyOpen leaves the connection open.
	EarlyOpen EarlyEnd = "open"
)

// EarlyAnswer is an answer that is sent without waiting for the request's body.
type EarlyAnswer struct {
	// Data is sent as soon as the head of the request has been read.
	Data string
	End  EarlyEnd
	// Pause is the time before End, and again before the reset of EarlyFinishReset.
	Pause time.Duration
	// ReadsBody makes the server read the body after it has sent Data, before it pauses.
	ReadsBody bool
}

// EarlyServer answers each request as soon as its head has been read.
type EarlyServer struct {
	// Answer returns the answer to a request, whose body must not be read.
	Answer func(req *http.Request) EarlyAnswer

	listener net.Listener
	done     chan struct{}
	group    sync.WaitGroup
}

// StartEarlyServer starts a server on loopback.
func StartEarlyServer(answer func(req *http.Request) EarlyAnswer) (*EarlyServer, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	srv := &EarlyServer{Answer: answer, listener: lis, done: make(chan struct{})}
	srv.group.Go(func() {
		for {
			con, err := lis.Accept()
			if err != nil {
				return
			}
			srv.group.Go(func() { srv.serve(con.(*net.TCPConn)) })
		}
	})
	return srv, nil
}

// Address returns the address on which the server listens.
func (srv *EarlyServer) Address() string {
	return srv.listener.Addr().String()
}

// Close closes all connections.
func (srv *EarlyServer) Close() {
	close(srv.done)
	_ = srv.listener.Close()
	srv.group.Wait()
}

// serve answers one request.
func (srv *EarlyServer) serve(con *net.TCPConn) {
	defer con.Close()
	if err := con.SetReadBuffer(earlyBufferBytes); err != nil {
		return
	}
	req, err := http.ReadRequest(bufio.NewReader(con))
	if err != nil {
		return
	}
	ans := srv.Answer(req)
	if _, err := io.WriteString(con, ans.Data); err != nil {
		return
	}
	if ans.ReadsBody {
		_, _ = io.Copy(io.Discard, req.Body)
	}
	srv.pause(ans.Pause)
	switch ans.End {
	case EarlyReset:
		_ = con.SetLinger(0)
	case EarlyFinish:
		_ = con.CloseWrite()
		<-srv.done
	case EarlyFinishReset:
		_ = con.CloseWrite()
		srv.pause(ans.Pause)
		_ = con.SetLinger(0)
	case EarlyOpen:
		<-srv.done
	}
}

func (srv *EarlyServer) pause(dur time.Duration) {
	select {
	case <-srv.done:
	case <-time.After(dur):
	}
}
