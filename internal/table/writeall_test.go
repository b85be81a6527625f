package table_test

import (
	"context"
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/guavatrack/guavatrack/internal/table"
)

// rejectingStore rejects transactions with too many writes or with one of some keys, and
// keeps the keys that were written.
type rejectingStore struct {
	table.Store
	maxWrites int
	rejects   []string
	written   []string
}

func (s *rejectingStore) Fit(writes []table.Write) int { return min(len(writes), s.maxWrites) }

func (s *rejectingStore) Transact(_ context.Context, _ table.Token, writes []table.Write) error {
	for _, write := range writes {
		if len(writes) > s.maxWrites || slices.Contains(s.rejects, write.Key.Sort) {
			return table.ErrRejected
		}
	}
	for _, write := range writes {
		s.written = append(s.written, write.Key.Sort)
	}
	return nil
}

// TestWriteAllLeavesOutOnlyWhatIsRejected guards against a write that the store rejects and
// that keeps others of its transaction from being made, and against one that is made twice.
func TestWriteAllLeavesOutOnlyWhatIsRejected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &rejectingStore{maxWrites: rapid.IntRange(1, 10).Draw(t, "maxWrites")}
		count := rapid.IntRange(0, 40).Draw(t, "writes")
		writes := make([]table.Write, 0, count)
		var good, bad []string
		for i := range count {
			sort := fmt.Sprint(i)
			writes = append(writes, table.Write{Key: table.Key{Sort: sort}})
			if rapid.IntRange(0, 5).Draw(t, "kind") == 0 {
				bad = append(bad, sort)
			} else {
				good = append(good, sort)
			}
		}
		store.rejects = bad
		rejected, err := table.WriteAll(context.Background(), store, writes)
		found := make([]string, 0, len(rejected))
		for _, write := range rejected {
			found = append(found, write.Key.Sort)
		}
		if err != nil || !slices.Equal(found, bad) || !slices.Equal(store.written, good) {
			t.Fatalf("%v: rejected %q, not %q; written %q, not %q", err, found, bad, store.written, good)
		}
	})
}

// TestAnswersAreToldFromOutages guards against a store that answers and counts as away.
func TestAnswersAreToldFromOutages(t *testing.T) {
	c := qt.New(t)
	for _, err := range []error{nil, table.ErrNotFound, table.ErrConflict, table.ErrThrottled, table.ErrRejected} {
		c.Check(table.Answered(err), qt.IsTrue, qt.Commentf("%v", err))
	}
	for _, err := range []error{table.ErrUnavailable, table.ErrOutcomeUnknown, context.DeadlineExceeded} {
		c.Check(table.Answered(err), qt.IsFalse, qt.Commentf("%v", err))
	}
	c.Check(table.NotWritten(table.ErrThrottled), qt.IsTrue)
	c.Check(table.NotWritten(table.ErrConflict), qt.IsFalse)
}
