package exchange

import (
	"context"
	"sync/atomic"
	"time"

	"papayacroft/control"
	"papayacroft/dispatch"
)

// TopicPart is a range of a topic that one daemon read from the store and shares with its peers.
type TopicPart struct {
	Topic string `json:"topic"`
	// Reader is the name of the daemon that read the part.
	Reader string `json:"reader"`
	// Era is the era of the offsets; 0 if the store stated none, or if the reader is of an earlier release.
	Era int64 `json:"era,omitempty"`
	// From and Next are the offsets at which the range begins and after which reading continues.
	From int64 `json:"from"`
	Next int64 `json:"next"`
	// Whole is true if Records are the newest ones of all keys, whatever From is.
	Whole   bool     `json:"whole,omitempty"`
	Records []Record `json:"records,omitempty"`
	// Packed has the records of a whole topic, compressed together, in place of Records.
	Packed []byte `json:"packed,omitempty"`
}

// PartCounts counts the parts that peers shared, by what became of them.
type PartCounts struct {
	// Applied are new records, Known those that were read already, Ahead those applied although the topic has to be read
	// whole, and Outdated those of an earlier era, which are ignored.
	Applied, Known, Ahead, Outdated atomic.Int64
}

// applyPart applies a part that a peer read and postpones this daemon's own read. If parts before it are missing, it
// makes this daemon read them soon.
func (fed *Feed) applyPart(ctx context.Context, part *TopicPart) {
	defer fed.pending.Add(-1)
	now := fed.Now()
	switch {
	case !fed.started:
		return
	case part.Era != 0 && part.Era < fed.next.Era:
		fed.counts.Outdated.Add(1)
		return
	}
	records, err := part.unpack()
	if err != nil {
		fed.Logger.WithError(err).WithField("peer", part.Reader).Warn("topic part from a peer could not be unpacked; ignored")
		return
	}
	if !fed.applyRecords(ctx, now, part, records) {
		return
	}
	fed.pause = minFeedPause
	fed.Control.Send(ctx, control.StoreRead{})
	// If several daemons read the topic, only the first in succession continues.
	if !fed.reads(now) || dispatch.Precedes(fed.Topic, part.Reader, fed.Name) {
		fed.settling, fed.due = false, now.Add(fed.silence()+fed.succession())
	}
}

// applyRecords applies the records of a part; it returns false if this daemon has to read the topic all the same.
func (fed *Feed) applyRecords(ctx context.Context, now time.Time, part *TopicPart, records []Record) bool {
	next := Position{Era: max(part.Era, fed.next.Era), Offset: part.Next}
	isNewEra := part.Era > fed.next.Era && (part.Whole || fed.next.Era != 0)
	switch {
	case part.Whole && (isNewEra || fed.next.Offset != unread && part.Next > fed.next.Offset):
		fed.counts.Applied.Add(1)
		fed.noteEra(ctx, part.Era)
		fed.next, fed.shared, fed.behind = next, part.Next, false
		fed.apply(ctx, records, true, next)
	case isNewEra, fed.next.Offset == unread:
		fed.applyAhead(ctx, now, part, records)
		return false
	case part.From > fed.next.Offset:
		// Parts before this one are missing. Its records are the newest of their keys all the same, so they are applied
		// even if the store can't be read to close the gap.
		fed.counts.Applied.Add(1)
		fed.apply(ctx, records, false, next)
		if fed.pause == minFeedPause {
			fed.due, fed.settling, fed.behind = now.Add(gapPause), false, !fed.reads(now)
		}
		return false
	case part.Next > fed.next.Offset:
		fed.counts.Applied.Add(1)
		fed.apply(ctx, records, false, next)
		fed.next, fed.shared = next, part.Next
	default:
		fed.counts.Known.Add(1)
	}
	return true
}

// applyAhead applies a part although this daemon has to read the topic whole, since it may be unable to read the store. The part
// may be the first sign of the store's new era.
func (fed *Feed) applyAhead(ctx context.Context, now time.Time, part *TopicPart, records []Record) {
	if part.Whole {
		return
	}
	fed.counts.Ahead.Add(1)
	fed.noteEra(ctx, max(part.Era, fed.next.Era))
	fed.apply(ctx, records, false, Position{Era: max(part.Era, fed.next.Era), Offset: part.Next})
	fed.telling, fed.behind = false, true
	if fed.next.Offset != unread {
		fed.next.Offset = unread
		if fed.pause == minFeedPause {
			fed.due, fed.settling = now.Add(gapPause+fed.succession()), false
		}
	}
}
