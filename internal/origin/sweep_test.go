package origin

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/standin"
	"github.com/guavatrack/guavatrack/internal/table"
)

// longListing is how long a slowListStore takes to list the records of streams.
const longListing = sweepTimeout / 2

// slowListStore lists the records of streams slowly.
type slowListStore struct{ table.Store }

// Query implements table.Store.
func (s slowListStore) Query(ctx context.Context, span table.Range) ([]table.Record, error) {
	if span.Prefix == streamPrefix {
		time.Sleep(longListing)
	}
	return s.Store.Query(ctx, span)
}

// Guards against a stream that goes on at the base version since its record, lost with the
// restoration of the store, is not written again before the end of a long sweep.
func TestRecordsAreWrittenAgainDuringASweep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{
			C: qt.New(t), table: standin.NewTable(), wrap: func(store table.Store) table.Store { return slowListStore{store} },
		}
		for range 2 {
			defer c.start(old, next).stop()
		}
		time.Sleep(longListing + settled)
		c.begin(c.nodes[0], "a", next)
		time.Sleep(sweepInterval - longListing - settled/2)
		c.restore()
		time.Sleep(rewriteTime + settled)
		c.checkFound(c.nodes[1], "a", next)
	})
}
