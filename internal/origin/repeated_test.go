package origin

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/standin"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Guards against two streams of one request id whose records come in one transaction, so
// that the store keeps only one of two versions and both streams begin.
func TestRequestThatBeginsTwoStreamsAtOnceIsRecordedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, old)
		c.list(old, next, "v3")
		c.table.SetFaults(standin.TableFaults{Delay: 10 * time.Millisecond})
		go func() { _ = c.nodes[0].Record(context.Background(), pool, "first", next) }()
		synctest.Wait()
		var begun atomic.Int32
		for _, software := range []fleet.SoftwareVersion{next, "v3"} {
			go func() {
				if c.nodes[0].Record(context.Background(), pool, "a", software) == nil {
					begun.Add(1)
				}
			}()
		}
		time.Sleep(settled)
		c.Check(begun.Load(), qt.Equals, int32(1))
	})
}
