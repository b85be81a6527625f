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

// Errors of Apply, to be tested with errors.Is. A ticket with invalid values
// fails with a [strictjson.FieldErrors] instead.
var (
	// ErrNumberTaken reports that a different ticket was accepted under the
	// number.
	ErrNumberTaken = errors.New("another ticket has this number")
	// ErrStale reports that an object changed by the ticket already has an
	// entry with the same or a higher ticket number.
	ErrStale = errors.New("the ticket is older than what it touches")
	// ErrTableOutdated reports that the table holds an older configuration than
	// this node, for example after the table was restored from a backup.
	ErrTableOutdated = errors.New("the table holds an older configuration than this node")
)

const (
	// maxAcceptAttempts is the maximum number of attempts to accept a ticket
	// while other tickets are accepted concurrently.
	maxAcceptAttempts = 20
	// maxCommitAttempts is the maximum number of times that one transaction is
	// sent while its outcome is unknown.
	maxCommitAttempts = 4
	retryPause        = 50 * time.Millisecond
)

// Accepted is the result of a successful Apply.
type Accepted struct {
	Number   fleet.TicketNumber `json:"number"`
	Revision Revision           `json:"revision"`
	// AlreadyAccepted is true if the same ticket had been accepted before this
	// call.
	AlreadyAccepted bool `json:"already"`
}

// Apply accepts a ticket or returns the reason for its refusal. A refused ticket
// changes nothing. Applying an accepted ticket again has no effect. If Apply
// fails with table.ErrOutcomeUnknown, the ticket may or may not have been
// accepted; applying it again determines which.
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
	for attempt := range maxAcceptAttempts {
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

// Check returns the error with which Apply would currently refuse the ticket,
// without changing anything.
func (c *Controller) Check(ctx context.Context, t ticket.Ticket) (err error) {
	c.init()
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "ticket %d", t.Number)
		}
	}()
	if _, found, err := c.findAccepted(ctx, t); found || err != nil {
		return err
	}
	latest, err := c.readHead(ctx)
	if err != nil {
		return err
	}
	if err := c.catchUp(ctx, latest); err != nil {
		return err
	}
	_, err = c.validate(t, latest)
	return err
}

// tryAccept validates the ticket against the newest configuration and records
// it. It fails with table.ErrConflict if another ticket was accepted
// concurrently.
func (c *Controller) tryAccept(ctx context.Context, t ticket.Ticket, actor string) (Accepted, error) {
	if accepted, found, err := c.findAccepted(ctx, t); found || err != nil {
		return accepted, err
	}
	latest, err := c.readHead(ctx)
	if err != nil {
		return Accepted{}, err
	}
	if err := c.catchUp(ctx, latest); err != nil {
		return Accepted{}, err
	}
	entries, err := c.validate(t, latest)
	if err != nil {
		return Accepted{}, err
	}
	stored := StoredTicket{
		Ticket: t, Revision: latest.Revision + 1, Actor: actor, AcceptedAt: time.Now().UTC(),
		Node: c.Node, Token: table.Token(uuid.NewString()),
	}
	writes, err := c.transactionWrites(ctx, latest, stored, entries)
	if err != nil {
		return Accepted{}, err
	}
	if err := c.commit(ctx, stored, writes); err != nil {
		return Accepted{}, err
	}
	c.counts.accepted.Inc(1)
	c.Log.InfoContext(ctx, "ticket accepted", "number", uint64(t.Number), "revision", uint64(stored.Revision), "actor", actor)
	c.publish(ctx, ticketPush{Revision: stored.Revision, Region: c.Region, Entries: entries})
	return Accepted{Number: t.Number, Revision: stored.Revision}, nil
}

// findAccepted looks up an accepted ticket with the same number. It fails with
// ErrNumberTaken if that ticket has other contents.
func (c *Controller) findAccepted(ctx context.Context, t ticket.Ticket) (accepted Accepted, found bool, err error) {
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
			stored.AcceptedAt.Format(time.RFC3339), stored.Actor)
	}
	return Accepted{Number: t.Number, Revision: stored.Revision, AlreadyAccepted: true}, true, nil
}

// validate checks the ticket against the configuration at the given head and
// returns the ticket's entries.
func (c *Controller) validate(t ticket.Ticket, latest head) ([]ticket.Entry, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.revision > latest.Revision {
		// Either a newer ticket was pushed by a neighbour after the head was
		// read, or the table has lost tickets.
		return nil, c.staleHeadError(latest)
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

// staleHeadError returns the error for a head older than the node's revision:
// ErrTableOutdated if the table has lost tickets, table.ErrConflict if another
// ticket was accepted concurrently. The caller holds the lock.
func (c *Controller) staleHeadError(latest head) error {
	if c.maxTableRevision > latest.Revision {
		return errors.Wrapf(ErrTableOutdated, "revision %d in the table, %d here", latest.Revision, c.maxTableRevision)
	}
	return table.ErrConflict
}

// transactionWrites returns the writes of the transaction that accepts a ticket.
func (c *Controller) transactionWrites(
	ctx context.Context, latest head, stored StoredTicket, entries []ticket.Entry,
) (writes []table.Write, err error) {
	next := latest.withTicket(stored.Ticket.Number, c.digestWith(entries))
	entry := audit.Entry{
		At: stored.AcceptedAt, Node: c.Node, Actor: stored.Actor, Action: audit.TicketAccepted,
		Subject: fmt.Sprintf("ticket %d", stored.Ticket.Number), Detail: stored.Ticket.Reason,
		Ticket: stored.Ticket.Number,
	}
	entry.SetChanges(stored.Ticket.Diff(c.snapshot.Load()))
	auditWrite, err := audit.NewWrite(entry)
	if err != nil {
		return nil, err
	}
	writes = append(writes, auditWrite)
	if writes, err = appendWrite(writes, headKey, latest.version, next); err != nil {
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
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Wrap(err, key.Sort)
	}
	return append(writes, table.Write{Key: key, Expect: expect, Body: encoded}), nil
}

// commit executes the transaction and determines its outcome if the answer is
// lost. The transaction requires the version of the head that was read, so once
// another transaction has taken effect a delayed copy of this one cannot.
func (c *Controller) commit(ctx context.Context, stored StoredTicket, writes []table.Write) error {
	outcomeUnknown := false
	for range maxCommitAttempts {
		err := c.Store.Transact(ctx, stored.Token, writes)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, table.ErrOutcomeUnknown):
			outcomeUnknown = true
			c.counts.lostAnswers.Inc(1)
		case errors.Is(err, table.ErrConflict) && outcomeUnknown:
			return c.resolveOutcome(ctx, stored)
		case outcomeUnknown:
			// A copy sent earlier may still take effect.
		default:
			return err
		}
		if !wait.For(ctx, c.jitter(retryPause)) {
			break
		}
	}
	return errors.Wrap(table.ErrOutcomeUnknown, "accept")
}

// resolveOutcome determines whether a transaction whose answer was lost took
// effect by reading the ticket's record. It returns table.ErrConflict if not.
func (c *Controller) resolveOutcome(ctx context.Context, stored StoredTicket) error {
	recorded, err := c.readTicket(ctx, stored.Ticket.Number)
	switch {
	case err == nil && recorded.Token == stored.Token:
		return nil
	case err == nil, errors.Is(err, table.ErrNotFound):
		return table.ErrConflict
	default:
		return errors.Wrap(table.ErrOutcomeUnknown, err.Error())
	}
}
