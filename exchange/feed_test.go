package exchange_test

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"papayacroft/control"
	"papayacroft/dispatch"
	"papayacroft/exchange"
)

// feeds is the number of feeds that the test runs: a faulty feed that chose at random between a queued part and its next
// read would pass half of the time.
const feeds = 16

// sharedTopicReader is an empty topic that a second daemon reads too: a part from that daemon arrives during each read.
type sharedTopicReader struct {
	feed *exchange.Feed
	// peer is the name of the second daemon.
	peer  string
	reads atomic.Int64
}

// Newest returns no records.
func (rdr *sharedTopicReader) Newest(context.Context, string) ([]exchange.Record, exchange.Position, error) {
	return nil, exchange.Position{}, nil
}

// Read returns no records; meanwhile, a part from the other daemon arrives.
func (rdr *sharedTopicReader) Read(_ context.Context, topic string, from exchange.Position, _ time.Duration) ([]exchange.Record, exchange.Position, error) {
	rdr.reads.Add(1)
	rdr.feed.Enqueue(&exchange.TopicPart{Topic: topic, Reader: rdr.peer, From: from.Offset, Next: from.Offset})
	return nil, from, nil
}

// A daemon must stop reading a topic once it receives a part from a peer that reads it and precedes it in the succession:
// calls to the store are rate-limited and billed. When a part arrives during a read, the part and the timer of the next
// read are ready at the same time, and a feed that selects between them at random reads again half of the time.
func TestFeedLeavesReadingToAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		first, second := "a", "b"
		if dispatch.Precedes("topic", second, first) {
			first, second = second, first
		}
		readers := make([]*sharedTopicReader, feeds)
		for i := range readers {
			fed := exchange.NewFeed()
			ctl := control.New()
			ctl.Logger = logrus.New()
			readers[i] = &sharedTopicReader{feed: fed, peer: first}
			fed.Name, fed.Topic, fed.Wait, fed.Reader, fed.Control, fed.Logger = second, "topic", time.Minute, readers[i], ctl, ctl.Logger
			fed.Apply = func(context.Context, []exchange.Record, bool) []exchange.Record { return nil }
			fed.Share = func(*exchange.TopicPart) {}
			go ctl.Run(ctx)
			go fed.Run(ctx)
		}
		time.Sleep(2 * time.Second)
		for i, rdr := range readers {
			if got, want := rdr.reads.Load(), int64(1); got != want {
				t.Errorf("feed %d: got %d reads, want %d", i, got, want)
			}
		}
	})
}

// flappingReader is a topic of a store that states another era in each answer.
type flappingReader struct {
	reads atomic.Int64
}

// Newest returns no records.
func (rdr *flappingReader) Newest(context.Context, string) ([]exchange.Record, exchange.Position, error) {
	return nil, exchange.Position{Era: rdr.reads.Add(1)}, nil
}

// Read fails, since the era has changed.
func (rdr *flappingReader) Read(_ context.Context, topic string, from exchange.Position, _ time.Duration) ([]exchange.Record, exchange.Position, error) {
	return nil, from, exchange.ErrorEraChanged(topic, from.Era, rdr.reads.Add(1))
}

// A store that states another era in each answer must not be read without a pause: all daemons together may make 2,000 reads a
// second.
func TestFeedPausesBetweenEras(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		rdr, ctl, fed := &flappingReader{}, control.New(), exchange.NewFeed()
		ctl.Logger = logrus.New()
		ctl.Logger.(*logrus.Logger).SetOutput(io.Discard)
		fed.Name, fed.Topic, fed.Wait, fed.Reader, fed.Control, fed.Logger = "a", "topic", time.Second, rdr, ctl, ctl.Logger
		fed.Apply = func(context.Context, []exchange.Record, bool) []exchange.Record { return nil }
		fed.Share = func(*exchange.TopicPart) {}
		go ctl.Run(ctx)
		go fed.Run(ctx)
		time.Sleep(30 * time.Second)
		if got, most := rdr.reads.Load(), int64(2*30*2); got > most {
			t.Errorf("got %d reads in 30 s, want %d at most", got, most)
		}
	})
}
