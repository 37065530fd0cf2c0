package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"
	"log"
	"net"
	"sync/atomic"

	"github.com/gravitational/trace"
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
	return jsonrpc2.NewBufferedStream(&countedConn{Conn: con, traffic: trf}, boundedCodec{})
}

// maxMessageBytes limits a message from another daemon.
const maxMessageBytes = 32 << 20

// boundedCodec is jsonrpc2.VarintObjectCodec with a limit of the size of a message.
type boundedCodec struct {
	jsonrpc2.VarintObjectCodec
	// begin, if set, admits a message of which so many bytes have not arrived yet; the returned function ends it.
	begin func(bytes int) (func(), error)
}

// ReadObject reads one message; it fails for one that is longer than maxMessageBytes.
func (cdc boundedCodec) ReadObject(stream *bufio.Reader, object any) error {
	size, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if size > maxMessageBytes {
		return trace.LimitExceeded("message of %d bytes; at most %d are allowed", size, maxMessageBytes)
	}
	if cdc.begin != nil {
		done, err := cdc.begin(max(0, int(size)-stream.Buffered()))
		if err != nil {
			return err
		}
		defer done()
	}
	return json.NewDecoder(io.LimitReader(stream, int64(size))).Decode(object)
}

// discardLog keeps the library from writing to standard error when a connection closes before a reply is sent; the
// calling side reports the failed call.
var discardLog = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))
