package peer

import (
	"io"
	"log"
	"net"
	"sync/atomic"

	"github.com/sourcegraph/jsonrpc2"
)

// Traffic counts the bytes that daemons exchange.
type Traffic struct {
	Sent     atomic.Int64
	Received atomic.Int64
}

// countedConn adds what passes through a connection to the traffic.
type countedConn struct {
	net.Conn
	traffic *Traffic
}

// Read counts received bytes.
func (con *countedConn) Read(buf []byte) (int, error) {
	count, err := con.Conn.Read(buf)
	con.traffic.Received.Add(int64(count))
	return count, err
}

// Write counts sent bytes.
func (con *countedConn) Write(buf []byte) (int, error) {
	count, err := con.Conn.Write(buf)
	con.traffic.Sent.Add(int64(count))
	return count, err
}

func newStream(con net.Conn, trf *Traffic) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(&countedConn{Conn: con, traffic: trf}, jsonrpc2.VarintObjectCodec{})
}

// quiet keeps the library from writing to standard error when a connection ends before an answer is sent;
// the calling side reports the failed call.
var quiet = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))
