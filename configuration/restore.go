package configuration

import (
	"time"

	"github.com/gravitational/trace"

	"papayacroft/inventory"
)

// ReportedVersion is the version that one daemon reports to have in force.
type ReportedVersion struct {
	Version  int64
	Offset   int64
	Outcomes []Outcome
}

// Restore composes a snapshot of a configuration for the case that every daemon is behind, because records expired
// before any daemon read them. The log's next offset is end. Each record creates at most one version, so the
// number of records after a daemon's version bounds the number of versions that the lost records can have created.
// The snapshot's version exceeds this bound for every daemon. Daemons that are not behind ignore it like any other
// snapshot record.
func Restore(now time.Time, publishID, author string, reported []ReportedVersion, end int64, cfg *inventory.Configuration) (*Snapshot, error) {
	if len(reported) == 0 {
		return nil, trace.BadParameter("no daemon reports the version that it has in force")
	}
	if lst := cfg.Validate(); len(lst) > 0 {
		return nil, trace.Wrap(lst.Err())
	}
	content, err := compress(cfg)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	newest, version := reported[0], int64(0)
	for _, one := range reported {
		if one.Offset >= end {
			return nil, trace.CompareFailed("version %d was created by the record at offset %d, but the log's next offset is only %d", one.Version, one.Offset, end)
		}
		version = max(version, one.Version+end-one.Offset)
		if one.Version > newest.Version {
			newest = one
		}
	}
	out := Outcome{PublishID: publishID, Author: author, Offset: end, At: now, Verdict: VerdictAccepted, Version: version}
	return &Snapshot{
		Version: version, Offset: end, ReadTo: end, Content: content, Outcomes: joinOutcomes(newest.Outcomes, []Outcome{out}),
	}, nil
}
