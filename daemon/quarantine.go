package daemon

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"papayacroft/membership"
	"papayacroft/retry"
)

const (
	quarantineMethod = "quarantine.report"
	// reportBuffer is the number of reports that can wait to be sent. Further ones are dropped; the next crash that the
	// request causes produces a new report.
	reportBuffer = 256
	// reportWait is the longest time for which a request that ran on a crashed endpoint waits until the reports reach the
	// other daemons. Without it, the caller's retry at another daemon overtook the reports and crashed a third engine.
	reportWait = 300 * time.Millisecond
)

// quarantineReply is the response to a report.
type quarantineReply struct {
	// Busy is true if requests of the responding daemon run on the endpoint.
	Busy bool `json:"busy,omitempty"`
}

// quarantine makes the state machine safe for concurrent use and sends its reports to the other daemons.
type quarantine struct {
	mutex sync.Mutex
	state *retry.Quarantine
	// reports are sent one after another, so that an older report can't arrive after a newer one and override it.
	reports chan queuedReport
}

// queuedReport is a report that waits to be sent to all other daemons.
type queuedReport struct {
	retry.Report
	// idle receives one value once each daemon has responded or failed: true if all of them responded that they have no
	// run on the endpoint.
	idle chan bool
}

func newQueuedReport(rep retry.Report) queuedReport {
	return queuedReport{rep, make(chan bool, 1)}
}

// buildQuarantine sets up retry budgets, and the quarantine, which refuses requests that crash endpoints.
func (dmn *Daemon) buildQuarantine() {
	qua := &quarantine{state: retry.NewQuarantine(), reports: make(chan queuedReport, reportBuffer)}
	dmn.entry.Retries = retry.NewBudgets()
	dmn.entry.Quarantine = qua
	dmn.peers.Handlers[quarantineMethod] = qua.receive
	dmn.tasks = append(dmn.tasks, func(ctx context.Context) { dmn.sendReports(ctx, qua.reports) })
}

// sendReports sends each queued report to every other daemon, one report after another.
func (dmn *Daemon) sendReports(ctx context.Context, reports <-chan queuedReport) {
	for {
		select {
		case rep := <-reports:
			rep.idle <- dmn.sendReport(ctx, rep.Report)
		case <-ctx.Done():
			return
		}
	}
}

// sendReport sends one report and returns true if every other daemon responds that it has no run on the endpoint.
// A daemon that doesn't respond counts as busy.
func (dmn *Daemon) sendReport(ctx context.Context, rep retry.Report) (idle bool) {
	dmn.Logger.WithField("digest", rep.Digest).WithField("endpoint", rep.Endpoint).WithField("verdict", rep.Verdict).Info("quarantine report")
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	var wgr sync.WaitGroup
	var busy atomic.Bool
	for _, mem := range dmn.loop.Snapshot().Members {
		if mem.Incarnation == dmn.incarnation || mem.State == membership.StateGone {
			continue
		}
		wgr.Go(func() {
			var reply quarantineReply
			if err := dmn.peerClient.Call(ctx, mem.Address, quarantineMethod, rep, &reply); err != nil {
				dmn.Logger.WithError(err).WithField("member", mem.Name).Debug("quarantine report not delivered")
				busy.Store(true)
			}
			if reply.Busy {
				busy.Store(true)
			}
		})
	}
	wgr.Wait()
	return !busy.Load()
}

func (qua *quarantine) receive(_ context.Context, params json.RawMessage) (any, error) {
	var rep retry.Report
	if err := json.Unmarshal(params, &rep); err != nil {
		return nil, trace.Wrap(err)
	}
	qua.mutex.Lock()
	defer qua.mutex.Unlock()
	if !qua.state.Receive(time.Now(), rep) {
		return nil, trace.BadParameter("report is not valid")
	}
	return quarantineReply{Busy: qua.state.Busy(rep.Endpoint)}, nil
}

// enqueue queues reports for sending and returns the last one that fitted into the queue. It never blocks, because
// the goroutines that serve requests call it.
func (qua *quarantine) enqueue(reports []retry.Report) (last *queuedReport) {
	for _, rep := range reports {
		out := newQueuedReport(rep)
		select {
		case qua.reports <- out:
			last = &out
		default:
		}
	}
	return last
}

// Condemned returns the time until which a request is refused, and whether it is refused now.
func (qua *quarantine) Condemned(digest string) (time.Time, bool) {
	qua.mutex.Lock()
	defer qua.mutex.Unlock()
	return qua.state.Condemned(time.Now(), digest)
}

// Suspect reports whether a request is a suspect: it ran on an endpoint that crashed and must not share an endpoint
// with another suspect.
func (qua *quarantine) Suspect(digest string) bool {
	qua.mutex.Lock()
	defer qua.mutex.Unlock()
	return qua.state.Suspect(time.Now(), digest)
}

// Occupied returns the endpoints on which another suspect runs.
func (qua *quarantine) Occupied(digest string) []string {
	qua.mutex.Lock()
	defer qua.mutex.Unlock()
	return qua.state.Occupied(time.Now(), digest)
}

// Closed returns the endpoints that are reserved for one suspect, so that no other request may start there.
func (qua *quarantine) Closed() map[string]bool {
	qua.mutex.Lock()
	defer qua.mutex.Unlock()
	return qua.state.Closed(time.Now())
}

// Begin records a run before it starts. It returns false, and the run must not start, if the endpoint is reserved for a
// suspect, or if the request is a suspect and another suspect runs on the endpoint.
func (qua *quarantine) Begin(id, digest, endpoint string) bool {
	qua.mutex.Lock()
	defer qua.mutex.Unlock()
	return qua.state.Begin(time.Now(), id, digest, endpoint)
}

// Attach records a run that this daemon or another one has started before.
func (qua *quarantine) Attach(id, digest, endpoint string) {
	qua.mutex.Lock()
	defer qua.mutex.Unlock()
	qua.enqueue(qua.state.Attach(time.Now(), id, digest, endpoint))
}

// Complete ends a run that returned its whole response; its request is not a suspect any more.
func (qua *quarantine) Complete(id string) {
	qua.mutex.Lock()
	defer qua.mutex.Unlock()
	qua.enqueue(qua.state.Complete(time.Now(), id))
}

// Leave removes a run that ended without a response and without a crash.
func (qua *quarantine) Leave(id string) {
	qua.mutex.Lock()
	defer qua.mutex.Unlock()
	qua.enqueue(qua.state.Leave(time.Now(), id))
}

// Crash marks the requests that ran on a crashed endpoint as suspects, or condemns a suspect that ran there alone.
// It waits up to reportWait until the other daemons have received the reports.
func (qua *quarantine) Crash(id string, brokenAt time.Time) {
	qua.mutex.Lock()
	last := qua.enqueue(qua.state.Crash(time.Now(), id, brokenAt))
	qua.mutex.Unlock()
	if last == nil {
		return
	}
	tmr := time.NewTimer(reportWait)
	defer tmr.Stop()
	select {
	case <-last.idle:
	case <-tmr.C:
	}
}
