package configuration

import (
	"slices"
	"time"

	"github.com/gravitational/trace"

	"papayacroft/inventory"
)

const (
	// keptChanges is the number of recent versions whose changes a daemon keeps to send a delta to a peer.
	keptChanges = 64
	// maxKeptChangeBytes is the size of the largest publish whose changes are kept; peers get a snapshot of a larger one.
	maxKeptChangeBytes = 32 << 10
)

// MethodFetch is the method by which daemons fetch the newest version from a peer.
const MethodFetch = "configuration.fetch"

// FetchRequest holds the requesting daemon's version and the offset before which it has applied every record.
type FetchRequest struct {
	Version int64 `json:"version"`
	ReadTo  int64 `json:"readTo"`
}

// FetchReply holds a snapshot or a delta, or neither if the answering daemon has nothing newer.
type FetchReply struct {
	Snapshot *Snapshot `json:"snapshot,omitempty"`
	Delta    *Delta    `json:"delta,omitempty"`
}

// Delta holds the changes that turn the version Since of the requesting daemon into a newer one.
type Delta struct {
	Since     int64              `json:"since"`
	Version   int64              `json:"version"`
	Offset    int64              `json:"offset"`
	ReadTo    int64              `json:"readTo"`
	CoveredAt time.Time          `json:"coveredAt"`
	Changes   []inventory.Change `json:"changes"`
	// Outcomes holds the outcomes of the publishes that the requesting daemon has not applied.
	Outcomes []Outcome `json:"outcomes"`
}

type acceptedChanges struct {
	version int64
	changes []inventory.Change
}

// View is an immutable copy of a state that other goroutines may use.
type View struct {
	Current   Version
	Outcomes  []Outcome
	ReadTo    int64
	CoveredAt time.Time
	recent    []acceptedChanges
}

// View returns a copy of the state from which snapshots are composed and fetch requests answered.
func (sta *State) View() *View {
	return &View{
		Current: sta.Current, Outcomes: sta.Outcomes, ReadTo: sta.AppliedTo,
		CoveredAt: sta.coverage.oldest(), recent: sta.recent,
	}
}

// keepChanges stores the changes that created the current version. If they are too large, it drops all stored
// changes, because a delta needs the changes of every version in between.
func (sta *State) keepChanges(changes []inventory.Change, size int) {
	if size > maxKeptChangeBytes {
		sta.recent = nil
		return
	}
	all := slices.Concat(sta.recent, []acceptedChanges{{sta.Current.Number, changes}})
	sta.recent = all[max(0, len(all)-keptChanges):]
}

// Snapshot returns a snapshot of the current version.
func (vew *View) Snapshot() (*Snapshot, error) {
	content, err := compress(vew.Current.Configuration)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Snapshot{
		Version: vew.Current.Number, Offset: vew.Current.Offset, ReadTo: vew.ReadTo,
		Content: content, Outcomes: vew.Outcomes,
	}, nil
}

// Answer returns a delta if the changes since the requested version are kept and a snapshot otherwise, or an empty
// reply if the requesting daemon is up to date.
func (vew *View) Answer(req FetchRequest) (*FetchReply, error) {
	newer := vew.Current.Number > req.Version || vew.Current.Number == req.Version && vew.ReadTo > req.ReadTo
	if !newer {
		return &FetchReply{}, nil
	}
	if dlt := vew.delta(req); dlt != nil {
		return &FetchReply{Delta: dlt}, nil
	}
	snp, err := vew.Snapshot()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	snp.CoveredAt = vew.CoveredAt
	return &FetchReply{Snapshot: snp}, nil
}

// delta returns the changes since the requested version, or nil if some of them are not kept.
func (vew *View) delta(req FetchRequest) *Delta {
	missing := vew.Current.Number - req.Version
	if req.Version == 0 || missing > int64(len(vew.recent)) {
		return nil
	}
	dlt := &Delta{
		Since: req.Version, Version: vew.Current.Number, Offset: vew.Current.Offset,
		ReadTo: vew.ReadTo, CoveredAt: vew.CoveredAt,
	}
	for _, acc := range vew.recent[len(vew.recent)-int(missing):] {
		dlt.Changes = append(dlt.Changes, acc.changes...)
	}
	for _, out := range vew.Outcomes {
		if out.Offset >= req.ReadTo {
			dlt.Outcomes = append(dlt.Outcomes, out)
		}
	}
	return dlt
}

// AdoptReply adopts the snapshot or delta of a peer's reply and reports whether the version changed.
func (sta *State) AdoptReply(rep *FetchReply) (bool, error) {
	switch {
	case rep.Snapshot != nil:
		return sta.Adopt(rep.Snapshot)
	case rep.Delta != nil:
		return sta.adoptDelta(rep.Delta)
	default:
		return false, nil
	}
}

func (sta *State) adoptDelta(dlt *Delta) (bool, error) {
	if dlt.Since != sta.Current.Number || !sta.isNewer(dlt.Version, dlt.ReadTo) {
		return false, nil
	}
	next, lst, err := sta.Index().Apply(dlt.Changes)
	if err != nil {
		return false, trace.Wrap(err)
	}
	if len(lst) > 0 {
		return false, trace.Wrap(lst.Err(), "changes up to version %d", dlt.Version)
	}
	before := sta.Current.Number
	var more []Outcome
	for _, out := range dlt.Outcomes {
		if _, ok := sta.Outcome(out.PublishID); !ok {
			more = append(more, out)
		}
	}
	if dlt.Version > before {
		sta.recent = nil
	}
	sta.index = next
	err = sta.replace(Version{Number: dlt.Version, Offset: dlt.Offset, Configuration: next.Configuration}, dlt.ReadTo, dlt.CoveredAt, joinOutcomes(sta.Outcomes, more))
	return sta.Current.Number != before, err
}
