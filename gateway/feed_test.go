package gateway_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"papayacroft/gateway"
)

// feeds is the number of feeds tried at once: a feed that chose between a queued part and its next read at random
// would be right half of the time.
const feeds = 16

// toldReader is a topic that is also read by another daemon, which tells of it during each read.
type toldReader struct {
	feed  *gateway.Feed
	reads atomic.Int64
}

// Newest returns an empty topic.
func (rdr *toldReader) Newest(context.Context, string) ([]gateway.Record, int64, error) {
	return nil, 0, nil
}

// Read returns nothing new.
func (rdr *toldReader) Read(_ context.Context, topic string, from int64, _ time.Duration) ([]gateway.Record, int64, error) {
	rdr.reads.Add(1)
	rdr.feed.Hear(&gateway.TopicPart{Topic: topic, Reader: "a", From: from, Next: from})
	return nil, from, nil
}

// Guards against daemons that go on reading a topic that another one reads: calls to the store are limited and priced.
func TestFeedLeavesReadingToAnother(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	readers := make([]*toldReader, feeds)
	for i := range readers {
		fed := gateway.NewFeed()
		ctl := gateway.NewControl()
		ctl.Logger = logrus.New()
		readers[i] = &toldReader{feed: fed}
		fed.Name, fed.Topic, fed.Wait, fed.Reader, fed.Control, fed.Logger = "b", "topic", time.Minute, readers[i], ctl, ctl.Logger
		fed.Apply = func(context.Context, []gateway.Record, bool) []gateway.Record { return nil }
		fed.Share = func(*gateway.TopicPart) {}
		go ctl.Run(ctx)
		go fed.Run(ctx)
	}
	time.Sleep(200 * time.Millisecond)
	for i, rdr := range readers {
		if got, want := rdr.reads.Load(), int64(1); got != want {
			t.Errorf("feed %d: got %d reads, want %d", i, got, want)
		}
	}
}
