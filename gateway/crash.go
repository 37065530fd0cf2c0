package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"papayacroft/catalog"
	"papayacroft/dispatch"
	"papayacroft/exchange"
)

const (
	// crashCheckDelay is the delay from a broken answer to the connection attempt that shows whether the endpoint has
	// crashed: a crashed endpoint takes no connections for seconds.
	crashCheckDelay = 40 * time.Millisecond
	// maxSharedCrashes limits the crashes in one message of gossip, which takes up to 200 bytes for each.
	maxSharedCrashes = 8
	// condemnedRetry is the Retry-After of requests that are refused because they crashed several endpoints.
	condemnedRetry = 30 * time.Second
	// begunTime is how long after the head of its answer, or after its first event, a stream counts as just begun. One that
	// goes on for longer has not crashed its engine.
	begunTime = 250 * time.Millisecond
	// maxSoundDelay is the longest delay before a daemon tells the others that blamed parts are sound.
	maxSoundDelay = 250 * time.Millisecond
	// maxSharedParts limits the parts of a prompt that crashes are blamed on, maxPartBytes the length of a part's id.
	maxSharedParts = 32
	maxPartBytes   = 64
)

// interruption describes an answer that broke off.
type interruption struct {
	// events is the number of events that had arrived.
	events int
	// begun is true if the endpoint had just begun to answer: it had sent the head, or the first events, less than begunTime
	// before.
	begun bool
}

// digest returns a hash of the parts of a request that stay the same when its caller retries it.
func (rqs *request) digest() uint64 {
	sum := xxhash.New()
	for _, part := range []string{rqs.http.Method, rqs.http.Host, rqs.http.URL.RequestURI(), rqs.organisation} {
		_, _ = sum.WriteString(part)
		_, _ = sum.Write([]byte{0})
	}
	_, _ = sum.Write(rqs.body)
	return sum.Sum64()
}

// sharedParts returns the ids of the parts of a prompt that other requests may have too: all but the last one.
func sharedParts(parts []Part) []string {
	var ids []string
	for _, part := range parts[:max(0, len(parts)-1)] {
		if len(part.ID) <= maxPartBytes && len(ids) < maxSharedParts {
			ids = append(ids, part.ID)
		}
	}
	return ids
}

// refuseCondemned refuses a request that crashed several endpoints, or whose prompt has a part with which other requests
// crashed some.
func (srv *Server) refuseCondemned(now time.Time, rqs *request) *refusal {
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	if srv.Suspects.Condemned(now, rqs.digest()) {
		return notRun(condemnedRetry, "the request crashed several endpoints")
	}
	if rqs.trial {
		return nil
	}
	part, trial := srv.Blame.Condemned(now, sharedParts(rqs.Parts))
	if part != "" {
		return notRun(condemnedRetry, "requests with part %s of the prompt crashed several endpoints", part)
	}
	rqs.trial = trial
	return nil
}

// checkCrash checks in the background whether an endpoint that broke off an answer has crashed, that is, whether it
// accepts no connections. It does nothing if the endpoint is known to leave, or if the caller disconnected or the deadline
// passed. The returned channel gets the result.
func (srv *Server) checkCrash(ctx context.Context, rqs *request, edp *catalog.Endpoint, end interruption) <-chan bool {
	crashed := make(chan bool, 1)
	_, leaving := srv.Snapshots.Snapshot().Fleet.Leaving[edp.ID]
	if ctx.Err() != nil || leaving {
		crashed <- false
		return crashed
	}
	found := exchange.Crash{
		Digest: rqs.digest(), Endpoint: edp.ID, StartedAt: edp.StartedAt,
		Begun: end.begun && end.events == 0, Started: end.begun && end.events > 0,
	}
	if end.events == 0 || end.begun {
		found.Parts = sharedParts(rqs.Parts)
	}
	broken := srv.Now()
	go func() {
		time.Sleep(crashCheckDelay)
		con, err := net.DialTimeout("tcp", edp.Address, dialTimeout)
		crashed <- err != nil
		if err == nil {
			_ = con.Close()
			return
		}
		rqs.logger.WithFields(logrus.Fields{fieldEndpoint: edp.ID, "parts": partIDs(rqs.Parts), fieldEvents: end.events, "begun": end.begun}).
			WithError(err).Warn("endpoint crashed while it ran the request")
		found.AgeMS = srv.Now().Sub(broken).Milliseconds()
		srv.NoteCrash(found)
		if srv.OnCrash != nil {
			srv.OnCrash(found)
		}
	}()
	return crashed
}

// noteEvents records that events arrived from the engine, for the search for parts that crash engines.
func (one *run) noteEvents(now time.Time) {
	if !one.hasEvent {
		one.hasEvent, one.beganAt = true, now
		one.server.setBeginning(one, false)
	}
	if !one.sound && now.Sub(one.beganAt) >= begunTime {
		one.noteSound(now)
	}
}

func (one *run) noteSound(now time.Time) {
	one.sound = true
	one.server.noteSound(now, one.beganAt, one.request)
}

// hasCrashed starts the check whether the engine of an interrupted stream has crashed. If the engine had just begun to
// answer, it waits for the result: another engine would probably crash too. It does not wait once an event of a request
// has arrived whose parts are all known to be sound.
func (one *run) hasCrashed(ctx context.Context) bool {
	if one.isMoving() {
		return false
	}
	begun := one.server.Now().Sub(one.beganAt) < begunTime
	crashed := one.server.checkCrash(ctx, one.request, one.endpoint, interruption{events: one.events, begun: begun})
	if !begun || !one.route.Repeatable() || one.events > 0 && one.server.isKnownSound(one.request) {
		return false
	}
	return <-crashed
}

// partIDs returns the ids of the parts of a prompt, for logs.
func partIDs(parts []Part) []string {
	ids := make([]string, 0, len(parts))
	for _, part := range parts {
		ids = append(ids, part.ID)
	}
	return ids
}

// NoteCrash records that a request crashed an endpoint.
func (srv *Server) NoteCrash(found exchange.Crash) {
	now := srv.Now()
	srv.mutex.Lock()
	incarnation := dispatch.Incarnation{Endpoint: found.Endpoint, StartedAt: found.StartedAt}
	if srv.Suspects.Crashed(now, found.Digest, incarnation) {
		srv.Balancer.Failed(now, found.Endpoint, true)
	}
	condemned := srv.Blame.Crashed(now, now.Add(-milliseconds(found.AgeMS)), dispatch.PartCrash{
		Incarnation: incarnation, Digest: found.Digest, Parts: found.Parts, Begun: found.Begun, Started: found.Started,
	})
	ended := srv.endBeginning(condemned)
	srv.mutex.Unlock()
	if len(condemned) > 0 {
		srv.Logger.WithFields(logrus.Fields{"parts": condemned, fieldEndpoint: found.Endpoint, "ended": ended}).Warn("requests with these parts of a prompt are refused: they crash endpoints")
	}
	if len(found.Parts) > 0 {
		srv.shareSound()
	}
}

// setBeginning records whether a stream waits for its first event.
func (srv *Server) setBeginning(one *run, beginning bool) {
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	if beginning {
		srv.beginning[one] = true
	} else {
		delete(srv.beginning, one)
	}
}

// endBeginning ends the streams that would crash their engines with their first event: those with all parts of a prompt
// that were condemned together, one of which is at fault. It returns their number; the caller holds the mutex.
func (srv *Server) endBeginning(condemned []string) int {
	ended := 0
	for one := range srv.beginning {
		parts := sharedParts(one.Parts)
		isMissing := func(part string) bool { return !slices.Contains(parts, part) }
		if len(condemned) > 0 && !slices.ContainsFunc(condemned, isMissing) {
			one.cancel(errCondemned)
			ended++
		}
	}
	return ended
}

// Crashes returns up to maxSharedCrashes recorded crashes; gossip carries them to peers that missed the broadcast.
func (srv *Server) Crashes(now time.Time) []exchange.Crash {
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	var found []exchange.Crash
	for at, rep := range srv.Blame.Crashes() {
		if len(found) < maxSharedCrashes {
			found = append(found, exchange.Crash{
				Digest: rep.Digest, Endpoint: rep.Endpoint, StartedAt: rep.StartedAt, AgeMS: now.Sub(at).Milliseconds(),
				Parts: rep.Parts, Begun: rep.Begun, Started: rep.Started,
			})
		}
	}
	srv.Suspects.Each(now, func(digest uint64, endpoint dispatch.Incarnation) {
		same := func(one exchange.Crash) bool {
			return one.Digest == digest && one.Endpoint == endpoint.Endpoint && one.StartedAt == endpoint.StartedAt
		}
		if len(found) < maxSharedCrashes && !slices.ContainsFunc(found, same) {
			found = append(found, exchange.Crash{Digest: digest, Endpoint: endpoint.Endpoint, StartedAt: endpoint.StartedAt})
		}
	})
	return found
}

// noteSound records that an engine that began to produce events of a request at the time at has not crashed since.
func (srv *Server) noteSound(now, at time.Time, rqs *request) {
	srv.mutex.Lock()
	blamed := srv.Blame.Sound(now, at, sharedParts(rqs.Parts))
	srv.mutex.Unlock()
	if blamed {
		srv.shareSound()
	}
}

// isKnownSound reports whether all shared parts of a request's prompt have been in requests that crashed no engine.
func (srv *Server) isKnownSound(rqs *request) bool {
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	return srv.Blame.IsKnownSound(sharedParts(rqs.Parts))
}

// SoundParts returns what is known of the soundness of the parts in Crashes.
func (srv *Server) SoundParts(now time.Time) exchange.SoundParts {
	var parts []string
	for _, found := range srv.Crashes(now) {
		parts = append(parts, found.Parts...)
	}
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	return inMilliseconds(srv.Blame.SoundAges(now, parts))
}

// NoteSoundParts records what a peer knows of the soundness of parts.
func (srv *Server) NoteSoundParts(parts exchange.SoundParts) {
	now := srv.Now()
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	for id, age := range parts {
		srv.Blame.Sound(now, now.Add(-milliseconds(age)), []string{id})
		srv.Blame.Shared(now, map[string]time.Duration{id: milliseconds(age)})
	}
}

// shareSound tells the other daemons which blamed parts are sound. It waits for a random time, so that one of the
// daemons that know it comes before most of the others.
func (srv *Server) shareSound() {
	if srv.OnSoundParts == nil || !srv.sharing.CompareAndSwap(false, true) {
		return
	}
	time.AfterFunc(rand.N(maxSoundDelay), func() {
		srv.sharing.Store(false)
		now := srv.Now()
		srv.mutex.Lock()
		news := inMilliseconds(srv.Blame.News(now))
		srv.mutex.Unlock()
		if len(news) > 0 {
			srv.OnSoundParts(news)
		}
	})
}

func inMilliseconds(ages map[string]time.Duration) exchange.SoundParts {
	if len(ages) == 0 {
		return nil
	}
	parts := exchange.SoundParts{}
	for id, age := range ages {
		parts[id] = age.Milliseconds()
	}
	return parts
}

func milliseconds(count int64) time.Duration {
	return time.Duration(count) * time.Millisecond
}
