package peer

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/sourcegraph/jsonrpc2"
)

// CallTimeout is the time-out of a call to another daemon whose context has no deadline.
const CallTimeout = time.Second

// Client calls other daemons. It keeps one connection to each address.
type Client struct {
	Traffic *Traffic
	// Dial opens a connection to an address.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	mutex sync.Mutex
	conns map[string]*jsonrpc2.Conn
}

// NewClient returns a client that opens connections when they are first needed.
func NewClient() *Client {
	return &Client{Traffic: &Traffic{}, Dial: dialTCP, conns: map[string]*jsonrpc2.Conn{}}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var dlr net.Dialer
	return dlr.DialContext(ctx, "tcp", address)
}

// Call sends a request and waits for its result.
// After any failure other than an error reply it closes the connection, so that the next call opens a new one.
func (clt *Client) Call(ctx context.Context, address, method string, params, result any) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, CallTimeout)
		defer cancel()
	}
	rpc, err := clt.conn(ctx, address)
	if err != nil {
		return trace.ConnectionProblem(err, "peer %s", address)
	}
	if err := rpc.Call(ctx, method, params, result); err != nil {
		var rpcErr *jsonrpc2.Error
		if !errors.As(err, &rpcErr) {
			clt.drop(address, rpc)
		}
		return trace.ConnectionProblem(err, "peer %s: %s", address, method)
	}
	return nil
}

// Notify sends a message without waiting for a reply.
func (clt *Client) Notify(ctx context.Context, address, method string, params any) error {
	rpc, err := clt.conn(ctx, address)
	if err != nil {
		return trace.ConnectionProblem(err, "peer %s", address)
	}
	if err := rpc.Notify(ctx, method, params); err != nil {
		clt.drop(address, rpc)
		return trace.ConnectionProblem(err, "peer %s: %s", address, method)
	}
	return nil
}

// Close closes all connections.
func (clt *Client) Close() {
	clt.mutex.Lock()
	defer clt.mutex.Unlock()
	for address, rpc := range clt.conns {
		_ = rpc.Close()
		delete(clt.conns, address)
	}
}

// conn returns the open connection to an address, or opens one. It dials without holding the mutex, so two calls may dial
// at once; the later one closes its connection and uses that of the earlier.
func (clt *Client) conn(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	clt.mutex.Lock()
	rpc, ok := clt.conns[address]
	clt.mutex.Unlock()
	if ok && !isClosed(rpc) {
		return rpc, nil
	}
	con, err := clt.Dial(ctx, address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	refuse := jsonrpc2.HandlerWithError(func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "calls go from the dialling side only"}
	})
	fresh := jsonrpc2.NewConn(context.Background(), newStream(con, clt.Traffic), refuse, discardLog)
	clt.mutex.Lock()
	defer clt.mutex.Unlock()
	if rpc, ok := clt.conns[address]; ok && !isClosed(rpc) {
		_ = fresh.Close()
		return rpc, nil
	}
	clt.conns[address] = fresh
	return fresh, nil
}

// drop closes a connection and removes it unless another one has replaced it.
func (clt *Client) drop(address string, rpc *jsonrpc2.Conn) {
	_ = rpc.Close()
	clt.mutex.Lock()
	defer clt.mutex.Unlock()
	if clt.conns[address] == rpc {
		delete(clt.conns, address)
	}
}

func isClosed(rpc *jsonrpc2.Conn) bool {
	select {
	case <-rpc.DisconnectNotify():
		return true
	default:
		return false
	}
}
