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

// Revision counts accepted tickets. It orders them as they were accepted.
type Revision uint64

const (
	headPartition   = "config"
	headSort        = "head"
	ticketPartition = "tickets"
	objectPartition = "objects"
	// recentTickets is the number of tickets that the head lists, so that a
	// node that is a little behind reads only those.
	recentTickets = 64
)

var headKey = table.Key{Partition: headPartition, Sort: headSort}

// head is the record that every accepted ticket changes.
type head struct {
	Revision Revision      `json:"revision"`
	Digest   ticket.Digest `json:"digest"`
	// Recent holds the numbers of the last tickets, the newest last.
	Recent []fleet.TicketNumber `json:"recent"`

	version table.Version
}

// since returns the numbers of the tickets after a revision, if they are all
// listed.
func (h head) since(revision Revision) ([]fleet.TicketNumber, bool) {
	missing := int(h.Revision - revision)
	if revision > h.Revision || missing > len(h.Recent) {
		return nil, false
	}
	return h.Recent[len(h.Recent)-missing:], true
}

// with returns the head after one more ticket.
func (h head) with(number fleet.TicketNumber, digest ticket.Digest) head {
	recent := append(slices.Clone(h.Recent), number)
	return head{
		Revision: h.Revision + 1,
		Digest:   digest,
		Recent:   recent[max(0, len(recent)-recentTickets):],
	}
}

// Stored is an accepted ticket as it is kept.
type Stored struct {
	Ticket   ticket.Ticket `json:"ticket"`
	Revision Revision      `json:"revision"`
	Actor    string        `json:"actor"`
	At       time.Time     `json:"at"`
	Node     fleet.NodeID  `json:"node"`
	// Token is that of the transaction that recorded the ticket.
	Token table.Token `json:"token"`
}

func ticketKey(number fleet.TicketNumber) table.Key {
	return table.Key{Partition: ticketPartition, Sort: fmt.Sprintf("%020d", number)}
}

func objectKey(key ticket.Key) table.Key {
	return table.Key{Partition: objectPartition, Sort: key.String()}
}

// sameContent reports whether two tickets set the same objects to the same
// contents.
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

// readHead reads the head record; before the first ticket it is empty.
func (c *Controller) readHead(ctx context.Context) (held head, err error) {
	record, err := c.Store.Get(ctx, headKey)
	if errors.Is(err, table.ErrNotFound) {
		return head{}, nil
	}
	if err != nil {
		return head{}, errors.Wrap(err, "head of the configuration")
	}
	if err := json.Unmarshal(record.Body, &held); err != nil {
		return head{}, errors.Wrap(err, "head of the configuration")
	}
	held.version = record.Version
	return held, nil
}

// Ticket reads an accepted ticket. It fails with table.ErrNotFound if there is
// none of that number.
func (c *Controller) Ticket(ctx context.Context, number fleet.TicketNumber) (stored Stored, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "ticket %d", number)
		}
	}()
	return c.readTicket(ctx, number)
}

func (c *Controller) readTicket(ctx context.Context, number fleet.TicketNumber) (stored Stored, err error) {
	record, err := c.Store.Get(ctx, ticketKey(number))
	if err != nil {
		return Stored{}, err
	}
	err = json.Unmarshal(record.Body, &stored)
	return stored, err
}

// Tickets reads accepted tickets in ascending order of number, those after a
// number, at most limit of them.
func (c *Controller) Tickets(ctx context.Context, after fleet.TicketNumber, limit int) ([]Stored, error) {
	span := table.Range{Partition: ticketPartition, Limit: limit}
	if after > 0 {
		span.After = ticketKey(after).Sort
	}
	records, err := c.Store.Query(ctx, span)
	if err != nil {
		return nil, errors.Wrap(err, "tickets")
	}
	list := make([]Stored, 0, len(records))
	for _, record := range records {
		var stored Stored
		if err := json.Unmarshal(record.Body, &stored); err != nil {
			return nil, errors.Wrapf(err, "ticket %s", record.Key.Sort)
		}
		list = append(list, stored)
	}
	return list, nil
}

// readObjects reads the entries of all objects.
func (c *Controller) readObjects(ctx context.Context) ([]ticket.Entry, error) {
	var entries []ticket.Entry
	span := table.Range{Partition: objectPartition}
	for {
		records, err := c.Store.Query(ctx, span)
		if err != nil {
			return nil, errors.Wrap(err, "objects")
		}
		if len(records) == 0 {
			return entries, nil
		}
		for _, record := range records {
			span.After = record.Key.Sort
			var entry ticket.Entry
			if err := json.Unmarshal(record.Body, &entry); err != nil {
				return nil, errors.Wrapf(err, "object %s", record.Key.Sort)
			}
			entries = append(entries, entry)
		}
	}
}
