// Command capacity measures how the use of resources grows with the size of a deployment. docs/CAPACITY.md
// extrapolates from its results to the target size.
package main

import (
	"fmt"
	"os"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"
)

func main() {
	if err := newCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", trace.UserMessage(err))
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	var programs string
	cmd := &cobra.Command{
		Use:           "capacity",
		Short:         "Measure how state, processor time and memory grow with the size of the deployment",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			for _, measure := range measurements(programs) {
				slopes, err := measure()
				if err != nil {
					return trace.Wrap(err)
				}
				for _, slp := range slopes {
					slp.print(cmd.OutOrStdout())
				}
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&programs, "programs", "bin", "`directory` of the built programs")
	return cmd
}

// measurements lists the measurements in the order of docs/CAPACITY.md.
func measurements(programs string) []func() ([]Slope, error) {
	return []func() ([]Slope, error){
		measureConfiguration,
		measureDecision,
		measurePosition,
		func() ([]Slope, error) { return measureTokens(programs) },
		func() ([]Slope, error) { return measureStreams(programs) },
		func() ([]Slope, error) { return measureIdle(programs) },
	}
}
