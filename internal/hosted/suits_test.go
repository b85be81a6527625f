package hosted

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/member"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// TestNodesWithMoreProcessorTimeGiveTheOrders answers the pattern of a fleet of
// many small VMs and a few larger ones: a small one that gives the orders has its
// time used up and orders nothing for most of it.
func TestNodesWithMoreProcessorTimeGiveTheOrders(t *testing.T) {
	began := time.Unix(1e9, 0)
	node := func(id string, cores float64, started int) member.Info {
		return member.Info{Node: fleet.NodeID(id), Weight: cores, StartedAt: began.Add(time.Duration(started) * time.Second)}
	}
	nodes := []member.Info{node("a", 0.2, 9), node("b", 0.8, 1), node("c", 0.2, 5), node("d", 0.8, 3), node("e", 0, 7)}
	slices.SortFunc(nodes, func(a, b member.Info) int { return suits(&a, &b) })
	order := make([]string, 0, len(nodes))
	for at := range nodes {
		order = append(order, string(nodes[at].Node))
	}
	qt.Assert(t, order, qt.DeepEquals, []string{"d", "b", "a", "c", "e"})
}
