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
	view := []control.Input{
		control.ConfigurationUpdate{Catalog: catalog.NewCatalog(1, nil, nil, nil)},
		control.EndpointUpdate{Endpoints: []catalog.Endpoint{{ID: "e", State: catalog.StateReady}}},
	}
	for _, cse := range []struct {
		name   string
		inputs []control.Input
		want   int
	}{
		{"unread", view, http.StatusServiceUnavailable},
		{"fromPeer", append(view[:2:2], control.Evacuations{Peer: &catalog.Evacuations{ReadTo: 1}, Source: "peer"}), http.StatusOK},
		{"fromStore", append(view[:2:2], control.Evacuations{Whole: true}), http.StatusOK},
	} {
		t.Run(cse.name, func(t *testing.T) {
			dmn := NewDaemon()
			dmn.Control.Logger = logger
			ctx := t.Context()
			go dmn.Control.Run(ctx)
			for _, inp := range cse.inputs {
				dmn.Control.Send(ctx, inp)
			}
			got := 0
			for until := time.Now().Add(200 * time.Millisecond); got != http.StatusOK && time.Now().Before(until); time.Sleep(time.Millisecond) {
				rec := httptest.NewRecorder()
				dmn.answerReady(rec, nil)
				got = rec.Code
			}
			if got != cse.want {
				t.Errorf("got status %d, want %d", got, cse.want)
			}
		})
	}
}
