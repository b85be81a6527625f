package table

import (
	"context"
	"iter"
)

// All returns the records of a range in ascending order of sort key. They are queried
// in pages of the range's limit, each one after the records before it were used. An
// error comes without a record and ends the iteration.
func All(ctx context.Context, store Store, span Range) iter.Seq2[Record, error] {
	return func(yield func(Record, error) bool) {
		for {
			records, err := store.Query(ctx, span)
			if err != nil {
				yield(Record{}, err)
				return
			}
			for _, record := range records {
				if !yield(record, nil) {
					return
				}
			}
			if span.IsLast(len(records)) {
				return
			}
			span.After = records[len(records)-1].Key.Sort
		}
	}
}
