package gateway

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"papayacroft/catalog"
)

const (
	configurationMethod = "gateway.configuration"
	// fetchDelay leaves time for the reader of the store to bring a new configuration first: 65 daemons that asked
	// each other for 12 KB at once filled links of 10 Mbit/s for a second.
	fetchDelay = 200 * time.Millisecond
	// fetchPoll is the time between two looks whether what came meanwhile is taken in.
	fetchPoll = 10 * time.Millisecond
)

// configurationReply carries the configuration in force, compressed; it is empty if the asker's is as new.
type configurationReply struct {
	Packed []byte `json:"packed,omitempty"`
}

// newerVersion says which peer has a newer configuration.
type newerVersion struct {
	version int64
	address string
}

// noticeVersion remembers a peer with a newer configuration; while one is asked, others are told again by the next message.
func (exc *Exchange) noticeVersion(version int64, address string) {
	if address == "" || version <= currentVersion(exc.Control.Snapshot()) {
		return
	}
	select {
	case exc.newer <- newerVersion{version: version, address: address}:
	default:
	}
}

// RunFetch asks peers for configurations that the store did not bring, one after the other, until the context ends.
func (exc *Exchange) RunFetch(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case found := <-exc.newer:
			sleep(ctx, fetchDelay)
			for exc.hears() && ctx.Err() == nil {
				sleep(ctx, fetchPoll)
			}
			if currentVersion(exc.Control.Snapshot()) < found.version {
				exc.fetch(ctx, found.address)
			}
		}
	}
}

// hears reports whether a part of a topic came that is not taken in yet; it may bring the version.
func (exc *Exchange) hears() bool {
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
	err := exc.Client.Call(ctx, address, configurationMethod, &message{Version: currentVersion(exc.Control.Snapshot())}, &reply)
	exc.noteAnswer(address, err)
	if err != nil || len(reply.Packed) == 0 {
		return
	}
	cat, err := exc.parsePacked(reply.Packed)
	if err != nil {
		exc.Logger.WithError(err).WithField("peer", address).Warn("configuration of a peer passed over")
		return
	}
	exc.Control.Send(ctx, Published{Catalog: cat, Source: address})
}

func (exc *Exchange) parsePacked(packed []byte) (*catalog.Catalog, error) {
	data, err := inflate(packed)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return exc.Parse(data)
}

// answerConfiguration returns the configuration in force to a peer whose version is older.
func (exc *Exchange) answerConfiguration(msg *message) *configurationReply {
	snp := exc.Control.Snapshot()
	if currentVersion(snp) <= msg.Version {
		return &configurationReply{}
	}
	packed, err := deflate(snp.Catalog.Raw)
	if err != nil {
		exc.Logger.WithError(err).Warn("configuration could not be compressed")
	}
	return &configurationReply{Packed: packed}
}

func currentVersion(snp *Snapshot) int64 {
	if snp.Catalog == nil {
		return 0
	}
	return snp.Catalog.Version
}
