// Package test runs scripted scenarios against the real programs as separate processes.
package test

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

var programs string

// TestMain builds the programs once for all scenarios.
func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "papayacroft-scenario-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	programs = dir
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "../papayacroft", "../papayacroftd", "../papayacroft-standin")
	build.Stderr = os.Stderr
	code := 1
	if err := build.Run(); err == nil {
		code = m.Run()
	}
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// TestScenarios runs each script in scenarios. The head of a script states the promise that it checks, the failure
// that it injects, and a change of the code that must make the script fail.
func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "scenarios",
		RequireExplicitExec: true,
		Setup:               setup,
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"start":      cmdStart,
			"signal":     cmdSignal,
			"http":       cmdHTTP,
			"eventually": cmdEventually,
			"cluster":    cmdCluster,
			"expand":     cmdExpand,
			"caller":     cmdCaller,
			"received":   cmdReceived,
			"history":    cmdHistory,
			"position":   cmdPosition,
			"system":     cmdSystem,
			"begin":      cmdBegin,
			"elapse":     cmdElapse,
			"key":        cmdKey,
			"background": cmdBackground,
			"await":      cmdAwait,
			"ran":        cmdRan,
			"flood":      cmdFlood,
			"limitowner": cmdLimitOwner,
			"load":       cmdLoad,
			"metric":     cmdMetric,
			"slow":       cmdSlow,
			"peak":       cmdPeak,
			"storm":      cmdStorm,
			"orders":     cmdOrders,
		},
	})
}

// setup puts the programs on the path and ends the processes that a script leaves running.
func setup(env *testscript.Env) error {
	env.Setenv("PATH", programs+string(filepath.ListSeparator)+env.Getenv("PATH"))
	prs := newProcesses()
	env.Values[processesKey{}] = prs
	env.Values[backgroundKey{}] = newBackground()
	env.Defer(prs.stopAll)
	setupCallers(env)
	return nil
}
