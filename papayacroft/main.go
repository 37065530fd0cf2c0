// Command papayacroft is the operators' client.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"
)

// version is set by the linker.
var version = "unknown"

// Exit codes of the client.
const (
	exitFailure        = 1
	exitFindings       = 2
	exitIncomplete     = 3
	exitOutcomeUnknown = 4
)

// exitError is an error for which the client exits with the given code.
type exitError struct {
	code int
	err  error
}

// Error returns the message for the operator.
func (ext *exitError) Error() string {
	return ext.err.Error()
}

// Unwrap returns the cause.
func (ext *exitError) Unwrap() error {
	return ext.err
}

func main() {
	err := newCommand().Execute()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "papayacroft:", trace.UserMessage(err))
	var ext *exitError
	if errors.As(err, &ext) {
		os.Exit(ext.code)
	}
	os.Exit(exitFailure)
}

// options are the flags that several commands share.
type options struct {
	daemons []string
	logURL  string
	output  string
}

func newCommand() *cobra.Command {
	opt := &options{}
	cmd := &cobra.Command{
		Use:           "papayacroft",
		Short:         "Operators' client of the papayacroft serving system",
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if opt.output != "text" && opt.output != "json" {
				return trace.BadParameter("output %q is not allowed; text or json is expected", opt.output)
			}
			return nil
		},
	}
	flags := cmd.PersistentFlags()
	flags.StringSliceVar(&opt.daemons, "daemons", []string{"127.0.0.1:9301"}, "admin addresses of entry daemons, each `IP:port`")
	flags.StringVar(&opt.logURL, "log", "http://127.0.0.1:9001", "base `URL` of the platform's log")
	flags.StringVar(&opt.output, "output", "text", "output `format`: text or json")
	cmd.AddCommand(newCmdCheck(opt), newCmdPublish(opt), newCmdStatus(opt), newCmdExplain(opt),
		newCmdDrain(opt), newCmdHistory(opt), newCmdTrace(opt), newCmdVersion(opt))
	return cmd
}
