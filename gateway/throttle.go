package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"papayacroft/dispatch"
)

// sourceAnswer is logged as the source of a limit that an endpoint named in an answer to this daemon.
const sourceAnswer = "answer"

// rateLimit returns what an endpoint's answer says of its limit.
func rateLimit(now time.Time, ans Answer) dispatch.RateLimit {
	if ans.RateLimit == nil {
		return dispatch.RateLimit{At: now}
	}
	return dispatch.RateLimit{PerSecond: *ans.RateLimit, Named: true, At: now}
}

// learnLimit records the limit that an endpoint names; the caller holds the mutex.
func (srv *Server) learnLimit(id string, lim dispatch.RateLimit, source string) {
	if srv.Throttle.Learn(id, lim) {
		srv.Logger.WithFields(logrus.Fields{fieldEndpoint: id, "perSecond": lim.PerSecond, "limited": lim.Named, "source": source}).Info("limit of an endpoint changed")
	}
}
