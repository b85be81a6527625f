// Package table describes the part of a transactional table service that
// guavatrack uses.
//
// What nodes must agree on or what must outlast them lives in the table: the
// accepted tickets, the grants, the claims of non-idempotent calls and the
// audit trail. A [Record] is found under a partition and a sort key, carries a
// version that every write raises by one, and holds a JSON body. All writes go
// through [Store.Transact], which applies all of its writes or none.
//
// A write has three ends. Without error it took effect. With [ErrConflict] or
// [ErrUnavailable] it did not and never will. With [ErrUnknown] the answer was
// lost: the caller must read back what the write would have changed, or send
// the same transaction under the same token again, before it believes either.
package table

import (
	"context"

	"github.com/go-faster/errors"
)

// Errors of a [Store], to be tested with errors.Is.
var (
	// ErrNotFound says that there is no record under the key.
	ErrNotFound = errors.New("record not found")
	// ErrConflict says that a condition did not hold and nothing was written.
	ErrConflict = errors.New("condition failed")
	// ErrUnavailable says that the service refused the call, by throttling or
	// because it could not be reached, and that nothing was written.
	ErrUnavailable = errors.New("table unavailable")
	// ErrUnknown says that the answer was lost and the write may or may not
	// have taken effect.
	ErrUnknown = errors.New("outcome of the write unknown")
)

// Key is the primary key of a record.
type Key struct {
	Partition string
	Sort      string
}

// Version counts the writes to a record. The first write makes it 1.
type Version uint64

// Absent is the version of a record that does not exist.
const Absent Version = 0

// Record is one item of the table.
type Record struct {
	Key     Key
	Version Version
	Body    []byte
}

// Token makes a transaction idempotent: a second transaction under the same
// token takes effect once. It has 1 to 36 characters.
type Token string

// Write is one part of a transaction. It applies only if the record's version
// is Expect; Expect [Absent] means that the record must not exist.
type Write struct {
	Key    Key
	Expect Version
	// Body is the new body. A nil Body deletes the record, or, with CheckOnly,
	// leaves it as it is.
	Body []byte
	// CheckOnly makes the write a condition without an effect.
	CheckOnly bool
}

// MaxWrites is the largest number of writes in one transaction.
const MaxWrites = 100

// Range selects records of one partition in ascending order of sort key.
type Range struct {
	Partition string
	// Prefix restricts the sort keys. Empty means all.
	Prefix string
	// After skips sort keys up to and including it.
	After string
	// Limit is the largest number of records to return; 0 means 1000.
	Limit int
}

// Store is a table service. Its methods may be called from several goroutines.
type Store interface {
	// Get reads one record consistently. It fails with ErrNotFound or
	// ErrUnavailable.
	Get(ctx context.Context, key Key) (Record, error)
	// Query reads a range consistently, record by record though not as one
	// snapshot. It fails with ErrUnavailable.
	Query(ctx context.Context, span Range) ([]Record, error)
	// Transact applies all writes or none. It fails with ErrConflict,
	// ErrUnavailable or ErrUnknown.
	Transact(ctx context.Context, token Token, writes []Write) error
}
