package gateway

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"papayacroft/catalog"
	"papayacroft/dispatch"
	"papayacroft/retry"
)

const (
	// moveTimeout limits the time for all copies of one generation to one destination; they may queue behind other copies
	// on the same links.
	moveTimeout = 2500 * time.Millisecond
	// shortCopy is the excess over the expected copy time below which the final copy may follow: it then pauses the
	// generation for less than half of the longest pause that is on time (180 ms).
	shortCopy = 80 * time.Millisecond
	// copyTime is the time after which no further copy is made while the generation runs: the shortest notice of an
	// engine that leaves is 1.5 s.
	copyTime = 1100 * time.Millisecond
	// moveInterval is the minimum time between two attempts to move the generations of one engine.
	moveInterval = 250 * time.Millisecond
	// reportTimeout limits the request for an engine's report.
	reportTimeout = 150 * time.Millisecond
	// moveTries limits the engines that are tried as the destination of one move.
	moveTries = 3
	// moveWait is how long a broken stream waits for the result of a move of its generation that is in progress.
	moveWait = 2 * time.Second
)

var (
	// ErrNoRun is the error of a copy whose generation the engine does not run, since it has ended or never began there.
	ErrNoRun = errors.New("the engine does not run this generation")

	errStopped = errors.New("the generation was stopped in order to move it")
)

// CopyResult is an engine's response after it has copied a generation's memory.
type CopyResult struct {
	// Handle identifies the copy.
	Handle string
	// Events is the number of events generated so far.
	Events int
}

// EngineRun is a generation in an engine's report.
type EngineRun struct {
	CallID         string
	Tokens, Events int
}

// EngineReport is the state that an engine reports about itself.
type EngineReport struct {
	Runs []EngineRun
	// Leaves is true if the engine reports that it is going to stop; LeavesIn is the time until then.
	Leaves   bool
	LeavesIn time.Duration
	// StartedAt is the engine's start time; 0 if it is not stated.
	StartedAt int64
}

// Engines is the client for the control API of model engines.
type Engines interface {
	// Copy copies the memory of a running generation to another engine. With last, it first stops the generation. The error
	// is ErrNoRun if the engine does not run it.
	Copy(ctx context.Context, source, callID, target string, last bool) (CopyResult, error)
	// Report asks an engine for its state.
	Report(ctx context.Context, address string) (EngineReport, error)
	// Drop frees a copy at both engines.
	Drop(ctx context.Context, source, handle string) error
	// CopyName returns the value of Forward.Copy with which a request continues from a copy made at the source.
	CopyName(source, handle string) string
}

// streams is the registry of the generations being relayed, by engine.
type streams struct {
	mutex      sync.Mutex
	byEndpoint map[string]map[*run]catalog.Endpoint
	// lastMoveAt is the time of the last attempt to move generations, by engine.
	lastMoveAt map[string]time.Time
}

func newStreams() *streams {
	return &streams{byEndpoint: map[string]map[*run]catalog.Endpoint{}, lastMoveAt: map[string]time.Time{}}
}

func (sts *streams) add(one *run) {
	sts.mutex.Lock()
	defer sts.mutex.Unlock()
	set, ok := sts.byEndpoint[one.endpoint.ID]
	if !ok {
		set = map[*run]catalog.Endpoint{}
		sts.byEndpoint[one.endpoint.ID] = set
	}
	set[one] = *one.endpoint
}

func (sts *streams) remove(one *run) {
	sts.mutex.Lock()
	defer sts.mutex.Unlock()
	delete(sts.byEndpoint[one.endpoint.ID], one)
	if len(sts.byEndpoint[one.endpoint.ID]) == 0 {
		delete(sts.lastMoveAt, one.endpoint.ID)
		delete(sts.byEndpoint, one.endpoint.ID)
	}
}

// all returns the generations that are relayed now.
func (sts *streams) all() []*run {
	sts.mutex.Lock()
	defer sts.mutex.Unlock()
	var all []*run
	for _, runs := range sts.byEndpoint {
		all = slices.AppendSeq(all, maps.Keys(runs))
	}
	return all
}

// movable returns the generations at an engine that can be moved. It returns none if it was called for the same engine
// less than moveInterval ago.
func (sts *streams) movable(now time.Time, id string) (source catalog.Endpoint, runs []*run) {
	sts.mutex.Lock()
	defer sts.mutex.Unlock()
	if len(sts.byEndpoint[id]) == 0 || now.Sub(sts.lastMoveAt[id]) < moveInterval {
		return source, nil
	}
	sts.lastMoveAt[id] = now
	for one, edp := range sts.byEndpoint[id] {
		if one.movable {
			source, runs = edp, append(runs, one)
		}
	}
	return source, runs
}

// EndpointLeaves starts to move this daemon's generations off an engine that leaves; it does not block.
func (srv *Server) EndpointLeaves(id string) {
	source, runs := srv.streams.movable(srv.Now(), id)
	var begun []*run
	for _, one := range runs {
		if one.beginMove() {
			begun = append(begun, one)
		}
	}
	if len(begun) > 0 {
		go srv.moveAll(source, begun)
	}
}

// moveAll moves this daemon's generations off an engine, in an order that every daemon derives alike from the engine's
// report. All copies share the engine's one outgoing link. Made one after the other, each ends soon and pauses its
// generation only briefly; concurrent copies would all end late, and most of the short final copies would miss the
// engine's end. The source is passed by value because the engine's entry may have been removed while it still serves.
func (srv *Server) moveAll(source catalog.Endpoint, runs []*run) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	rpt, err := srv.Engines.Report(ctx, source.Address)
	if err != nil {
		srv.Logger.WithError(err).WithField(fieldEndpoint, source.ID).Info("engine did not report its generations")
	}
	starts := srv.moveStarts(&source, &rpt)
	srv.Logger.WithFields(logrus.Fields{fieldEndpoint: source.ID, "own": len(runs), "all": len(rpt.Runs), "leavesIn": rpt.LeavesIn.String()}).Info("moving generations")
	for _, one := range srv.leaveToEnd(&source, &rpt, runs) {
		go func() {
			retry.Sleep(one.http.Context(), starts[one.ID])
			one.move(&source)
		}()
	}
}

// moveStarts returns the delay after which to begin the copy of each generation of an engine, the smallest first.
func (srv *Server) moveStarts(source *catalog.Endpoint, rpt *EngineReport) map[string]time.Duration {
	snp := srv.Snapshots.Snapshot()
	engine := snp.Catalog.Services[source.Service].Engine
	return dispatch.CopyPlan(copies(rpt), func(tokens int) time.Duration {
		return engine.CopyTime(tokens, !snp.Fleet.HasNeighbour(source))
	})
}

// beginMove marks the generation as moving; it returns false if it already was.
func (one *run) beginMove() bool {
	one.mutex.Lock()
	defer one.mutex.Unlock()
	if one.moving != nil {
		return false
	}
	one.moving = make(chan struct{})
	return true
}

// move copies the generation to another engine and stops it at the source, trying up to moveTries destinations.
func (one *run) move(source *catalog.Endpoint) {
	defer one.endMove()
	ctx, cancel := context.WithDeadline(one.http.Context(), one.deadline)
	defer cancel()
	log := one.logger.WithField("from", source.ID)
	excluded := map[string]bool{source.ID: true}
	for range moveTries {
		if ctx.Err() != nil {
			return
		}
		cho := one.destination(source, excluded)
		if cho.Endpoint == nil {
			log.WithField("reason", cho.String()).Warn("no engine can take the generation")
			return
		}
		excluded[cho.Endpoint.ID] = true
		if one.copyTo(ctx, log.WithField("to", cho.Endpoint.ID), source, cho.Endpoint) {
			return
		}
	}
}

// endMove wakes a stream that waits in awaitMove; if no copy was made, it allows a later attempt to move.
func (one *run) endMove() {
	one.mutex.Lock()
	defer one.mutex.Unlock()
	if one.moving == nil {
		return
	}
	close(one.moving)
	if one.copy == nil {
		one.moving = nil
	}
}

func (one *run) destination(source *catalog.Endpoint, excluded map[string]bool) dispatch.Choice {
	return one.server.decide(one.server.Now(), &dispatch.Request{
		Service: one.service, Work: dispatch.Work{Tokens: one.work.Tokens, Output: one.outputLeft()}, Target: one.route.Target,
		Source: source.FailureDomain, Excluded: excluded, Force: true,
	})
}

// copyTo copies the memory while the generation runs, then stops it and copies what was added meanwhile.
// If the final copy fails, the stream continues from the earlier one.
func (one *run) copyTo(ctx context.Context, log logrus.FieldLogger, source, target *catalog.Endpoint) bool {
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	engines := one.server.Engines
	flt := one.server.begin(target.ID, dispatch.Work{Tokens: one.work.Tokens})
	defer one.server.end(flt)
	began := one.server.Now()
	res, rounds, err := one.copyRunning(ctx, source, target)
	if err == nil && one.server.isEvacuated(target) {
		one.dropCopy(source, res)
		err = errEvacuated
	}
	if err != nil {
		log.WithError(err).WithField(fieldElapsed, one.server.Now().Sub(began)).Info("generation could not be copied")
		one.server.Metrics.moves.WithLabelValues("failed").Inc()
		return false
	}
	copied := one.server.Now()
	if one.http.Context().Err() != nil {
		one.dropCopy(source, res)
		return false
	}
	one.setStopping()
	rest, err := engines.Copy(ctx, source.Address, one.ID, target.Address, true)
	if err == nil && rest.Handle != "" {
		res = rest
	}
	log.WithFields(logrus.Fields{
		"rounds": rounds, "copy": copied.Sub(began), "rest": one.server.Now().Sub(copied), fieldEvents: res.Events, "error": errorText(err),
	}).Info("generation copied")
	one.server.Metrics.moves.WithLabelValues("copied").Inc()
	one.mutex.Lock()
	one.copy = &memoryCopy{endpoint: target, name: engines.CopyName(source.Address, res.Handle)}
	one.ended = errors.Is(err, ErrNoRun)
	one.mutex.Unlock()
	return true
}

func (one *run) setStopping() {
	one.mutex.Lock()
	defer one.mutex.Unlock()
	one.stopping = true
}

// wasStopped reports whether the answer that has just ended belongs to a generation that a move stopped, so that the
// stream is not complete. The end of an answer with a length or chunks shows that the engine sent all of it. An answer
// without them ends alike in both cases; the engine's response to the final copy tells them apart.
func (one *run) wasStopped(ctx context.Context) bool {
	one.mutex.Lock()
	stopping := one.stopping
	one.mutex.Unlock()
	if !stopping || isFramed(one.link.Response) {
		return false
	}
	one.awaitMove(ctx)
	one.mutex.Lock()
	defer one.mutex.Unlock()
	return !one.ended
}

// dropCopy frees the copy of a generation whose caller disconnected.
func (one *run) dropCopy(source *catalog.Endpoint, res CopyResult) {
	ctx, cancel := context.WithTimeout(context.Background(), moveTimeout)
	defer cancel()
	if err := one.server.Engines.Drop(ctx, source.Address, res.Handle); err != nil {
		one.logger.WithError(err).WithField(fieldEndpoint, source.ID).Info("copy could not be freed")
	}
}

// copyRunning copies the memory while the generation runs, repeatedly, until a copy is short or copyTime has passed.
// A short copy shows that little was added and that the links are free: the final copy, for which the generation
// stops, would otherwise queue behind copies of other generations.
func (one *run) copyRunning(ctx context.Context, source, target *catalog.Endpoint) (res CopyResult, rounds int, err error) {
	engine := one.server.Snapshots.Snapshot().Catalog.Services[one.service].Engine
	one.mutex.Lock()
	events := one.events
	one.mutex.Unlock()
	expected := engine.CopyTime(one.PromptTokens+engine.EventTokens(events), source.FailureDomain != target.FailureDomain)
	first := one.server.Now()
	for began := first; ; {
		rounds++
		res, err = one.server.Engines.Copy(ctx, source.Address, one.ID, target.Address, false)
		now := one.server.Now()
		if err != nil || now.Sub(began) < expected+shortCopy || now.Sub(first) > copyTime || one.server.isEvacuated(target) {
			return res, rounds, err
		}
		began, expected = now, 0
	}
}

func copies(rpt *EngineReport) []dispatch.Copy {
	var all []dispatch.Copy
	for _, one := range rpt.Runs {
		all = append(all, dispatch.Copy{ID: one.CallID, Tokens: one.Tokens})
	}
	return all
}

// isMoving reports whether a move of the generation to another engine has begun.
func (one *run) isMoving() bool {
	one.mutex.Lock()
	defer one.mutex.Unlock()
	return one.moving != nil
}

// awaitMove waits for a move in progress, for moveWait at most, and returns the copy that it made; nil if there is none.
func (one *run) awaitMove(ctx context.Context) *memoryCopy {
	one.mutex.Lock()
	moving := one.moving
	one.mutex.Unlock()
	if moving == nil {
		return nil
	}
	tmr := time.NewTimer(moveWait)
	defer tmr.Stop()
	select {
	case <-moving:
	case <-tmr.C:
	case <-ctx.Done():
	}
	one.mutex.Lock()
	defer one.mutex.Unlock()
	return one.copy
}
