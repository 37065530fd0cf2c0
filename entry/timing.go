package entry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"papayacroft/metrics"
)

// timing records the time to an answer's first token and the intervals between its tokens.
type timing struct {
	began         time.Time
	last          time.Time
	firstToken    prometheus.Observer
	tokenInterval prometheus.Observer
	tokens        prometheus.Counter
}

// newTiming looks up the metrics once for each answer, since a look-up for each token costs more than the token
// itself.
func newTiming(now time.Time, met *metrics.Metrics, class, model string) *timing {
	return &timing{
		began:         now,
		firstToken:    met.FirstToken.WithLabelValues(class),
		tokenInterval: met.TokenInterval.WithLabelValues(class),
		tokens:        met.Tokens.WithLabelValues(model),
	}
}

// token records the arrival of one token.
func (tim *timing) token(now time.Time) {
	tim.tokens.Inc()
	if tim.last.IsZero() {
		tim.firstToken.Observe(now.Sub(tim.began).Seconds())
	} else {
		tim.tokenInterval.Observe(now.Sub(tim.last).Seconds())
	}
	tim.last = now
}
