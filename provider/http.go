package provider

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"papayacroft/answer"
)

const (
	// maxResponseBytes is the longest response that is read from a service of the platform.
	maxResponseBytes = 64 << 20
	defaultPageBytes = 8 << 20
	// responseMargin is the time-out of a request, in addition to the wait for records that it asks for.
	responseMargin = 2 * time.Second
)

// transport is shared by all clients of the platform's services, and so are its connections.
var transport = answer.NewTransport(http.DefaultTransport.(*http.Transport))

// HTTPLog is a client of the log service over HTTP.
type HTTPLog struct {
	URL    string
	Client *http.Client
	// PageBytes is the size limit for the bodies of one page of records; the log may exceed it by one record.
	PageBytes int
}

// NewHTTPLog returns a client of the log at a base URL.
func NewHTTPLog(baseURL string) *HTTPLog {
	return &HTTPLog{URL: baseURL, Client: &http.Client{Transport: transport}, PageBytes: defaultPageBytes}
}

// Append adds a record and returns its offset.
// After an error for which NotProcessed is false the log may or may not contain the record.
func (hlg *HTTPLog) Append(ctx context.Context, stream string, body []byte) (int64, error) {
	var reply struct {
		Offset int64 `json:"offset"`
	}
	target := hlg.URL + "/streams/" + url.PathEscape(stream) + "/records"
	if err := exchange(ctx, hlg.Client, http.MethodPost, target, body, &reply); err != nil {
		return 0, trace.Wrap(err)
	}
	return reply.Offset, nil
}

// Read returns all records from an offset on, page by page. It waits up to the given time for the first record.
func (hlg *HTTPLog) Read(ctx context.Context, stream string, from int64, wait time.Duration) (Batch, error) {
	bat, err := hlg.ReadPage(ctx, stream, from, wait)
	for err == nil && bat.More && len(bat.Records) > 0 {
		var page Batch
		page, err = hlg.ReadPage(ctx, stream, bat.Next, 0)
		if err == nil && page.First > bat.Next {
			err = trace.ConnectionProblem(nil, "records of stream %s expired while they were read", stream)
		}
		bat.Records = append(bat.Records, page.Records...)
		bat.Next, bat.More = max(bat.Next, page.Next), page.More && len(page.Records) > 0
	}
	if err != nil {
		return Batch{}, trace.Wrap(err)
	}
	return bat, nil
}

// ReadPage returns the records from an offset on that the log sends in one response. After an error it closes the idle
// connections.
func (hlg *HTTPLog) ReadPage(ctx context.Context, stream string, from int64, wait time.Duration) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+responseMargin)
	defer cancel()
	query := url.Values{
		"from": {strconv.FormatInt(from, 10)}, "wait": {wait.String()}, "maxBytes": {strconv.Itoa(hlg.PageBytes)},
	}
	target := hlg.URL + "/streams/" + url.PathEscape(stream) + "/records?" + query.Encode()
	var bat Batch
	if err := exchange(ctx, hlg.Client, http.MethodGet, target, nil, &bat); err != nil {
		hlg.Client.CloseIdleConnections()
		return Batch{}, trace.Wrap(err)
	}
	return bat, nil
}

// HTTPVMList is a client of the VM list over HTTP.
type HTTPVMList struct {
	URL    string
	Client *http.Client
}

// NewHTTPVMList returns a client of the VM list at a base URL.
func NewHTTPVMList(baseURL string) *HTTPVMList {
	return &HTTPVMList{URL: baseURL, Client: &http.Client{Transport: transport, Timeout: responseMargin}}
}

// VMs returns the current list.
func (hvl *HTTPVMList) VMs(ctx context.Context) ([]VM, error) {
	var vms []VM
	if err := exchange(ctx, hvl.Client, http.MethodGet, hvl.URL+"/vms", nil, &vms); err != nil {
		return nil, trace.Wrap(err)
	}
	return vms, nil
}

// HTTPWeightStore is a client of the weight store over HTTP.
type HTTPWeightStore struct {
	URL    string
	Client *http.Client
}

// NewHTTPWeightStore returns a client of the weight store at a base URL.
func NewHTTPWeightStore(baseURL string) *HTTPWeightStore {
	return &HTTPWeightStore{URL: baseURL, Client: &http.Client{Transport: transport, Timeout: responseMargin}}
}

// Acquire requests a permit to load a model's weights; it returns an error if the weight store grants none.
func (hws *HTTPWeightStore) Acquire(ctx context.Context, model string, size int64) error {
	body, err := json.Marshal(struct {
		Model string `json:"model"`
		Bytes int64  `json:"bytes"`
	}{model, size})
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(exchange(ctx, hws.Client, http.MethodPost, hws.URL+"/loads", body, nil))
}

// NotProcessed reports whether a call failed before the service could act on it: no connection could be opened, or the
// service rejected the call because of its rate limit.
func NotProcessed(err error) bool {
	var opErr *net.OpError
	return trace.IsLimitExceeded(err) || errors.As(err, &opErr) && opErr.Op == "dial"
}

// exchange sends a request and decodes the JSON response into reply unless that is nil.
func exchange(ctx context.Context, clt *http.Client, method, target string, body []byte, reply any) error {
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, target, reader)
	if err != nil {
		return trace.Wrap(err)
	}
	// An append must reach the log at most once per call, so the transport must not resend the body.
	req.GetBody = nil
	res, err := clt.Do(req)
	if err != nil {
		return trace.ConnectionProblem(err, "%s %s", method, target)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return trace.ConnectionProblem(err, "%s %s", method, target)
	}
	if res.StatusCode == http.StatusTooManyRequests {
		return trace.LimitExceeded("%s %s: %s", method, target, res.Status)
	}
	if res.StatusCode/100 != 2 {
		return trace.ConnectionProblem(nil, "%s %s: %s", method, target, res.Status)
	}
	if reply == nil {
		return nil
	}
	return trace.Wrap(json.Unmarshal(data, reply), "%s %s", method, target)
}
