// Command script2 runs the cases of the second review that are scripts. It starts nodes as separate
// processes and plays the stand-ins of the clients, the servers and the platform's store itself.
//
// Usage: script2 CASE RECORD. The variable TROUBLE=0 leaves the disruption out.
// Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var cases = map[string]func(*run) error{
	"silence":  silentStoreChannels,
	"longrest": longRest,
	"poison":   poison,
	"drill":    drill,
	"rest":     restingEngine,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: script2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays one case and returns the exit status.
func play(name, record string) int {
	file, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	c := &run{trouble: os.Getenv("TROUBLE") != "0", dir: dir, started: time.Now(), record: file}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	ended := make(chan error, 1)
	go func() { ended <- cases[name](c) }()
	select {
	case err = <-ended:
	case <-interrupted:
		err = fmt.Errorf("interrupted")
	}
	status := exitHeld
	switch {
	case err != nil:
		c.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		status = exitNotRun
	case len(c.broken) > 0:
		status = exitBroken
	}
	c.note("exit status %d", status)
	c.close()
	return status
}
