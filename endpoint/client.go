package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"papayacroft/answer"
)

const (
	// DefaultSilenceTimeout is the time without any byte after which a stream is considered dead. Engines send at least a
	// comment each second.
	DefaultSilenceTimeout = 3 * time.Second
	dialTimeout           = time.Second
	// maxErrorBytes is the number of bytes of an error response that are read at most.
	maxErrorBytes = 4 << 10
)

// StartRequest is the body of a request to an engine to start a generation.
type StartRequest struct {
	ID        string `json:"id"`
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"maxTokens"`
	Priority  int    `json:"priority"`
	Class     string `json:"class"`
	// UnreadFor is the time without a reader after which the engine cancels the generation on its own.
	UnreadFor string `json:"unreadFor,omitempty"`
}

// Client calls endpoints over HTTP.
type Client struct {
	HTTP *http.Client
	// SilenceTimeout is the time without any byte after which a stream is interrupted.
	SilenceTimeout time.Duration
	// OnLoad, if set, receives each load report that a response carries in its header or stream.
	OnLoad func(endpoint string, lod Load)
}

// NewClient returns a client that pools connections for load requests only; other calls open a connection each.
func NewClient() *Client {
	return &Client{
		HTTP: &http.Client{Transport: answer.NewTransport(&http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout, KeepAlive: 15 * time.Second}).DialContext,
			MaxIdleConnsPerHost: 64,
			IdleConnTimeout:     30 * time.Second,
		})},
		SilenceTimeout: DefaultSilenceTimeout,
	}
}

// unpooledClient opens a connection for each call. A pooled idle connection may have stopped delivering data unnoticed,
// which would delay the first token.
var unpooledClient = &http.Client{Transport: serviceTransport}

// Target is an endpoint's name and address.
type Target struct {
	Name    string
	Address string
}

// Start begins a generation and returns its stream.
func (clt *Client) Start(ctx context.Context, tgt Target, req StartRequest) (*Stream, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return clt.open(ctx, tgt, http.MethodPost, "/generations", body, req.ID, 0)
}

// Attach opens the stream of a running generation from the token with the given index on.
func (clt *Client) Attach(ctx context.Context, tgt Target, generation string, from int) (*Stream, error) {
	path := "/generations/" + generation + "?from=" + strconv.Itoa(from)
	return clt.open(ctx, tgt, http.MethodGet, path, nil, generation, from)
}

// Cancel cancels a generation. If unreadFor is set, the engine does so only if the generation has had no reader for
// that time.
func (clt *Client) Cancel(ctx context.Context, tgt Target, generation string, unreadFor time.Duration) error {
	path := "/generations/" + generation
	if unreadFor > 0 {
		path += "?unreadFor=" + unreadFor.String()
	}
	res, err := clt.do(ctx, unpooledClient, tgt, http.MethodDelete, path, nil)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(res.Body.Close())
}

// Load fetches an engine's load report.
func (clt *Client) Load(ctx context.Context, tgt Target) (Load, error) {
	res, err := clt.do(ctx, clt.HTTP, tgt, http.MethodGet, "/load", nil)
	if err != nil {
		return Load{}, trace.Wrap(err)
	}
	defer res.Body.Close()
	lod, ok := ParseLoad(res.Header)
	if !ok {
		return Load{}, trace.BadParameter("endpoint %s sent no load report", tgt.Name)
	}
	return lod, nil
}

func (clt *Client) open(ctx context.Context, tgt Target, method, path string, body []byte, generation string, from int) (*Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	watchdog := time.AfterFunc(clt.SilenceTimeout, cancel)
	res, err := clt.do(ctx, unpooledClient, tgt, method, path, body) //nolint:bodyclose // The stream closes the body.
	if err != nil {
		watchdog.Stop()
		cancel()
		return nil, err
	}
	stm := newStream(res.Body, tgt, generation, from, clt.SilenceTimeout, watchdog, cancel)
	stm.onLoad = clt.OnLoad
	return stm, nil
}

func (clt *Client) do(ctx context.Context, via *http.Client, tgt Target, method, path string, body []byte) (*http.Response, error) {
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+tgt.Address+path, reader)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	res, err := via.Do(req)
	if err != nil {
		return nil, &Error{Endpoint: tgt.Name, Reason: reasonOf(ctx, err), Begun: begunOf(err), Err: err}
	}
	if lod, ok := ParseLoad(res.Header); ok && clt.OnLoad != nil {
		clt.OnLoad(tgt.Name, lod)
	}
	if res.StatusCode/100 == 2 {
		return res, nil
	}
	defer res.Body.Close()
	return nil, statusError(tgt, res)
}

func statusError(tgt Target, res *http.Response) error {
	var reply struct {
		Code string `json:"code"`
	}
	data, err := io.ReadAll(io.LimitReader(res.Body, maxErrorBytes))
	if err == nil {
		_ = json.Unmarshal(data, &reply)
	}
	edpErr := &Error{Endpoint: tgt.Name, Reason: ReasonRefused, Begun: MayHaveBegun, Err: fmt.Errorf("%s: %s", res.Status, reply.Code)}
	switch {
	case res.StatusCode == http.StatusServiceUnavailable && reply.Code == string(ReasonFull):
		edpErr.Reason, edpErr.Begun = ReasonFull, NotBegun
	case res.StatusCode == http.StatusServiceUnavailable && reply.Code == string(ReasonLeaving):
		edpErr.Reason, edpErr.Begun = ReasonLeaving, NotBegun
	case res.StatusCode == http.StatusServiceUnavailable && reply.Code == string(ReasonNotLoaded):
		edpErr.Reason, edpErr.Begun = ReasonNotLoaded, NotBegun
	case res.StatusCode == http.StatusNotFound:
		edpErr.Reason, edpErr.Begun = ReasonUnknownID, NotBegun
	case res.StatusCode == http.StatusRequestedRangeNotSatisfiable:
		edpErr.Reason, edpErr.Begun = ReasonBeyondEnd, NotBegun
	case res.StatusCode == http.StatusConflict:
		edpErr.Reason, edpErr.Begun = ReasonAttached, NotBegun
	case res.StatusCode/100 == 4:
		edpErr.Begun = NotBegun
	}
	return edpErr
}

// begunOf returns NotBegun only if the connection could not be opened; after any other failure the endpoint may have
// received the request.
func begunOf(err error) Begun {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return NotBegun
	}
	return MayHaveBegun
}

func reasonOf(ctx context.Context, err error) Reason {
	if ctx.Err() != nil {
		return ReasonSilent
	}
	if begunOf(err) == NotBegun {
		return ReasonUnreachable
	}
	return ReasonBroken
}
