package policy

import (
	"slices"
	"time"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Ledger divides a budget of loads in flight among nodes. It is stored as one
// record of the table, which is written when a node's share changes or is
// renewed and not for each load. A node with a share starts loads within it
// without further coordination.
//
// A share ends when it is released, or after its term plus the longest load: a
// node stops starting loads at the end of the term by its own clock, so its
// last load has ended by then, even if the node died right after starting it.
// Terms are compared with the clock of the node that writes, therefore the
// maximum clock skew is added.
type Ledger struct {
	Shares []Share `json:"shares"`
}

// Share is the part of the budget that one node has.
type Share struct {
	Node fleet.NodeID `json:"node"`
	// Loads is the number of loads that the node may have in flight.
	Loads int `json:"loads"`
	// Until is the end of the term within which the node may start loads.
	Until time.Time `json:"until"`
}

// Budget is what a ledger divides.
type Budget struct {
	// Loads is the number of loads in flight in the fleet.
	Loads int
	// Term is the duration for which a share is granted or renewed.
	Term time.Duration
	// LongestLoad bounds the time from the order of a load to its end.
	LongestLoad time.Duration
	// Skew bounds the difference between the clocks of two nodes.
	Skew time.Duration
}

// AdapterBudget is the default budget of adapter loads in flight from the
// weight store.
var AdapterBudget = Budget{Loads: 30, Term: 20 * time.Second, LongestLoad: 10 * time.Second, Skew: time.Second}

// RequestShare returns the ledger with the node's share changed to the wanted
// size, as far as the shares of other nodes allow, and the new share. Expired
// shares are removed. A share is never reduced below the loads that the node
// has in flight, so a node releases only unused slots.
func (l Ledger) RequestShare(budget Budget, node fleet.NodeID, want, inFlight int, now time.Time) (Ledger, Share) {
	others := 0
	next := Ledger{}
	for _, share := range l.Shares {
		if share.Node == node || share.isExpired(budget, now) {
			continue
		}
		others += share.Loads
		next.Shares = append(next.Shares, share)
	}
	// Loads in flight under an earlier ledger count against the budget too.
	own := Share{Node: node, Loads: max(inFlight, min(want, budget.Loads-others)), Until: now.Add(budget.Term)}
	if previous := l.shareOf(node); inFlight > previous.Loads {
		own.Loads = previous.Loads // loads in flight beyond the recorded share do not enlarge it
	}
	if own.Loads > 0 {
		next.Shares = append(next.Shares, own)
	}
	slices.SortFunc(next.Shares, func(a, b Share) int { return compareNodes(a.Node, b.Node) })
	return next, own
}

// compareNodes orders nodes by id.
func compareNodes(a, b fleet.NodeID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// shareOf returns the share of a node, or the zero share if it has none.
func (l Ledger) shareOf(node fleet.NodeID) Share {
	for _, share := range l.Shares {
		if share.Node == node {
			return share
		}
	}
	return Share{}
}

// isExpired reports whether no load under the share can still be in flight.
func (s Share) isExpired(budget Budget, now time.Time) bool {
	return now.After(s.Until.Add(budget.LongestLoad + budget.Skew))
}

// MayStart reports whether a node with the given number of loads in flight may
// start another one under the share.
func (s Share) MayStart(inFlight int, now time.Time) bool {
	return inFlight < s.Loads && now.Before(s.Until)
}

// DesiredShare returns the share that a node should request: enough for its
// loads in flight and queued, and 0 if it has none. To leave room for others, a
// node requests no more than twice an equal part, unless more loads are already
// in flight.
func (b Budget) DesiredShare(inFlight, queued, liveNodes int) int {
	fair := max(1, 2*b.Loads/max(1, liveNodes))
	return max(inFlight, min(inFlight+queued, fair))
}
