package dispatch

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// minRateLimit is the least number of requests a second that an endpoint gets, whatever it names: only an answer
	// shows that the limit is over.
	minRateLimit = 0.2
	// Permits are handed out at settleShare of the limit until settleTime after the first one: the daemon that was asked
	// before may still be asked by others, which have not noticed yet that this one has taken its place.
	settleShare = 0.5
	settleTime  = 5 * time.Second
	// askedMargin is the time without a request for a permit after which another daemon may hand them out at the full rate: one
	// that was frozen or cut off does not know that it was replaced. Before, the other one does so at settleShare.
	askedMargin = settleTime - time.Second
	// bucketLifetime is how long the state of a limit is kept after the last request for a permit.
	bucketLifetime = time.Minute
)

// Permits hands out permits for the endpoints that are assigned to this daemon: one permit allows one daemon to send one
// request. All daemons ask the same one, so that their requests together stay within the limit, however unevenly the
// callers are spread over the daemons.
type Permits struct {
	buckets map[string]*permitBucket
}

// permitBucket hands out the permits of one endpoint.
type permitBucket struct {
	limiter        *rate.Limiter
	madeAt, usedAt time.Time
}

// NewPermits returns a Permits for no endpoints.
func NewPermits() *Permits {
	return &Permits{buckets: map[string]*permitBucket{}}
}

// Take takes a permit for an endpoint with a limit; it returns false and the time until the next permit if there is none.
// With force it takes one in advance if there is none.
func (per *Permits) Take(now time.Time, id string, perSecond float64, force bool) (granted bool, wait time.Duration) {
	perSecond = max(perSecond, minRateLimit)
	buc := per.bucket(now, id)
	if now.Sub(buc.madeAt) < settleTime {
		perSecond *= settleShare
	}
	// A burst of half a second lets more permits be used when requests arrive at random times.
	buc.resize(now, perSecond, 1+int(perSecond/2))
	return buc.take(now, force)
}

// TakeCold takes a permit for a cold endpoint that sustains so many requests a second, within the bound of cold endpoints; it
// returns false and the time until the next permit if there is none. With steady, this daemon has been the one that hands out
// the endpoint's permits for settleTime at least.
func (per *Permits) TakeCold(now time.Time, id string, perSecond float64, cld *Cold, steady bool) (granted bool, wait time.Duration) {
	switch buc, known := per.buckets[id]; {
	case !known && steady:
		per.bucket(now.Add(-settleTime), id)
	case known && now.Sub(buc.usedAt) > askedMargin:
		buc.restart(now)
	}
	buc := per.bucket(now, id)
	perSecond, burst := cld.rate(perSecond), cld.burst()
	if now.Sub(buc.madeAt) < settleTime {
		perSecond, burst = perSecond*settleShare, 1
	}
	buc.resize(now, perSecond, burst)
	return buc.take(now, false)
}

// bucket returns the state of an endpoint, and creates it if there is none.
func (per *Permits) bucket(now time.Time, id string) *permitBucket {
	buc, known := per.buckets[id]
	if !known {
		buc = &permitBucket{madeAt: now}
		per.buckets[id] = buc
	}
	buc.usedAt = now
	return buc
}

// restart makes a bucket hand out permits as a new one does, unless it does so already.
func (buc *permitBucket) restart(now time.Time) {
	if now.Sub(buc.madeAt) >= settleTime {
		buc.madeAt, buc.limiter = now, nil
	}
}

func (buc *permitBucket) take(now time.Time, force bool) (granted bool, wait time.Duration) {
	rsv := buc.limiter.ReserveN(now, 1)
	wait = rsv.DelayFrom(now)
	if wait == 0 || force {
		return true, 0
	}
	rsv.CancelAt(now)
	return false, wait
}

// resize sets the rate of the permits and the number that may be handed out at once.
func (buc *permitBucket) resize(now time.Time, perSecond float64, burst int) {
	limit := rate.Limit(perSecond)
	if buc.limiter == nil {
		buc.limiter = rate.NewLimiter(limit, burst)
		// The daemon that was asked before may just have handed out a burst.
		buc.limiter.ReserveN(now, burst-1)
	}
	if buc.limiter.Limit() != limit || buc.limiter.Burst() != burst {
		buc.limiter.SetLimitAt(now, limit)
		buc.limiter.SetBurstAt(now, burst)
	}
}

// Forget drops the endpoints for which no daemon has asked for a while.
func (per *Permits) Forget(now time.Time) {
	for id, buc := range per.buckets {
		if now.Sub(buc.usedAt) >= bucketLifetime {
			delete(per.buckets, id)
		}
	}
}
