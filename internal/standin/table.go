package standin

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/table"
)

// TableFaults says how a [Table] misbehaves. The zero value is faultless.
type TableFaults struct {
	// Down makes every call fail with table.ErrUnavailable.
	Down bool
	// Delay is added to every call.
	Delay time.Duration
	// LoseAnswers makes that many of the next transactions take effect and
	// fail with table.ErrUnknown.
	LoseAnswers int
	// LoseRequests makes that many of the next transactions have no effect and
	// fail with table.ErrUnknown.
	LoseRequests int
}

// TableCounts counts the calls that reached a [Table].
type TableCounts struct {
	Gets, Queries, Transactions, Writes, Conflicts int
}

// Table is a table service in memory. It implements [table.Store], so tests use
// it without HTTP.
type Table struct {
	// MaxWrites is the maximum number of writes in a transaction; 0 means that of the
	// [TableServer]. It is set before use.
	MaxWrites int

	mu      sync.Mutex
	records map[table.Key]table.Record
	// sorted holds the sort keys of each partition in ascending order.
	sorted map[string][]string
	tokens map[table.Token]struct{}
	faults TableFaults
	counts TableCounts
}

var _ table.Store = (*Table)(nil)

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		records: make(map[table.Key]table.Record),
		sorted:  make(map[string][]string),
		tokens:  make(map[table.Token]struct{}),
	}
}

// maxWrites is the maximum number of writes in a transaction of a table service.
const maxWrites = 100

// Fit implements [table.Store].
func (t *Table) Fit(writes []table.Write) int {
	return min(len(writes), cmp.Or(t.MaxWrites, maxWrites))
}

// SetFaults replaces the faults.
func (t *Table) SetFaults(faults TableFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = faults
}

// Counts returns the calls so far.
func (t *Table) Counts() TableCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

// Snapshot returns the records of a partition whose sort keys have a prefix, past
// all faults and without being counted. It is for tests.
func (t *Table) Snapshot(partition, prefix string) []table.Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []table.Record
	for key, record := range t.records {
		if key.Partition == partition && strings.HasPrefix(key.Sort, prefix) {
			found = append(found, clone(record))
		}
	}
	return found
}

// Restore replaces the records of a partition by those of an earlier Snapshot, past all
// faults. It is for tests.
func (t *Table) Restore(partition string, records []table.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key := range t.records {
		if key.Partition == partition {
			delete(t.records, key)
		}
	}
	delete(t.sorted, partition)
	for _, record := range records {
		t.records[record.Key] = clone(record)
		t.sort(record.Key)
	}
}

// Get implements [table.Store].
func (t *Table) Get(ctx context.Context, key table.Key) (table.Record, error) {
	if err := t.enter(ctx); err != nil {
		return table.Record{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Gets++
	record, found := t.records[key]
	if !found {
		return table.Record{}, table.ErrNotFound
	}
	return clone(record), nil
}

// Query implements [table.Store].
func (t *Table) Query(ctx context.Context, span table.Range) ([]table.Record, error) {
	if err := t.enter(ctx); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Queries++
	limit := span.MaxRecords()
	sorted := t.sorted[span.Partition]
	start, exact := slices.BinarySearch(sorted, max(span.After, span.Prefix))
	if exact && span.After != "" && sorted[start] == span.After {
		start++
	}
	found := make([]table.Record, 0)
	for _, sort := range sorted[start:] {
		if len(found) == limit || !strings.HasPrefix(sort, span.Prefix) {
			break
		}
		found = append(found, clone(t.records[table.Key{Partition: span.Partition, Sort: sort}]))
	}
	return found, nil
}

// Transact implements [table.Store].
func (t *Table) Transact(ctx context.Context, token table.Token, writes []table.Write) error {
	if err := t.enter(ctx); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Transactions++
	if fit := t.Fit(writes); fit < len(writes) {
		return errors.Wrapf(table.ErrRejected, "transaction of %d writes, of which %d fit", len(writes), fit)
	}
	t.counts.Writes += len(writes)
	if t.faults.LoseRequests > 0 {
		t.faults.LoseRequests--
		return table.ErrOutcomeUnknown
	}
	if err := t.apply(token, writes); err != nil {
		t.counts.Conflicts++
		return err
	}
	if t.faults.LoseAnswers > 0 {
		t.faults.LoseAnswers--
		return table.ErrOutcomeUnknown
	}
	return nil
}

// apply carries out a transaction. The caller holds the lock.
func (t *Table) apply(token table.Token, writes []table.Write) error {
	if _, done := t.tokens[token]; done && token != "" {
		return nil
	}
	conflict := &conflictError{failed: make(map[int]bool)}
	for i, write := range writes {
		if t.records[write.Key].Version != write.Expect {
			conflict.failed[i] = true
		}
	}
	if len(conflict.failed) > 0 {
		return conflict
	}
	for _, write := range writes {
		switch {
		case write.CheckOnly:
		case write.Body == nil:
			delete(t.records, write.Key)
			t.unsort(write.Key)
		default:
			t.sort(write.Key)
			t.records[write.Key] = table.Record{
				Key: write.Key, Version: write.Expect + 1, Body: slices.Clone(write.Body),
			}
		}
	}
	t.tokens[token] = struct{}{}
	return nil
}

// sort adds a key to its partition's sorted list unless it is there. The caller
// holds the lock.
func (t *Table) sort(key table.Key) {
	list := t.sorted[key.Partition]
	if at, found := slices.BinarySearch(list, key.Sort); !found {
		t.sorted[key.Partition] = slices.Insert(list, at, key.Sort)
	}
}

// unsort removes a key from its partition's sorted list.
func (t *Table) unsort(key table.Key) {
	list := t.sorted[key.Partition]
	if at, found := slices.BinarySearch(list, key.Sort); found {
		t.sorted[key.Partition] = slices.Delete(list, at, at+1)
	}
}

// conflictError says which writes of a transaction failed, by their index.
type conflictError struct{ failed map[int]bool }

func (c *conflictError) Error() string { return table.ErrConflict.Error() }
func (c *conflictError) Unwrap() error { return table.ErrConflict }

// enter waits for the delay and fails if the table is down or the caller gave
// up.
func (t *Table) enter(ctx context.Context) error {
	t.mu.Lock()
	faults := t.faults
	t.mu.Unlock()
	if faults.Delay > 0 {
		select {
		case <-time.After(faults.Delay):
		case <-ctx.Done():
		}
	}
	if faults.Down || ctx.Err() != nil {
		return table.ErrUnavailable
	}
	return nil
}

func clone(record table.Record) table.Record {
	record.Body = slices.Clone(record.Body)
	return record
}
