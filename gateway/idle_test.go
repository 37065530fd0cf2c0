package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"papayacroft/catalog"
)

// emptyWire parses no header; its other methods are not called.
type emptyWire struct{ Wire }

// ParseCall returns a call without headers.
func (emptyWire) ParseCall(http.Header) Call { return Call{} }

// A limit of 0 for the time that connections may be idle must end each of them with its answer; a limit that is not stated must not.
func TestZeroIdleTimeoutEndsConnections(t *testing.T) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	for _, cse := range []struct {
		limit time.Duration
		want  string
	}{{0, "close"}, {catalog.Unstated, ""}, {time.Second, ""}} {
		cat := catalog.NewCatalog(1, nil, nil, nil)
		cat.Limits.IdleTimeout = cse.limit
		srv := NewServer()
		srv.Logger = logger
		srv.Snapshots = fixedSnapshot{Catalog: cat, Fleet: catalog.FleetView{Endpoints: map[string]catalog.Endpoint{"e": {ID: "e"}}}}
		srv.Wire = emptyWire{}
		rec := httptest.NewRecorder()
		srv.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/", nil))
		if got := rec.Header().Get("Connection"); got != cse.want || rec.Code != http.StatusNotFound {
			t.Errorf("limit %v: got status %d, Connection %q, want 404 and %q", cse.limit, rec.Code, got, cse.want)
		}
	}
}
