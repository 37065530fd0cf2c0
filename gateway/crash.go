package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"syscall"
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
	// maxSharedCrashes limits the crashes in one message of gossip, which takes up to 250 bytes for each.
	maxSharedCrashes = 8
	// condemnedRetry is the Retry-After of requests that are refused because they crashed several endpoints.
	condemnedRetry = 30 * time.Second
	// maxSurvivalDelay is the longest delay before a daemon tells the others of runs that show that blamed parts are sound.
	maxSurvivalDelay = 250 * time.Millisecond
	// maxSharedSurvivals limits the runs in one message.
	maxSharedSurvivals = 16
	// maxSharedParts limits the parts of a prompt that crashes are blamed on, maxPartBytes the length of a part's id.
	maxSharedParts = 32
	maxPartBytes   = 64
)

// interruption describes an answer that broke off.
type interruption struct {
	// events is the number of events that had arrived.
	events int
	// beganAt is when the head of the answer arrived; zero if none did.
	beganAt time.Time
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
// accepts no connections or has started again. It does nothing if the endpoint is known to leave, or if the caller disconnected or the deadline
// passed. The returned channel gets the result.
func (srv *Server) checkCrash(ctx context.Context, rqs *request, edp *catalog.Endpoint, end interruption) <-chan bool {
	crashed := make(chan bool, 1)
	_, leaving := srv.Snapshots.Snapshot().Fleet.Leaving[edp.ID]
	if ctx.Err() != nil || leaving {
		crashed <- false
		return crashed
	}
	broken := srv.Now()
	found := exchange.Crash{Digest: rqs.digest(), Endpoint: edp.ID, StartedAt: edp.StartedAt, Parts: sharedParts(rqs.Parts), Trial: rqs.trial}
	if !end.beganAt.IsZero() {
		found.Begun, found.Started, found.AnswerMS = end.events == 0, end.events > 0, broken.Sub(end.beganAt).Milliseconds()
	}
	go func() {
		time.Sleep(crashCheckDelay)
		err := srv.checkAlive(edp)
		crashed <- err != nil
		if err == nil {
			return
		}
		rqs.logger.WithFields(logrus.Fields{
			fieldEndpoint: edp.ID, "parts": partIDs(rqs.Parts), fieldEvents: end.events, "begun": found.Begun, "answerMs": found.AnswerMS,
		}).WithError(err).Warn("endpoint crashed while it ran the request")
		found.AgeMS = srv.Now().Sub(broken).Milliseconds()
		srv.shareCrash(found)
	}()
	return crashed
}

// shareCrash records a crash and tells the other daemons.
func (srv *Server) shareCrash(found exchange.Crash) {
	srv.NoteCrash(found)
	if srv.OnCrash != nil {
		srv.OnCrash(found)
	}
}

var errStartedAgain = errors.New("the endpoint has started again")

// checkAlive returns an error if an endpoint accepts no connections, or if it has started again: the check may be late.
func (srv *Server) checkAlive(edp *catalog.Endpoint) error {
	con, err := net.DialTimeout("tcp", edp.Address, dialTimeout)
	if err != nil {
		return err
	}
	_ = con.Close()
	if edp.StartedAt == 0 || srv.Snapshots.Snapshot().Catalog.Services[edp.Service].Engine == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	rpt, err := srv.Engines.Report(ctx, edp.Address)
	if err == nil && rpt.StartedAt != 0 && rpt.StartedAt != edp.StartedAt {
		return errStartedAgain
	}
	return nil
}

// awaitCrash waits for the result of checkCrash if a request may be sent to another endpoint: it would probably crash that
// one too. It does not wait if all parts of the request's prompt are known to be sound.
func (srv *Server) awaitCrash(rqs *request, crashed <-chan bool) bool {
	return rqs.route.Repeatable() && !srv.isKnownSound(rqs) && <-crashed
}

// noteRefused records the crash of an endpoint that takes no connections any more, if answers of it had ended before.
func (srv *Server) noteRefused(edp *catalog.Endpoint, err error) {
	_, leaving := srv.Snapshots.Snapshot().Fleet.Leaving[edp.ID]
	if leaving || !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	incarnation := dispatch.Incarnation{Endpoint: edp.ID, StartedAt: edp.StartedAt}
	srv.mutex.Lock()
	now := srv.Now()
	srv.Balancer.Prefixes.Drop(now, incarnation)
	ended := srv.Blame.Crashed(now, now, dispatch.PartCrash{Incarnation: incarnation})
	srv.mutex.Unlock()
	srv.shareEnded(now, now, ended)
}

// beginExposure records that an endpoint begins to answer a request whose prompt may have parts that crash endpoints; it
// returns nil for other requests.
func (srv *Server) beginExposure(rqs *request, edp *catalog.Endpoint) *dispatch.Exposure {
	parts := sharedParts(rqs.Parts)
	if len(parts) == 0 {
		return nil
	}
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	return srv.Blame.Begin(srv.Now(), dispatch.Incarnation{Endpoint: edp.ID, StartedAt: edp.StartedAt}, rqs.digest(), parts)
}

// endExposure records the end of the answer; whole is true if it was complete.
func (srv *Server) endExposure(exp *dispatch.Exposure, whole bool) {
	if exp == nil {
		return
	}
	srv.mutex.Lock()
	clears := srv.Blame.End(srv.Now(), exp, whole)
	srv.mutex.Unlock()
	if clears {
		srv.shareSurvivals()
	}
}

// breakExposure drops the record of an answer that broke off.
func (srv *Server) breakExposure(exp *dispatch.Exposure) {
	if exp == nil {
		return
	}
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	srv.Blame.Break(exp)
}

// noteEvents records that events arrived from the engine, for the search for parts that crash engines.
func (one *run) noteEvents(now time.Time) {
	if !one.hasEvent {
		one.hasEvent = true
		one.server.setBeginning(one, false)
	}
	if one.exposure != nil {
		one.server.mutex.Lock()
		one.exposure.HeardAt = now
		one.server.mutex.Unlock()
	}
}

// checkBroken starts the check whether the engine has crashed in the middle of its answer.
func (one *run) checkBroken(ctx context.Context) <-chan bool {
	one.server.breakExposure(one.exposure)
	end := interruption{beganAt: one.beganAt}
	if one.hasEvent {
		end.events = one.events
	}
	return one.server.checkCrash(ctx, one.request, one.endpoint, end)
}

// hasCrashed starts the check whether the engine of an interrupted stream has crashed, and returns its result if the stream
// must not be sent to another engine in this case.
func (one *run) hasCrashed(ctx context.Context) bool {
	if one.isMoving() {
		return false
	}
	crashed := one.checkBroken(ctx)
	if !one.hasEvent {
		return one.route.Repeatable() && <-crashed
	}
	return one.server.awaitCrash(one.request, crashed)
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
	at := now.Add(-milliseconds(found.AgeMS))
	incarnation := dispatch.Incarnation{Endpoint: found.Endpoint, StartedAt: found.StartedAt}
	srv.mutex.Lock()
	srv.Balancer.Prefixes.Drop(now, incarnation)
	if !found.Ended && srv.Suspects.Crashed(now, found.Digest, incarnation) {
		srv.Balancer.Failed(now, found.Endpoint, true)
	}
	ended := srv.Blame.Crashed(now, at, dispatch.PartCrash{
		Incarnation: incarnation, Digest: found.Digest, Parts: found.Parts, Begun: found.Begun, Started: found.Started,
		Age: milliseconds(found.AnswerMS), Trial: found.Trial,
	})
	srv.mutex.Unlock()
	srv.updateBlame()
	srv.shareEnded(now, at, ended)
	if len(found.Parts) > 0 {
		srv.shareSurvivals()
	}
}

// shareEnded tells the other daemons of requests that a crashed endpoint had answered.
func (srv *Server) shareEnded(now, at time.Time, ended []dispatch.PartCrash) {
	for _, rep := range ended {
		found := inCrash(now, at, rep)
		found.Ended = true
		if srv.OnCrash != nil {
			srv.OnCrash(found)
		}
	}
}

func inCrash(now, at time.Time, rep dispatch.PartCrash) exchange.Crash {
	return exchange.Crash{
		Digest: rep.Digest, Endpoint: rep.Endpoint, StartedAt: rep.StartedAt, AgeMS: now.Sub(at).Milliseconds(),
		Parts: rep.Parts, Begun: rep.Begun, Started: rep.Started, AnswerMS: rep.Age.Milliseconds(), Trial: rep.Trial,
	}
}

// updateBlame determines the parts with which requests are refused, and ends those that wait for an answer.
func (srv *Server) updateBlame() {
	srv.mutex.Lock()
	condemned, lifted := srv.Blame.Changes(srv.Now())
	ended := srv.endBeginning(condemned)
	srv.mutex.Unlock()
	if len(condemned) > 0 {
		srv.Logger.WithFields(logrus.Fields{"parts": condemned, "ended": ended}).Warn("requests with these parts of a prompt are refused: they crash endpoints")
	}
	if len(lifted) > 0 {
		srv.Logger.WithField("parts", lifted).Info("requests with these parts of a prompt are no longer refused")
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
	for at, rep := range srv.Blame.Crashes(now) {
		if len(found) < maxSharedCrashes {
			found = append(found, inCrash(now, at, rep))
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

// isKnownSound reports whether all shared parts of a request's prompt have been in requests that crashed no engine.
func (srv *Server) isKnownSound(rqs *request) bool {
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	return srv.Blame.IsKnownSound(sharedParts(rqs.Parts))
}

// Survivals returns runs that show which parts in Crashes are sound.
func (srv *Server) Survivals(now time.Time) exchange.Survivals {
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	return inSurvivals(now, srv.Blame.Refuting(now, false))
}

// NoteSurvivals records runs that a peer has observed.
func (srv *Server) NoteSurvivals(runs exchange.Survivals) {
	now := srv.Now()
	var all []dispatch.Exposure
	for _, run := range runs {
		all = append(all, dispatch.Exposure{
			Incarnation: dispatch.Incarnation{Endpoint: run.Endpoint, StartedAt: run.StartedAt}, Digest: run.Digest, Parts: run.Parts,
			BeganAt: now.Add(-milliseconds(run.AgeMS)), HeardAt: now.Add(-milliseconds(run.AgeMS - run.LastedMS)), Whole: run.Whole, Settled: run.Settled,
		})
	}
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	srv.Blame.Survived(now, all)
}

// shareSurvivals tells the other daemons which blamed parts are sound. It waits until runs that began before the crash have
// lasted longer than the ones that are blamed, and then for a random time, so that one of the daemons that know it comes
// before most of the others.
func (srv *Server) shareSurvivals() {
	if srv.OnSurvivals == nil || !srv.sharing.CompareAndSwap(false, true) {
		return
	}
	time.AfterFunc(dispatch.SurvivalMargin+rand.N(maxSurvivalDelay), func() {
		srv.sharing.Store(false)
		now := srv.Now()
		srv.mutex.Lock()
		news := inSurvivals(now, srv.Blame.Refuting(now, true))
		srv.mutex.Unlock()
		if len(news) > 0 {
			srv.OnSurvivals(news)
		}
	})
}

func inSurvivals(now time.Time, runs []dispatch.Exposure) exchange.Survivals {
	var all exchange.Survivals
	for _, run := range runs[:min(len(runs), maxSharedSurvivals)] {
		all = append(all, exchange.Survival{
			Endpoint: run.Endpoint, StartedAt: run.StartedAt, Digest: run.Digest, Parts: run.Parts,
			AgeMS: now.Sub(run.BeganAt).Milliseconds(), LastedMS: run.HeardAt.Sub(run.BeganAt).Milliseconds(), Whole: run.Whole, Settled: run.Settled,
		})
	}
	return all
}

func milliseconds(count int64) time.Duration {
	return time.Duration(count) * time.Millisecond
}
