package gateway

import (
	"context"
	"time"

	"papayacroft/dispatch"
)

const (
	workMethod  = "gateway.work"
	topicMethod = "gateway.topic"
	crashMethod = "gateway.crash"
	// leavingMethod tells of an endpoint that leaves by its own word; what the store says reaches all by its topic.
	leavingMethod = "gateway.leaving"
	// workDelay gathers the generations that are sent at about the same time in one message.
	workDelay = 3 * time.Millisecond
	// forwardWidth is the number of peers to which a daemon sends a part of a topic itself.
	forwardWidth = 8
	// maxAddressees bounds the peers that are told of a part of a topic.
	maxAddressees = 1024
	// notifyTimeout bounds a message without an answer.
	notifyTimeout = 100 * time.Millisecond
)

// ShareCrash tells all peers of a request that crashed an endpoint.
func (exc *Exchange) ShareCrash(found crash) {
	exc.notify(context.Background(), exc.addresses(maxAddressees), crashMethod, found)
}

// ShareLeaving tells all peers of endpoints that leave, with the start of each by id.
func (exc *Exchange) ShareLeaving(bornAt map[string]int64) {
	exc.notify(context.Background(), exc.addresses(maxAddressees), leavingMethod, &message{Name: exc.Name, Leaving: bornAt})
}

// ShareTopic tells the peers what this daemon read; it does not block.
func (exc *Exchange) ShareTopic(part *TopicPart) {
	select {
	case exc.parts <- part:
	default:
	}
}

// Work asks to tell the users of an engine at once what this daemon has there.
func (exc *Exchange) Work(endpoint string) {
	exc.mutex.Lock()
	exc.changed[endpoint] = true
	exc.mutex.Unlock()
	select {
	case exc.work <- struct{}{}:
	default:
	}
}

// hearTopic takes in what another daemon read and sends it on.
func (exc *Exchange) hearTopic(part *TopicPart) {
	if fed, ok := exc.Feeds[part.Topic]; ok {
		fed.Hear(part)
	}
	if len(part.Forward) > 0 {
		exc.ShareTopic(part)
	}
}

// RunNotices tells the peers of new generations and of what was read from the store, until the context ends.
func (exc *Exchange) RunNotices(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-exc.work:
			sleep(ctx, workDelay)
			exc.tellWork(ctx)
		case part := <-exc.parts:
			exc.forward(ctx, part)
		}
	}
}

// tellWork tells the users of each engine whose work changed what this daemon has there.
func (exc *Exchange) tellWork(ctx context.Context) {
	exc.mutex.Lock()
	changed := exc.changed
	exc.changed = map[string]bool{}
	exc.mutex.Unlock()
	shr := exc.Server.sharing.Load()
	if shr == nil {
		return
	}
	answering := exc.Answering()
	for id := range changed {
		exc.Server.mutex.Lock()
		msg := &message{Name: exc.Name, Usage: map[string]dispatch.Usage{id: exc.Server.Desk.Work(id)}}
		exc.Server.mutex.Unlock()
		var addresses []string
		for _, name := range shr.users[id] {
			if per, ok := answering[name]; ok {
				addresses = append(addresses, per.Address)
			}
		}
		exc.notify(ctx, addresses, workMethod, msg)
	}
}

// forward sends a part of a topic to all its addressees: to a first one of each group, which forwards it to the others.
func (exc *Exchange) forward(ctx context.Context, part *TopicPart) {
	addresses := part.Forward
	if part.First {
		addresses = exc.addresses(maxAddressees)
		var err error
		if part.Records, err = part.each((*Record).pack); err != nil {
			exc.Logger.WithError(err).WithField("topic", part.Topic).Warn("part of a topic not told")
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
