package origin

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/peer/peertest"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Guards against a few nodes that all others ask for the era of the store: 410 nodes without
// it would send those thousands of calls a second.
func TestNoFewNodesAreAskedByAll(t *testing.T) {
	c := qt.New(t)
	const nodes, rounds = 40, 400
	listed := make([]fleet.NodeID, nodes)
	for i := range listed {
		listed[i] = fleet.NodeID(fmt.Sprint("n", i))
	}
	controller := &Controller{Peers: peertest.Endpoint{}, Nodes: func() []fleet.NodeID { return listed }}
	asked := make(map[fleet.NodeID]int)
	for range rounds {
		for _, node := range controller.anyNodes(maxPeers) {
			asked[node]++
		}
	}
	c.Check(asked, qt.HasLen, nodes)
	for node, count := range asked {
		// The mean is 30.
		c.Check(count < rounds/4, qt.IsTrue, qt.Commentf("%s: %d", node, count))
	}
	c.Check(listed[0], qt.Equals, fleet.NodeID("n0"), qt.Commentf("the list is another's"))
	c.Check((&Controller{}).anyNodes(maxPeers), qt.HasLen, 0)
}
