package origin

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/standin"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Guards against streams that a node which lost the store ends, since one request of the same
// transaction had begun another stream before.
func TestOneConflictEndsNoOtherStreamsAtANodeThatLostTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, old)
		c.list(old, next, "v3")
		c.begin(c.nodes[1], "a", "v3")
		c.nodes[0].store.setCut(true)
		c.table.SetFaults(standin.TableFaults{Delay: 10 * time.Millisecond})
		go func() { _ = c.nodes[0].Record(context.Background(), pool, "first", next) }()
		synctest.Wait()
		go func() { _ = c.nodes[0].Record(context.Background(), pool, "a", next) }()
		errs := make(chan error, 5)
		for i := range 5 {
			go func() {
				errs <- c.nodes[0].Record(context.Background(), pool, fleet.RequestID(fmt.Sprint("r", i)), next)
			}()
		}
		for range 5 {
			c.Check(<-errs, qt.IsNil)
		}
	})
}
