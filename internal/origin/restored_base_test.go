package origin

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/table"
)

// restoreWithoutBases restores the store from a copy that is older than the base versions.
func (c *cluster) restoreWithoutBases() {
	for _, record := range c.table.Snapshot(partition, basePrefix) {
		c.Assert(c.table.Transact(context.Background(), "", []table.Write{{Key: record.Key, Expect: record.Version}}), qt.IsNil)
	}
	c.restore()
}

// Guards against streams that cannot go on, while a single version serves, since the base
// version was lost with the restoration of the store.
func TestBaseVersionIsWrittenAgainAfterTheStoreWasRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, old)
		c.begin(c.nodes[0], "a", old)
		c.restoreWithoutBases()
		c.network.SetUnresponsive("n0", true)
		time.Sleep(settled)
		c.checkFound(c.nodes[1], "a", old)
		c.Check(c.table.Snapshot(partition, basePrefix), qt.HasLen, 1)
	})
}

// Guards against streams that go on at another version since a node that has just started
// names another base version, the record of which was lost with the restoration of the store.
func TestNodeThatStartsAfterARestorationKeepsTheBaseVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, old)
		c.list(old, next, next)
		c.begin(c.nodes[0], "a", old)
		c.restoreWithoutBases()
		c.network.SetUnresponsive("n0", true)
		started := c.start(old, next, next)
		time.Sleep(settled)
		for _, node := range []*testNode{started, c.nodes[1]} {
			c.checkFound(node, "a", old)
		}
	})
}
