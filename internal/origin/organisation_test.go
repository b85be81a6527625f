package origin

import (
	"context"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Guards against a stream of one organisation that goes on for another one, which knows the
// id of its request: at the node that began it, at another one, and after the loss of all.
// The other organisation gets what it would get for an id that nobody has used.
func TestStreamsOfOrganisationsWithOneID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, old, next)
		c.begin(c.nodes[0], "begun", next)
		begun := c.records()
		c.begin(c.nodes[0], dispatch.StreamID("same", "A"), next)
		c.begin(c.nodes[0], dispatch.StreamID("same", "B"), old)
		c.begin(c.nodes[0], "same", next)
		c.Check(c.records() > begun, qt.IsTrue)
		find := func(node *testNode, caller fleet.CallerID) fleet.SoftwareVersion {
			software, err := node.Find(context.Background(), dispatch.Rest{Pool: pool, Request: "same", Caller: caller})
			c.Check(err, qt.IsNil)
			return software
		}
		check := func(node *testNode) {
			c.Helper()
			c.Check(find(node, "A"), qt.Equals, next)
			c.Check(find(node, "B"), qt.Equals, old)
			c.Check(find(node, ""), qt.Equals, next)
			unknown, err := node.Find(context.Background(), dispatch.Rest{Pool: pool, Request: "unknown", Caller: "C"})
			c.Check(err, qt.IsNil)
			c.Check(find(node, "C"), qt.Equals, unknown)
		}
		for _, node := range c.nodes {
			check(node)
		}
		for _, node := range c.nodes {
			node.stop()
		}
		check(c.start(old, next))
	})
}
