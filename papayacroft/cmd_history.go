package main

import (
	"io"
	"time"

	"github.com/spf13/cobra"

	"papayacroft/configuration"
)

func newCmdHistory(opt *options) *cobra.Command {
	return &cobra.Command{
		Use:   "history",
		Short: "Show the last publishes and what became of each",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			sta, err := adminClient{opt.daemons[0]}.status(cmd.Context())
			if err != nil {
				return err
			}
			return opt.print(cmd.OutOrStdout(), sta.Outcomes, func(wri io.Writer) {
				for _, out := range sta.Outcomes {
					printOutcome(wri, out)
				}
			})
		},
	}
}

func printOutcome(wri io.Writer, out configuration.Outcome) {
	printf(wri, "%s offset %d %s by %s, %d changes", out.At.Format(time.RFC3339), out.Offset, out.Verdict, out.Author, out.Changes)
	if out.Version > 0 {
		printf(wri, ", version %d", out.Version)
	}
	printf(wri, ", publish %s\n", out.PublishID)
	for _, fnd := range out.Findings {
		printf(wri, "  %s\n", fnd)
	}
}
