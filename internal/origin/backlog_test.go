package origin

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/standin"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// keepAll restores the store from a copy that lacks none of the records.
func (c *cluster) keepAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.era++
}

// Guards against new streams that are ended, since their records wait for those that are
// written again after a restoration of the store that has lost none of them.
func TestNewStreamsDoNotWaitForRecordsWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, old)
		c.list(old, next)
		for i := range 10 * maxCallStreams {
			c.begin(c.nodes[0], fleet.RequestID(fmt.Sprint("r", i)), next)
		}
		c.table.SetFaults(standin.TableFaults{Delay: 10 * time.Millisecond})
		c.keepAll()
		time.Sleep(checkInterval)
		for i := range 10 {
			began := time.Now()
			c.begin(c.nodes[0], fleet.RequestID(fmt.Sprint("new", i)), next)
			c.Check(time.Since(began) < maxRecordTime/4, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
			time.Sleep(100 * time.Millisecond)
		}
	})
}
