// Command guavasoak runs the randomized fault soak: real nodes as processes on
// loopback, faults from outside, promises checked. It prints one line a seed and
// ends with 1 if a promise was broken.
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
	Binary  string        `long:"binary" required:"true" description:"the guavatrack program"`
	Logs    string        `long:"logs" default:"out/soak" description:"directory for the nodes' logs, one below it for each seed"`
	First   uint64        `long:"first" default:"1" description:"first seed"`
	Seeds   uint64        `long:"seeds" default:"50" description:"number of seeds"`
	Nodes   int           `long:"nodes" default:"4" description:"nodes"`
	Engines int           `long:"engines" default:"3" description:"engines"`
	Callers int           `long:"callers" default:"8" description:"callers"`
	Faults  int           `long:"faults" default:"10" description:"faults in a run"`
	Span    time.Duration `long:"span" default:"10s" description:"time within which all faults begin and end"`
	Verbose bool          `long:"verbose" description:"print each fault"`
}

func main() {
	var given options
	if _, err := flags.Parse(&given); err != nil {
		os.Exit(2)
	}
	failed := 0
	for seed := given.First; seed < given.First+given.Seeds; seed++ {
		if !given.play(seed) {
			failed++
		}
	}
	fmt.Printf("%d seeds, %d failed\n", given.Seeds, failed)
	if failed > 0 {
		os.Exit(1)
	}
}

// play runs one seed and reports whether all promises were kept.
func (o *options) play(seed uint64) bool {
	dir := filepath.Join(o.Logs, fmt.Sprint(seed))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	run := &soak.Run{
		Binary: o.Binary, Dir: dir, Seed: seed, Nodes: o.Nodes, Engines: o.Engines, Callers: o.Callers,
		Faults: o.Faults, Span: o.Span, Log: func(format string, args ...any) {
			if o.Verbose {
				fmt.Printf(format+"\n", args...)
			}
		},
	}
	outcome, err := run.Do()
	fmt.Printf("seed %d: %d asked, %d served, %d breaches, error: %v\n",
		seed, outcome.Asked, outcome.Served, len(outcome.Breaches), err)
	for _, breach := range outcome.Breaches {
		fmt.Println("  " + breach)
	}
	return err == nil && len(outcome.Breaches) == 0
}
