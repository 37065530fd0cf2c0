package endpoint

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"papayacroft/answer"
)

// ServiceRequest is a call to a plain service.
type ServiceRequest struct {
	Method string
	Path   string
	Query  string
	Header http.Header
	Body   []byte
}

// serviceTransport never reuses a connection, because net/http resends some requests when a reused connection fails.
var serviceTransport = answer.NewTransport(&http.Transport{
	DialContext:       (&net.Dialer{Timeout: dialTimeout, KeepAlive: 15 * time.Second}).DialContext,
	DisableKeepAlives: true,
})

// Call sends a request to a plain service without ever resending it, and without following redirects.
func (clt *Client) Call(ctx context.Context, tgt Target, req ServiceRequest) (*http.Response, error) {
	target := "http://" + tgt.Address + req.Path
	if req.Query != "" {
		target += "?" + req.Query
	}
	httpReq, err := http.NewRequestWithContext(ctx, req.Method, target, io.NopCloser(bytes.NewReader(req.Body)))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	httpReq.ContentLength = int64(len(req.Body))
	httpReq.Header = req.Header
	noRedirect := &http.Client{Transport: serviceTransport, CheckRedirect: func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}}
	res, err := noRedirect.Do(httpReq)
	if err != nil {
		return nil, &Error{Endpoint: tgt.Name, Reason: reasonOf(ctx, err), Begun: begunOf(err), Err: err}
	}
	if lod, ok := ParseLoad(res.Header); ok && clt.OnLoad != nil {
		clt.OnLoad(tgt.Name, lod)
	}
	return res, nil
}
