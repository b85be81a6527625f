package table

import (
	"context"

	"github.com/go-faster/errors"
)

// WriteAll makes writes that don't depend on each other, in transactions into which they
// fit. A transaction that the service rejects is divided until only the writes that are
// themselves rejected are left, which it returns. It ends with the first other error; the
// writes before it may have taken effect.
func WriteAll(ctx context.Context, store Store, writes []Write) (rejected []Write, err error) {
	for len(writes) > 0 {
		batch := FirstBatch(store, writes)
		found, err := writeDivided(ctx, store, batch)
		rejected = append(rejected, found...)
		if err != nil {
			return rejected, err
		}
		writes = writes[len(batch):]
	}
	return rejected, nil
}

// FirstBatch returns the first of the writes, as many as fit into one transaction. A write that
// doesn't fit alone is a batch by itself, which the store rejects.
func FirstBatch(store Store, writes []Write) []Write {
	return writes[:min(len(writes), max(store.Fit(writes), 1))]
}

// writeDivided makes writes in one transaction, or in several if it is rejected.
func writeDivided(ctx context.Context, store Store, writes []Write) (rejected []Write, err error) {
	err = store.Transact(ctx, "", writes)
	switch {
	case !errors.Is(err, ErrRejected):
		return nil, err
	case len(writes) == 1:
		return writes, nil
	}
	half := len(writes) / 2
	if rejected, err = writeDivided(ctx, store, writes[:half]); err != nil {
		return rejected, err
	}
	others, err := writeDivided(ctx, store, writes[half:])
	return append(rejected, others...), err
}
