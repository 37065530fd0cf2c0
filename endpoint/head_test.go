package endpoint

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"papayacroft/standin"
)

// invalidHeads are answers whose heads are not valid.
var invalidHeads = []string{
	"HTTP/1.1 000 OK\nContent-Length: 5\n\nhello",
	"HTTP/1.1 600 OK\nContent-Length: 5\n\nhello",
	"HTTP/1.1 101 Switching Protocols\n\nhello",
	"HTTP/1.1 200 OK\nX Bad: 1\nContent-Length: 5\n\nhello",
	"HTTP/1.1 200 OK\nTransfer-Encoding : chunked\n\n5\nhello\n0\n\n",
	"HTTP/1.1 200 OK\nX\x01Bad: 1\nContent-Length: 5\n\nhello",
	"HTTP/1.1 404 Not Found\nX Bad: 1\nContent-Length: 5\n\nhello",
	"HTTP/1.1 503 Service Unavailable\nX Bad: 1\nContent-Length: 15\n\n{\"code\":\"full\"}",
}

// An answer whose head is not valid must not be taken for one, nor for a statement that nothing has begun.
func TestInvalidHeads(t *testing.T) {
	clt := NewClient()
	calls := map[string]func(ctx context.Context, tgt Target) error{
		"call": func(ctx context.Context, tgt Target) error {
			res, err := clt.Call(ctx, tgt, ServiceRequest{Method: http.MethodPost, Path: "/"})
			if err == nil {
				_ = res.Body.Close()
			}
			return err
		},
		"start": func(ctx context.Context, tgt Target) error {
			stm, err := clt.Start(ctx, tgt, StartRequest{ID: "gen"})
			if err == nil {
				stm.Close()
			}
			return err
		},
		"cancel": func(ctx context.Context, tgt Target) error { return clt.Cancel(ctx, tgt, "gen", 0) },
		"order":  func(ctx context.Context, tgt Target) error { return clt.Order(ctx, tgt, Order{}) },
		"load": func(ctx context.Context, tgt Target) error {
			_, err := clt.Load(ctx, tgt)
			return err
		},
	}
	for name, call := range calls {
		for _, data := range invalidHeads {
			server := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
				standin.AnswerRaw(wri, req, strings.ReplaceAll(data, "\n", "\r\n"))
			}))
			err := call(t.Context(), Target{Name: "one", Address: server.Listener.Addr().String()})
			if edpErr, ok := AsError(err); !ok || edpErr.Reason != ReasonBroken || edpErr.Begun != MayHaveBegun {
				t.Errorf("%s, %q: got error %v, want one of reason broken that says that the request may have begun", name, data, err)
			}
			server.Close()
		}
	}
}

// An answer of HTTP/1.0 with a transfer coding must not be taken for one, as the sizes of its chunks would be a part of its body.
func TestTransferCodingOfEarlierVersion(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		standin.AnswerRaw(wri, req, "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n")
	}))
	defer server.Close()
	res, err := NewClient().Call(t.Context(), Target{Name: "one", Address: server.Listener.Addr().String()}, ServiceRequest{Method: http.MethodPost, Path: "/"})
	if err != nil {
		return
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	t.Errorf("got the body %q, error %v; want no answer", body, err)
}
