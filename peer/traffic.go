package peer

import (
	"io"
	"log"
	"net"
	"sync/atomic"

	"github.com/sourcegraph/jsonrpc2"
)

// Traffic counts the bytes that were sent to other daemons and received from them.
type Traffic struct {
	Sent     atomic.Int64
	Received atomic.Int64
}

// countedConn adds the bytes sent and received over a connection to a Traffic.
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

// discardLog keeps the library from writing to standard error when a connection closes before a reply is sent; the
// calling side reports the failed call.
var discardLog = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))
