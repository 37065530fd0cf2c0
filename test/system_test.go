package test

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	systemInventory = `
organisations:
  - name: rimu
    teams:
      - {name: secretaries, credentialDigests: [ecc48664ff5681aa668bbe5dea1eaed263c91d319f648f678d936075291627a1]}
      - {name: members, credentialDigests: [c21d3e029f0172ee40353d927059041c405dbe3cf6b8fb163ab035cea4007ca9]}
owners:
  - {name: office, approvedTeams: [rimu/secretaries, rimu/members]}
models:
  - {name: writer, version: v1, maxTokens: 5000}
pools:
  - {name: llm, kind: engine, models: [writer], classes: [writeUp, blurb]}
endpoints:
`
	systemRules = `
classes:
  - {name: blurb, outranks: [writeUp], worth: 2, deadline: 1s}
  - {name: writeUp, worth: 1, deadline: 60s}
`
)

// cmdSystem starts a log, a VM list and daemons, and publishes an inventory with engines that are not started yet:
// system DAEMONS ENGINES [NOTICE]. NOTICE is the time that daemons have for a planned stop.
func cmdSystem(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: system DAEMONS ENGINES [NOTICE]")
	}
	cmdCluster(ts, false, append(args[:2:2], "0"))
	daemons, _ := strconv.Atoi(args[0])
	engines, _ := strconv.Atoi(args[1])
	inventory := systemInventory
	for i := 1; i <= engines; i++ {
		inventory += fmt.Sprintf("  - {name: engine-%d, pool: llm, owner: office, address: %q, failureDomain: akl-a}\n", i, ts.Getenv("ENGINE"+strconv.Itoa(i)))
	}
	ts.Check(writeFile(ts.MkAbs("inventory.yaml"), inventory))
	ts.Check(writeFile(ts.MkAbs("rules.yaml"), systemRules))
	cmdStart(ts, false, []string{"log", "papayacroft-standin", "log", "--address", ts.Getenv("LOG")})
	cmdStart(ts, false, []string{"vms", "papayacroft-standin", "vms", "--address", ts.Getenv("VMS"), "--file", "vms.json"})
	for i := 1; i <= daemons; i++ {
		name := "entry-" + strconv.Itoa(i)
		if len(args) > 2 {
			setDrainNotice(ts, name+".yaml", args[2])
		}
		cmdStart(ts, false, []string{name, "papayacroftd", "--settings", name + ".yaml"})
		cmdEventually(ts, false, []string{"GET", "http://" + ts.Getenv("ADMIN"+strconv.Itoa(i)) + "/healthz"})
	}
	ts.Check(ts.Exec("papayacroft", "publish", "--inventory", "inventory.yaml", "--rules", "rules.yaml",
		"--daemons", ts.Getenv("DAEMONS"), "--log", "http://"+ts.Getenv("LOG")))
}

func setDrainNotice(ts *testscript.TestScript, file, notice string) {
	data, err := os.ReadFile(ts.MkAbs(file))
	ts.Check(err)
	ts.Check(writeFile(ts.MkAbs(file), strings.Replace(string(data), "drainNotice: 5s", "drainNotice: "+notice, 1)))
}

// cmdBegin starts an engine and waits until it answers: begin NUMBER TOKENS INTERVAL [FAULTS].
func cmdBegin(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 3 {
		ts.Fatalf("usage: begin NUMBER TOKENS INTERVAL [FAULTS]")
	}
	name, address := "engine-"+args[0], ts.Getenv("ENGINE"+args[0])
	cmdStart(ts, false, []string{
		name, "papayacroft-standin", "engine", "--name", name, "--address", address,
		"--models", "writer", "--output-tokens", args[1], "--token-interval", args[2],
	})
	cmdEventually(ts, false, []string{"GET", "http://" + address + "/load"})
	if len(args) > 3 {
		cmdHTTP(ts, false, []string{"POST", "http://" + address + "/faults", "-body", args[3]})
	}
}

// cmdElapse sleeps, so that a time limit of the system runs out or is shown not to run out yet: elapse DURATION.
func cmdElapse(ts *testscript.TestScript, _ bool, args []string) {
	dur, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(dur)
}
