package gateway

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"
)

const (
	// unread is the offset of a topic that has not been read whole.
	unread = int64(-1)
	// hearSlack is how long after a peer should have read a topic a daemon reads it itself,
	// and hearSpread keeps daemons from doing so at once.
	hearSlack  = 150 * time.Millisecond
	hearSpread = 300 * time.Millisecond
	// emptyInterval is the time between two notices that there was nothing that others need.
	emptyInterval = 300 * time.Millisecond
	// minFeedPause and maxFeedPause bound the pause after a read that failed.
	minFeedPause = 100 * time.Millisecond
	maxFeedPause = 800 * time.Millisecond
	// gapPause lets the other parts of a topic arrive before a gap is read.
	gapPause   = 30 * time.Millisecond
	feedBuffer = 16
)

// Record is the newest value of a key; a nil value means that the key was dropped.
type Record struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Packed is true if the value is compressed on its way between daemons.
	Packed bool `json:"packed,omitempty"`
}

// TopicReader reads the topics of the store.
type TopicReader interface {
	// Newest returns the newest record of each key and the offset at which to go on.
	Newest(ctx context.Context, topic string) (records []Record, next int64, err error)
	// Read returns the records from an offset on, waiting for the first up to a time.
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (records []Record, next int64, err error)
}

// TopicPart is what one daemon read of a topic, as it tells the others.
type TopicPart struct {
	Topic string `json:"topic"`
	// Reader is the daemon that read the part.
	Reader  string   `json:"reader"`
	From    int64    `json:"from"`
	Next    int64    `json:"next"`
	Records []Record `json:"records,omitempty"`
	// Forward are the addresses to which the receiver sends the part on.
	Forward []string `json:"forward,omitempty"`
	// First is true at the daemon that read the part.
	First bool `json:"-"`
}

// IsTrimmed reports whether records were deleted before they were read.
func IsTrimmed(err error) bool {
	return trace.IsNotFound(err)
}

// Feed follows one topic. Calls to the store are limited and priced, so one daemon reads and tells the others;
// the others read when they have heard nothing for a while, and what they missed.
type Feed struct {
	// Name is this daemon's.
	Name  string
	Topic string
	// Wait is the time for which a read waits for records, and Interval the pause between two reads.
	Wait, Interval time.Duration
	Reader         TopicReader
	Control        *Control
	Logger         logrus.FieldLogger
	Now            func() time.Time
	// Apply takes in records and returns those that other daemons need.
	Apply func(ctx context.Context, records []Record, whole bool) []Record
	// Share tells the other daemons.
	Share func(part *TopicPart)

	next int64
	// readAt is when this daemon last read the topic itself.
	readAt time.Time
	// shared is the offset up to which the other daemons were told, at sharedAt.
	shared   int64
	sharedAt time.Time
	pause    time.Duration
	due      time.Time
	parts    chan *TopicPart
	// pending is the number of parts that are not taken in yet.
	pending atomic.Int32
}

// NewFeed returns a feed that needs its exported fields set before Run.
func NewFeed() *Feed {
	return &Feed{Now: time.Now, next: unread, pause: minFeedPause, parts: make(chan *TopicPart, feedBuffer)}
}

// Hear takes in what another daemon read; it does not block.
func (fed *Feed) Hear(part *TopicPart) {
	fed.pending.Add(1)
	select {
	case fed.parts <- part:
	default:
		fed.pending.Add(-1)
	}
}

// Busy reports whether parts are not taken in yet.
func (fed *Feed) Busy() bool {
	return fed.pending.Load() > 0
}

// Run follows the topic until the context ends.
func (fed *Feed) Run(ctx context.Context) {
	for ctx.Err() == nil {
		tmr := time.NewTimer(fed.due.Sub(fed.Now()))
		select {
		case <-ctx.Done():
		case part := <-fed.parts:
			fed.hear(ctx, part)
		case <-tmr.C:
			fed.hearQueued(ctx)
			if !fed.Now().Before(fed.due) {
				fed.read(ctx)
			}
		}
		tmr.Stop()
	}
}

// hearQueued takes in what came while the topic was read. It may tell that another daemon reads.
func (fed *Feed) hearQueued(ctx context.Context) {
	for {
		select {
		case part := <-fed.parts:
			fed.hear(ctx, part)
		default:
			return
		}
	}
}

// read reads the topic and tells the other daemons.
func (fed *Feed) read(ctx context.Context) {
	from := fed.next
	whole := from == unread
	var records []Record
	var next int64
	var err error
	if whole {
		records, next, err = fed.Reader.Newest(ctx, fed.Topic)
	} else {
		records, next, err = fed.Reader.Read(ctx, fed.Topic, from, fed.Wait)
	}
	now := fed.Now()
	switch {
	case ctx.Err() != nil:
		return
	case err != nil && IsTrimmed(err):
		fed.Logger.WithFields(logrus.Fields{"topic": fed.Topic, "from": from}).Info("records expired; reading the topic whole")
		fed.next, fed.due = unread, now
		return
	case err != nil:
		fed.Control.Send(ctx, StoreRead{Err: err})
		fed.due = now.Add(spread(fed.pause))
		fed.pause = min(2*fed.pause, maxFeedPause)
		return
	}
	fed.pause, fed.next, fed.readAt, fed.due = minFeedPause, next, now, now.Add(fed.Interval)
	fed.Control.Send(ctx, StoreRead{})
	if whole || len(records) > 0 {
		fed.pending.Add(1)
		records = fed.Apply(ctx, records, whole)
		fed.pending.Add(-1)
	}
	if whole {
		fed.shared = next
		return
	}
	fed.share(now, next, records)
}

// share tells the other daemons what was read, at once if they need a record of it and else now and then.
func (fed *Feed) share(now time.Time, next int64, records []Record) {
	if len(records) == 0 && now.Sub(fed.sharedAt) < emptyInterval {
		return
	}
	fed.Share(&TopicPart{Topic: fed.Topic, Reader: fed.Name, From: fed.shared, Next: next, Records: records, First: true})
	fed.shared, fed.sharedAt = next, now
}

// hear takes in what another daemon read, or reads what was missed before it.
func (fed *Feed) hear(ctx context.Context, part *TopicPart) {
	defer fed.pending.Add(-1)
	now := fed.Now()
	if fed.next == unread {
		return
	}
	var records []Record
	if part.Next > fed.next {
		var err error
		if records, err = part.each((*Record).unpack); err != nil {
			fed.Logger.WithError(err).WithField("peer", part.Reader).Warn("part of a topic passed over")
			return
		}
	}
	if part.From > fed.next {
		// The records are the newest of their keys, also if the store can't be asked for those that were missed.
		fed.Apply(ctx, records, false)
		if fed.pause == minFeedPause {
			fed.due = now.Add(gapPause)
		}
		return
	}
	if part.Next > fed.next {
		fed.Apply(ctx, records, false)
		fed.next, fed.shared = part.Next, part.Next
	}
	fed.pause = minFeedPause
	fed.Control.Send(ctx, StoreRead{})
	// Of several daemons that read, the one with the lowest name goes on.
	if reads := now.Sub(fed.readAt) < fed.Wait+fed.Interval+hearSlack; !reads || part.Reader < fed.Name {
		fed.due = now.Add(fed.Wait + fed.Interval + hearSlack + time.Duration(rand.Int64N(int64(hearSpread))))
	}
}

// spread varies a pause, so that daemons don't call the store all at once.
func spread(pause time.Duration) time.Duration {
	return time.Duration((0.7 + 0.6*rand.Float64()) * float64(pause))
}
