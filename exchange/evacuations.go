package exchange

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"papayacroft/catalog"
	"papayacroft/control"
)

const (
	// evacuationMethod sends the state of the evacuations to a peer whose gossip shows that it has another one.
	evacuationMethod = "gateway.evacuations"
	// unreadSum is the hash of a daemon that does not know yet which failure domains are evacuated.
	unreadSum = 1
)

// evacuations is a daemon's state of the evacuations, as a message; see catalog.Evacuations.
type evacuations struct {
	Name    string                `json:"name"`
	Era     int64                 `json:"era,omitempty"`
	ReadTo  int64                 `json:"readTo"`
	Domains map[string]evacuation `json:"domains,omitempty"`
}

type evacuation struct {
	Offset int64 `json:"offset"`
	Lifted bool  `json:"lifted,omitempty"`
	// AgeMS is the time since it came into force, or was lifted, in ms.
	AgeMS int64 `json:"ageMs"`
	// UnconfirmedMS is the time for which it stays in force without a record, in ms; 0 if it has one.
	UnconfirmedMS int64 `json:"unconfirmedMs,omitempty"`
}

// evacuatedSum returns a hash of the evacuated failure domains and the offsets of their records in the store's era, which does not
// depend on their order.
func evacuatedSum(evs *catalog.Evacuations) uint64 {
	if evs.Unread {
		return unreadSum
	}
	var sum uint64
	for domain, evc := range evs.Domains {
		if !evc.Lifted {
			sum += xxhash.Sum64String(domain + "/" + strconv.FormatInt(evc.Offset, 10) + "/" + strconv.FormatInt(evs.Era, 10))
		}
	}
	return sum
}

// encodeEvacuations returns the message with this daemon's state; nil while it is not known.
func (exc *Exchange) encodeEvacuations(evs *catalog.Evacuations) *evacuations {
	if evs.Unread {
		return nil
	}
	now, msg := exc.Now(), &evacuations{Name: exc.Name, Era: evs.Era, ReadTo: evs.ReadTo, Domains: map[string]evacuation{}}
	for domain, evc := range evs.Domains {
		one := evacuation{Offset: evc.Offset, Lifted: evc.Lifted, AgeMS: now.Sub(evc.At).Milliseconds()}
		if !evc.UnconfirmedUntil.IsZero() {
			one.UnconfirmedMS = max(1, evc.UnconfirmedUntil.Sub(now).Milliseconds())
		}
		msg.Domains[domain] = one
	}
	return msg
}

// reconcileEvacuations applies the state of a peer, and sends it this daemon's.
func (exc *Exchange) reconcileEvacuations(ctx context.Context, address string, theirs *evacuations) {
	if theirs != nil {
		exc.applyEvacuations(ctx, address, theirs)
	}
	if own := exc.encodeEvacuations(&exc.Control.Snapshot().Fleet.Evacuations); own != nil {
		exc.notify(ctx, address, evacuationMethod, own)
	}
}

func (exc *Exchange) applyEvacuations(ctx context.Context, source string, msg *evacuations) {
	now := exc.Now()
	peer := &catalog.Evacuations{Era: msg.Era, ReadTo: msg.ReadTo, Domains: map[string]catalog.Evacuation{}}
	for domain, evc := range msg.Domains {
		one := catalog.Evacuation{Offset: evc.Offset, Lifted: evc.Lifted, At: now.Add(-time.Duration(evc.AgeMS) * time.Millisecond)}
		if evc.UnconfirmedMS > 0 {
			one.UnconfirmedUntil = now.Add(time.Duration(evc.UnconfirmedMS) * time.Millisecond)
		}
		peer.Domains[domain] = one
	}
	exc.Control.Send(ctx, control.Evacuations{Peer: peer, Source: source})
}
