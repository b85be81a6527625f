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

// Guards against a next try that goes on at the version of the one before, which was given
// up without an answer of the store and whose record is written seconds later.
func TestRecordWrittenLateChangesNoNextTry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{C: qt.New(t), table: standin.NewTable()}
		late := &lateStore{Store: c.table}
		c.wrap = func(table.Store) table.Store { return late }
		for range 3 {
			defer c.start(old).stop()
		}
		time.Sleep(settled)
		c.list(old, next)
		late.set(100, 3*time.Second)
		ctx, leave := context.WithTimeout(context.Background(), time.Second)
		defer leave()
		c.Assert(c.nodes[0].Record(ctx, pool, "given up", next), qt.ErrorIs, ErrNotRecorded)
		c.begin(c.nodes[0], "next try", old)
		late.set(0, 0)
		time.Sleep(5 * time.Second)
		c.Check(c.records(), qt.Equals, 1)
		for _, node := range c.nodes {
			c.checkFound(node, "next try", old)
			c.checkFound(node, "given up", next)
		}
	})
}
