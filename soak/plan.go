package main

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// warmUp is the time before the first fault.
	warmUp = 2 * time.Second
	// recovery is the time after the last fault within which all requests are served again (recoveryS on the users' sites).
	recovery = 12 * time.Second
	// quiet is the time after that for which requests are checked to be served.
	quiet = 3 * time.Second
	// meanGap is the mean time between the beginnings of two faults; most overlap.
	meanGap = 700 * time.Millisecond
	// maxLength is the longest fault.
	maxLength = 5 * time.Second
	// seriesShare is the part of the faults that come again at once at the same target.
	seriesShare = 0.3
)

// Kind is what a fault does.
type Kind string

// The kinds of faults.
const (
	KindKill       Kind = "daemonKill"
	KindPause      Kind = "daemonPause"
	KindStop       Kind = "daemonStop"
	KindReload     Kind = "daemonReload"
	KindStoreBusy  Kind = "storeBusy"
	KindStoreMute  Kind = "storeSilent"
	KindStoreCut   Kind = "storeLinkCut"
	KindStoreReset Kind = "storeLinkReset"
	KindCrash      Kind = "engineCrash"
	KindDrain      Kind = "engineDrain"
	KindVanish     Kind = "engineVanish"
	KindMode       Kind = "engineMode"
	KindLinkDelay  Kind = "engineLinkDelay"
	KindLinkReset  Kind = "engineLinkReset"
	KindLinkMute   Kind = "engineLinkSilent"
	KindLinkOneWay Kind = "engineLinkOneWay"
	KindPublish    Kind = "publish"
)

var kinds = []Kind{
	KindKill, KindPause, KindStop, KindReload, KindStoreBusy, KindStoreMute, KindStoreCut, KindStoreReset, KindCrash, KindDrain,
	KindVanish, KindMode, KindLinkDelay, KindLinkReset, KindLinkMute, KindLinkOneWay, KindPublish,
}

// plannedKinds are the kinds of planned work. Each plannedEvery-th seed has only these.
var plannedKinds = []Kind{KindStop, KindReload, KindDrain, KindVanish, KindPublish}

const plannedEvery = 4

// Fault is one disturbance of a target, from At on for Length.
type Fault struct {
	At, Length time.Duration
	Kind       Kind
	// Target is the number of the daemon or engine.
	Target int
	// Variant chooses among ways of the same kind.
	Variant int
}

// NewPlan returns the faults of a seed, in order of time; equal arguments give equal plans.
func NewPlan(seed uint64, duration time.Duration, daemons, engines int) []Fault {
	rnd := rand.New(rand.NewPCG(seed, 0))
	choice := kinds
	if seed%plannedEvery == 0 {
		choice = plannedKinds
	}
	var plan []Fault
	last := duration - recovery - quiet
	for at := warmUp; at < last; at += time.Duration(rnd.ExpFloat64() * float64(meanGap)) {
		flt := Fault{At: at, Length: time.Duration(rnd.Int64N(int64(maxLength))), Kind: choice[rnd.IntN(len(choice))], Variant: rnd.IntN(100)}
		flt.Target = rnd.IntN(engines)
		if flt.hitsDaemon() {
			flt.Target = rnd.IntN(daemons)
		}
		for again := true; again && flt.begins(last); again = rnd.Float64() < seriesShare {
			flt.Length = min(flt.Length, last-flt.At)
			plan = append(plan, flt)
			flt.At += flt.Length + time.Duration(rnd.Int64N(int64(meanGap)))
		}
	}
	slices.SortStableFunc(plan, func(one, other Fault) int { return cmp.Compare(one.At, other.At) })
	return plan
}

// begins reports whether the fault begins early enough to be over at a time; a planned stop takes its whole notice.
func (flt Fault) begins(last time.Duration) bool {
	if flt.Kind == KindStop {
		return flt.At+drainNotice < last
	}
	return flt.At < last
}

// planned reports whether the fault is work that an operator plans: nothing may be lost by it.
func (flt Fault) planned() bool {
	return slices.Contains(plannedKinds, flt.Kind)
}

// hitsDaemon reports whether the target is a daemon.
func (flt Fault) hitsDaemon() bool {
	switch flt.Kind {
	case KindKill, KindPause, KindStop, KindReload, KindStoreCut, KindStoreReset:
		return true
	}
	return false
}
