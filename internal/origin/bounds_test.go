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

// fewWrites is the maximum number of writes in a transaction of a store that takes fewer
// than other ones.
const fewWrites = 7

// newBoundedCluster starts nodes whose store takes fewWrites in a transaction.
func newBoundedCluster(t *testing.T, nodes int) *cluster {
	t.Helper()
	c := &cluster{C: qt.New(t), table: standin.NewTable()}
	c.table.MaxWrites = fewWrites
	c.startAll(t, nodes, old)
	c.list(old, next)
	return c
}

// beginMany begins streams of the version next at a node.
func (c *cluster) beginMany(node *testNode, count int) (requests []fleet.RequestID) {
	for i := range count {
		request := fleet.RequestID(fmt.Sprint("r", i))
		c.begin(node, request, next)
		requests = append(requests, request)
	}
	return requests
}

// Guards against rests that are all refused after a restoration of the store: the records
// of streams were written again in transactions that the store refuses for their size.
func TestRecordsAreWrittenAgainInTransactionsThatFit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newBoundedCluster(t, 2)
		requests := c.beginMany(c.nodes[0], 5*fewWrites)
		c.restore()
		time.Sleep(2 * rewriteTime)
		c.kill(0)
		for _, request := range requests {
			c.checkFound(c.nodes[1], request, next)
		}
	})
}

// Guards against records that are never removed, since all that have expired are removed by
// transactions that the store refuses for their size.
func TestExpiredRecordsAreRemovedInTransactionsThatFit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newBoundedCluster(t, 2)
		c.beginMany(c.nodes[0], 5*fewWrites)
		c.Assert(c.records(), qt.Equals, 5*fewWrites)
		time.Sleep(2*minRetention + 2*sweepInterval)
		c.Check(c.records(), qt.Equals, 0)
	})
}

// Guards against streams that can't begin at a node that has lost the store: the node that
// writes their records for it gets more of them than its store takes at once.
func TestRecordsOfAnotherNodeAreWrittenInTransactionsThatFit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newBoundedCluster(t, 2)
		// The store of an older build takes any number of writes.
		request := writeRequest{}
		for i := range maxCallStreams {
			key := streamKey{pool: pool, request: fleet.RequestID(fmt.Sprint("r", i))}
			request.Streams = append(request.Streams, streamWrite{Key: key.tableKey().Sort, Software: next})
		}
		c.table.SetFaults(standin.TableFaults{LoseAnswers: 1}) // Some records exist when it is sent again.
		for range 2 {
			response, err := c.nodes[1].handleWrite(t.Context(), request)
			c.Check(err, qt.IsNil)
			if response.Written {
				break
			}
		}
		c.Check(c.records(), qt.Equals, maxCallStreams)
	})
}
