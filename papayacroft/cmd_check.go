package main

import (
	"io"
	"os"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"papayacroft/finding"
	"papayacroft/inventory"
	"papayacroft/settings"
)

// files holds the paths of the operators' files that a command reads.
type files struct {
	inventory string
	rules     string
	settings  []string
}

func (fls *files) addFlags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&fls.inventory, "inventory", "inventory.yaml", "inventory `file`")
	cmd.Flags().StringVar(&fls.rules, "rules", "rules.yaml", "rules `file`")
}

// load reads and validates the inventory and rules.
func (fls *files) load() (*inventory.Configuration, finding.List, error) {
	inv, err := os.ReadFile(fls.inventory)
	if err != nil {
		return nil, nil, trace.ConvertSystemError(err)
	}
	rul, err := os.ReadFile(fls.rules)
	if err != nil {
		return nil, nil, trace.ConvertSystemError(err)
	}
	cfg, lst := inventory.Parse(inventory.Source{File: fls.inventory, Data: inv}, inventory.Source{File: fls.rules, Data: rul})
	return cfg, lst, nil
}

type checkReport struct {
	Findings finding.List `json:"findings"`
}

func newCmdCheck(opt *options) *cobra.Command {
	fls, plf := &files{}, &platformFiles{}
	cmd := &cobra.Command{
		Use:   "check",
		Short: "Check an inventory, rules and settings files, or a platform's configuration, and print every finding",
		Long: "Check an inventory, rules and settings files together. Each finding is printed as file:line:column with the field's path. The exit code is 2 if there are findings.\n\n" +
			"With --platform, check a configuration in the platform's form before it is sent, and with --in-force list what it changes. The exit code is then 1 if there are findings, and 2 if a file cannot be read.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if plf.used() {
				return opt.checkPlatform(cmd, plf)
			}
			_, lst, err := fls.load()
			if err != nil {
				return err
			}
			for _, file := range fls.settings {
				_, more, err := settings.Load(file)
				if err != nil {
					return err
				}
				lst = append(lst, more...)
			}
			return opt.reportFindings(cmd.OutOrStdout(), lst)
		},
	}
	fls.addFlags(cmd)
	plf.addFlags(cmd)
	cmd.Flags().StringSliceVar(&fls.settings, "settings", nil, "daemon settings `files` to check as well")
	return cmd
}

// reportFindings prints findings and returns an error if there are any.
func (opt *options) reportFindings(wri io.Writer, lst finding.List) error {
	err := opt.print(wri, checkReport{Findings: lst}, func(wri io.Writer) {
		for _, fnd := range lst {
			printf(wri, "%s\n", fnd)
		}
		if len(lst) == 0 {
			printf(wri, "no findings\n")
		}
	})
	if err != nil {
		return trace.Wrap(err)
	}
	if len(lst) > 0 {
		return &exitError{code: exitFindings, err: trace.BadParameter("%d findings", len(lst))}
	}
	return nil
}
