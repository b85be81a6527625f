// Package audit stores the audit trail in the table service.
//
// An [Entry] is stored in the partition of its day and is never changed. The sort key
// starts with the time, so the entries of a day are read in order of time. A writer
// whose response was lost writes the same entry again. The key is the same, so the
// entry is stored once.
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

// Actions that other packages record.
const (
	TicketAccepted Action = "ticket.accepted"
	TicketRefused  Action = "ticket.refused"
	NodeDrained    Action = "node.drained"
)

// Entry is one record of the audit trail.
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
	// Changes are the changed values, before and after: the first [MaxChanges].
	Changes []ticket.Change `json:"changes,omitempty"`
	// OmittedChanges is the number of changes beyond those listed.
	OmittedChanges int `json:"left,omitempty"`
}

// MaxChanges bounds the changes that one entry lists, so that the entry fits
// into one item of the table service.
const MaxChanges = 200

// SetChanges sets the entry's changes to those of a ticket, up to [MaxChanges].
func (e *Entry) SetChanges(changes []ticket.Change) {
	listed := min(len(changes), MaxChanges)
	e.Changes, e.OmittedChanges = changes[:listed], len(changes)-listed
}

const (
	partitionPrefix = "audit/"
	dayFormat       = "2006-01-02"
	// sortKeyTimeFormat has a fixed width, so that lexical order is order of time.
	sortKeyTimeFormat = "15:04:05.000000000"
	// maxAttempts bounds the attempts at a write whose response was lost.
	maxAttempts = 3
	// maxDays bounds the days that one call of List reads.
	maxDays = 31
	// defaultLimit bounds the entries that List returns if the query has no limit.
	defaultLimit = 1000
)

// NewWrite returns the table write that stores the entry, for use in a transaction that
// commits a change together with its audit entry. It sets ID and At if they are
// unset.
func NewWrite(entry Entry) (table.Write, error) {
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
		Sort:      entry.At.Format(sortKeyTimeFormat) + "/" + entry.ID,
	}
	return table.Write{Key: key, Expect: table.Absent, Body: body}, nil
}

// Log reads and writes the audit trail.
type Log struct {
	Store table.Store
}

// Append writes one entry. It returns [table.ErrOutcomeUnknown] if it is unknown after the
// last attempt whether the entry was stored.
func (l *Log) Append(ctx context.Context, entry Entry) (err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "audit %s of %s", entry.Action, entry.Subject)
		}
	}()
	write, err := NewWrite(entry)
	if err != nil {
		return err
	}
	token := table.Token(uuid.NewString())
	for range maxAttempts {
		err = l.Store.Transact(ctx, token, []table.Write{write})
		if !errors.Is(err, table.ErrOutcomeUnknown) {
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
	// From (inclusive) and To (exclusive) bound the time of the entries.
	From, To time.Time
	// Limit is the maximum number of entries; 0 means 1000.
	Limit int
}

// List returns entries in ascending order of time. A period of more than 31 days is an
// error.
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
		if entries, err = l.appendDay(ctx, entries, day, from, to, limit); err != nil {
			return nil, err
		}
	}
	return entries, nil
}

// appendDay appends the selected entries of one day.
func (l *Log) appendDay(ctx context.Context, entries []Entry, day, from, to time.Time, limit int) ([]Entry, error) {
	keyRange := table.Range{Partition: partitionPrefix + day.Format(dayFormat)}
	if from.After(day) {
		keyRange.After = from.Add(-time.Nanosecond).Format(sortKeyTimeFormat) + "0"
	}
	for record, err := range table.All(ctx, l.Store, keyRange) {
		if err != nil {
			return nil, err
		}
		var entry Entry
		if err := json.Unmarshal(record.Body, &entry); err != nil {
			return nil, errors.Wrap(err, record.Key.Sort)
		}
		if entry.At.Before(from) || !entry.At.Before(to) {
			continue
		}
		if entries = append(entries, entry); len(entries) >= limit {
			return entries, nil
		}
	}
	return entries, nil
}
