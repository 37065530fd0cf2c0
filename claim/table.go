package claim

import (
	"encoding/hex"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"papayacroft/provider"
)

// tableLifetime is how long a claim is kept: until its key has expired on every VM whose clock is less than 5 min off.
const tableLifetime = KeyLifetime + maxKeyLead + 5*time.Minute

type (
	keyDigest  [16]byte
	bodyDigest [8]byte
)

// claimant is a daemon incarnation. The table stores each one once and refers to it by index, because there are
// many claims and few claimants.
type claimant struct {
	incarnation, address string
}

type heldClaim struct {
	id       uuid.UUID
	body     bodyDigest
	claimant uint32
	// at is the log's time of the record in Unix seconds.
	at int64
}

// Table holds the claims of one stream: the first claim of a key in offset order holds the key, and only a claim
// with the holder's id in Replaces replaces it.
type Table struct {
	// Next is the offset to read from next.
	Next int64

	holders   map[keyDigest]heldClaim
	claimants []claimant
	indexes   map[claimant]uint32
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{holders: map[keyDigest]heldClaim{}, indexes: map[claimant]uint32{}}
}

// Apply applies one record. It ignores records that were applied before, are older than tableLifetime or are not
// valid.
func (tab *Table) Apply(now time.Time, rec provider.Record) {
	if rec.Offset < tab.Next {
		return
	}
	tab.Next = rec.Offset + 1
	if now.Sub(rec.At) > tableLifetime {
		return
	}
	parsed, err := ParseRecord(rec.Body)
	if err != nil {
		return
	}
	for _, clm := range parsed.Claims {
		tab.claim(clm, rec.At)
	}
}

func (tab *Table) claim(clm Claim, at time.Time) {
	key, _ := parseDigest[keyDigest](clm.KeyDigest)
	if held, ok := tab.holders[key]; ok && held.id.String() != clm.Replaces {
		return
	}
	body, _ := parseDigest[bodyDigest](clm.BodyDigest)
	tab.holders[key] = heldClaim{
		id: uuid.MustParse(clm.ID), body: body, at: at.Unix(),
		claimant: tab.claimantIndex(claimant{clm.Claimant, clm.Address}),
	}
}

func (tab *Table) claimantIndex(cmt claimant) uint32 {
	idx, ok := tab.indexes[cmt]
	if !ok {
		idx = uint32(len(tab.claimants)) //nolint:gosec // One entry per daemon incarnation.
		tab.claimants = append(tab.claimants, cmt)
		tab.indexes[cmt] = idx
	}
	return idx
}

// Holder returns the claim that holds a key.
func (tab *Table) Holder(key string) (Claim, bool) {
	dig, err := parseDigest[keyDigest](key)
	if err != nil {
		return Claim{}, false
	}
	held, ok := tab.holders[dig]
	if !ok {
		return Claim{}, false
	}
	cmt := tab.claimants[held.claimant]
	return Claim{
		ID: held.id.String(), KeyDigest: key, BodyDigest: hex.EncodeToString(held.body[:]),
		Claimant: cmt.incarnation, Address: cmt.address,
	}, true
}

// Resolve returns the holder of a claim's key, and true if the claim has thereby won or lost. It is undecided
// while the key has no holder, or still has the holder that the claim replaces.
func (tab *Table) Resolve(clm Claim) (Claim, bool) {
	held, ok := tab.Holder(clm.KeyDigest)
	return held, ok && held.ID != clm.Replaces
}

// Prune removes the claims of keys that have expired on all VMs.
func (tab *Table) Prune(now time.Time) {
	before := now.Add(-tableLifetime).Unix()
	for key, held := range tab.holders {
		if held.at < before {
			delete(tab.holders, key)
		}
	}
}

// Len returns the number of held keys.
func (tab *Table) Len() int {
	return len(tab.holders)
}

func parseDigest[D keyDigest | bodyDigest](text string) (D, error) {
	var dig D
	if hex.DecodedLen(len(text)) != len(dig) {
		return dig, trace.BadParameter("digest %q does not have %d bytes", text, len(dig))
	}
	raw, err := hex.DecodeString(text)
	if err != nil {
		return dig, trace.BadParameter("digest %q is not hexadecimal", text)
	}
	for i := range raw {
		dig[i] = raw[i]
	}
	return dig, nil
}
