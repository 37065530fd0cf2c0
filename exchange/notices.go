package exchange

import (
	"context"
	"time"

	"papayacroft/dispatch"
	"papayacroft/retry"
)

const (
	workMethod  = "gateway.work"
	topicMethod = "gateway.topic"
	crashMethod = "gateway.crash"
	// leavingMethod announces endpoints that reported themselves that they leave. Leaving that follows from an entry in
	// the store is not announced: it reaches all daemons with the topic.
	leavingMethod = "gateway.leaving"
	// workDelay is how long changes of work are collected before they are sent in one message.
	workDelay = 3 * time.Millisecond
	// forwardWidth is the number of peers to which a daemon sends a topic part directly; these forward it to the others.
	forwardWidth = 8
	// maxAddressees limits the peers that a broadcast reaches.
	maxAddressees = 1024
	// notifyTimeout limits sending a message that has no response.
	notifyTimeout = 100 * time.Millisecond
)

// ShareCrash broadcasts to all peers that a request crashed an endpoint.
func (exc *Exchange) ShareCrash(found Crash) {
	exc.notify(context.Background(), exc.addresses(maxAddressees), crashMethod, found)
}

// ShareLeaving broadcasts to all peers that endpoints leave; bornAt has the start time of each by id.
func (exc *Exchange) ShareLeaving(bornAt map[string]int64) {
	exc.notify(context.Background(), exc.addresses(maxAddressees), leavingMethod, &message{Name: exc.Name, Leaving: bornAt})
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

// receiveTopic applies a topic part that a peer read, and forwards it to the addressees that it names.
func (exc *Exchange) receiveTopic(part *TopicPart) {
	if fed, ok := exc.Feeds[part.Topic]; ok {
		fed.Enqueue(part)
	}
	if len(part.Forward) > 0 {
		exc.ShareTopic(part)
	}
}

// RunNotices sends changes of this daemon's work and topic parts to peers until the context is cancelled.
func (exc *Exchange) RunNotices(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-exc.work:
			retry.Sleep(ctx, workDelay)
			exc.sendWork(ctx)
		case part := <-exc.parts:
			exc.forward(ctx, part)
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
	answering := exc.Answering()
	for id := range changed {
		msg := &message{Name: exc.Name, Usage: map[string]dispatch.Usage{id: exc.Requests.UsageAt(id)}}
		var addresses []string
		for _, name := range shr.users[id] {
			if per, ok := answering[name]; ok {
				addresses = append(addresses, per.Address)
			}
		}
		exc.notify(ctx, addresses, workMethod, msg)
	}
}

// forward distributes a topic part as a tree: it divides the addressees into forwardWidth groups and sends the part to
// the first of each group, which forwards it to the others of the group.
func (exc *Exchange) forward(ctx context.Context, part *TopicPart) {
	addresses := part.Forward
	if part.First {
		addresses = exc.addresses(maxAddressees)
		var err error
		if part.Records, err = part.each((*Record).pack); err != nil {
			exc.Logger.WithError(err).WithField("topic", part.Topic).Warn("topic part could not be compressed; not sent to peers")
			return
		}
	}
	groups := min(len(addresses), forwardWidth)
	for i := range groups {
		var rest []string
		for j := i + groups; j < len(addresses); j += groups {
			rest = append(rest, addresses[j])
		}
		exc.notify(ctx, addresses[i:i+1], topicMethod, &TopicPart{
			Topic: part.Topic, Reader: part.Reader, From: part.From, Next: part.Next, Records: part.Records, Forward: rest,
		})
	}
}

func (exc *Exchange) notify(ctx context.Context, addresses []string, method string, params any) {
	for _, address := range addresses {
		notifyCtx, cancel := context.WithTimeout(ctx, notifyTimeout)
		err := exc.Client.Notify(notifyCtx, address, method, params)
		cancel()
		exc.noteAnswer(address, err)
	}
}
