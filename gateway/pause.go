package gateway

import (
	"errors"

	"github.com/sirupsen/logrus"

	"papayacroft/catalog"
)

var errPaused = errors.New("the endpoint has asked for a pause meanwhile")

// notePause records that an endpoint's refusal asks for a pause. A refusal that names another request is an earlier one, and
// one of another endpoint at the address says nothing of this one.
func (srv *Server) notePause(rqs *request, edp *catalog.Endpoint, ans Answer) {
	if ans.Pause <= 0 || ans.Misdirected || rqs.isForeign(ans) {
		return
	}
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	if srv.Balancer.Paused(srv.Now(), edp, ans.Pause) {
		srv.Logger.WithFields(logrus.Fields{fieldEndpoint: edp.ID, "pause": ans.Pause}).Info("endpoint asks for a pause")
	}
}

// maySend reports whether a request may be sent to an endpoint in view of its pause.
func (srv *Server) maySend(rqs *request, edp *catalog.Endpoint, fwd *Forward) bool {
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	// A generation that has stopped can go on only at the engine that has its copy.
	return srv.Balancer.MaySend(srv.Now(), edp, rqs.despitePause || fwd.Copy != "")
}

// pausedCount returns the number of endpoints that have a pause.
func (srv *Server) pausedCount() int {
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	return srv.Balancer.PausedCount(srv.Now())
}
