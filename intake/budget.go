package intake

import (
	"sync/atomic"
	"time"
)

const (
	// smallBytes is the size up to which a request may use the whole budget, and is not dropped while it makes progress.
	smallBytes = 64 << 10
	// trackedBytes is the size from which a request may be dropped at all.
	trackedBytes = 8 << 10
	// smallStalledTime is the time without progress after which other small requests may drop a small one, if there is no
	// large one to drop.
	smallStalledTime = time.Second
	// keptShare is the fraction of the budget, without the reserve of peers, that only small requests use, as a divisor.
	keptShare = 8
	// stalledTime is the time without progress after which a large request may be dropped.
	stalledTime = 500 * time.Millisecond
	// slowBytes is the number of bytes a second below which a large request counts as slow; a body of 4 MiB at this rate
	// takes longer than the gateway's limit of 10 s.
	slowBytes = 256 << 10
	// maxGap is the longest time between two notes of the time for which the process counts as running.
	maxGap = 250 * time.Millisecond
)

// Verdict is the answer to a request for memory.
type Verdict int

// The verdicts.
const (
	// Granted means that the memory is reserved.
	Granted Verdict = iota
	// Wait means that the memory may become free soon.
	Wait
	// Refused means that the holder has been dropped and gets no more memory.
	Refused
)

// Holder is what one request holds of a Budget.
type Holder struct {
	// Drop ends the request; it must not block. A holder without it is never dropped.
	Drop func()
	// Peer is true for messages of other daemons.
	Peer bool

	// began is when the request began to hold memory, and progress when its last byte arrived, in Unix nanoseconds.
	began    time.Time
	progress atomic.Int64
	held     int64
	// kept is true once the request was read whole: it is not dropped any more.
	kept    bool
	dropped bool
}

// Held returns the reserved bytes.
func (hld *Holder) Held() int64 {
	return hld.held
}

// Touch records that bytes of the request arrived. It may be called at any time.
func (hld *Holder) Touch(now time.Time) {
	hld.progress.Store(now.UnixNano())
}

// Budget is the memory that all requests of a process may hold. Its methods are not safe for concurrent use.
type Budget struct {
	Limit int64
	// PeerReserve is the part of Limit that only peers use.
	PeerReserve int64

	// used is what all holders have, usedByPeers what peers have of it.
	used, usedByPeers int64
	// noted is when the time was last noted, zero if it is not; resumed is when the process ran again after it was paused or
	// got no processor.
	noted, resumed time.Time
	// tracked are the holders of more than trackedBytes.
	tracked map[*Holder]bool
}

// NewBudget returns a budget with a limit in bytes.
func NewBudget(limit int64) *Budget {
	return &Budget{Limit: limit, resumed: time.Unix(0, 0), tracked: map[*Holder]bool{}}
}

// Used returns the reserved bytes.
func (bud *Budget) Used() int64 {
	return bud.used
}

// Note notes the time. If it is called regularly, a gap of over maxGap shows that the process was paused or got no
// processor; what clients sent or read meanwhile was not seen, so all times without progress begin again.
func (bud *Budget) Note(now time.Time) {
	if !bud.noted.IsZero() && now.Sub(bud.noted) > maxGap {
		bud.resumed = now
	}
	if now.After(bud.noted) {
		bud.noted = now
	}
}

// Unnote ends the notes: the time until the next one is no gap.
func (bud *Budget) Unnote() {
	bud.noted = time.Time{}
}

// Resumed returns when the process last ran again after a gap. It looks for a gap up to now.
func (bud *Budget) Resumed(now time.Time) time.Time {
	if !bud.noted.IsZero() {
		bud.Note(now)
	}
	return bud.resumed
}

// stalled returns the time without progress.
func (bud *Budget) stalled(now time.Time, hld *Holder) time.Duration {
	return now.Sub(time.Unix(0, max(hld.progress.Load(), hld.began.UnixNano(), bud.resumed.UnixNano())))
}

// isSlow reports whether the request stands still or arrives too slowly.
func (bud *Budget) isSlow(now time.Time, hld *Holder) bool {
	if bud.stalled(now, hld) >= stalledTime {
		return true
	}
	elapsed := now.Sub(hld.began)
	if bud.resumed.After(hld.began) {
		elapsed = now.Sub(bud.resumed)
	}
	return elapsed >= 2*stalledTime && float64(hld.held) < slowBytes*elapsed.Seconds()
}

// Take reserves bytes. If they are not free, it returns Wait and, if a request is to be dropped for them, that request:
// of the slow ones, the one whose size times its time without progress is the largest.
func (bud *Budget) Take(now time.Time, hld *Holder, bytes int64) (Verdict, *Holder) {
	bud.Resumed(now)
	if hld.dropped {
		return Refused, nil
	}
	if hld.held == 0 {
		hld.began = now
	}
	isSmall := hld.held+bytes <= smallBytes
	excess := bud.excess(hld.Peer, isSmall) + bytes
	if excess <= 0 || hld.Peer && bud.usedByPeers+bytes <= bud.PeerReserve {
		bud.change(hld, bytes)
		return Granted, nil
	}
	leaving, worst := bud.worst(now, hld, isSmall)
	if worst == nil || excess <= leaving {
		return Wait, nil
	}
	worst.dropped = true
	return Wait, worst
}

// excess returns by how much the reserved bytes exceed what a request of a caller or a message of a peer may use; it is
// negative if bytes are free. For callers, the reserve of peers counts as used.
func (bud *Budget) excess(isPeer, isSmall bool) int64 {
	used, shared := bud.used, bud.Limit
	if !isPeer {
		used += max(0, bud.PeerReserve-bud.usedByPeers)
		shared -= bud.PeerReserve
	}
	if isSmall {
		return used - bud.Limit
	}
	return used - (bud.Limit - shared/keptShare)
}

// worst returns the request that is dropped first for another one, and the bytes of those that were dropped already. For a
// small request it may be a small one, if there is no large one.
func (bud *Budget) worst(now time.Time, hld *Holder, isSmall bool) (leaving int64, worst *Holder) {
	large, small := candidate{}, candidate{}
	isReserve := !hld.Peer && bud.usedByPeers <= bud.PeerReserve
	for one := range bud.tracked {
		switch {
		case one.Peer && isReserve:
			// Its memory would go to peers only.
		case one.dropped:
			leaving += one.held
		case one.kept || one == hld:
		case one.held > smallBytes && bud.isSlow(now, one):
			large.replace(one, bud.stalled(now, one))
		case isSmall && bud.stalled(now, one) >= smallStalledTime:
			small.replace(one, bud.stalled(now, one))
		}
	}
	if large.holder != nil {
		return leaving, large.holder
	}
	return leaving, small.holder
}

// candidate is a request that may be dropped, with what it costs the others: its size times its time without progress.
type candidate struct {
	holder *Holder
	cost   float64
}

// replace replaces the candidate by a request that costs more.
func (cnd *candidate) replace(hld *Holder, stalled time.Duration) {
	cost := float64(hld.held) * max(stalled, time.Millisecond).Seconds()
	if cost > cnd.cost {
		cnd.holder, cnd.cost = hld, cost
	}
}

// Keep marks a request as read whole, so that it is not dropped any more. It returns false if it was dropped before.
func (bud *Budget) Keep(hld *Holder) bool {
	hld.kept = !hld.dropped
	return hld.kept
}

// Release returns bytes to the budget.
func (bud *Budget) Release(hld *Holder, bytes int64) {
	bud.change(hld, -min(bytes, hld.held))
}

// Reset returns all that a holder has, so that it can be used for another request.
func (bud *Budget) Reset(hld *Holder) {
	bud.change(hld, -hld.held)
	hld.kept = false
}

func (bud *Budget) change(hld *Holder, bytes int64) {
	bud.used += bytes
	if hld.Peer {
		bud.usedByPeers += bytes
	}
	hld.held += bytes
	if hld.Drop != nil && hld.held > trackedBytes {
		bud.tracked[hld] = true
	} else {
		delete(bud.tracked, hld)
	}
}
