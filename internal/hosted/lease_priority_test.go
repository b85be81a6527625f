package hosted

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/member"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// TestNodesWithMoreProcessorTimeHaveLeasePriority guards against a fleet of many
// small VMs and a few larger ones in which a small VM holds the lease: it uses up
// its processor time and gives no orders most of the time.
func TestNodesWithMoreProcessorTimeHaveLeasePriority(t *testing.T) {
	began := time.Unix(1e9, 0)
	node := func(id string, cores float64, started int) member.Info {
		return member.Info{Node: fleet.NodeID(id), Weight: cores, StartedAt: began.Add(time.Duration(started) * time.Second)}
	}
	nodes := []member.Info{node("a", 0.2, 9), node("b", 0.8, 1), node("c", 0.2, 5), node("d", 0.8, 3), node("e", 0, 7)}
	slices.SortFunc(nodes, func(a, b member.Info) int { return compareLeasePriority(&a, &b) })
	order := make([]string, 0, len(nodes))
	for i := range nodes {
		order = append(order, string(nodes[i].Node))
	}
	qt.Assert(t, order, qt.DeepEquals, []string{"d", "b", "a", "c", "e"})
}
