package main

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/gravitational/trace"
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

// The package and the test of changes that name none.
const (
	defaultPackage = "gateway"
	defaultTest    = "TestScenarios"
)

// readChanges reads a file of changes and checks it.
func readChanges(file string) ([]change, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	var changes []change
	if err := yaml.Unmarshal(data, &changes); err != nil {
		return nil, trace.BadParameter("%s: %v", file, err)
	}
	names := map[string]bool{}
	for i := range changes {
		chg := &changes[i]
		chg.Package, chg.Test = cmp.Or(chg.Package, defaultPackage), cmp.Or(chg.Test, defaultTest)
		switch {
		case chg.Name == "":
			return nil, trace.BadParameter("%s: change %d has no name", file, i+1)
		case names[chg.Name]:
			return nil, trace.BadParameter("%s: two changes have the name %s", file, chg.Name)
		case len(chg.Edits) == 0 || len(chg.Scripts) == 0:
			return nil, trace.BadParameter("%s: change %s has no edits or no scripts", file, chg.Name)
		}
		names[chg.Name] = true
	}
	if len(changes) == 0 {
		return nil, trace.BadParameter("%s has no changes", file)
	}
	return changes, nil
}

// choose returns the changes with the names, or all if there are no names.
func choose(changes []change, names []string) ([]change, error) {
	if len(names) == 0 {
		return changes, nil
	}
	var chosen []change
	for _, name := range names {
		at := slices.IndexFunc(changes, func(chg change) bool { return chg.Name == name })
		if at < 0 {
			return nil, trace.NotFound("no change has the name %q; the nearest are %s", name, strings.Join(nearest(changes, name), ", "))
		}
		chosen = append(chosen, changes[at])
	}
	return chosen, nil
}

// nearestCount is the number of names that the error of an unknown one suggests.
const nearestCount = 3

func nearest(changes []change, name string) []string {
	var names []string
	for _, chg := range changes {
		names = append(names, chg.Name)
	}
	slices.SortStableFunc(names, func(one, other string) int { return cmp.Compare(distance(one, name), distance(other, name)) })
	return names[:min(len(names), nearestCount)]
}

// distance returns the number of letters to add, remove or replace that makes one name of the other, regardless of case.
func distance(one, other string) int {
	one, other = strings.ToLower(one), strings.ToLower(other)
	row := make([]int, len(other)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(one) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(other) {
			replaced := diagonal
			if one[i] != other[j] {
				replaced++
			}
			diagonal = row[j+1]
			row[j+1] = min(replaced, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(other)]
}

// apply makes the edits in a copy of the sources. The returned function undoes them.
func (chg *change) apply(dir string) (undo func() error, err error) {
	before := map[string][]byte{}
	undo = func() error {
		var errs []error
		for name, data := range before {
			errs = append(errs, write(name, data))
		}
		return errors.Join(errs...)
	}
	for _, edt := range chg.Edits {
		name := filepath.Join(dir, edt.File)
		data, err := os.ReadFile(name)
		if err != nil {
			return undo, trace.ConvertSystemError(err)
		}
		if before[name] == nil {
			before[name] = data
		}
		if count := strings.Count(string(data), edt.Old); count != 1 {
			return undo, trace.BadParameter("%s contains the old text %d times, want once: %s", edt.File, count, edt.Old)
		}
		if err := write(name, []byte(strings.Replace(string(data), edt.Old, edt.New, 1))); err != nil {
			return undo, trace.Wrap(err)
		}
	}
	return undo, nil
}

// check reports why a change does not fit the sources below a directory: an edit that does not match, or a script that is
// not there.
func (chg *change) check(dir string) error {
	var errs []error
	texts := map[string]string{}
	for _, edt := range chg.Edits {
		if _, known := texts[edt.File]; !known {
			data, err := os.ReadFile(filepath.Join(dir, edt.File))
			if err != nil {
				errs = append(errs, err)
				continue
			}
			texts[edt.File] = string(data)
		}
		if count := strings.Count(texts[edt.File], edt.Old); count != 1 {
			errs = append(errs, fmt.Errorf("%s contains the old text %d times, want once: %s", edt.File, count, edt.Old))
		}
		texts[edt.File] = strings.Replace(texts[edt.File], edt.Old, edt.New, 1)
	}
	if chg.Package == defaultPackage && chg.Test == defaultTest {
		for _, script := range chg.Scripts {
			if _, err := os.Stat(filepath.Join(dir, chg.Package, "testdata", script+".txtar")); err != nil {
				errs = append(errs, fmt.Errorf("script %s: %w", script, err))
			}
		}
	}
	return errors.Join(errs...)
}
