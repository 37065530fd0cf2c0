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

// restore appends a snapshot of a configuration when no daemon holds the records that expired.
func (pub *publisher) restore(ctx context.Context, wri io.Writer, cfg *inventory.Configuration) error {
	var held []configuration.Held
	for _, row := range pub.options.survey(ctx) {
		if row.Status == nil {
			return trace.ConnectionProblem(nil, "nothing was published, because %s does not answer and may hold the records that expired: %s", row.label(), row.Error)
		}
		if !row.Status.Behind {
			return trace.CompareFailed("nothing was published, because %s is not behind; the others get its version %d", row.label(), row.Status.Version)
		}
		held = append(held, configuration.Held{Version: row.Status.Version, Offset: row.Status.Offset, Outcomes: row.Status.Outcomes})
	}
	end, err := logEnd(ctx, provider.NewHTTPLog(pub.options.logURL))
	if err != nil {
		return trace.Wrap(err, "nothing was published, because the log can't be read")
	}
	rep := &publishReport{PublishID: uuid.NewString()}
	snp, err := configuration.Restore(time.Now(), rep.PublishID, author(), held, end, cfg)
	if err != nil {
		return trace.Wrap(err)
	}
	started := time.Now()
	result := pub.append(ctx, &configuration.Record{Snapshot: snp}, end)
	if result.notSent {
		return trace.Wrap(result.err, "nothing was published, because the log did not take it")
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
