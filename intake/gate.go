// Package intake bounds the memory, the descriptors and the time that clients take: it wraps the listeners of a process,
// limits its connections, checks the heads of requests before net/http reads them, and reserves the memory of heads,
// bodies and buffered answers from one budget.
package intake

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// reserveTime is the longest wait for memory that others are about to release.
	reserveTime = time.Second
	reservePoll = 50 * time.Millisecond
	// maxWaiting and maxWaitingLarge limit the requests of any size, and the large ones, that wait for memory at once. Each
	// looks through all requests again whenever memory is released, so a crowd that waited would take the processor.
	maxWaiting      = 64
	maxWaitingLarge = 16
	// readerStall is the time after which a caller that does not read may be dropped when memory is short.
	readerStall = time.Second
	logInterval = time.Second
	// noteInterval is the interval at which the time is noted while connections are open.
	noteInterval = 100 * time.Millisecond
	// peerReserveShare is the fraction of the budget that only peers use, as a divisor: callers that use up the rest must
	// not cut daemons off from each other.
	peerReserveShare = 8
)

// Limits are the limits of a process's callers; a configuration or a reload may change them at any time.
type Limits struct {
	// HeadBytes limits the request line, and all header lines together.
	HeadBytes int
	// HeadTime limits the time for a head once it has begun, IdleTime the time between two requests.
	HeadTime, IdleTime time.Duration
	// BodyStall is the longest time between two reads of a body, ReaderStall between two writes to a caller.
	BodyStall, ReaderStall time.Duration
}

// The limits of a process that has had no configuration.
const (
	defaultHeadBytes = 64 << 10
	defaultHeadTime  = 10 * time.Second
	defaultIdleTime  = 2 * time.Minute
)

// Gate admits the connections and requests of one process.
type Gate struct {
	Logger logrus.FieldLogger
	Now    func() time.Time
	// OnLimit, if set, is called with the name of a limit that a client has exceeded; it must not block.
	OnLimit func(limit string)

	limits atomic.Pointer[Limits]

	mutex  sync.Mutex
	budget *Budget
	// answers holds the memory of Reserve.
	answers Holder
	conns   map[*Conn]bool
	// noting is true while noteTime runs regularly.
	noting bool
	// freed is closed and replaced when memory is released while a request waits for it.
	freed   chan struct{}
	waiting int
	// searchedAt is when a caller that does not read was last looked for.
	searchedAt time.Time
	// logged holds the time of the last log line of each limit, and skipped what was not logged since.
	logged  map[string]time.Time
	skipped map[string]int
}

// NewGate returns a gate with a memory budget in bytes. Its Logger must be set before use.
func NewGate(memory int64) *Gate {
	gat := &Gate{
		Now: time.Now, budget: NewBudget(memory), conns: map[*Conn]bool{}, freed: make(chan struct{}),
		logged: map[string]time.Time{}, skipped: map[string]int{},
	}
	gat.budget.PeerReserve = memory / peerReserveShare
	limits := DefaultLimits()
	gat.limits.Store(&limits)
	return gat
}

// DefaultLimits returns the limits of a new gate.
func DefaultLimits() Limits {
	return Limits{HeadBytes: defaultHeadBytes, HeadTime: defaultHeadTime, IdleTime: defaultIdleTime, BodyStall: DefaultStall, ReaderStall: DefaultStall}
}

// SetMemory changes the memory budget.
func (gat *Gate) SetMemory(bytes int64) {
	gat.mutex.Lock()
	defer gat.mutex.Unlock()
	gat.budget.Limit, gat.budget.PeerReserve = bytes, bytes/peerReserveShare
}

// SetLimits changes the limits of callers from their next request on; a limit that is 0 stays as it is.
func (gat *Gate) SetLimits(lim Limits) {
	gat.mutex.Lock()
	defer gat.mutex.Unlock()
	next := *gat.limits.Load()
	if lim.HeadBytes > 0 {
		next.HeadBytes = min(lim.HeadBytes, maxHeadBytes)
	}
	for _, one := range []struct {
		from time.Duration
		to   *time.Duration
	}{{lim.HeadTime, &next.HeadTime}, {lim.IdleTime, &next.IdleTime}, {lim.BodyStall, &next.BodyStall}, {lim.ReaderStall, &next.ReaderStall}} {
		if one.from > 0 {
			*one.to = one.from
		}
	}
	gat.limits.Store(&next)
}

// Used returns the reserved bytes and the number of open connections.
func (gat *Gate) Used() (memory int64, conns int) {
	gat.mutex.Lock()
	defer gat.mutex.Unlock()
	return gat.budget.Used(), len(gat.conns)
}

// Reserve reserves memory for an answer. It waits for reserveTime at most and returns false if there is none. Without a
// gate there is no limit.
func (gat *Gate) Reserve(bytes int) bool {
	return gat == nil || gat.take(&gat.answers, int64(bytes)) == nil
}

// Unreserve returns memory that Reserve has reserved.
func (gat *Gate) Unreserve(bytes int) {
	if gat != nil {
		gat.release(&gat.answers, int64(bytes))
	}
}

// take reserves memory for a request; it waits for reserveTime at most.
func (gat *Gate) take(hld *Holder, bytes int64) error {
	now := gat.Now()
	until := now.Add(reserveTime)
	gat.mutex.Lock()
	defer gat.mutex.Unlock()
	for {
		verdict, victim := gat.budget.Take(now, hld, bytes)
		if victim != nil {
			victim.Drop()
		}
		switch {
		case verdict == Granted:
			return nil
		case verdict == Refused || !now.Before(until) || !gat.mayWait(hld, bytes):
			return ErrMemory
		case victim == nil:
			gat.dropReader(now)
		}
		freed := gat.freed
		gat.waiting++
		gat.mutex.Unlock()
		select {
		case <-freed:
		case <-time.After(reservePoll):
		}
		now = gat.Now()
		gat.mutex.Lock()
		gat.waiting--
	}
}

// mayWait reports whether one more request may wait for memory; the caller holds the mutex.
func (gat *Gate) mayWait(hld *Holder, bytes int64) bool {
	if hld.Held()+bytes > smallBytes && hld != &gat.answers {
		return gat.waiting < maxWaitingLarge
	}
	return gat.waiting < maxWaiting
}

// dropReader drops the caller that has not read its answer for the longest time; the caller holds the mutex.
func (gat *Gate) dropReader(now time.Time) {
	if now.Sub(gat.searchedAt) < reservePoll {
		return
	}
	gat.searchedAt = now
	var worst *Conn
	oldest := now.Add(-readerStall).UnixNano()
	if gat.budget.Resumed(now).UnixNano() > oldest {
		// What callers read during a pause of the process is not known.
		return
	}
	for con := range gat.conns {
		if since := con.writingSince.Load(); since != 0 && since < oldest {
			worst, oldest = con, since
		}
	}
	if worst != nil {
		worst.dropWriter()
	}
}

// AwaitRelease drops the caller that has not read its answer for the longest time, if there is one that has not for
// readerStall, until done returns true or reserveTime has passed. It returns the last result of done.
func (gat *Gate) AwaitRelease(done func() bool) bool {
	for until := time.Now().Add(reserveTime); !done(); time.Sleep(reservePoll) {
		if gat == nil || time.Now().After(until) {
			return false
		}
		gat.mutex.Lock()
		gat.dropReader(gat.Now())
		gat.mutex.Unlock()
	}
	return true
}

func (gat *Gate) release(hld *Holder, bytes int64) {
	gat.mutex.Lock()
	defer gat.mutex.Unlock()
	gat.budget.Release(hld, bytes)
	gat.wake()
}

func (gat *Gate) reset(hld *Holder) {
	gat.mutex.Lock()
	defer gat.mutex.Unlock()
	gat.budget.Reset(hld)
	gat.wake()
}

// open adds a connection.
func (gat *Gate) open(con *Conn) {
	gat.mutex.Lock()
	defer gat.mutex.Unlock()
	gat.conns[con] = true
	if !gat.noting {
		gat.noting = true
		gat.budget.Note(gat.Now())
		time.AfterFunc(noteInterval, gat.noteTime)
	}
}

// noteTime notes the time regularly until no connection is open.
func (gat *Gate) noteTime() {
	gat.mutex.Lock()
	defer gat.mutex.Unlock()
	if gat.noting = len(gat.conns) > 0; !gat.noting {
		gat.budget.Unnote()
		return
	}
	gat.budget.Note(gat.Now())
	time.AfterFunc(noteInterval, gat.noteTime)
}

// resumed returns when the process last ran again after a gap.
func (gat *Gate) resumed(now time.Time) time.Time {
	gat.mutex.Lock()
	defer gat.mutex.Unlock()
	return gat.budget.Resumed(now)
}

// wake wakes the requests that wait for memory; the caller holds the mutex.
func (gat *Gate) wake() {
	if gat.waiting > 0 {
		close(gat.freed)
		gat.freed = make(chan struct{})
	}
}

// note counts a client that exceeded a limit, and logs one line a second for each limit.
func (gat *Gate) note(err error, con net.Conn) {
	gat.noteLimit(limitName(err), err, con)
}

func (gat *Gate) noteLimit(limit string, err error, con net.Conn) {
	if limit == "" {
		return
	}
	if gat.OnLimit != nil {
		gat.OnLimit(limit)
	}
	now := gat.Now()
	gat.mutex.Lock()
	skipped := gat.skipped[limit]
	isDue := now.Sub(gat.logged[limit]) >= logInterval
	if isDue {
		gat.logged[limit], gat.skipped[limit] = now, 0
	} else {
		gat.skipped[limit]++
	}
	used, conns := gat.budget.Used(), len(gat.conns)
	gat.mutex.Unlock()
	if !isDue || gat.Logger == nil {
		return
	}
	gat.Logger.WithError(err).WithFields(logrus.Fields{
		"limit": limit, "client": con.RemoteAddr().String(), "skipped": skipped, "memory": used, "connections": conns,
	}).Warn("client exceeded a limit")
}

type connKey struct{}

// ConnContext adds the connection to the context of its requests; it is for http.Server.ConnContext.
func ConnContext(ctx context.Context, con net.Conn) context.Context {
	if one, ok := con.(*Conn); ok {
		return context.WithValue(ctx, connKey{}, one)
	}
	return ctx
}

func connOf(ctx context.Context) *Conn {
	con, _ := ctx.Value(connKey{}).(*Conn)
	return con
}
