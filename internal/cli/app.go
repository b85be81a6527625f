package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"
)

// App is the command-line program. Its fields are set before Run.
type App struct {
	Name   string
	Out    io.Writer
	Err    io.Writer
	Extra  []Extra
	global globalFlags
	ctx    context.Context //nolint:containedctx // go-flags gives commands no argument for it
}

// Extra is a command that another package adds.
type Extra struct {
	Name, Short, Long string
	// Flags is a pointer to a struct with the command's flags, or nil.
	Flags any
	// Run runs the command. It writes to the app's outputs.
	Run func(ctx context.Context, app *App) error
}

// globalFlags are the flags of every command.
type globalFlags struct {
	JSON bool `long:"json" description:"write one JSON value to standard output"`
}

// Run parses the arguments, runs the command and returns the exit code.
func (a *App) Run(ctx context.Context, args []string) Code {
	a.ctx = ctx
	parser := flags.NewNamedParser(a.Name, flags.HelpFlag|flags.PassDoubleDash)
	if err := a.register(parser); err != nil {
		return a.report(err)
	}
	_, err := parser.ParseArgs(args)
	return a.report(err)
}

// JSON reports whether the result is written as one JSON value.
func (a *App) JSON() bool { return a.global.JSON }

// report writes the error and the advice for its exit code, and returns the code.
// Help that was asked for is written to standard output.
func (a *App) report(err error) Code {
	code := exitCode(err)
	var flagError *flags.Error
	if errors.As(err, &flagError) && flagError.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(a.Out, flagError.Message)
		return code
	}
	if err != nil {
		_, _ = fmt.Fprintf(a.Err, "%s: %v\n", a.Name, err)
	}
	if next := advice[code]; next != "" {
		_, _ = fmt.Fprintln(a.Err, next)
	}
	return code
}

// register adds the flags and commands to the parser.
func (a *App) register(parser *flags.Parser) error {
	if _, err := parser.AddGroup("Output", "", &a.global); err != nil {
		return errors.Wrap(err, "flags")
	}
	for _, command := range a.commands() {
		if err := command.add(parser.Command); err != nil {
			return err
		}
	}
	for i := range a.Extra {
		extra := &extraCommand{app: a, Extra: a.Extra[i]}
		added, err := parser.AddCommand(extra.Name, extra.Short, extra.Long, extra)
		if err != nil {
			return errors.Wrapf(err, "command %s", extra.Name)
		}
		if extra.Flags != nil {
			if _, err := added.AddGroup("Options", "", extra.Flags); err != nil {
				return errors.Wrapf(err, "flags of %s", extra.Name)
			}
		}
	}
	return nil
}

// extraCommand runs an [Extra].
type extraCommand struct {
	app   *App
	Extra `no-flag:"true"`
}

// Execute implements [flags.Commander].
func (e *extraCommand) Execute([]string) error { return e.Run(e.app.ctx, e.app) }

// command is a node of the command tree.
type command struct {
	name, short string
	data        any
	children    []command
}

// add registers the command and its children under parent.
func (c command) add(parent *flags.Command) error {
	added, err := parent.AddCommand(c.name, c.short, c.short+".", c.data)
	if err != nil {
		return errors.Wrapf(err, "command %s", c.name)
	}
	for _, child := range c.children {
		if err := child.add(added); err != nil {
			return err
		}
	}
	return nil
}

// group is a command that only has subcommands.
type group struct{}

// commands returns the built-in command tree.
func (a *App) commands() []command {
	return []command{
		{name: "node", short: "Run a node", data: &nodeCommand{app: a}},
		{name: "ticket", short: "Apply and read change tickets", data: &group{}, children: []command{
			{name: "apply", short: "Apply a ticket, or only check it", data: &applyCommand{app: a}},
			{name: "show", short: "Show an accepted ticket and where it is in force", data: &showCommand{app: a}},
			{name: "list", short: "List accepted tickets", data: &listCommand{app: a}},
			{name: "diff", short: "Show what a ticket would change", data: &diffCommand{app: a}},
		}},
		{name: "where", short: "Ask which addresses to use for a model", data: &whereCommand{app: a}},
		{name: "status", short: "Show members, servers and what they hold", data: &statusCommand{app: a}},
		{name: "audit", short: "Show the trail of changes", data: &auditCommand{app: a}},
		{name: "drain", short: "Stop a node without cutting off a request", data: &drainCommand{app: a}},
		{name: "log-level", short: "Change what a node logs", data: &logLevelCommand{app: a}},
		{name: "explain", short: "Tell the life of a request from the logs of nodes", data: &explainCommand{app: a}},
		{name: "settings", short: "Check settings files", data: &group{}, children: []command{
			{name: "check", short: "Check a settings file and report every mistake", data: &checkCommand{app: a}},
			{name: "defaults", short: "Write the settings that a file need not give", data: &defaultsCommand{app: a}},
		}},
		{name: "keys", short: "Make certificates and secrets", data: &group{}, children: []command{
			{name: "authority", short: "Make an authority that signs certificates", data: &authorityCommand{app: a}},
			{name: "issue", short: "Sign a certificate for a node or an operator", data: &issueCommand{app: a}},
			{name: "secret", short: "Make a caller's key or an operator's token", data: &secretCommand{app: a}},
		}},
		{name: "completion", short: "Write the completion script for bash", data: &completionCommand{app: a}},
		{name: "version", short: "Show the version", data: &versionCommand{app: a}},
	}
}

// Print writes a result: as JSON with --json, otherwise as the table whose rows
// writeRows adds.
func (a *App) Print(result any, writeRows func(t *Table)) error {
	if a.global.JSON {
		encoder := json.NewEncoder(a.Out)
		if err := encoder.Encode(result); err != nil {
			return errors.Wrap(err, "write result")
		}
		return nil
	}
	table := &Table{writer: tabwriter.NewWriter(a.Out, 0, 0, 2, ' ', 0)}
	writeRows(table)
	if err := table.writer.Flush(); err != nil {
		return errors.Wrap(err, "write result")
	}
	return nil
}

// Table writes rows with aligned columns.
type Table struct {
	writer *tabwriter.Writer
}

// Row writes one row.
func (t *Table) Row(cells ...any) {
	for i, cell := range cells {
		if i > 0 {
			_, _ = fmt.Fprint(t.writer, "\t")
		}
		_, _ = fmt.Fprint(t.writer, cell)
	}
	_, _ = fmt.Fprintln(t.writer)
}
