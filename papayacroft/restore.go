package main

import (
	"context"
	"io"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"papayacroft/configuration"
	"papayacroft/inventory"
	"papayacroft/provider"
)

// restore appends a snapshot of the configuration if records expired before any daemon read them.
// It refuses if a daemon does not answer or is not behind, since that one may have read the expired records.
func (pub *publisher) restore(ctx context.Context, wri io.Writer, cfg *inventory.Configuration) error {
	var reported []configuration.ReportedVersion
	for _, row := range pub.options.survey(ctx) {
		if row.Status == nil {
			return trace.ConnectionProblem(nil, "nothing was published, because %s does not answer and may hold the records that expired: %s", row.label(), row.Error)
		}
		if !row.Status.AwaitsSnapshot {
			return trace.CompareFailed("nothing was published, because %s is not behind; the other daemons fetch its version %d", row.label(), row.Status.Version)
		}
		reported = append(reported, configuration.ReportedVersion{Version: row.Status.Version, Offset: row.Status.Offset, Outcomes: row.Status.Outcomes})
	}
	end, err := logEnd(ctx, provider.NewHTTPLog(pub.options.logURL))
	if err != nil {
		return trace.Wrap(err, "nothing was published, because the log can't be read")
	}
	rep := &publishReport{PublishID: uuid.NewString()}
	snp, err := configuration.Restore(time.Now(), rep.PublishID, author(), reported, end, cfg)
	if err != nil {
		return trace.Wrap(err)
	}
	started := time.Now()
	result := pub.append(ctx, &configuration.Record{Snapshot: snp}, end)
	if result.notSent {
		return trace.Wrap(result.err, "nothing was published, because the log did not accept it")
	}
	pub.wait(ctx, rep, inForceTimeout)
	rep.Seconds = time.Since(started).Seconds()
	return pub.report(wri, rep, result.err)
}

// logEnd returns the offset after the last record of the configuration stream.
func logEnd(ctx context.Context, log *provider.HTTPLog) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	var from int64
	for {
		bat, err := log.Read(ctx, configuration.Stream, from, 0)
		if err != nil {
			return 0, trace.Wrap(err)
		}
		if len(bat.Records) == 0 {
			return bat.Next, nil
		}
		from = bat.Next
	}
}
