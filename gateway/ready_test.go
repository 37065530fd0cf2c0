package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"papayacroft/catalog"
	"papayacroft/control"
)

// A daemon that got the configuration and the endpoints from peers, but does not know the evacuated failure domains yet, must
// not be ready.
func TestReadyAfterEvacuations(t *testing.T) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	dmn := NewDaemon()
	dmn.Control.Logger = logger
	go dmn.Control.Run(t.Context())
	for _, stp := range []struct {
		input control.Input
		want  int
	}{
		{control.ConfigurationUpdate{Catalog: catalog.NewCatalog(1, nil, nil, nil)}, http.StatusServiceUnavailable},
		{control.EndpointUpdate{Endpoints: []catalog.Endpoint{{ID: "e", State: catalog.StateReady}}}, http.StatusServiceUnavailable},
		{control.Evacuations{Peer: &catalog.Evacuations{ReadTo: 1}, Source: "peer"}, http.StatusOK},
	} {
		dmn.Control.Send(t.Context(), stp.input)
		got := 0
		for until := time.Now().Add(200 * time.Millisecond); got != http.StatusOK && time.Now().Before(until); time.Sleep(time.Millisecond) {
			rec := httptest.NewRecorder()
			dmn.answerReady(rec, nil)
			got = rec.Code
		}
		if got != stp.want {
			t.Errorf("got status %d after %T, want %d", got, stp.input, stp.want)
		}
	}
}
