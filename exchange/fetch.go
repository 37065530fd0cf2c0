package exchange

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"papayacroft/catalog"
	"papayacroft/control"
	"papayacroft/retry"
)

const (
	configurationMethod = "gateway.configuration"
	// fetchDelay is the delay before a newer configuration is fetched from a peer; usually the daemon that reads the store
	// shares it meanwhile. 65 daemons that fetched 12 KB from each other at once filled links of 10 Mbit/s for a second.
	fetchDelay = 200 * time.Millisecond
	// fetchPoll is the interval of the checks whether topic parts still wait to be applied.
	fetchPoll = 10 * time.Millisecond
)

// configurationReply carries the compressed configuration in force; it is empty if the requester's is not older.
type configurationReply struct {
	Packed []byte `json:"packed,omitempty"`
}

// newerVersion is a configuration version that a peer has announced, and the peer's address.
type newerVersion struct {
	version int64
	address string
}

// noticeVersion queues a fetch from a peer if its configuration is newer. If a fetch is queued already, it drops this
// one: the peer's next message announces the version again.
func (exc *Exchange) noticeVersion(version int64, address string) {
	if address == "" || version <= exc.Control.Snapshot().Version() {
		return
	}
	select {
	case exc.newer <- newerVersion{version: version, address: address}:
	default:
	}
}

// RunFetch fetches newer configurations from peers if they have not arrived from the store meanwhile, one at a time,
// until the context is cancelled.
func (exc *Exchange) RunFetch(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case found := <-exc.newer:
			retry.Sleep(ctx, fetchDelay)
			for exc.hasPendingParts() && ctx.Err() == nil {
				retry.Sleep(ctx, fetchPoll)
			}
			if exc.Control.Snapshot().Version() < found.version {
				exc.fetch(ctx, found.address)
			}
		}
	}
}

// hasPendingParts reports whether topic parts wait to be applied; one of them may contain the newer configuration.
func (exc *Exchange) hasPendingParts() bool {
	for _, fed := range exc.Feeds {
		if fed.Busy() {
			return true
		}
	}
	return false
}

func (exc *Exchange) fetch(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var reply configurationReply
	err := exc.Client.Call(ctx, address, configurationMethod, &message{Version: exc.Control.Snapshot().Version()}, &reply)
	exc.noteAnswer(address, err)
	if err != nil || len(reply.Packed) == 0 {
		return
	}
	cat, err := exc.parsePacked(reply.Packed)
	if err != nil {
		exc.Logger.WithError(err).WithField("peer", address).Warn("configuration from a peer is invalid; ignored")
		return
	}
	exc.Control.Send(ctx, control.ConfigurationUpdate{Catalog: cat, Source: address})
}

func (exc *Exchange) parsePacked(packed []byte) (*catalog.Catalog, error) {
	data, err := inflate(packed)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return exc.Parse(data)
}

// answerConfiguration returns the configuration in force if the requesting peer's version is older.
func (exc *Exchange) answerConfiguration(msg *message) *configurationReply {
	snp := exc.Control.Snapshot()
	if snp.Version() <= msg.Version {
		return &configurationReply{}
	}
	packed, err := deflate(snp.Catalog.Raw)
	if err != nil {
		exc.Logger.WithError(err).Warn("configuration could not be compressed")
	}
	return &configurationReply{Packed: packed}
}
