// Package bench measures guavatrack: an open-loop load generator, the reports
// of its runs, and the experiments that guavabench offers.
//
// An experiment runs nodes against the stand-ins of internal/standin and
// returns a result whose JSON form has camelCase fields. A field that a run
// didn't measure is absent; none is filled with a guess.
package bench

import (
	"context"
	"fmt"
	"io"
	"time"
)

// Options are what every experiment takes.
type Options struct {
	// Seed fixes arrivals, prompts and faults.
	Seed uint64
	// Seconds is how long the experiment may load the system; 0 means the
	// experiment's own choice.
	Seconds int
	// JSON says that the result goes to standard output as one line.
	JSON bool
	// Plot, when set, is the PNG file that the experiment draws.
	Plot string
	// Progress takes lines for the person who waits.
	Progress io.Writer
	// Args are the arguments that aren't flags.
	Args []string
}

// Span returns the time that the experiment may take.
func (o Options) Span(otherwise time.Duration) time.Duration {
	if o.Seconds > 0 {
		return time.Duration(o.Seconds) * time.Second
	}
	return otherwise
}

// Printf writes a line of progress.
func (o Options) Printf(format string, args ...any) {
	if o.Progress != nil {
		_, _ = fmt.Fprintf(o.Progress, format+"\n", args...)
	}
}

// Experiment is one subcommand of guavabench.
type Experiment struct {
	Name string
	Help string
	// Hidden leaves it out of the help text.
	Hidden bool
	// Flags, when set, points to a struct with go-flags tags that is filled
	// before Run.
	Flags any
	// Run returns a value with camelCase JSON. If it has a Text method, that
	// is what a person sees.
	Run func(ctx context.Context, o Options) (any, error)
}

// Experiments returns all experiments in the order of the help text.
func Experiments() []Experiment {
	return []Experiment{
		Relay,
		Faults,
		Overload,
		idleExperiment(), coldStartExperiment(),
		Slopes(),
		idleNode,
	}
}
