// Command proof checks that test scripts detect the loss of the mechanism that they guard. It removes one mechanism
// after another from scratch copies of the sources and runs the scripts of each, which must fail.
package main

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"
)

// prover tries changes.
type prover struct {
	// Root is the directory of the sources, and Files are the tracked ones, relative to it.
	Root  string
	Files []string
	// Jobs is the number of changes that are tried at a time.
	Jobs int
	// Timeout limits the tests of one change.
	Timeout time.Duration
	Out     io.Writer
}

func main() {
	prv := &prover{Root: ".", Out: os.Stdout}
	var file string
	var only []string
	cmd := &cobra.Command{
		Use: "proof", Short: "Check that test scripts fail without the mechanism that they guard", Args: cobra.NoArgs, SilenceUsage: true, SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error {
			changes, err := readChanges(file)
			if err != nil {
				return err
			}
			if changes, err = choose(changes, only); err != nil {
				return err
			}
			if prv.Files, err = trackedFiles(); err != nil {
				return err
			}
			return prv.run(changes)
		},
	}
	cmd.Flags().StringVar(&file, "changes", "proof/changes.yaml", "`file` with the changes")
	cmd.Flags().StringSliceVar(&only, "only", nil, "`names` of the changes to try, separated by commas; all if empty")
	cmd.Flags().IntVar(&prv.Jobs, "jobs", max(1, runtime.NumCPU()/2), "`number` of changes that are tried at a time")
	cmd.Flags().DurationVar(&prv.Timeout, "timeout", 5*time.Minute, "`limit` for the tests of one change")
	if err := cmd.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "proof:", err)
		os.Exit(1)
	}
}

// run tries all changes and returns an error that names those that are not proved.
func (prv *prover) run(changes []change) error {
	began := time.Now()
	queue := make(chan *change)
	var mutex sync.Mutex
	var grp sync.WaitGroup
	var unproved []string
	done := 0
	report := func(chg *change, res result) {
		mutex.Lock()
		defer mutex.Unlock()
		done++
		fmt.Fprintf(prv.Out, "%d of %d, %s: %s: %s\n", done, len(changes), time.Since(began).Round(time.Second), chg.Name, res)
		if !res.isProved() {
			unproved = append(unproved, chg.Name)
		}
	}
	for range max(1, prv.Jobs) {
		grp.Go(func() {
			dir, err := prv.copySources()
			defer func() { _ = os.RemoveAll(dir) }()
			for chg := range queue {
				if err != nil {
					report(chg, result{Problem: "sources could not be copied: " + err.Error()})
					continue
				}
				report(chg, prv.try(dir, chg))
			}
		})
	}
	for i := range changes {
		queue <- &changes[i]
	}
	close(queue)
	grp.Wait()
	if len(unproved) > 0 {
		return trace.CompareFailed("%d of %d changes are not proved: %s", len(unproved), len(changes), strings.Join(unproved, ", "))
	}
	fmt.Fprintf(prv.Out, "all %d changes are proved\n", len(changes))
	return nil
}

// trackedFiles returns the files that git tracks, without the journal.
func trackedFiles() ([]string, error) {
	list, err := exec.Command("git", "ls-files").Output()
	if err != nil {
		return nil, trace.Wrap(err, "git ls-files")
	}
	var files []string
	for _, name := range strings.Fields(string(list)) {
		if !strings.HasPrefix(name, "journal/") {
			files = append(files, name)
		}
	}
	return files, nil
}

// copySources copies the sources to a new directory, which the caller removes.
func (prv *prover) copySources() (dir string, err error) {
	dir, err = os.MkdirTemp("", "papayacroft-proof")
	if err != nil {
		return "", trace.ConvertSystemError(err)
	}
	for _, name := range prv.Files {
		data, err := os.ReadFile(filepath.Join(prv.Root, name))
		if err != nil {
			return dir, trace.ConvertSystemError(err)
		}
		if err := write(filepath.Join(dir, name), data); err != nil {
			return dir, trace.Wrap(err)
		}
	}
	return dir, nil
}

func write(name string, data []byte) error {
	if err := os.MkdirAll(filepath.Dir(name), 0o700); err != nil {
		return trace.ConvertSystemError(err)
	}
	return trace.ConvertSystemError(os.WriteFile(name, data, 0o600))
}
