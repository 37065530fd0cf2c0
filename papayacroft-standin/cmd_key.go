package main

import (
	"fmt"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"github.com/spf13/cobra"
)

func newCmdKey() *cobra.Command {
	return &cobra.Command{
		Use: "key", Short: "Print a new idempotency key", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			key, err := uuid.NewV7()
			if err != nil {
				return trace.Wrap(err)
			}
			_, err = fmt.Fprintln(cmd.OutOrStdout(), key)
			return trace.Wrap(err)
		},
	}
}
