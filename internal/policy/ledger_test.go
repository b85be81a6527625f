package policy_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/guavatrack/guavatrack/internal/policy"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// budgetNode is a simulated node with the end times of its loads.
type budgetNode struct {
	id    fleet.NodeID
	share policy.Share
	ends  []time.Time
	dead  bool
}

func (n *budgetNode) inFlight(now time.Time) (count int) {
	for _, end := range n.ends {
		if end.After(now) {
			count++
		}
	}
	return count
}

func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := policy.Budget{
			Loads: rapid.IntRange(1, 30).Draw(t, "loads"), Term: 20 * time.Second,
			LongestLoad: 10 * time.Second, Skew: time.Second,
		}
		now := time.Unix(1e9, 0)
		var ledger policy.Ledger
		nodes := make([]*budgetNode, rapid.IntRange(1, 8).Draw(t, "nodes"))
		for i := range nodes {
			nodes[i] = &budgetNode{id: fleet.NodeID(fmt.Sprint("n", i))}
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "millis")) * time.Millisecond)
			node := nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "node")]
			switch action := rapid.IntRange(0, 9).Draw(t, "action"); {
			case action == 0:
				node.dead = true // its loads continue, its share remains in the ledger
			case node.dead:
			case action < 4:
				want := rapid.IntRange(0, 40).Draw(t, "want")
				ledger, node.share = ledger.RequestShare(budget, node.id, want, node.inFlight(now), now)
			case node.share.MayStart(node.inFlight(now), now):
				took := time.Duration(rapid.IntRange(1, 10_000).Draw(t, "took")) * time.Millisecond
				node.ends = append(node.ends, now.Add(took))
			}
			total := 0
			for _, other := range nodes {
				total += other.inFlight(now)
			}
			if total > budget.Loads {
				t.Fatalf("%d loads in flight, budget %d", total, budget.Loads)
			}
		}
	})
}

func TestShareOfDeadNodeIsReusedAfterItsLoadsEnd(t *testing.T) {
	c := qt.New(t)
	budget := policy.Budget{Loads: 4, Term: 20 * time.Second, LongestLoad: 10 * time.Second, Skew: time.Second}
	start := time.Unix(1e9, 0)
	ledger, dead := policy.Ledger{}.RequestShare(budget, "dead", 4, 0, start)
	c.Assert(dead.Loads, qt.Equals, 4)
	ledger, share := ledger.RequestShare(budget, "live", 4, 0, start.Add(31*time.Second))
	c.Assert(share.Loads, qt.Equals, 0)
	_, share = ledger.RequestShare(budget, "live", 4, 0, start.Add(31*time.Second+time.Nanosecond))
	c.Assert(share.Loads, qt.Equals, 4)
}
