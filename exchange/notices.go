package exchange

import (
	"context"
	"time"

	"papayacroft/dispatch"
	"papayacroft/retry"
)

const (
	workMethod     = "gateway.work"
	topicMethod    = "gateway.topic"
	crashMethod    = "gateway.crash"
	survivalMethod = "gateway.survival"
	// leavingMethod announces endpoints that reported themselves that they leave. Leaving that follows from an entry in
	// the store is not announced: it reaches all daemons with the topic.
	leavingMethod = "gateway.leaving"
	// workDelay is how long changes of work are collected before they are sent in one message.
	workDelay = 3 * time.Millisecond
	// workRefresh is the interval at which work is sent again although it has not changed: a daemon forgets what it heard of
	// another one's work after 8 s, and a generation may run longer.
	workRefresh = 3 * time.Second
	// notifyTimeout limits sending a message that has no response.
	notifyTimeout = 100 * time.Millisecond
)

// ShareCrash tells all peers that a request crashed an endpoint.
func (exc *Exchange) ShareCrash(found Crash) {
	exc.broadcast(context.Background(), crashMethod, found)
}

// ShareSurvivals tells all peers of runs that show that blamed parts of prompts are sound.
func (exc *Exchange) ShareSurvivals(runs Survivals) {
	exc.broadcast(context.Background(), survivalMethod, runs)
}

// ShareLeaving tells all peers that endpoints leave; bornAt has the start time of each by id.
func (exc *Exchange) ShareLeaving(bornAt map[string]int64) {
	exc.broadcast(context.Background(), leavingMethod, &message{Name: exc.Name, Leaving: bornAt})
}

// ShareTopic queues a topic part to be sent to the peers by RunNotices. It does not block: if the queue is full, the
// part is dropped.
func (exc *Exchange) ShareTopic(part *TopicPart) {
	select {
	case exc.parts <- part:
	default:
	}
}

// WorkChanged makes RunNotices send this daemon's work at an engine to the daemons that use the engine.
func (exc *Exchange) WorkChanged(endpoint string) {
	exc.mutex.Lock()
	exc.changed[endpoint] = true
	exc.mutex.Unlock()
	select {
	case exc.work <- struct{}{}:
	default:
	}
}

// receiveTopic applies a topic part that a peer read.
func (exc *Exchange) receiveTopic(part *TopicPart) {
	exc.heard(part.Reader)
	if fed, ok := exc.Feeds[part.Topic]; ok {
		fed.Enqueue(part)
	}
}

// RunNotices sends changes of this daemon's work and topic parts to peers until the context is cancelled.
func (exc *Exchange) RunNotices(ctx context.Context) {
	refresh := time.NewTicker(workRefresh)
	defer refresh.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-refresh.C:
			for id := range exc.Requests.LocalUsage() {
				exc.WorkChanged(id)
			}
		case <-exc.work:
			retry.Sleep(ctx, workDelay)
			exc.sendWork(ctx)
		case part := <-exc.parts:
			exc.sendTopic(ctx, part)
		}
	}
}

// sendWork sends, for each engine whose work changed, this daemon's work there to the daemons that use the engine.
func (exc *Exchange) sendWork(ctx context.Context) {
	exc.mutex.Lock()
	changed := exc.changed
	exc.changed = map[string]bool{}
	exc.mutex.Unlock()
	shr := exc.sharing.Load()
	if shr == nil {
		return
	}
	answering, waiting := exc.Answering(), exc.waitingTokens()
	for id := range changed {
		msg := &message{Name: exc.Name, Waiting: waiting, Usage: map[string]dispatch.Usage{id: exc.Requests.UsageAt(id)}}
		for _, name := range shr.users[id] {
			if per, ok := answering[name]; ok {
				exc.notify(ctx, per.Address, workMethod, msg)
			}
		}
	}
}

// sendTopic broadcasts a topic part; large records are compressed once, by the daemon that read them.
func (exc *Exchange) sendTopic(ctx context.Context, part *TopicPart) {
	packed, err := part.pack()
	if err != nil {
		exc.Logger.WithError(err).WithField("topic", part.Topic).Warn("topic part could not be compressed; not sent to peers")
		return
	}
	exc.broadcast(ctx, topicMethod, packed)
}
