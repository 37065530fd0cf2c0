package main

import (
	"io"
	"os"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"papayacroft/catalog"
	"papayacroft/finding"
	"papayacroft/platform"
)

// Exit codes of check --platform. They differ from those of the other commands so that the command can be used like diff.
const (
	exitPlatformFindings = 1
	exitPlatformUnread   = 2
)

// standardInput is the file name that stands for standard input.
const standardInput = "-"

// platformFiles holds the flags of a check of a configuration in the platform's form.
type platformFiles struct {
	file, inForce string
	endpoints     map[string]int
	json          bool
}

func (plf *platformFiles) addFlags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&plf.file, "platform", "", "configuration `file` in the platform's form to check instead; - is standard input")
	cmd.Flags().StringVar(&plf.inForce, "in-force", "", "with --platform: `file` with the configuration in force, to list the differences")
	cmd.Flags().StringToIntVar(&plf.endpoints, "endpoints", nil, "with --platform: known endpoints by service, each `SERVICE=COUNT`")
	cmd.Flags().BoolVar(&plf.json, "json", false, "with --platform: the same as --output json")
}

// used reports whether one of the flags that belong to this check is set.
func (plf *platformFiles) used() bool {
	return plf.file != "" || plf.inForce != "" || plf.json || len(plf.endpoints) > 0
}

// checkPlatform prints the findings of a configuration in the platform's form.
func (opt *options) checkPlatform(cmd *cobra.Command, plf *platformFiles) error {
	lst, err := plf.check(cmd)
	if err != nil {
		return &exitError{code: exitPlatformUnread, err: err}
	}
	if plf.json {
		opt.output = "json"
	}
	err = opt.reportFindings(cmd.OutOrStdout(), lst)
	if err != nil && len(lst) > 0 {
		return &exitError{code: exitPlatformFindings, err: err}
	}
	return trace.Wrap(err)
}

func (plf *platformFiles) check(cmd *cobra.Command) (finding.List, error) {
	if plf.file == "" {
		return nil, trace.BadParameter("--in-force, --endpoints and --json need --platform")
	}
	for _, name := range []string{"inventory", "rules", "settings"} {
		if cmd.Flags().Changed(name) {
			return nil, trace.BadParameter("--platform and --%s can't be used together", name)
		}
	}
	if plf.file == standardInput && plf.inForce == standardInput {
		return nil, trace.BadParameter("only one file can be standard input")
	}
	data, err := readFile(cmd, plf.file)
	if err != nil {
		return nil, err
	}
	var inForce *catalog.Catalog
	if plf.inForce != "" {
		old, err := readFile(cmd, plf.inForce)
		if err != nil {
			return nil, err
		}
		// The parser's error may quote a part of the file, and so of a key.
		if inForce, err = platform.ParseCatalog(old); err != nil {
			return nil, trace.BadParameter("%s is not a configuration that daemons accept; check it with --platform", plf.inForce)
		}
	}
	lst := platform.Check(data, inForce, plf.endpoints)
	for i := range lst {
		lst[i].File = plf.file
	}
	// Without findings, the JSON output has an empty list instead of null.
	return append(finding.List{}, lst...), nil
}

func readFile(cmd *cobra.Command, file string) ([]byte, error) {
	if file == standardInput {
		data, err := io.ReadAll(cmd.InOrStdin())
		return data, trace.Wrap(err, "standard input")
	}
	data, err := os.ReadFile(file)
	return data, trace.ConvertSystemError(err)
}
