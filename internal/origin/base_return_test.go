package origin

import (
	"testing"
	"testing/synctest"
	"time"
)

// replaced returns a cluster of which the base version was replaced by the next one, after
// the copy from which the store is restored was made.
func replaced(t *testing.T, nodes int) *cluster {
	t.Helper()
	c := newCluster(t, nodes, old)
	copied := c.table.Snapshot(partition, "")
	c.list(old, next)
	c.list(next)
	for !c.nodes[0].namesBase(next) || !c.nodes[1].namesBase(next) {
		time.Sleep(checkInterval)
	}
	c.begin(c.nodes[0], "a", next)
	c.table.Restore(partition, copied)
	c.keepAll()
	return c
}

// Guards against a stream that goes on at a version that was the base version long ago,
// since a restoration of the store brought its record back.
func TestRestorationDoesNotBringBackAReplacedBaseVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := replaced(t, 3)
		c.nodes[1].list(next, old)
		time.Sleep(2 * rewriteTime)
		c.checkFound(c.nodes[1], "a", next)
	})
}

// Guards against the same at a node that has started since and knows the record only.
func TestNodeThatStartsAfterARestorationTakesNoReplacedBaseVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := replaced(t, 3)
		started := c.start(next, old)
		time.Sleep(2 * rewriteTime)
		c.checkFound(started, "a", next)
	})
}
