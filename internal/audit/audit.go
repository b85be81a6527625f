// Package audit keeps the trail of changes in the table service.
//
// An [Entry] is written under its day and is never changed. The sort key starts
// with the time, so a day is read in the order of the entries' times. A writer
// that lost the answer writes the same entry again: the key is the same, so it
// is there once.
package audit

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/ticket"
)

// Action names what was done, such as "ticket.accepted".
type Action string

// Actions of the package's users.
const (
	TicketAccepted Action = "ticket.accepted"
	TicketRefused  Action = "ticket.refused"
	NodeDrained    Action = "node.drained"
)

// Entry is one line of the trail.
type Entry struct {
	ID     string       `json:"id"`
	At     time.Time    `json:"at"`
	Node   fleet.NodeID `json:"node"`
	Actor  string       `json:"actor"`
	Action Action       `json:"action"`
	// Subject is what was acted on, such as "ticket 17".
	Subject string `json:"subject"`
	Detail  string `json:"detail,omitempty"`
	// Ticket is the number of the ticket that made the change, if one did.
	Ticket fleet.TicketNumber `json:"ticket,omitempty"`
	// Changes are the values before and after, the first [MaxChanges] of them.
	Changes []ticket.Change `json:"changes,omitempty"`
	// Left is the number of further changes.
	Left int `json:"left,omitempty"`
}

// MaxChanges bounds the changes that one entry lists, so that it fits into one
// item of the table service.
const MaxChanges = 200

// List puts the changes of a ticket into the entry.
func (e *Entry) List(changes []ticket.Change) {
	listed := min(len(changes), MaxChanges)
	e.Changes, e.Left = changes[:listed], len(changes)-listed
}

const (
	partitionPrefix = "audit/"
	dayFormat       = "2006-01-02"
	// sortFormat has a fixed width, so that text order is time order.
	sortFormat = "15:04:05.000000000"
	// attempts bounds the repetitions of a write whose answer was lost.
	attempts = 3
	// maxDays bounds the days that one call of List reads.
	maxDays = 31
	// defaultLimit is the number of entries that List returns.
	defaultLimit = 1000
)

// Write returns the entry as a part of a transaction, so that a change and its
// line in the trail are made together. It completes ID and At if they are
// unset.
func Write(entry Entry) (table.Write, error) {
	if entry.ID == "" {
		entry.ID = uuid.NewString()
	}
	if entry.At.IsZero() {
		entry.At = time.Now()
	}
	entry.At = entry.At.UTC()
	body, err := json.Marshal(entry)
	if err != nil {
		return table.Write{}, errors.Wrapf(err, "audit entry %s", entry.ID)
	}
	key := table.Key{
		Partition: partitionPrefix + entry.At.Format(dayFormat),
		Sort:      entry.At.Format(sortFormat) + "/" + entry.ID,
	}
	return table.Write{Key: key, Expect: table.Absent, Body: body}, nil
}

// Log is the trail.
type Log struct {
	Store table.Store
}

// Append writes one entry. An entry whose fate stays unknown is reported as
// table.ErrUnknown.
func (l *Log) Append(ctx context.Context, entry Entry) (err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "audit %s of %s", entry.Action, entry.Subject)
		}
	}()
	write, err := Write(entry)
	if err != nil {
		return err
	}
	token := table.Token(uuid.NewString())
	for range attempts {
		err = l.Store.Transact(ctx, token, []table.Write{write})
		if !errors.Is(err, table.ErrUnknown) {
			break
		}
	}
	if errors.Is(err, table.ErrConflict) {
		return nil
	}
	return err
}

// Query selects entries.
type Query struct {
	// From and To bound the time of the entries, To excluded.
	From, To time.Time
	// Limit is the largest number of entries; 0 means 1000.
	Limit int
}

// List returns entries in ascending order of time.
func (l *Log) List(ctx context.Context, query Query) (entries []Entry, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "audit list")
		}
	}()
	limit := query.Limit
	if limit <= 0 {
		limit = defaultLimit
	}
	from, to := query.From.UTC(), query.To.UTC()
	if to.Sub(from) > maxDays*24*time.Hour {
		return nil, errors.Errorf("more than %d days", maxDays)
	}
	for day := from.Truncate(24 * time.Hour); day.Before(to) && len(entries) < limit; day = day.AddDate(0, 0, 1) {
		if entries, err = l.day(ctx, entries, day, from, to, limit); err != nil {
			return nil, err
		}
	}
	return entries, nil
}

// day appends the entries of one day.
func (l *Log) day(ctx context.Context, entries []Entry, day, from, to time.Time, limit int) ([]Entry, error) {
	span := table.Range{Partition: partitionPrefix + day.Format(dayFormat)}
	if from.After(day) {
		span.After = from.Add(-time.Nanosecond).Format(sortFormat) + "0"
	}
	for {
		records, err := l.Store.Query(ctx, span)
		if err != nil {
			return nil, err
		}
		for _, record := range records {
			var entry Entry
			if err := json.Unmarshal(record.Body, &entry); err != nil {
				return nil, errors.Wrap(err, record.Key.Sort)
			}
			span.After = record.Key.Sort
			if entry.At.Before(from) || !entry.At.Before(to) {
				continue
			}
			if entries = append(entries, entry); len(entries) >= limit {
				return entries, nil
			}
		}
		if len(records) == 0 {
			return entries, nil
		}
	}
}
