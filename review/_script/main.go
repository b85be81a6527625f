// Command reviewscript plays one case of the review: it starts a small deployment of
// guavatrack as separate processes on loopback, with stand-ins of the platform, and checks
// one rule by what callers, servers and the platform see.
//
// Usage: reviewscript CASE RECORD, in the root of the repository after the build of the
// deploy file. TROUBLE=0 in the environment plays the case without its disruption. Exit
// status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// runLimit bounds a case.
const runLimit = 110 * time.Second

// verdict is the result of a case: what was seen of the rule, and whether it was broken.
type verdict struct {
	broken bool
	text   string
}

// cases are the cases by name.
var cases = map[string]func(rig *rig, trouble bool) (verdict, error){
	"target":  playTarget,
	"switch":  playSwitch,
	"strayed": playStrayed,
	"promise": playPromise,
	"drill":   playDrill,
	"inplace": playInplace,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: reviewscript CASE RECORD")
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rig, err := newRig(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "reviewscript:", err)
		return exitNotRun
	}
	defer rig.close()
	watchdog := time.AfterFunc(runLimit, func() {
		rig.note("could not run: not over after %v", runLimit)
		rig.endNodes()
		os.Exit(exitNotRun)
	})
	defer watchdog.Stop()
	rig.note("case %s, disruption %v", os.Args[1], trouble)
	found, err := cases[os.Args[1]](rig, trouble)
	switch {
	case err != nil:
		rig.note("could not run: %v", err)
		return exitNotRun
	case found.broken:
		rig.note("BROKEN: %s", found.text)
		return exitBroken
	default:
		rig.note("held: %s", found.text)
		return exitHeld
	}
}
