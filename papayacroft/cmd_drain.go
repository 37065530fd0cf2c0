package main

import (
	"net/http"

	"github.com/spf13/cobra"
)

func newCmdDrain(opt *options) *cobra.Command {
	return &cobra.Command{
		Use:   "drain",
		Short: "Ask the daemons given by --daemons to take no new requests",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			for _, address := range opt.daemons {
				if err := (adminClient{address}).exchange(cmd.Context(), http.MethodPost, "/admin/drain", nil, nil); err != nil {
					return err
				}
				printf(cmd.OutOrStdout(), "%s is draining\n", address)
			}
			return nil
		},
	}
}
