// Command drive plays the cases of the review against processes of the gateway on loopback addresses.
package main

import (
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

var cases = map[string]func(wld *world, trouble bool) (verdict, error){
	"latestream": playLateStream,
	"silence":    playSilence,
	"prefixes":   playPrefixes,
	"retained":   playRetained,
	"trickle":    playTrickle,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: drive CASE RECORD, in the repository's root")
		return exitFailed
	}
	wld, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer wld.close()
	trouble := os.Getenv("TROUBLE") != "0"
	wld.note("case %s, with its disruption: %t", os.Args[1], trouble)
	res, err := cases[os.Args[1]](wld, trouble)
	if err != nil {
		wld.note("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return exitFailed
	}
	wld.note("%s", res.text)
	fmt.Println(res.text)
	if res.broken {
		return exitBroken
	}
	return exitHeld
}
