package gateway

import (
	"context"
	"time"
)

const (
	configurationMethod = "gateway.configuration"
	// fetchDelay leaves time for the reader of the store to bring a new configuration first: 65 daemons that asked
	// each other for 12 KB at once filled links of 10 Mbit/s for a second.
	fetchDelay = 200 * time.Millisecond
)

// configurationReply carries the configuration in force; it is empty if the asker's is as new.
type configurationReply struct {
	Configuration []byte `json:"configuration,omitempty"`
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
			if currentVersion(exc.Control.Snapshot()) < found.version {
				exc.fetch(ctx, found.address)
			}
		}
	}
}

func (exc *Exchange) fetch(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var reply configurationReply
	err := exc.Client.Call(ctx, address, configurationMethod, &message{Version: currentVersion(exc.Control.Snapshot())}, &reply)
	exc.noteAnswer(address, err)
	if err != nil || len(reply.Configuration) == 0 {
		return
	}
	cat, err := exc.Parse(reply.Configuration)
	if err != nil {
		exc.Logger.WithError(err).WithField("peer", address).Warn("configuration of a peer passed over")
		return
	}
	exc.Control.Send(ctx, Published{Catalog: cat, Source: address})
}

// answerConfiguration returns the configuration in force to a peer whose version is older.
func (exc *Exchange) answerConfiguration(msg *message) *configurationReply {
	snp := exc.Control.Snapshot()
	if currentVersion(snp) <= msg.Version {
		return &configurationReply{}
	}
	return &configurationReply{Configuration: snp.Catalog.Raw}
}

func currentVersion(snp *Snapshot) int64 {
	if snp.Catalog == nil {
		return 0
	}
	return snp.Catalog.Version
}
