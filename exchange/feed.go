package exchange

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"papayacroft/control"
)

const (
	// unread is the offset of a topic that must be read whole: at the start, and after records were trimmed.
	unread = int64(-1)
	// takeoverDelay is the extra time that a daemon allows a peer's next part to arrive before it reads the topic itself.
	takeoverDelay = 150 * time.Millisecond
	// successorDelay is the time that each of the first successors of a topic's reader leaves to the one before it. The
	// other daemons wait for all successors and for a random time up to takeoverJitter.
	successorDelay = 40 * time.Millisecond
	successors     = 6
	takeoverJitter = 300 * time.Millisecond
	// emptyInterval is the minimum time since the last part before a part without records is shared, which shows the
	// peers that this daemon still reads the topic.
	emptyInterval = 500 * time.Millisecond
	// settleTime is the time from a daemon's first reading of a topic until it considers reading on. All daemons may start
	// at the same time: meanwhile they learn of each other, and only the first in succession reads.
	settleTime = 500 * time.Millisecond
	// minFeedPause and maxFeedPause limit the exponential back-off after failed reads of the first successors of a topic's
	// reader. The other daemons hear from these when the store is back. They back off faster and up to maxOthersPause, so
	// that an outage does not cost calls in proportion to the daemons; their pause still lets them notice on their own
	// within 4 s that the store serves them while it turns the successors away.
	minFeedPause   = 100 * time.Millisecond
	maxFeedPause   = 800 * time.Millisecond
	maxOthersPause = 3200 * time.Millisecond
	// backOffFactor and othersBackOffFactor are the factors of the back-off.
	backOffFactor       = 2
	othersBackOffFactor = 4
	// gapPause is the delay before a gap between parts is read from the store; the missing part may arrive from a
	// peer meanwhile.
	gapPause   = 30 * time.Millisecond
	feedBuffer = 16
)

// Record is the newest value of a key; a nil value means that the key was deleted.
type Record struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Packed is true if the value is compressed for the transfer between daemons.
	Packed bool `json:"packed,omitempty"`
	// Offset is the record's place in the topic's log; records that are shared have it only in topics with Feed.Numbered.
	Offset int64 `json:"offset,omitempty"`
}

// Position is a place in the log of a topic. Offsets of different eras can't be compared: a store that returns from an older copy
// of its data raises its era and assigns the offsets after the copy again.
type Position struct {
	// Era is the era that the store stated; 0 if it stated none.
	Era    int64
	Offset int64
}

// TopicReader reads the topics of the store.
type TopicReader interface {
	// Newest returns the newest record of each key and the position at which to continue with Read.
	Newest(ctx context.Context, topic string) (records []Record, next Position, err error)
	// Read returns the records from a position on; if there is none yet, it waits up to the given time for the first. If the
	// store's era is not that of the position, it returns an error for which IsEraChanged is true.
	Read(ctx context.Context, topic string, from Position, wait time.Duration) (records []Record, next Position, err error)
}

// IsTrimmed reports whether a read failed because the store had already deleted records from its offset on.
func IsTrimmed(err error) bool {
	return trace.IsNotFound(err)
}

// ErrorEraChanged returns the error of a read that met another era of the store.
func ErrorEraChanged(topic string, known, stated int64) error {
	return trace.CompareFailed("%s was read in era %d of the store, which is now in era %d", topic, known, stated)
}

// IsEraChanged reports whether a read failed because the store's era is not that of the position read from.
func IsEraChanged(err error) bool {
	return trace.IsCompareFailed(err)
}

// Feed follows one topic. Calls to the store are rate-limited and billed, so one daemon reads the topic and shares what
// it read with its peers. A peer reads the topic itself only if no part has arrived for a while, in an order of
// succession that all daemons derive alike, or once if it missed a part.
type Feed struct {
	// Name is this daemon's name.
	Name  string
	Topic string
	// Wait is the time for which a read waits for records, and Interval the pause between two reads.
	Wait, Interval time.Duration
	Reader         TopicReader
	Control        *control.Control
	Logger         logrus.FieldLogger
	Now            func() time.Time
	// Apply applies records and returns those to share with peers; whole is true if they are the whole topic.
	Apply func(ctx context.Context, records []Record, whole bool) []Record
	// Numbered is true if records keep their offsets when they are shared.
	Numbered bool
	// Share sends a part to the peers; it must not block.
	Share func(part *TopicPart)
	// Rank returns how many answering daemons precede this one in the succession of the topic's reader.
	Rank func(topic string) int

	next Position
	// settling is true from the first reading until the daemon's place in the succession is determined.
	settling bool
	// started is true from the first reading on.
	started bool
	// behind is true if a part was missed, so that the next reading is only for this daemon.
	behind bool
	// telling is true if this daemon found a new era of the store itself, so that it shares the whole topic once it has read it.
	// eraChangedAt is when it last found one.
	telling      bool
	eraChangedAt time.Time
	// applied is the position after the records that were last passed to Apply.
	applied Position
	// readAt is when this daemon last read the topic itself.
	readAt time.Time
	// shared is the offset at which the next part that this daemon shares begins; sharedAt is when it last shared one.
	shared   int64
	sharedAt time.Time
	// pause is the back-off after the next failed read; it is minFeedPause unless reads have failed.
	pause time.Duration
	// due is when this daemon reads the topic itself.
	due   time.Time
	parts chan *TopicPart
	// pending is the number of parts and reads that are not applied yet.
	pending atomic.Int32
	counts  PartCounts
}

// NewFeed returns a feed that needs its exported fields set before Run.
func NewFeed() *Feed {
	return &Feed{Now: time.Now, Rank: func(string) int { return 0 }, next: Position{Offset: unread}, pause: minFeedPause, parts: make(chan *TopicPart, feedBuffer)}
}

// Enqueue queues a part that a peer read, to be applied by Run. It does not block: if the queue is full, it drops the part.
func (fed *Feed) Enqueue(part *TopicPart) {
	fed.pending.Add(1)
	select {
	case fed.parts <- part:
	default:
		fed.pending.Add(-1)
	}
}

// Applied returns the position after the records that are being applied; it is for Apply, which runs in the feed's goroutine.
func (fed *Feed) Applied() Position {
	return fed.applied
}

// Counts returns the counts of the parts that peers shared.
func (fed *Feed) Counts() *PartCounts {
	return &fed.counts
}

// Busy reports whether parts or reads wait to be applied.
func (fed *Feed) Busy() bool {
	return fed.pending.Load() > 0
}

// Run follows the topic until the context is cancelled.
func (fed *Feed) Run(ctx context.Context) {
	for ctx.Err() == nil {
		tmr := time.NewTimer(fed.due.Sub(fed.Now()))
		select {
		case <-ctx.Done():
		case part := <-fed.parts:
			fed.applyPart(ctx, part)
		case <-tmr.C:
			fed.applyQueued(ctx)
			now := fed.Now()
			switch {
			case now.Before(fed.due):
			case fed.settling:
				fed.settling, fed.due = false, now.Add(fed.succession())
			default:
				fed.read(ctx)
			}
		}
		tmr.Stop()
	}
}

// applyQueued applies the parts that arrived while the topic was read. They may postpone this daemon's next read.
func (fed *Feed) applyQueued(ctx context.Context) {
	for {
		select {
		case part := <-fed.parts:
			fed.applyPart(ctx, part)
		default:
			return
		}
	}
}

// succession returns how long this daemon waits for the daemons that precede it in the succession of the reader.
func (fed *Feed) succession() time.Duration {
	rank := fed.Rank(fed.Topic)
	if rank < successors {
		return time.Duration(rank) * successorDelay
	}
	return successors*successorDelay + time.Duration(rand.Int64N(int64(takeoverJitter)))
}

// silence is the time without a part after which the reader of the topic counts as gone.
func (fed *Feed) silence() time.Duration {
	return fed.Wait + fed.Interval + takeoverDelay
}

// read reads the topic from the store, applies the records and shares them with the peers.
func (fed *Feed) read(ctx context.Context) {
	whole, behind := fed.next.Offset == unread, fed.behind
	fed.behind = false
	// The first read of a daemon that takes over does not wait, so that its peers soon hear that it can read the topic.
	wait := fed.Wait
	takesOver := !whole && !behind && !fed.reads(fed.Now())
	if takesOver {
		wait = 0
	}
	records, next, err := fed.fetch(ctx, wait)
	now := fed.Now()
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		fed.behind = behind
		fed.backOff(ctx, now, err)
		return
	}
	fed.logRead(next, len(records))
	fed.noteEra(ctx, next.Era)
	fed.pause, fed.next, fed.due = minFeedPause, next, now.Add(fed.Interval)
	fed.Control.Send(ctx, control.StoreRead{})
	if whole || len(records) > 0 {
		fed.pending.Add(1)
		records = fed.apply(ctx, records, whole, next)
		fed.pending.Add(-1)
	}
	switch {
	case whole:
		fed.endWhole(now, records, behind)
	case behind:
		fed.shared, fed.due = next.Offset, now.Add(fed.silence()+fed.succession())
	default:
		fed.readAt = now
		if takesOver || len(records) > 0 || now.Sub(fed.sharedAt) >= emptyInterval {
			fed.share(now, records, false)
		}
	}
}

// endWhole decides what follows a reading of the whole topic. After a change of the store's era, the peers have to read it whole,
// too; the daemon that finds that out first reads for all.
func (fed *Feed) endWhole(now time.Time, records []Record, behind bool) {
	telling := fed.telling && fed.next.Era != 0
	fed.shared, fed.settling = fed.next.Offset, !fed.started
	fed.telling = false
	switch {
	case fed.settling:
		fed.started, fed.due = true, now.Add(settleTime)
	case telling:
		fed.readAt = now
		fed.share(now, records, true)
	case behind:
		fed.due = now.Add(fed.silence() + fed.succession())
	}
}

// noteEra reports a change of the store's era.
func (fed *Feed) noteEra(ctx context.Context, era int64) {
	if era != fed.next.Era {
		fed.Control.Send(ctx, control.StoreEra{Era: era, Before: fed.next.Era})
	}
}

func (fed *Feed) apply(ctx context.Context, records []Record, whole bool, next Position) []Record {
	fed.applied = next
	return fed.Apply(ctx, records, whole)
}

// logRead logs a whole reading, and the first one that succeeds after failed ones.
func (fed *Feed) logRead(next Position, records int) {
	whole := fed.next.Offset == unread
	if whole || fed.pause != minFeedPause {
		fed.Logger.WithFields(logrus.Fields{
			"topic": fed.Topic, "whole": whole, "from": fed.next.Offset, "next": next.Offset, "era": next.Era, "records": records,
		}).Info("topic read")
	}
}

// backOff decides when to read again after a failed read.
func (fed *Feed) backOff(ctx context.Context, now time.Time, err error) {
	if IsTrimmed(err) || IsEraChanged(err) {
		fed.Logger.WithError(err).WithFields(logrus.Fields{"topic": fed.Topic, "from": fed.next.Offset}).Info("records can't be read from this offset on; reading the whole topic")
		fed.next.Offset, fed.due = unread, now
		if IsEraChanged(err) {
			fed.telling, fed.due = true, now.Add(fed.eraPause(now))
		}
		return
	}
	fed.Control.Send(ctx, control.StoreRead{Err: err})
	fed.due = now.Add(spread(fed.pause))
	// A daemon that has not read the topic yet knows nothing to serve by, so it does not wait for others.
	if fed.next.Offset != unread && fed.Rank(fed.Topic) >= successors {
		fed.pause = min(othersBackOffFactor*fed.pause, maxOthersPause)
	} else {
		fed.pause = min(backOffFactor*fed.pause, maxFeedPause)
	}
}

// eraPause returns how long this daemon waits before it reads the topic whole in a new era of the store. Daemons that precede it in
// the succession may read it for all meanwhile, and a store that states another era each time must not be read without a pause.
func (fed *Feed) eraPause(now time.Time) time.Duration {
	last := fed.eraChangedAt
	fed.eraChangedAt = now
	if now.Sub(last) < 2*maxFeedPause {
		return maxFeedPause
	}
	return fed.succession()
}

// fetch reads the whole topic or what follows the records known so far.
func (fed *Feed) fetch(ctx context.Context, wait time.Duration) ([]Record, Position, error) {
	if fed.next.Offset == unread {
		return fed.Reader.Newest(ctx, fed.Topic)
	}
	return fed.Reader.Read(ctx, fed.Topic, fed.next, wait)
}

// share sends what was read to the peers.
func (fed *Feed) share(now time.Time, records []Record, whole bool) {
	if !fed.Numbered {
		for i := range records {
			records[i].Offset = 0
		}
	}
	fed.Share(&TopicPart{Topic: fed.Topic, Reader: fed.Name, Era: fed.next.Era, From: fed.shared, Next: fed.next.Offset, Whole: whole, Records: records})
	fed.shared, fed.sharedAt = fed.next.Offset, now
}

// reads reports whether this daemon reads the topic for all.
func (fed *Feed) reads(now time.Time) bool {
	return now.Sub(fed.readAt) < fed.silence()
}

// spread adds jitter to a back-off, so that daemons don't call the store all at once.
func spread(pause time.Duration) time.Duration {
	return time.Duration((0.7 + 0.6*rand.Float64()) * float64(pause))
}
