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
	// keptOutcomes is the number of the most recent publish outcomes that a daemon keeps.
	keptOutcomes = 256
	// keptFindings limits the findings kept in one outcome, because every snapshot contains all outcomes.
	keptFindings = 20
	// firstOffset is the offset of a stream's first record; if the oldest record has a greater offset, records expired.
	firstOffset = 1
)

// Version is a numbered configuration with the offset of the record that created it.
type Version struct {
	Number        int64
	Offset        int64
	Configuration *inventory.Configuration
}

// Verdict is the result of evaluating a publish.
type Verdict string

// The verdicts on a publish. A superseded publish is based on a version older than the current one.
const (
	VerdictAccepted   Verdict = "accepted"
	VerdictSuperseded Verdict = "superseded"
	VerdictInvalid    Verdict = "invalid"
)

// Outcome holds the verdict on one publish and, if it is accepted, the version that it created.
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

// State is the result of applying the records of the configuration stream.
// Current and Outcomes depend only on the records before AppliedTo, so daemons with equal AppliedTo agree on them.
type State struct {
	Current Version
	// Outcomes is replaced and never modified in place, as views share it.
	Outcomes []Outcome
	// AppliedTo is the offset before which every record is reflected in Current and Outcomes.
	AppliedTo int64
	// Next is the offset to read from next; it is greater than AppliedTo only while the state is behind.
	Next int64

	// expiredBefore is the offset before which records expired unread; it is set only if such a gap was found.
	expiredBefore int64
	// pending holds the records read while the state is behind; they are applied once a snapshot closes the gap.
	pending  []pendingRecord
	coverage coverage
	recent   []acceptedChanges
	// index belongs to Current.Configuration or to an older configuration; in the latter case Index rebuilds it.
	index *inventory.Index
}

// pendingRecord is a record read while the state is behind. Only publishes keep their bodies.
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

// InForce reports whether a configuration is in force.
func (sta *State) InForce() bool {
	return sta.Current.Number > 0
}

// Behind reports whether records expired that this state has neither read nor received in a snapshot.
// While it is behind, the state queues publishes and evaluates them only after it has adopted a snapshot or delta
// that reflects the expired records.
func (sta *State) Behind() bool {
	return sta.AppliedTo < sta.expiredBefore
}

// ApplyBatch applies the records that a read from the offset asked returned, and reports whether the version changed.
// It ignores a batch that would leave a gap after Next. All daemons skip the same invalid records; their errors are
// returned.
func (sta *State) ApplyBatch(asked int64, bat provider.Batch) (bool, []error) {
	if asked > sta.Next {
		return false, nil
	}
	sta.detectExpiry(bat.First)
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

// detectExpiry compares the oldest offset on the log with Next and marks the state as behind if unread records expired.
func (sta *State) detectExpiry(first int64) {
	if first <= sta.Next {
		return
	}
	if sta.Next > 0 || first > firstOffset {
		sta.expiredBefore = first
	}
	sta.advance(first)
}

// advance moves Next forward, and AppliedTo with it unless the state is behind.
func (sta *State) advance(next int64) {
	sta.Next = max(sta.Next, next)
	if !sta.Behind() {
		sta.AppliedTo = sta.Next
	}
}

// Apply applies one record and reports whether the version changed.
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
		sta.coverage.addRecord(rec, publish)
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
		return trace.BadParameter("snapshot with version %d that reflects the records before offset %d is invalid", snp.Version, snp.ReadTo)
	}
	if sta.Behind() {
		snp.CoveredAt = rec.At
		if _, err := sta.Adopt(snp); err != nil {
			return trace.Wrap(err)
		}
	}
	sta.coverage.addSnapshot(snp.ReadTo, rec.At, len(rec.Body))
	return nil
}

// Adopt replaces the state by a snapshot that has a newer version or that reflects records which expired unread.
// If the state is then no longer behind, it applies the pending records. Any other snapshot is ignored.
// It reports whether the version changed.
func (sta *State) Adopt(snp *Snapshot) (bool, error) {
	if !sta.isNewer(snp.Version, snp.ReadTo) {
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

// isNewer reports whether a version that reflects the records before readTo should replace this state: its number
// is greater, or it is equal, this state is behind and the version reflects more records.
func (sta *State) isNewer(version, readTo int64) bool {
	if version != sta.Current.Number {
		return version > sta.Current.Number
	}
	return sta.Behind() && readTo > sta.AppliedTo
}

func (sta *State) replace(ver Version, readTo int64, coveredAt time.Time, outcomes []Outcome) error {
	sta.Current, sta.Outcomes = ver, outcomes
	sta.AppliedTo = readTo
	sta.coverage = coverage{readTo: readTo, at: coveredAt}
	if sta.Behind() {
		return nil
	}
	pending, next := sta.pending, sta.Next
	sta.pending, sta.expiredBefore, sta.Next = nil, 0, readTo
	if len(pending) == 0 {
		return nil
	}
	var first error
	for _, rec := range pending {
		if !rec.publish {
			if rec.Offset >= sta.Next {
				sta.coverage.addRecord(rec.Record, false)
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
		sta.addOutcome(out)
		return nil
	}
	next, lst := sta.evaluate(pub)
	if len(lst) > 0 {
		out.Verdict, out.Findings = VerdictInvalid, lst[:min(len(lst), keptFindings)]
		sta.addOutcome(out)
		return trace.Wrap(lst.Err(), "publish %s is invalid", pub.PublishID)
	}
	sta.Current = Version{Number: sta.Current.Number + 1, Offset: rec.Offset, Configuration: next.Configuration}
	sta.index = next
	out.Verdict, out.Version = VerdictAccepted, sta.Current.Number
	sta.addOutcome(out)
	sta.keepChanges(pub.Changes, len(rec.Body))
	return nil
}

// evaluate applies the changes of a publish and validates the result. It is called only while the state is not
// behind, when it knows every version so far, so a base version greater than the current one does not exist.
func (sta *State) evaluate(pub *Publish) (*inventory.Index, finding.List) {
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

func (sta *State) addOutcome(out Outcome) {
	sta.Outcomes = joinOutcomes(sta.Outcomes, []Outcome{out})
}

func joinOutcomes(old, more []Outcome) []Outcome {
	all := slices.Concat(old, more)
	return all[max(0, len(all)-keptOutcomes):]
}

// Outcome returns the outcome of a publish if it is among those kept.
func (sta *State) Outcome(publishID string) (Outcome, bool) {
	pos := slices.IndexFunc(sta.Outcomes, func(out Outcome) bool { return out.PublishID == publishID })
	if pos < 0 {
		return Outcome{}, false
	}
	return sta.Outcomes[pos], true
}
