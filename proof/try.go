package main

import (
	"fmt"
	"os/exec"
	"regexp"
	"slices"
	"strings"
)

// result is what became of the scripts of a change.
type result struct {
	// Failed are the scripts that failed as they should, and Passed those that passed without the mechanism.
	Failed, Passed []string
	// Problem is why the run proves nothing; empty if it does not matter.
	Problem string
}

func (res result) isProved() bool {
	return res.Problem == "" && len(res.Passed) == 0 && len(res.Failed) > 0
}

// String returns the result for the report.
func (res result) String() string {
	switch {
	case res.Problem != "":
		return "NOT PROVED, " + res.Problem
	case len(res.Passed) > 0:
		return "NOT PROVED, passed without the mechanism: " + strings.Join(res.Passed, ", ")
	}
	return "failed without the mechanism: " + strings.Join(res.Failed, ", ")
}

// try applies the change to the copy in dir, runs its scripts and reverts the change.
func (prv *prover) try(dir string, chg *change) (res result) {
	undo, err := chg.apply(dir)
	defer func() {
		if err := undo(); err != nil && res.Problem == "" {
			res.Problem = "the change could not be undone: " + err.Error()
		}
	}()
	if err != nil {
		return result{Problem: "the change does not apply: " + err.Error()}
	}
	pattern := "^" + chg.Test + "$/^(" + strings.Join(chg.Scripts, "|") + ")$"
	test := exec.Command("go", "test", "-count=1", "-v", "-timeout", prv.Timeout.String(), "-run", pattern, "./"+chg.Package) //nolint:gosec // the names are the project's own
	test.Dir = dir
	// The error says no more than the output, from which the verdicts are read.
	out, _ := test.CombinedOutput()
	return judge(chg.Scripts, string(out))
}

// The lines of go test that say how a script ended, or why it says nothing of the mechanism.
var (
	verdict  = regexp.MustCompile(`--- (PASS|FAIL|SKIP): Test\w+/(\S+)`)
	problems = []struct {
		text *regexp.Regexp
		name string
	}{
		{regexp.MustCompile(`(?m)^FAIL\t.*\[(build|setup) failed\]`), "the tree does not compile"},
		{regexp.MustCompile(`(?m)^panic: test timed out`), "the time limit passed"},
		{regexp.MustCompile(`(?m)^WARNING: DATA RACE`), "a data race"},
		{regexp.MustCompile(`(?m)^(panic|fatal error): `), "a panic"},
	}
)

// judge reads the result of scripts from the output of go test.
func judge(scripts []string, out string) result {
	for _, prb := range problems {
		if at := prb.text.FindStringIndex(out); at != nil {
			return result{Problem: fmt.Sprintf("%s: %s", prb.name, excerpt(out[:at[1]]))}
		}
	}
	var res result
	ran := map[string]string{}
	for _, found := range verdict.FindAllStringSubmatch(out, -1) {
		ran[found[2]] = found[1]
	}
	var missing []string
	for _, script := range scripts {
		switch ran[script] {
		case "FAIL":
			res.Failed = append(res.Failed, script)
		case "PASS":
			res.Passed = append(res.Passed, script)
		default:
			missing = append(missing, script)
		}
	}
	if len(missing) > 0 {
		slices.Sort(missing)
		res.Problem = "did not run: " + strings.Join(missing, ", ")
	}
	return res
}

// excerptLines is the number of the last lines of output that a report has.
const excerptLines = 4

func excerpt(out string) string {
	lines := strings.Split(strings.TrimSpace(out), "\n")
	return strings.Join(lines[max(0, len(lines)-excerptLines):], " / ")
}
