// Package peer implements JSON-RPC 2.0 over TCP between daemons.
package peer

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/jsonrpc2"
)

// Handler implements one method.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// Server serves the calls of other daemons.
type Server struct {
	// Handlers holds the handler of each method by name.
	Handlers map[string]Handler
	Logger   logrus.FieldLogger
	Traffic  *Traffic
	// BeginMessage, if set, admits a message of which so many bytes have not arrived yet; the returned function is called
	// when it has been read.
	BeginMessage func(con net.Conn, bytes int) (func(), error)
}

// NewServer returns a server without methods.
func NewServer() *Server {
	return &Server{Handlers: map[string]Handler{}, Traffic: &Traffic{}}
}

// Serve accepts connections until the context ends, then waits until all of them are closed.
func (srv *Server) Serve(ctx context.Context, lis net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = lis.Close() })
	defer stop()
	var wgr sync.WaitGroup
	defer wgr.Wait()
	for {
		con, err := lis.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			return trace.Wrap(err)
		}
		wgr.Go(func() { srv.serveConn(ctx, con) })
	}
}

func (srv *Server) serveConn(ctx context.Context, con net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	rpc := jsonrpc2.NewConn(ctx, srv.newStream(con), jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(srv.handle)), discardLog)
	select {
	case <-rpc.DisconnectNotify():
	case <-ctx.Done():
		_ = rpc.Close()
	}
}

func (srv *Server) newStream(con net.Conn) jsonrpc2.ObjectStream {
	if srv.BeginMessage == nil {
		return newStream(con, srv.Traffic)
	}
	codec := boundedCodec{begin: func(bytes int) (func(), error) { return srv.BeginMessage(con, bytes) }}
	return jsonrpc2.NewBufferedStream(&countedConn{Conn: con, traffic: srv.Traffic}, codec)
}

func (srv *Server) handle(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	hdl, ok := srv.Handlers[req.Method]
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "method " + req.Method + " does not exist"}
	}
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	result, err := hdl(ctx, params)
	if err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
	}
	return result, nil
}
