// Command guavasoak runs the randomized fault soak: it starts node processes on
// loopback, injects faults from outside the processes and checks the guarantees
// given to callers and backend servers. It prints one line per seed and exits
// with status 1 if a guarantee was violated or a run failed.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/guavatrack/guavatrack/internal/soak"
)

type options struct {
	Binary        string        `long:"binary" required:"true" description:"the guavatrack program"`
	Logs          string        `long:"logs" default:"out/soak" description:"directory for the nodes' logs, one below it for each seed"`
	First         uint64        `long:"first" default:"1" description:"first seed"`
	Seeds         uint64        `long:"seeds" default:"50" description:"number of seeds"`
	Nodes         int           `long:"nodes" default:"4" description:"nodes"`
	Engines       int           `long:"engines" default:"3" description:"engines"`
	Callers       int           `long:"callers" default:"8" description:"callers"`
	Faults        int           `long:"faults" default:"10" description:"faults in a run"`
	ServerFaults  int           `long:"server-faults" default:"3" description:"faults in a run that backend servers play"`
	Releases      int           `long:"releases" default:"4" description:"changes of an engine's software version in a run"`
	Refusals      int           `long:"refusals" default:"2" description:"times in a run in which backend servers write refusals once more"`
	Broken        int           `long:"broken" default:"0" description:"times in a run in which backend servers send broken answers, beside long uploads"`
	Organisations int           `long:"organisations" default:"0" description:"organisations whose keys callers send; without any they need none"`
	RemoveKey     bool          `long:"remove-key" description:"take the key of the last organisation away in the middle of a run"`
	Span          time.Duration `long:"span" default:"10s" description:"time within which all faults begin and end"`
	Verbose       bool          `long:"verbose" description:"print each fault"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(2)
	}
	failed := 0
	for seed := opts.First; seed < opts.First+opts.Seeds; seed++ {
		if !opts.runSeed(seed) {
			failed++
		}
	}
	fmt.Printf("%d seeds, %d failed\n", opts.Seeds, failed)
	if failed > 0 {
		os.Exit(1)
	}
}

// runSeed runs the soak with one seed and reports whether it completed without
// a violated guarantee.
func (o *options) runSeed(seed uint64) bool {
	dir := filepath.Join(o.Logs, fmt.Sprint(seed))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	run := &soak.Run{
		Binary: o.Binary, Dir: dir, Seed: seed, Nodes: o.Nodes, Engines: o.Engines, Callers: o.Callers,
		Faults: o.Faults, ServerFaults: o.ServerFaults, RefusalFaults: o.Refusals, BrokenFaults: o.Broken, Releases: o.Releases, Span: o.Span,
		Organisations: o.Organisations, RemoveKey: o.RemoveKey,
		Log: func(format string, args ...any) {
			if o.Verbose {
				fmt.Printf(format+"\n", args...)
			}
		},
	}
	outcome, err := run.Do()
	fmt.Printf("seed %d: %d asked, %d served, %d taken up, %d went on, %d breaches, error: %v\n",
		seed, outcome.Asked, outcome.Served, outcome.TakenUp, outcome.WentOn, len(outcome.Breaches), err)
	for _, breach := range outcome.Breaches {
		fmt.Println("  " + breach)
	}
	return err == nil && len(outcome.Breaches) == 0
}
