package table

import (
	"context"
	"encoding/json"

	"github.com/go-faster/errors"
)

// ReadJSON reads a record and decodes its body into out, a pointer. A record that
// doesn't exist has the version [Absent] and leaves out unchanged.
func ReadJSON(ctx context.Context, store Store, key Key, out any) (version Version, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "read record %s/%s", key.Partition, key.Sort)
		}
	}()
	record, err := store.Get(ctx, key)
	switch {
	case errors.Is(err, ErrNotFound):
		return Absent, nil
	case err != nil:
		return Absent, err
	default:
		return record.Version, json.Unmarshal(record.Body, out)
	}
}
