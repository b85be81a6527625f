// Package table defines the interface of the transactional table service that
// guavatrack uses.
//
// The table stores state that nodes must agree on or that must outlive them:
// accepted tickets, grants, claims of non-idempotent calls and the audit trail.
// A [Record] is identified by a partition and a sort key. It has a version,
// which each write increments by one, and a JSON body. All writes go through
// [Store.Transact], which applies all writes of a transaction or none.
//
// A transaction has three possible outcomes. Without an error it took effect.
// With [ErrConflict], [ErrUnavailable] or [ErrRejected] it did not take effect and never
// will.
// With [ErrOutcomeUnknown] the answer was lost and the outcome is unknown: the
// calling code must read the affected records, or send the same transaction
// again under the same token, before it relies on either outcome.
package table

import (
	"context"

	"github.com/go-faster/errors"
)

// Errors of a [Store], to be tested with errors.Is.
var (
	// ErrNotFound reports that no record exists under the key.
	ErrNotFound = errors.New("record not found")
	// ErrConflict reports that a condition did not hold and nothing was written.
	ErrConflict = errors.New("condition failed")
	// ErrUnavailable reports that the service throttled the call or was
	// unreachable, and that nothing was written.
	ErrUnavailable = errors.New("table unavailable")
	// ErrThrottled is the [ErrUnavailable] of a service that answers, but turns the call
	// away for now.
	ErrThrottled = errors.Wrap(ErrUnavailable, "too many calls")
	// ErrRejected reports that the service refuses the call for what it asks, such as a
	// transaction beyond a bound. Nothing was written, and the same call would be refused
	// again.
	ErrRejected = errors.New("call rejected by the table")
	// ErrOutcomeUnknown reports that the answer was lost and the transaction may
	// or may not have taken effect.
	ErrOutcomeUnknown = errors.New("outcome of the write unknown")
)

// Key is the primary key of a record.
type Key struct {
	Partition string
	Sort      string
}

// Version orders the states of a record. It is the number of writes to the record,
// the first of which sets it to 1, plus the era of the store in the high bits: a store
// that is restored from an older copy of itself begins a new era, in which it gives
// out again numbers that it had given out before.
type Version uint64

// Era is the number of times that a store has been restored.
type Era uint64

// eraShift is the position of the era in a version. The number of writes to a record
// fits below it.
const eraShift = 40

// VersionIn returns the version of a record with a number of writes in an era.
func VersionIn(era Era, writes uint64) Version { return Version(uint64(era)<<eraShift | writes) }

// Era returns the era in which the record was read or written.
func (v Version) Era() Era { return Era(v >> eraShift) }

// Writes returns the number of writes to the record.
func (v Version) Writes() uint64 { return uint64(v) & (1<<eraShift - 1) }

// Absent is the version of a record that doesn't exist.
const Absent Version = 0

// Record is a record of the table.
type Record struct {
	Key     Key
	Version Version
	Body    []byte
}

// Token makes a transaction idempotent: transactions sent several times under
// one token take effect once. It has 1 to 36 characters.
type Token string

// Write is one write of a transaction. The transaction is applied only if the
// record's version equals Expect. An Expect of [Absent] requires that the record
// does not exist.
type Write struct {
	Key    Key
	Expect Version
	// Body is the new body. A nil Body deletes the record, or leaves it unchanged
	// if CheckOnly is set.
	Body []byte
	// CheckOnly makes the write a version condition that changes nothing.
	CheckOnly bool
}

// Range selects records of one partition in ascending order of sort key.
type Range struct {
	Partition string
	// Prefix restricts the result to sort keys with this prefix. Empty means all.
	Prefix string
	// After excludes sort keys up to and including this one.
	After string
	// Limit is the maximum number of records to return; 0 means [DefaultLimit].
	Limit int
}

// DefaultLimit is the maximum number of records that a query returns if its range has
// no limit.
const DefaultLimit = 1000

// MaxRecords returns the maximum number of records that a query of the range returns.
func (r Range) MaxRecords() int {
	if r.Limit == 0 {
		return DefaultLimit
	}
	return r.Limit
}

// IsLast reports whether a result of the given number of records is the end of the
// range: a query returns fewer records than it may only if there are no more.
func (r Range) IsLast(records int) bool { return records < r.MaxRecords() }

// Store is a table service. Its methods may be called concurrently.
type Store interface {
	// Get reads one record with strong consistency. It fails with ErrNotFound or
	// ErrUnavailable.
	Get(ctx context.Context, key Key) (Record, error)
	// Query reads a range. It returns fewer records than the range allows only if
	// there are no more. Each record is read with strong consistency, but the result
	// is not a snapshot. It fails with ErrUnavailable.
	Query(ctx context.Context, span Range) ([]Record, error)
	// Transact applies all writes or none. It fails with ErrConflict,
	// ErrUnavailable, ErrRejected or ErrOutcomeUnknown.
	Transact(ctx context.Context, token Token, writes []Write) error
	// Fit returns how many of the writes, from the first one on, fit into one
	// transaction. It makes no call. More writes are rejected by Transact.
	Fit(writes []Write) int
}

// Answered reports whether the error of a call shows that the service is reachable.
func Answered(err error) bool {
	for _, answer := range []error{ErrNotFound, ErrConflict, ErrThrottled, ErrRejected} {
		if errors.Is(err, answer) {
			return true
		}
	}
	return err == nil
}

// NotWritten reports whether the error of a transaction says that nothing was written,
// other than for a conflict.
func NotWritten(err error) bool {
	return errors.Is(err, ErrUnavailable) || errors.Is(err, ErrRejected)
}
