package origin

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/standin"
)

// Guards against the refusal of all new streams at a node that lost the store, soon after
// the last server of the base version has left, though other nodes can record them.
func TestNodeThatLostTheStoreIsNotRestrictedToAVersionThatLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, old)
		c.list(old, next)
		c.list(next)
		c.nodes[0].store.setCut(true)
		time.Sleep(2 * mixedReadInterval)
		only, restricted := c.nodes[0].Restriction(pool)
		c.Check(restricted, qt.IsFalse, qt.Commentf("to %q", only))
		c.begin(c.nodes[0], "a", next)
		c.checkFound(c.nodes[1], "a", next)
	})
}

// Guards against streams that are begun and then ended while no node reaches the store.
func TestNodesAreRestrictedWhileNoneReachesTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, old)
		c.list(old, next)
		c.list(next)
		c.table.SetFaults(standin.TableFaults{Down: true})
		time.Sleep(2 * mixedReadInterval)
		c.Check(c.nodes[0].Record(context.Background(), pool, "a", next), qt.ErrorIs, ErrNotRecorded)
		only, restricted := c.nodes[0].Restriction(pool)
		c.Check(restricted, qt.IsTrue)
		c.Check(only, qt.Equals, old)
	})
}
