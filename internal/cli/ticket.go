package cli

import (
	"context"
	"io"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/config"
	"github.com/guavatrack/guavatrack/internal/operator"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/ticket"
)

// fileArgument is the name of a ticket file, or - for standard input.
type fileArgument struct {
	File string `positional-arg-name:"FILE" required:"true" description:"ticket file, - for standard input"`
}

// maxInput bounds what is read of the standard input, in bytes. A ticket of that size is
// refused by [ticket.Parse].
const maxInput = 1 << 20

// read returns the content of the file.
func (f fileArgument) read() (text []byte, err error) {
	if f.File == "-" {
		text, err = io.ReadAll(io.LimitReader(os.Stdin, maxInput))
	} else {
		text, err = os.ReadFile(f.File)
	}
	if err != nil {
		return nil, usageError{"ticket: " + err.Error()}
	}
	return text, nil
}

// applyCommand applies a ticket.
type applyCommand struct {
	app *App
	connection
	Check bool          `long:"check" description:"only check the ticket"`
	Wait  bool          `long:"wait" description:"wait until it is in force on every live member"`
	Limit time.Duration `long:"limit" default:"8s" description:"how long to wait"`
	Args  fileArgument  `positional-args:"true"`
}

// applyResult is the result of ticket apply.
type applyResult struct {
	operator.Applied
	Members []config.MemberState `json:"members,omitempty"`
	InForce bool                 `json:"inForce"`
}

// Execute implements [flags.Commander].
func (c *applyCommand) Execute([]string) error {
	text, err := c.Args.read()
	if err != nil {
		return err
	}
	if _, err := ticket.Parse(text); err != nil {
		return errors.Wrapf(err, "ticket %s", c.Args.File)
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	applied, err := client.Apply(c.app.ctx, text, c.Check)
	if err != nil {
		return err
	}
	result := applyResult{Applied: applied}
	if c.Wait && !c.Check {
		if result.Members, err = waitInForce(c.app.ctx, client, applied.Revision, c.Limit); err != nil {
			return err
		}
		result.InForce = allInForce(result.Members)
	}
	if err := c.app.Print(result, func(t *Table) { writeAppliedRows(t, &result) }); err != nil {
		return err
	}
	if c.Wait && !c.Check && !result.InForce {
		return errNotInForce
	}
	return nil
}

// inForcePollInterval is the time between two queries whether a revision is in force.
const inForcePollInterval = 200 * time.Millisecond

// waitInForce polls until the revision is in force on every live member or the limit
// has passed, and returns the last states.
func waitInForce(
	ctx context.Context, client *operator.Client, revision config.Revision, limit time.Duration,
) ([]config.MemberState, error) {
	deadline := time.Now().Add(limit)
	for {
		states, err := client.InForce(ctx, revision)
		if err != nil || allInForce(states) || time.Now().After(deadline) {
			return states, err
		}
		select {
		case <-ctx.Done():
			return states, ctx.Err()
		case <-time.After(inForcePollInterval):
		}
	}
}

// allInForce reports whether every member has confirmed the revision or is out of
// service.
func allInForce(states []config.MemberState) bool {
	return !slices.ContainsFunc(states, func(s config.MemberState) bool { return !s.Settled() })
}

func writeAppliedRows(t *Table, result *applyResult) {
	switch {
	case result.CheckedOnly:
		t.Row("ticket", result.Number, "is right and was not applied")
	case result.AlreadyAccepted:
		t.Row("ticket", result.Number, "had been accepted before as revision", result.Revision)
	default:
		t.Row("ticket", result.Number, "accepted as revision", result.Revision)
	}
	writeMemberRows(t, result.Members)
}

func writeMemberRows(t *Table, states []config.MemberState) {
	if len(states) == 0 {
		return
	}
	t.Row("NODE", "REGION", "STATE", "REVISION")
	for _, state := range states {
		t.Row(state.Node, state.Region, state.State, state.Revision)
	}
}

// numberArgument is a ticket number.
type numberArgument struct {
	Number string `positional-arg-name:"NUMBER" required:"true" description:"ticket number"`
}

// parse returns the ticket number.
func (n numberArgument) parse() (fleet.TicketNumber, error) {
	number, err := strconv.ParseUint(n.Number, 10, 64)
	if err != nil {
		return 0, usageError{"NUMBER: want a whole number, found " + strconv.Quote(n.Number)}
	}
	return fleet.TicketNumber(number), nil
}

// showCommand shows an accepted ticket.
type showCommand struct {
	app *App
	connection
	Args numberArgument `positional-args:"true"`
}

// shownTicket is the result of ticket show.
type shownTicket struct {
	config.StoredTicket
	Members []config.MemberState `json:"members"`
}

// Execute implements [flags.Commander].
func (c *showCommand) Execute([]string) error {
	number, err := c.Args.parse()
	if err != nil {
		return err
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	stored, err := client.Ticket(c.app.ctx, number)
	if err != nil {
		return err
	}
	states, err := client.InForce(c.app.ctx, stored.Revision)
	if err != nil {
		return err
	}
	return c.app.Print(shownTicket{StoredTicket: stored, Members: states}, func(t *Table) {
		t.Row("ticket", stored.Ticket.Number)
		t.Row("revision", stored.Revision)
		t.Row("operator", stored.Ticket.Operator)
		t.Row("applied by", stored.Actor)
		t.Row("at", stored.AcceptedAt.Format(time.RFC3339))
		t.Row("reason", stored.Ticket.Reason)
		for _, change := range stored.Ticket.Touched() {
			t.Row(change.Kind, change.Name, change.Action)
		}
		writeMemberRows(t, states)
	})
}

// listCommand lists accepted tickets.
type listCommand struct {
	app *App
	connection
	After uint64 `long:"after" description:"only tickets with a higher number"`
	Limit int    `long:"limit" default:"50" description:"how many at most"`
}

// Execute implements [flags.Commander].
func (c *listCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	tickets, err := client.Tickets(c.app.ctx, fleet.TicketNumber(c.After), c.Limit)
	if err != nil {
		return err
	}
	return c.app.Print(tickets, func(t *Table) {
		t.Row("NUMBER", "REVISION", "AT", "OPERATOR", "OBJECTS", "REASON")
		for i := range tickets {
			stored := &tickets[i]
			t.Row(stored.Ticket.Number, stored.Revision, stored.AcceptedAt.Format(time.RFC3339),
				stored.Ticket.Operator, len(stored.Ticket.Touched()), stored.Ticket.Reason)
		}
	})
}

// diffCommand shows what a ticket would change.
type diffCommand struct {
	app *App
	connection
	Args fileArgument `positional-args:"true"`
}

// Execute implements [flags.Commander].
func (c *diffCommand) Execute([]string) error {
	text, err := c.Args.read()
	if err != nil {
		return err
	}
	proposed, err := ticket.Parse(text)
	if err != nil {
		return errors.Wrapf(err, "ticket %s", c.Args.File)
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	view, err := client.Configuration(c.app.ctx)
	if err != nil {
		return err
	}
	changes := proposed.Diff(view.Snapshot)
	return c.app.Print(changes, func(t *Table) {
		if len(changes) == 0 {
			t.Row("no change")
			return
		}
		t.Row("KIND", "NAME", "ACTION", "PATH", "BEFORE", "AFTER")
		for _, change := range changes {
			t.Row(change.Kind, change.Name, change.Action, change.Path, change.Before, change.After)
		}
	})
}
