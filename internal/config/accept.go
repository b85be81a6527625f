package config

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/guavatrack/guavatrack/internal/audit"
	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/internal/wait"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/ticket"
)

// Errors of Apply, to be tested with errors.Is. A ticket with wrong values
// fails with a [strictjson.FieldErrors] instead.
var (
	// ErrNumberTaken says that another ticket was accepted under the number.
	ErrNumberTaken = errors.New("another ticket has this number")
	// ErrStale says that an object that the ticket touches has a higher number
	// already.
	ErrStale = errors.New("the ticket is older than what it touches")
	// ErrBehind says that the table holds an older configuration than the
	// node, as after its restoration from a copy.
	ErrBehind = errors.New("the table holds an older configuration than this node")
)

const (
	// acceptAttempts bounds the repetitions when operators race.
	acceptAttempts = 20
	// settleAttempts bounds the repetitions of one transaction whose answer
	// was lost.
	settleAttempts = 4
	retryPause     = 50 * time.Millisecond
)

// Accepted tells how a ticket was accepted.
type Accepted struct {
	Number   fleet.TicketNumber `json:"number"`
	Revision Revision           `json:"revision"`
	// Already says that the ticket had been accepted before.
	Already bool `json:"already"`
}

// Apply accepts a ticket or refuses it with the reason. A refused ticket
// changes nothing. Repeating an accepted ticket is without effect. If Apply
// fails with table.ErrUnknown the ticket may or may not have been accepted,
// and applying it again settles that.
func (c *Controller) Apply(ctx context.Context, t ticket.Ticket, actor string) (accepted Accepted, err error) {
	c.init()
	defer func() {
		if err != nil {
			c.counts.refused.Inc(1)
			err = errors.Wrapf(err, "ticket %d", t.Number)
		}
	}()
	if t.Operator == "" {
		t.Operator = actor
	}
	for attempt := range acceptAttempts {
		accepted, err = c.tryAccept(ctx, t, actor)
		if !errors.Is(err, table.ErrConflict) {
			return accepted, err
		}
		c.counts.races.Inc(1)
		if !wait.For(ctx, c.jitter(retryPause*time.Duration(attempt+1))) {
			return Accepted{}, ctx.Err()
		}
	}
	return Accepted{}, err
}

// Check says whether Apply would refuse the ticket now, with the same error,
// and changes nothing.
func (c *Controller) Check(ctx context.Context, t ticket.Ticket) (err error) {
	c.init()
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "ticket %d", t.Number)
		}
	}()
	if _, done, err := c.alreadyAccepted(ctx, t); done || err != nil {
		return err
	}
	held, err := c.readHead(ctx)
	if err != nil {
		return err
	}
	if err := c.catchUp(ctx, held); err != nil {
		return err
	}
	_, err = c.check(t, held)
	return err
}

// tryAccept checks the ticket against the newest configuration and records it.
// It fails with table.ErrConflict if another ticket was accepted meanwhile.
func (c *Controller) tryAccept(ctx context.Context, t ticket.Ticket, actor string) (Accepted, error) {
	if accepted, done, err := c.alreadyAccepted(ctx, t); done || err != nil {
		return accepted, err
	}
	held, err := c.readHead(ctx)
	if err != nil {
		return Accepted{}, err
	}
	if err := c.catchUp(ctx, held); err != nil {
		return Accepted{}, err
	}
	entries, err := c.check(t, held)
	if err != nil {
		return Accepted{}, err
	}
	stored := Stored{
		Ticket: t, Revision: held.Revision + 1, Actor: actor, At: time.Now().UTC(),
		Node: c.Node, Token: table.Token(uuid.NewString()),
	}
	writes, err := c.writes(ctx, held, stored, entries)
	if err != nil {
		return Accepted{}, err
	}
	if err := c.record(ctx, stored, writes); err != nil {
		return Accepted{}, err
	}
	c.counts.accepted.Inc(1)
	c.Log.InfoContext(ctx, "ticket accepted", "number", uint64(t.Number), "revision", uint64(stored.Revision), "actor", actor)
	c.announce(ctx, push{Revision: stored.Revision, Region: c.Region, Entries: entries})
	return Accepted{Number: t.Number, Revision: stored.Revision}, nil
}

// alreadyAccepted looks for a ticket of the same number.
func (c *Controller) alreadyAccepted(ctx context.Context, t ticket.Ticket) (accepted Accepted, done bool, err error) {
	stored, err := c.readTicket(ctx, t.Number)
	if errors.Is(err, table.ErrNotFound) {
		return Accepted{}, false, nil
	}
	if err != nil {
		return Accepted{}, false, err
	}
	same, err := sameContent(stored.Ticket, t)
	if err != nil {
		return Accepted{}, false, err
	}
	if !same {
		return Accepted{}, false, errors.Wrapf(ErrNumberTaken, "accepted at %s by %s",
			stored.At.Format(time.RFC3339), stored.Actor)
	}
	return Accepted{Number: t.Number, Revision: stored.Revision, Already: true}, true, nil
}

// check validates the ticket on top of the configuration at the head.
func (c *Controller) check(t ticket.Ticket, held head) ([]ticket.Entry, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.revision > held.Revision {
		// A newer ticket came from a neighbour since the head was read; or the
		// table lost tickets.
		return nil, c.behind(held)
	}
	if err := ticket.Validate(t, c.snapshot.Load()); err != nil {
		return nil, err
	}
	entries, err := sortedEntries(t)
	if err != nil {
		return nil, err
	}
	for _, entry := range entries {
		if newest, found := c.state.Entry(entry.Key); found && newest.Number >= entry.Number {
			return nil, errors.Wrapf(ErrStale, "%s has the number %d", entry.Key, newest.Number)
		}
	}
	return entries, nil
}

// behind tells a race with another ticket from a table that lost some.
func (c *Controller) behind(held head) error {
	if c.headSeen > held.Revision {
		return errors.Wrapf(ErrBehind, "revision %d in the table, %d here", held.Revision, c.headSeen)
	}
	return table.ErrConflict
}

// writes returns the parts of the accepting transaction.
func (c *Controller) writes(
	ctx context.Context, held head, stored Stored, entries []ticket.Entry,
) (writes []table.Write, err error) {
	next := held.with(stored.Ticket.Number, c.digestWith(entries))
	entry := audit.Entry{
		At: stored.At, Node: c.Node, Actor: stored.Actor, Action: audit.TicketAccepted,
		Subject: fmt.Sprintf("ticket %d", stored.Ticket.Number), Detail: stored.Ticket.Reason,
		Ticket: stored.Ticket.Number,
	}
	entry.List(stored.Ticket.Diff(c.snapshot.Load()))
	trail, err := audit.Write(entry)
	if err != nil {
		return nil, err
	}
	writes = append(writes, trail)
	if writes, err = appendWrite(writes, headKey, held.version, next); err != nil {
		return nil, err
	}
	if writes, err = appendWrite(writes, ticketKey(stored.Ticket.Number), table.Absent, stored); err != nil {
		return nil, err
	}
	for _, entry := range entries {
		key := objectKey(entry.Key)
		record, err := c.Store.Get(ctx, key)
		if err != nil && !errors.Is(err, table.ErrNotFound) {
			return nil, err
		}
		if writes, err = appendWrite(writes, key, record.Version, entry); err != nil {
			return nil, err
		}
	}
	return writes, nil
}

func appendWrite(writes []table.Write, key table.Key, expect table.Version, body any) ([]table.Write, error) {
	text, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Wrap(err, key.Sort)
	}
	return append(writes, table.Write{Key: key, Expect: expect, Body: text}), nil
}

// record carries out the transaction and settles a lost answer. The head's
// version is a condition of every part, so once another transaction took
// effect a delayed copy of this one can't.
func (c *Controller) record(ctx context.Context, stored Stored, writes []table.Write) error {
	lost := false
	for range settleAttempts {
		err := c.Store.Transact(ctx, stored.Token, writes)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, table.ErrUnknown):
			lost = true
			c.counts.settled.Inc(1)
		case errors.Is(err, table.ErrConflict) && lost:
			return c.settle(ctx, stored)
		case lost:
			// The earlier copy may still take effect.
		default:
			return err
		}
		if !wait.For(ctx, c.jitter(retryPause)) {
			break
		}
	}
	return errors.Wrap(table.ErrUnknown, "accept")
}

// settle reads back whether a transaction whose answer was lost took effect.
func (c *Controller) settle(ctx context.Context, stored Stored) error {
	held, err := c.readTicket(ctx, stored.Ticket.Number)
	switch {
	case err == nil && held.Token == stored.Token:
		return nil
	case err == nil, errors.Is(err, table.ErrNotFound):
		return table.ErrConflict
	default:
		return errors.Wrap(table.ErrUnknown, err.Error())
	}
}
