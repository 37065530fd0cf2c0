package gateway

import (
	"errors"

	"papayacroft/catalog"
	"papayacroft/dispatch"
)

var errEvacuated = errors.New("the endpoint's failure domain has been evacuated meanwhile")

// isEvacuated reports whether the failure domain of an endpoint is evacuated.
func (srv *Server) isEvacuated(edp *catalog.Endpoint) bool {
	return srv.Snapshots.Snapshot().Fleet.Evacuations.Has(edp.FailureDomain)
}

// isNotSentByChoice reports whether a request was not sent because of a check, so that the endpoint has not failed.
func isNotSentByChoice(err error) bool {
	return errors.Is(err, errEvacuated) || errors.Is(err, errPermitExpired) || errors.Is(err, errPaused)
}

// checkSend returns an error if a request must not be sent to an endpoint that was chosen for it: the request may have waited
// for a permit or for its connection since.
func (srv *Server) checkSend(rqs *request, edp *catalog.Endpoint, fwd *Forward) error {
	if srv.isEvacuated(edp) {
		return errEvacuated
	}
	if now := srv.Now(); srv.hasColdRate(edp.Service) && now.Sub(rqs.permitAt) >= dispatch.ColdPermitLifetime && srv.isColdLimited(now, edp.ID) {
		return errPermitExpired
	}
	if !srv.maySend(rqs, edp, fwd) {
		return errPaused
	}
	return nil
}
