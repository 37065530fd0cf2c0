package main

import (
	"io"
	"net/http"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"papayacroft/daemon"
	"papayacroft/routing"
)

func newCmdExplain(opt *options) *cobra.Command {
	var req daemon.ExplainRequest
	cmd := &cobra.Command{
		Use:   "explain",
		Short: "Show which decision a request would get now, and why",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if (req.Model == "") == (req.Pool == "") {
				return trace.BadParameter("either --model or --pool is required")
			}
			var dec routing.Decision
			if err := (adminClient{opt.daemons[0]}).exchange(cmd.Context(), http.MethodPost, "/admin/explain", req, &dec); err != nil {
				return err
			}
			return opt.print(cmd.OutOrStdout(), dec, func(wri io.Writer) { printDecision(wri, dec) })
		},
	}
	cmd.Flags().StringVar(&req.Team, "team", "", "calling team as `organisation/team`")
	cmd.Flags().StringVar(&req.Model, "model", "", "model of a generation")
	cmd.Flags().StringVar(&req.Pool, "pool", "", "pool of a service call")
	cmd.Flags().StringVar(&req.Class, "class", "", "class of the request")
	return cmd
}

func printDecision(wri io.Writer, dec routing.Decision) {
	if dec.Endpoint != nil {
		printf(wri, "endpoint %s at %s: %s\n", dec.Endpoint.Name, dec.Endpoint.Address, dec.Reason)
	} else {
		printf(wri, "refused with %s: %s\n", dec.Code, dec.Reason)
	}
	for _, rej := range dec.Rejections {
		printf(wri, "  not %s: %s\n", rej.Endpoint, rej.Reason)
	}
}
