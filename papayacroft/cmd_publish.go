package main

import (
	"context"
	"io"
	"os/user"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"papayacroft/configuration"
	"papayacroft/inventory"
	"papayacroft/provider"
)

const (
	// inForceTimeout is the time within which an accepted version must be in force on every VM.
	inForceTimeout = 4 * time.Second
	// unconfirmedTimeout replaces inForceTimeout if the log did not confirm the append, so that an outage of the log
	// is reported soon.
	unconfirmedTimeout = 500 * time.Millisecond
	statusInterval     = 50 * time.Millisecond
	appendTimeout      = 2 * time.Second
)

// publishReport is the result of a publish.
type publishReport struct {
	PublishID string                `json:"publishId"`
	Changes   int                   `json:"changes"`
	Outcome   configuration.Outcome `json:"outcome"`
	// InForce and Missing list the VMs that do and don't report the version as in force.
	InForce []string `json:"inForce"`
	Missing []string `json:"missing"`
	Seconds float64  `json:"seconds"`
}

func newCmdPublish(opt *options) *cobra.Command {
	fls := &files{}
	pub := &publisher{options: opt}
	var restore bool
	cmd := &cobra.Command{
		Use:   "publish",
		Short: "Publish an inventory and rules and wait until every VM has them in force",
		Long: `Publish an inventory and rules as changes to the version that is in force.
It waits for the daemons in --daemons, for those that they know through gossip and for the live VMs of the platform's list.
Exit codes: 0 in force on every VM; 1 nothing was published; 2 findings, or another publish came first;
3 accepted, but not in force on the named VMs within 4 s; 4 the outcome is unknown.
With --restore it appends a snapshot of the whole inventory, when every daemon is behind because records expired before any
daemon read them. It refuses while a listed VM doesn't answer or is not behind, since that one may hold the lost records.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, lst, err := fls.load()
			if err != nil {
				return err
			}
			if len(lst) > 0 {
				return opt.reportFindings(cmd.OutOrStdout(), lst)
			}
			if restore {
				return pub.restore(cmd.Context(), cmd.OutOrStdout(), cfg)
			}
			return pub.publish(cmd.Context(), cmd.OutOrStdout(), cfg)
		},
	}
	cmd.Flags().BoolVar(&restore, "restore", false, "append a snapshot of these files; only if every daemon answers and is behind")
	fls.addFlags(cmd)
	return cmd
}

type publisher struct {
	options *options
}

func (pub *publisher) publish(ctx context.Context, wri io.Writer, cfg *inventory.Configuration) error {
	base, err := pub.base(ctx)
	if err != nil {
		return err
	}
	changes, err := inventory.Diff(base.Configuration, cfg)
	if err != nil {
		return trace.Wrap(err)
	}
	if len(changes) == 0 {
		printf(wri, "version %d is in force already with this content\n", base.Number)
		return nil
	}
	rep := &publishReport{PublishID: uuid.NewString(), Changes: len(changes)}
	record := &configuration.Record{Publish: &configuration.Publish{
		PublishID: rep.PublishID, BasedOn: base.Number, Author: author(), Changes: changes,
	}}
	started := time.Now()
	result := pub.append(ctx, record, base.Offset)
	if result.notSent {
		return trace.Wrap(result.err, "nothing was published, because the log did not accept it")
	}
	timeout := inForceTimeout
	if result.err != nil {
		timeout = unconfirmedTimeout
	}
	pub.wait(ctx, rep, timeout)
	rep.Seconds = time.Since(started).Seconds()
	return pub.report(wri, rep, result.err)
}

// base returns the newest version that a daemon has in force.
func (pub *publisher) base(ctx context.Context) (configuration.Version, error) {
	newest := configuration.Version{Number: -1}
	var last error
	for _, address := range pub.options.daemons {
		reply, err := adminClient{address}.configuration(ctx)
		if err != nil {
			last = err
			continue
		}
		if reply.Version > newest.Number {
			newest = configuration.Version{Number: reply.Version, Offset: reply.Offset, Configuration: reply.Configuration}
		}
	}
	if newest.Number < 0 {
		return newest, trace.Wrap(last, "nothing was published, because no daemon reports the version in force")
	}
	if newest.Configuration == nil {
		newest.Configuration = &inventory.Configuration{}
	}
	return newest, nil
}

// append appends the record to the log. If the answer of the log is lost, it searches the log for the publish, and
// if the publish is not there, appends it once more with the same ID. A snapshot is not appended again.
func (pub *publisher) append(ctx context.Context, rec *configuration.Record, from int64) appendResult {
	body, err := rec.Serialize()
	if err != nil {
		return appendResult{err: err, notSent: true}
	}
	log := provider.NewHTTPLog(pub.options.logURL)
	err = appendOnce(ctx, log, body)
	if err == nil {
		return appendResult{}
	}
	if provider.NotProcessed(err) {
		return appendResult{err: err, notSent: true}
	}
	if rec.Publish == nil {
		return appendResult{err: err}
	}
	found, readErr := findPublish(ctx, log, from, rec.Publish.PublishID)
	switch {
	case readErr != nil:
		return appendResult{err: err}
	case found:
		return appendResult{}
	}
	return appendResult{err: appendOnce(ctx, log, body)}
}

// appendResult is the result of an append: without an error the record is on the log. With an error it is certainly
// not on the log if notSent is true; otherwise it may be.
type appendResult struct {
	err     error
	notSent bool
}

func appendOnce(ctx context.Context, log *provider.HTTPLog, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := log.Append(ctx, configuration.Stream, body)
	return trace.Wrap(err)
}

// findPublish reports whether a publish is on the log, searching from an offset to the end.
func findPublish(ctx context.Context, log *provider.HTTPLog, from int64, publishID string) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	for {
		bat, err := log.Read(ctx, configuration.Stream, from, 0)
		if err != nil {
			return false, trace.Wrap(err)
		}
		for _, one := range bat.Records {
			rec, err := configuration.ParseRecord(one.Body)
			if err == nil && rec.Publish != nil && rec.Publish.PublishID == publishID {
				return true, nil
			}
		}
		if len(bat.Records) == 0 {
			return false, nil
		}
		from = bat.Next
	}
}

// wait polls the daemons until the version is in force on every VM, the publish is rejected or the time-out is over.
func (pub *publisher) wait(ctx context.Context, rep *publishReport, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	confirmed := map[string]bool{}
	rows := pub.options.survey(ctx)
	for {
		rep.update(rows, confirmed)
		decided := rep.Outcome.Verdict != "" && rep.Outcome.Verdict != configuration.VerdictAccepted
		if len(rep.Missing) == 0 || decided {
			return
		}
		select {
		case <-time.After(statusInterval):
		case <-ctx.Done():
			return
		}
		rows = pub.options.refresh(ctx, rows, confirmed)
		if ctx.Err() != nil {
			// Queries that the time-out cut off look like failures of the VMs, so this round is not evaluated.
			return
		}
	}
}

// update records the outcome and which VMs have the version in force. A VM once confirmed stays confirmed.
func (rep *publishReport) update(rows []*statusRow, confirmed map[string]bool) {
	for _, row := range rows {
		if row.Status == nil {
			continue
		}
		for _, out := range row.Status.Outcomes {
			if out.PublishID == rep.PublishID {
				rep.Outcome = out
			}
		}
	}
	rep.InForce, rep.Missing = nil, nil
	for _, row := range rows {
		if rep.Outcome.Verdict == configuration.VerdictAccepted && row.Status != nil && row.Status.Version >= rep.Outcome.Version {
			confirmed[row.label()] = true
		}
		if confirmed[row.label()] {
			rep.InForce = append(rep.InForce, row.label())
		} else {
			rep.Missing = append(rep.Missing, row.label())
		}
	}
}

func (pub *publisher) report(wri io.Writer, rep *publishReport, appendErr error) error {
	if err := pub.options.print(wri, rep, func(wri io.Writer) { rep.print(wri) }); err != nil {
		return trace.Wrap(err)
	}
	switch {
	case rep.Outcome.Verdict == "" && appendErr != nil:
		return &exitError{exitOutcomeUnknown, trace.ConnectionProblem(appendErr, "the log did not confirm publish %s, so its outcome is unknown; look for it with history before publishing again", rep.PublishID)}
	case rep.Outcome.Verdict == "":
		return &exitError{exitOutcomeUnknown, trace.ConnectionProblem(nil, "publish %s is on the log, but no daemon reports its outcome", rep.PublishID)}
	case rep.Outcome.Verdict == configuration.VerdictSuperseded:
		return &exitError{exitFindings, trace.CompareFailed("another publish came first; check the version in force and publish again")}
	case rep.Outcome.Verdict == configuration.VerdictInvalid:
		return &exitError{exitFindings, trace.Wrap(rep.Outcome.Findings.Err())}
	case len(rep.Missing) > 0:
		return &exitError{exitIncomplete, trace.LimitExceeded("version %d is accepted, but not in force within %s on %s", rep.Outcome.Version, inForceTimeout, strings.Join(rep.Missing, ", "))}
	}
	return nil
}

func (rep *publishReport) print(wri io.Writer) {
	if rep.Outcome.Verdict == configuration.VerdictAccepted {
		printf(wri, "version %d accepted with %d changes; in force on %d VMs after %.2f s\n",
			rep.Outcome.Version, rep.Changes, len(rep.InForce), rep.Seconds)
	}
}

func author() string {
	usr, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return usr.Username
}
