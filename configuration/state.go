package configuration

import (
	"slices"
	"time"

	"github.com/gravitational/trace"

	"papayacroft/finding"
	"papayacroft/inventory"
	"papayacroft/provider"
)

const (
	// keptOutcomes is the number of publish outcomes that a daemon remembers.
	keptOutcomes = 256
	// keptFindings bounds the findings of one outcome, which every snapshot repeats.
	keptFindings = 20
	// firstOffset is the offset of a stream's first record; a log that begins later has let records expire.
	firstOffset = 1
)

// Version is a configuration in force.
type Version struct {
	Number        int64
	Offset        int64
	Configuration *inventory.Configuration
}

// Verdict is what became of a publish.
type Verdict string

// The verdicts on a publish.
const (
	VerdictAccepted   Verdict = "accepted"
	VerdictSuperseded Verdict = "superseded"
	VerdictInvalid    Verdict = "invalid"
)

// Outcome is the verdict on one publish.
type Outcome struct {
	PublishID string       `json:"publishId"`
	Author    string       `json:"author,omitempty"`
	Offset    int64        `json:"offset"`
	At        time.Time    `json:"at"`
	Verdict   Verdict      `json:"verdict"`
	Version   int64        `json:"version,omitempty"`
	Changes   int          `json:"changes,omitempty"`
	Findings  finding.List `json:"findings,omitempty"`
}

// State follows the configuration stream.
// Current and Outcomes depend only on the records before Judged, so all daemons agree on them.
type State struct {
	Current Version
	// Outcomes is replaced, never modified in place.
	Outcomes []Outcome
	// Judged is the offset before which every record is reflected in Current and Outcomes.
	Judged int64
	// Next is the offset to read from next; it is greater than Judged only while the state is behind.
	Next int64

	// missingTo is the end of the records that expired before this state read them.
	missingTo int64
	// pending holds the records read while the state is behind.
	pending []pendingRecord
	cover   cover
	recent  []acceptedChanges
	// index is that of Current.Configuration, or an older one that Index replaces.
	index *inventory.Index
}

// pendingRecord is a record that waits for a snapshot; the body of one that isn't a publish is dropped.
type pendingRecord struct {
	provider.Record
	publish bool
}

// NewState returns a state without a configuration; a publish based on version 0 creates the first.
func NewState() *State {
	return &State{Current: Version{Configuration: &inventory.Configuration{}}}
}

// Index returns the look-up tables of the current configuration.
func (sta *State) Index() *inventory.Index {
	if sta.index == nil || sta.index.Configuration != sta.Current.Configuration {
		sta.index = inventory.NewIndex(sta.Current.Configuration)
	}
	return sta.index
}

// InForce reports whether any configuration is in force.
func (sta *State) InForce() bool {
	return sta.Current.Number > 0
}

// Behind reports whether records expired that this state has neither read nor received in a snapshot.
// It judges no record until a snapshot covers them.
func (sta *State) Behind() bool {
	return sta.Judged < sta.missingTo
}

// ApplyBatch judges the records that a read from an offset returned and reports whether the version changed.
// Records that can't be read are passed over alike by all daemons; their errors are returned.
func (sta *State) ApplyBatch(asked int64, bat provider.Batch) (bool, []error) {
	if asked > sta.Next {
		return false, nil
	}
	sta.noteFirst(bat.First)
	before := sta.Current.Number
	var errs []error
	for _, rec := range bat.Records {
		if _, err := sta.Apply(rec); err != nil {
			errs = append(errs, err)
		}
	}
	sta.advance(bat.Next)
	return sta.Current.Number != before, errs
}

// noteFirst takes in the oldest retained offset.
func (sta *State) noteFirst(first int64) {
	if first <= sta.Next {
		return
	}
	if sta.Next > 0 || first > firstOffset {
		sta.missingTo = first
	}
	sta.advance(first)
}

// advance moves the reading position past records without effect.
func (sta *State) advance(next int64) {
	sta.Next = max(sta.Next, next)
	if !sta.Behind() {
		sta.Judged = sta.Next
	}
}

// Apply judges one record and reports whether the version changed.
// Every daemon that applies the same records in offset order reaches the same version.
func (sta *State) Apply(rec provider.Record) (bool, error) {
	if rec.Offset < sta.Next {
		return false, nil
	}
	before := sta.Current.Number
	err := sta.applyNext(rec)
	sta.advance(rec.Offset + 1)
	return sta.Current.Number != before, trace.Wrap(err, "record at offset %d", rec.Offset)
}

func (sta *State) applyNext(rec provider.Record) error {
	parsed, err := ParseRecord(rec.Body)
	publish := err == nil && parsed.Publish != nil
	if sta.Behind() {
		waiting := pendingRecord{rec, publish}
		if !publish {
			waiting.Body = nil
		}
		sta.pending = append(sta.pending, waiting)
	} else {
		sta.cover.record(rec, publish)
	}
	switch {
	case err != nil:
		return trace.Wrap(err)
	case parsed.Snapshot != nil:
		return sta.applySnapshot(rec, parsed.Snapshot)
	case sta.Behind():
		return nil
	default:
		return sta.applyPublish(rec, parsed.Publish)
	}
}

func (sta *State) applySnapshot(rec provider.Record, snp *Snapshot) error {
	if snp.ReadTo > rec.Offset || snp.Version < 0 {
		return trace.BadParameter("snapshot of version %d, read to offset %d, can't be right", snp.Version, snp.ReadTo)
	}
	if sta.Behind() {
		snp.CoveredAt = rec.At
		if _, err := sta.Adopt(snp); err != nil {
			return trace.Wrap(err)
		}
	}
	sta.cover.snapshot(snp.ReadTo, rec.At, len(rec.Body))
	return nil
}

// Adopt takes over a snapshot of a newer version, or one that covers records that this state has missed,
// and judges again the records that waited for it.
func (sta *State) Adopt(snp *Snapshot) (bool, error) {
	if !sta.wants(snp.Version, snp.ReadTo) {
		return false, nil
	}
	cfg, err := decompress(snp.Content)
	if err != nil {
		return false, trace.Wrap(err)
	}
	if lst := cfg.Validate(); len(lst) > 0 {
		return false, trace.Wrap(lst.Err(), "snapshot of version %d", snp.Version)
	}
	before := sta.Current.Number
	sta.recent = nil
	err = sta.replace(Version{Number: snp.Version, Offset: snp.Offset, Configuration: cfg}, snp.ReadTo, snp.CoveredAt, snp.Outcomes)
	return sta.Current.Number != before, err
}

// wants reports whether a version with the records before an offset is newer than what this state has.
func (sta *State) wants(version, readTo int64) bool {
	if version != sta.Current.Number {
		return version > sta.Current.Number
	}
	return sta.Behind() && readTo > sta.Judged
}

func (sta *State) replace(ver Version, readTo int64, coveredAt time.Time, outcomes []Outcome) error {
	sta.Current, sta.Outcomes = ver, outcomes
	sta.Judged = readTo
	sta.cover = cover{readTo: readTo, at: coveredAt}
	if sta.Behind() {
		return nil
	}
	pending, next := sta.pending, sta.Next
	sta.pending, sta.missingTo, sta.Next = nil, 0, readTo
	if len(pending) == 0 {
		return nil
	}
	var first error
	for _, rec := range pending {
		if !rec.publish {
			if rec.Offset >= sta.Next {
				sta.cover.record(rec.Record, false)
				sta.advance(rec.Offset + 1)
			}
			continue
		}
		if _, err := sta.Apply(rec.Record); err != nil && first == nil {
			first = err
		}
	}
	sta.advance(next)
	return first
}

func (sta *State) applyPublish(rec provider.Record, pub *Publish) error {
	if _, ok := sta.Outcome(pub.PublishID); ok {
		return nil
	}
	out := Outcome{PublishID: pub.PublishID, Author: pub.Author, Offset: rec.Offset, At: rec.At, Changes: len(pub.Changes)}
	if pub.BasedOn < sta.Current.Number {
		out.Verdict = VerdictSuperseded
		sta.remember(out)
		return nil
	}
	next, lst := sta.judge(pub)
	if len(lst) > 0 {
		out.Verdict, out.Findings = VerdictInvalid, lst[:min(len(lst), keptFindings)]
		sta.remember(out)
		return trace.Wrap(lst.Err(), "publish %s is invalid", pub.PublishID)
	}
	sta.Current = Version{Number: sta.Current.Number + 1, Offset: rec.Offset, Configuration: next.Configuration}
	sta.index = next
	out.Verdict, out.Version = VerdictAccepted, sta.Current.Number
	sta.remember(out)
	sta.keepChanges(pub.Changes, len(rec.Body))
	return nil
}

// judge applies changes and validates the result.
// A state that has missed nothing knows that a greater base version does not exist.
func (sta *State) judge(pub *Publish) (*inventory.Index, finding.List) {
	var lst finding.List
	if pub.BasedOn > sta.Current.Number {
		lst.Add("basedOn", "version %d does not exist; the newest is %d", pub.BasedOn, sta.Current.Number)
		return nil, lst
	}
	next, lst, err := sta.Index().Apply(pub.Changes)
	if err != nil {
		return nil, finding.List{{Message: err.Error()}}
	}
	return next, lst
}

func (sta *State) remember(out Outcome) {
	sta.Outcomes = joinOutcomes(sta.Outcomes, []Outcome{out})
}

func joinOutcomes(old, more []Outcome) []Outcome {
	all := slices.Concat(old, more)
	return all[max(0, len(all)-keptOutcomes):]
}

// Outcome returns what became of a publish.
func (sta *State) Outcome(publishID string) (Outcome, bool) {
	pos := slices.IndexFunc(sta.Outcomes, func(out Outcome) bool { return out.PublishID == publishID })
	if pos < 0 {
		return Outcome{}, false
	}
	return sta.Outcomes[pos], true
}
