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

// checkSend returns an error if a request must not be sent to an endpoint that was chosen for it: the request may have waited
// for a permit or for its connection since.
func (srv *Server) checkSend(rqs *request, edp *catalog.Endpoint) error {
	if srv.isEvacuated(edp) {
		return errEvacuated
	}
	if now := srv.Now(); srv.hasColdRate(edp.Service) && now.Sub(rqs.permitAt) >= dispatch.ColdPermitLifetime && srv.isColdLimited(now, edp.ID) {
		return errPermitExpired
	}
	return nil
}
