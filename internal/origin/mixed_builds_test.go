package origin

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// third is the version after next.
const third = fleet.SoftwareVersion("v3")

// Guards against a base version that nodes of this build put back over the one by which a
// node of the build before it, which does not count replacements, has replaced it.
func TestReplacementByANodeThatDoesNotCountThemStays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, old)
		c.list(next)
		for !c.nodes[0].namesBase(next) || !c.nodes[1].namesBase(next) {
			time.Sleep(checkInterval)
		}
		c.list(third)
		found := c.table.Snapshot(partition, basePrefix)
		c.Assert(found, qt.HasLen, 1)
		c.Assert(c.table.Transact(context.Background(), "", []table.Write{{
			Key: found[0].Key, Expect: found[0].Version, Body: []byte(`{"software":"v3"}`),
		}}), qt.IsNil)
		time.Sleep(singleReadInterval + settled)
		c.Check(string(c.table.Snapshot(partition, basePrefix)[0].Body), qt.Equals, `{"software":"v3"}`)
		for _, node := range c.nodes {
			c.Check(node.namesBase(third), qt.IsTrue)
		}
	})
}
