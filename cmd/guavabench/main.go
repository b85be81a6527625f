// Command guavabench measures guavatrack against small stand-ins on loopback
// and starts the stand-ins alone.
//
// Exit status: 0 when the experiment ran, 1 when it failed, 2 for wrong usage.
// With --json progress goes to standard error and the last line of standard
// output is the result as one JSON object.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"

	"github.com/guavatrack/guavatrack/internal/bench"
)

// Exit statuses.
const (
	exitFailed = 1
	exitUsage  = 2
)

// experimentCommand is the command that runs one experiment.
type experimentCommand struct {
	Seed    uint64 `long:"seed" default:"1" description:"seed of arrivals, prompts and faults"`
	Seconds int    `long:"seconds" description:"how long to load the system (default: the experiment's choice)"`
	JSON    bool   `long:"json" description:"print the result as one JSON line, progress on standard error"`
	Plot    string `long:"plot" description:"PNG file to draw" value-name:"FILE"`

	ctx        context.Context
	experiment bench.Experiment
}

// Execute implements flags.Commander.
func (c *experimentCommand) Execute(args []string) error {
	options := bench.Options{
		Seed: c.Seed, Seconds: c.Seconds, JSON: c.JSON, Plot: c.Plot, Progress: os.Stdout, Args: args,
	}
	if c.JSON {
		options.Progress = os.Stderr
	}
	result, err := c.experiment.Run(c.ctx, options)
	if err != nil {
		return errors.Wrap(err, c.experiment.Name)
	}
	return c.print(os.Stdout, result)
}

func (c *experimentCommand) print(w io.Writer, result any) error {
	encoder := json.NewEncoder(w)
	if c.JSON {
		return encoder.Encode(result)
	}
	if text, ok := result.(interface{ Text() string }); ok {
		_, err := fmt.Fprintln(w, text.Text())
		return err
	}
	encoder.SetIndent("", "  ")
	return encoder.Encode(result)
}

func newParser(ctx context.Context) (*flags.Parser, error) {
	parser := flags.NewNamedParser("guavabench", flags.HelpFlag|flags.PassDoubleDash)
	for _, experiment := range bench.Experiments() {
		command, err := parser.AddCommand(experiment.Name, experiment.Help, experiment.Help,
			&experimentCommand{ctx: ctx, experiment: experiment})
		if err != nil {
			return nil, err
		}
		command.Hidden = experiment.Hidden
		if experiment.Flags == nil {
			continue
		}
		if _, err := command.AddGroup(experiment.Name+" options", "", experiment.Flags); err != nil {
			return nil, err
		}
	}
	_, err := parser.AddCommand("standin", "start one stand-in",
		"Starts one stand-in on loopback until it is interrupted. Faults are set as JSON by POST /fault.",
		&standinCommand{ctx: ctx})
	return parser, err
}

func run(ctx context.Context, args []string) int {
	parser, err := newParser(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, "guavabench:", err)
		return exitFailed
	}
	_, err = parser.ParseArgs(args)
	var usage *flags.Error
	switch {
	case err == nil:
		return 0
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Println(usage.Message)
		return 0
	case errors.As(err, &usage):
		fmt.Fprintln(os.Stderr, "guavabench:", usage.Message, "(see guavabench --help)")
		return exitUsage
	default:
		fmt.Fprintln(os.Stderr, "guavabench:", err)
		return exitFailed
	}
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:])) //nolint:gocritic // exitAfterDefer: the process ends here
}
