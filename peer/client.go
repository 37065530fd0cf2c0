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

// CallTimeout bounds a call to another daemon unless the caller's context ends earlier.
const CallTimeout = time.Second

// Client calls other daemons over one connection each.
type Client struct {
	Traffic *Traffic

	mutex sync.Mutex
	conns map[string]*jsonrpc2.Conn
}

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{Traffic: &Traffic{}, conns: map[string]*jsonrpc2.Conn{}}
}

// Call sends a request and waits for its result.
// A failed call closes the connection, so that the next call opens a new one.
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

// Notify sends a message without waiting for an answer.
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

// Close ends all connections.
func (clt *Client) Close() {
	clt.mutex.Lock()
	defer clt.mutex.Unlock()
	for address, rpc := range clt.conns {
		_ = rpc.Close()
		delete(clt.conns, address)
	}
}

func (clt *Client) conn(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	clt.mutex.Lock()
	rpc, ok := clt.conns[address]
	clt.mutex.Unlock()
	if ok && !isClosed(rpc) {
		return rpc, nil
	}
	var dlr net.Dialer
	con, err := dlr.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	refuse := jsonrpc2.HandlerWithError(func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "calls go from the dialling side only"}
	})
	fresh := jsonrpc2.NewConn(context.Background(), newStream(con, clt.Traffic), refuse, quiet)
	clt.mutex.Lock()
	defer clt.mutex.Unlock()
	if rpc, ok := clt.conns[address]; ok && !isClosed(rpc) {
		_ = fresh.Close()
		return rpc, nil
	}
	clt.conns[address] = fresh
	return fresh, nil
}

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
