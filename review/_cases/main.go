// Command cases runs the scripts of the review: each starts gateways as processes, with stand-ins for the clients, the
// engines and the store, and checks one rule. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run. With TROUBLE=0 in the environment, a case does the same without its disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// timeout ends a case that takes too long.
const timeout = 110 * time.Second

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitUnrun  = 2
)

// cases are the cases by name; each returns whether the rule was broken.
var cases = map[string]func(sit *site, trouble bool) (bool, error){
	"refused": caseRefused,
	"order":   caseOrder,
	"moved":   caseMoved,
	"drain":   caseDrain,
	"part":    casePart,
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME RECORD")
		return exitUnrun
	}
	rec, err := newRecord(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnrun
	}
	dir, err := os.MkdirTemp("", "papayacroft-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnrun
	}
	defer os.RemoveAll(dir)
	sit, err := newSite(rec, dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnrun
	}
	var once sync.Once
	end := func() {
		once.Do(func() {
			for _, gtw := range sit.gateways {
				gtw.kill()
			}
		})
	}
	defer end()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	trouble := os.Getenv("TROUBLE") != "0"
	rec.say("case %s, trouble %v", args[0], trouble)
	go func() {
		broken, err := cases[args[0]](sit, trouble)
		done <- result{broken, err}
	}()
	select {
	case res := <-done:
		switch {
		case res.err != nil:
			rec.say("the case could not run: %v", res.err)
			return exitUnrun
		case res.broken:
			rec.say("BROKEN")
			return exitBroken
		}
		rec.say("held")
		return exitHeld
	case <-stopped:
		rec.say("stopped by a signal")
	case <-time.After(timeout):
		rec.say("the case took more than %s", timeout)
	}
	return exitUnrun
}
