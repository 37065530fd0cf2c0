package main

import (
	"io"
	"os"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"papayacroft/logline"
)

func newCmdTrace(_ *options) *cobra.Command {
	return &cobra.Command{
		Use:   "trace REQUEST [FILE...]",
		Short: "Print the history of one request from daemons' logs",
		Long: "Reads JSON log lines of gateways from files, or from standard input, and prints those about a request,\n" +
			"its endpoints and its daemons in the order of their times.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return traceRequest(cmd.InOrStdin(), cmd.OutOrStdout(), args[0], args[1:])
		},
	}
}

func traceRequest(in io.Reader, out io.Writer, request string, files []string) error {
	all := func(*logline.Line) bool { return true }
	var lines []logline.Line
	if len(files) == 0 {
		read, err := logline.Read(in, all)
		if err != nil {
			return trace.Wrap(err, "standard input")
		}
		lines = read
	}
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		read, err := logline.Read(file, all)
		_ = file.Close()
		if err != nil {
			return trace.Wrap(err, "file %s", name)
		}
		lines = append(lines, read...)
	}
	history := logline.History(lines, request)
	if len(history) == 0 {
		return trace.NotFound("no line about request %q in %d lines", request, len(lines))
	}
	logline.Print(out, history)
	return nil
}
