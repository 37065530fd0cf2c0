package main

import (
	"io"
	"time"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"
)

func newCmdStatus(opt *options) *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show which version each VM has in force and since when",
		Long: `Show which version each VM has in force and since when.
One address in --daemons is enough: that daemon names all others that it knows through gossip.
Exit codes: 0 every VM answered; 3 some VMs did not answer and are named.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			rows := opt.survey(cmd.Context())
			unreachable := 0
			for _, row := range rows {
				if row.Status == nil {
					unreachable++
				}
			}
			err := opt.print(cmd.OutOrStdout(), rows, func(wri io.Writer) {
				for _, row := range rows {
					row.print(wri)
				}
			})
			if err == nil && unreachable > 0 {
				err = &exitError{exitIncomplete, trace.ConnectionProblem(nil, "%d of %d VMs do not answer", unreachable, len(rows))}
			}
			return err
		},
	}
}

func (row *statusRow) print(wri io.Writer) {
	if row.Status == nil {
		printf(wri, "%s unreachable: %s", row.label(), row.Error)
		if row.Member != nil {
			printf(wri, "; peers report %s, version %d", row.Member.State, row.Member.Version)
		}
		printf(wri, "\n")
		return
	}
	state := "ready"
	switch {
	case row.Status.Version == 0:
		state = "noConfiguration"
	case !row.Status.DrainingSince.IsZero():
		state = "draining"
	case row.Status.AwaitsSnapshot:
		state = "ready, waiting for a snapshot"
	}
	printf(wri, "%s %s %s version %d since %s %s", row.Address, row.Status.Name, row.Status.FailureDomain,
		row.Status.Version, row.Status.InForceSince.Format(time.RFC3339), state)
	if row.Status.LogError != "" {
		printf(wri, ", log not readable: %s", row.Status.LogError)
	}
	printf(wri, "\n")
}
