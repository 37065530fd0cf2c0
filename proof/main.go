// Command proof checks that test scripts detect the loss of the mechanism that they guard. It removes one mechanism
// after another from a scratch copy of the sources and runs the scripts of each, which must fail.
package main

import (
	"cmp"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"
	"go.yaml.in/yaml/v3"
)

// change removes one mechanism from the sources.
type change struct {
	Name string `yaml:"name"`
	// Edits are applied together. Each old text must occur exactly once in its file, so that an edit that no longer
	// matches the sources is an error.
	Edits []edit `yaml:"edits"`
	// Scripts are the test scripts or cases that must fail without the mechanism.
	Scripts []string `yaml:"scripts"`
	// Package and Test are where they are; the default is TestScenarios of gateway.
	Package string `yaml:"package"`
	Test    string `yaml:"test"`
}

type edit struct {
	File string `yaml:"file"`
	Old  string `yaml:"old"`
	New  string `yaml:"new"`
}

func main() {
	var file, only string
	cmd := &cobra.Command{
		Use: "proof", Short: "Check that test scripts fail without the mechanism that they guard", Args: cobra.NoArgs, SilenceUsage: true, SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error { return run(file, only) },
	}
	cmd.Flags().StringVar(&file, "changes", "proof/changes.yaml", "`file` with the changes")
	cmd.Flags().StringVar(&only, "only", "", "`name` of the one change to try; all if empty")
	if err := cmd.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "proof:", err)
		os.Exit(1)
	}
}

func run(file, only string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	var changes []change
	if err := yaml.Unmarshal(data, &changes); err != nil {
		return trace.BadParameter("%s: %v", file, err)
	}
	dir, err := os.MkdirTemp("", "papayacroft-proof")
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if err := copySources(dir); err != nil {
		return trace.Wrap(err)
	}
	var unproved []string
	for _, chg := range changes {
		chg.Package, chg.Test = cmp.Or(chg.Package, "gateway"), cmp.Or(chg.Test, "TestScenarios")
		if only != "" && chg.Name != only {
			continue
		}
		passed, err := chg.try(dir)
		if err != nil {
			return trace.Wrap(err, "change %s", chg.Name)
		}
		if len(passed) > 0 {
			unproved = append(unproved, chg.Name)
			fmt.Printf("%s: NOT PROVED, passed without the mechanism: %s\n", chg.Name, strings.Join(passed, ", "))
			continue
		}
		fmt.Printf("%s: failed without the mechanism: %s\n", chg.Name, strings.Join(chg.Scripts, ", "))
	}
	if len(unproved) > 0 {
		return trace.CompareFailed("scripts passed without the mechanism that they guard, for changes: %s", strings.Join(unproved, ", "))
	}
	return nil
}

// copySources copies the files that git tracks, except the journal, to a directory.
func copySources(dir string) error {
	list, err := exec.Command("git", "ls-files").Output()
	if err != nil {
		return trace.Wrap(err, "git ls-files")
	}
	for _, name := range strings.Fields(string(list)) {
		if strings.HasPrefix(name, "journal/") {
			continue
		}
		data, err := os.ReadFile(name)
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		if err := write(filepath.Join(dir, name), data); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func write(name string, data []byte) error {
	if err := os.MkdirAll(filepath.Dir(name), 0o700); err != nil {
		return trace.ConvertSystemError(err)
	}
	return trace.ConvertSystemError(os.WriteFile(name, data, 0o600))
}

// try applies the change to the copy in dir, runs its scripts, reverts the change and returns the scripts that passed.
// It fails if an edit doesn't match or a script did not run.
func (chg *change) try(dir string) (passed []string, err error) {
	for _, edt := range chg.Edits {
		name := filepath.Join(dir, edt.File)
		before, err := os.ReadFile(name)
		if err != nil {
			return nil, trace.ConvertSystemError(err)
		}
		if count := strings.Count(string(before), edt.Old); count != 1 {
			return nil, trace.BadParameter("%s contains the old text %d times, expected once: %s", edt.File, count, edt.Old)
		}
		if err := write(name, []byte(strings.Replace(string(before), edt.Old, edt.New, 1))); err != nil {
			return nil, trace.Wrap(err)
		}
		defer func() {
			if undone := write(name, before); err == nil {
				err = undone
			}
		}()
	}
	pattern := "^" + chg.Test + "$/^(" + strings.Join(chg.Scripts, "|") + ")$"
	test := exec.Command("go", "test", "-count=1", "-v", "-run", pattern, "./"+chg.Package) //nolint:gosec // the names are the project's own
	test.Dir = dir
	// The error is ignored, because the scripts are expected to fail. If the build fails, no script is reported, which
	// the check below finds.
	out, _ := test.CombinedOutput()
	var ran []string
	for _, found := range verdict.FindAllSubmatch(out, -1) {
		ran = append(ran, string(found[2]))
		if string(found[1]) == "PASS" {
			passed = append(passed, string(found[2]))
		}
	}
	for _, script := range chg.Scripts {
		if !slices.Contains(ran, script) {
			return nil, trace.BadParameter("script %s did not run: %s", script, out)
		}
	}
	return passed, nil
}

// verdict matches the line in which go test reports the result of one script.
var verdict = regexp.MustCompile(`--- (PASS|FAIL): Test\w+/(\S+)`)
