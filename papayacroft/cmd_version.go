package main

import "github.com/spf13/cobra"

func newCmdVersion(_ *options) *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Show the client's release",
		Args:  cobra.NoArgs,
		Run:   func(cmd *cobra.Command, _ []string) { printf(cmd.OutOrStdout(), "papayacroft %s\n", version) },
	}
}
