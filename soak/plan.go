package main

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// warmUpTime is the time before the first fault.
	warmUpTime = 2 * time.Second
	// recoveryTime is the time that the site has to recover after the last fault; then all requests must be served again
	// (recoveryS on the users' sites).
	recoveryTime = 12 * time.Second
	// quietTime follows recoveryTime and ends the run; each request that is sent in it must be served.
	quietTime = 3 * time.Second
	// meanGap is the mean time between the beginnings of two faults; it is so short that most faults overlap.
	meanGap = 700 * time.Millisecond
	// maxLength is the greatest length of a fault.
	maxLength = 5 * time.Second
	// repeatShare is the share of faults that are repeated at the same target soon after they end.
	repeatShare = 0.3
	// maxRestores is the greatest number of times that the store returns from a copy, and maxRestoreLength the greatest
	// length of such a fault.
	maxRestores      = 2
	maxRestoreLength = 4 * time.Second
)

// Kind is the kind of a fault.
type Kind string

// The kinds of faults.
const (
	KindKill        Kind = "daemonKill"
	KindPause       Kind = "daemonPause"
	KindStop        Kind = "daemonStop"
	KindReload      Kind = "daemonReload"
	KindStoreBusy   Kind = "storeBusy"
	KindStoreSilent Kind = "storeSilent"
	KindStoreCut    Kind = "storeLinkCut"
	KindStoreReset  Kind = "storeLinkReset"
	KindCrash       Kind = "engineCrash"
	KindDrain       Kind = "engineDrain"
	KindVanish      Kind = "engineVanish"
	KindMode        Kind = "engineMode"
	KindLinkDelay   Kind = "engineLinkDelay"
	KindLinkReset   Kind = "engineLinkReset"
	KindLinkSilent  Kind = "engineLinkSilent"
	KindLinkOneWay  Kind = "engineLinkOneWay"
	KindPublish     Kind = "publish"
	// KindRestore takes the store away, after which it returns from a copy that was made at the start of the fault.
	KindRestore Kind = "storeRestore"
)

var kinds = []Kind{
	KindKill, KindPause, KindStop, KindReload, KindStoreBusy, KindStoreSilent, KindStoreCut, KindStoreReset, KindCrash, KindDrain,
	KindVanish, KindMode, KindLinkDelay, KindLinkReset, KindLinkSilent, KindLinkOneWay, KindPublish,
}

// plannedKinds are the kinds of work that an operator plans. Each seed that plannedSeedStride divides has only these.
var plannedKinds = []Kind{KindStop, KindReload, KindDrain, KindVanish, KindPublish}

const plannedSeedStride = 4

// Fault is one fault at a target; it begins at At, counted from the start of the run, and lasts for Length.
type Fault struct {
	At, Length time.Duration
	Kind       Kind
	// Target is the index of the daemon or the engine.
	Target int
	// Variant chooses among the variants of a kind: the mode of an engine, or whether a configuration has the key two.
	Variant int
}

// NewPlan returns the faults of a seed, sorted by start time; equal arguments give equal plans.
func NewPlan(seed uint64, duration time.Duration, daemons, engines int) []Fault {
	rnd := rand.New(rand.NewPCG(seed, 0))
	choice := kinds
	if seed%plannedSeedStride == 0 {
		choice = plannedKinds
	}
	restores := newRestores(seed, duration)
	var plan []Fault
	last := duration - recoveryTime - quietTime
	for at := warmUpTime; at < last; at += time.Duration(rnd.ExpFloat64() * float64(meanGap)) {
		flt := Fault{At: at, Length: time.Duration(rnd.Int64N(int64(maxLength))), Kind: choice[rnd.IntN(len(choice))], Variant: rnd.IntN(100)}
		flt.Target = rnd.IntN(engines)
		if flt.hitsDaemon() {
			flt.Target = rnd.IntN(daemons)
		}
		for again := true; again && flt.fitsBefore(last); again = rnd.Float64() < repeatShare {
			flt.Length = min(flt.Length, last-flt.At)
			plan = append(plan, flt)
			flt.At += flt.Length + time.Duration(rnd.Int64N(int64(meanGap)))
		}
	}
	plan = append(plan, restores...)
	slices.SortStableFunc(plan, func(one, other Fault) int { return cmp.Compare(one.At, other.At) })
	return plan
}

// newRestores returns the faults of a seed in which the store returns from a copy, one after the other. They are drawn apart from the
// others, whose plans stay as they were before there were any.
func newRestores(seed uint64, duration time.Duration) []Fault {
	if seed%plannedSeedStride == 0 {
		return nil
	}
	rnd := rand.New(rand.NewPCG(seed, 1))
	var restores []Fault
	last := duration - recoveryTime - quietTime
	at := warmUpTime + time.Duration(rnd.Int64N(int64(max(1, last-warmUpTime))))
	for range 1 + rnd.IntN(maxRestores) {
		flt := Fault{At: at, Length: time.Duration(rnd.Int64N(int64(maxRestoreLength))), Kind: KindRestore, Variant: rnd.IntN(100)}
		if !flt.fitsBefore(last) {
			break
		}
		flt.Length = min(flt.Length, last-flt.At)
		restores = append(restores, flt)
		at += flt.Length + time.Duration(rnd.Int64N(int64(meanGap)))
	}
	return restores
}

// fitsBefore reports whether the fault begins early enough to end before a time. A planned stop can take the whole
// drainNotice; the length of any other fault can be cut.
func (flt Fault) fitsBefore(last time.Duration) bool {
	if flt.Kind == KindStop {
		return flt.At+drainNotice < last
	}
	return flt.At < last
}

// planned reports whether the fault is work that an operator plans; no request may fail because of it.
func (flt Fault) planned() bool {
	return slices.Contains(plannedKinds, flt.Kind)
}

// hitsDaemon reports whether the target of the fault is a daemon; that of other faults is an engine or the whole site.
func (flt Fault) hitsDaemon() bool {
	switch flt.Kind {
	case KindKill, KindPause, KindStop, KindReload, KindStoreCut, KindStoreReset:
		return true
	}
	return false
}
