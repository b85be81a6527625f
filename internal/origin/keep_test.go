package origin

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/standin"
)

// Guards against a stream that goes on at the base version since its record was lost with
// the restoration of the store, and the node that wrote it with it.
func TestRecordIsWrittenAgainForANodeThatIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4, old)
		c.list(old, next)
		c.begin(c.nodes[0], "a", next)
		time.Sleep(time.Second)
		c.nodes[0].stop()
		c.network.SetUnresponsive("n0", true)
		c.restore()
		time.Sleep(2 * rewriteTime)
		for _, node := range c.nodes[1:] {
			c.checkFound(node, "a", next)
		}
		c.Check(c.records(), qt.Equals, 1)
	})
}

// Guards against the same of a record whose answer of the store was lost.
func TestRecordWithoutAnAnswerIsWrittenAgainForANodeThatIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, old)
		c.list(old, next)
		c.table.SetFaults(standin.TableFaults{LoseAnswers: 1})
		c.network.SetUnresponsive("n2", true)
		c.begin(c.nodes[0], "a", next)
		time.Sleep(time.Second)
		c.network.SetUnresponsive("n2", false)
		c.nodes[0].stop()
		c.network.SetUnresponsive("n0", true)
		c.restore()
		time.Sleep(2 * rewriteTime)
		c.checkFound(c.nodes[2], "a", next)
	})
}

// Guards against records that are kept for ever.
func TestKeptRecordsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, old)
		c.list(old, next)
		c.begin(c.nodes[0], "a", next)
		time.Sleep(keepTime + settled)
		c.nodes[1].Controller.mu.Lock()
		defer c.nodes[1].Controller.mu.Unlock()
		c.Check(c.nodes[1].kept, qt.HasLen, 0)
	})
}
