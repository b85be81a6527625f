package config

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/ticket"
)

// Revision is the number of tickets accepted so far. It numbers tickets in the
// order of their acceptance.
type Revision uint64

const (
	headPartition   = "config"
	headSort        = "head"
	ticketPartition = "tickets"
	objectPartition = "objects"
	// recentTickets is the number of tickets listed in the head record. A node
	// that lags by no more than these reads only the tickets that it lacks.
	recentTickets = 64
)

var headKey = table.Key{Partition: headPartition, Sort: headSort}

// head is the body of the head record, which every accepted ticket updates.
type head struct {
	Revision Revision      `json:"revision"`
	Digest   ticket.Digest `json:"digest"`
	// Recent holds the numbers of the latest tickets in order of acceptance.
	Recent []fleet.TicketNumber `json:"recent"`

	version table.Version
}

// ticketsSince returns the numbers of the tickets accepted after a revision. It
// returns false if the head record does not list all of them.
func (h head) ticketsSince(revision Revision) ([]fleet.TicketNumber, bool) {
	newer := int(h.Revision - revision)
	if revision > h.Revision || newer > len(h.Recent) {
		return nil, false
	}
	return h.Recent[len(h.Recent)-newer:], true
}

// withTicket returns the head record as it is after one more ticket.
func (h head) withTicket(number fleet.TicketNumber, digest ticket.Digest) head {
	recent := append(slices.Clone(h.Recent), number)
	return head{
		Revision: h.Revision + 1,
		Digest:   digest,
		Recent:   recent[max(0, len(recent)-recentTickets):],
	}
}

// StoredTicket is the table record of an accepted ticket.
type StoredTicket struct {
	Ticket     ticket.Ticket `json:"ticket"`
	Revision   Revision      `json:"revision"`
	Actor      string        `json:"actor"`
	AcceptedAt time.Time     `json:"at"`
	Node       fleet.NodeID  `json:"node"`
	// Token is the token of the transaction that recorded the ticket.
	Token table.Token `json:"token"`
}

func ticketKey(number fleet.TicketNumber) table.Key {
	return table.Key{Partition: ticketPartition, Sort: fmt.Sprintf("%020d", number)}
}

func objectKey(key ticket.Key) table.Key {
	return table.Key{Partition: objectPartition, Sort: key.String()}
}

// sameContent reports whether two tickets set the same objects to identical
// bodies.
func sameContent(a, b ticket.Ticket) (bool, error) {
	first, err := sortedEntries(a)
	if err != nil {
		return false, err
	}
	second, err := sortedEntries(b)
	if err != nil {
		return false, err
	}
	return slices.EqualFunc(first, second, func(x, y ticket.Entry) bool {
		return x.Key == y.Key && x.Body == y.Body
	}), nil
}

func sortedEntries(t ticket.Ticket) ([]ticket.Entry, error) {
	entries, err := t.Entries()
	slices.SortFunc(entries, func(a, b ticket.Entry) int { return strings.Compare(a.String(), b.String()) })
	return entries, err
}

// readHead reads the head record. It returns an empty head if no ticket has
// been accepted yet.
func (c *Controller) readHead(ctx context.Context) (latest head, err error) {
	if latest.version, err = table.ReadJSON(ctx, c.Store, headKey, &latest); err != nil {
		return head{}, errors.Wrap(err, "head of the configuration")
	}
	return latest, nil
}

// Ticket reads an accepted ticket. It fails with table.ErrNotFound if no ticket
// has been accepted under the number.
func (c *Controller) Ticket(ctx context.Context, number fleet.TicketNumber) (stored StoredTicket, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "ticket %d", number)
		}
	}()
	return c.readTicket(ctx, number)
}

func (c *Controller) readTicket(ctx context.Context, number fleet.TicketNumber) (stored StoredTicket, err error) {
	record, err := c.Store.Get(ctx, ticketKey(number))
	if err != nil {
		return StoredTicket{}, err
	}
	err = json.Unmarshal(record.Body, &stored)
	return stored, err
}

// Tickets reads up to limit accepted tickets with numbers greater than after, in
// ascending order of number.
func (c *Controller) Tickets(ctx context.Context, after fleet.TicketNumber, limit int) ([]StoredTicket, error) {
	span := table.Range{Partition: ticketPartition, Limit: limit}
	if after > 0 {
		span.After = ticketKey(after).Sort
	}
	records, err := c.Store.Query(ctx, span)
	if err != nil {
		return nil, errors.Wrap(err, "tickets")
	}
	list := make([]StoredTicket, 0, len(records))
	for _, record := range records {
		var stored StoredTicket
		if err := json.Unmarshal(record.Body, &stored); err != nil {
			return nil, errors.Wrapf(err, "ticket %s", record.Key.Sort)
		}
		list = append(list, stored)
	}
	return list, nil
}

// readObjects reads the entries of all objects from the table.
func (c *Controller) readObjects(ctx context.Context) ([]ticket.Entry, error) {
	var entries []ticket.Entry
	for record, err := range table.All(ctx, c.Store, table.Range{Partition: objectPartition}) {
		if err != nil {
			return nil, errors.Wrap(err, "objects")
		}
		var entry ticket.Entry
		if err := json.Unmarshal(record.Body, &entry); err != nil {
			return nil, errors.Wrapf(err, "object %s", record.Key.Sort)
		}
		entries = append(entries, entry)
	}
	return entries, nil
}
