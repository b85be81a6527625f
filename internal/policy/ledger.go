package policy

import (
	"slices"
	"time"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Ledger divides a budget of loads in flight among nodes. It is kept as one
// record of the table, written when a node's share changes or is renewed and
// not for each load. A node that holds a share starts loads within it without
// asking anyone.
//
// A share ends by being given back, or after its term plus the longest load:
// a node stops starting loads when the term has ended by its own clock, so by
// then its last load is over even if the node died right after starting it.
// Terms are compared with the clock of the node that writes, so clocks may
// differ by the skew that is added.
type Ledger struct {
	Shares []Share `json:"shares"`
}

// Share is the part of one node.
type Share struct {
	Node fleet.NodeID `json:"node"`
	// Loads is the number of loads that the node may have in flight.
	Loads int `json:"loads"`
	// Until is the end of the term in which the node may start loads.
	Until time.Time `json:"until"`
}

// Budget describes what a ledger divides.
type Budget struct {
	// Loads is the number of loads in flight in the fleet.
	Loads int
	// Term is for how long a share is given at a time.
	Term time.Duration
	// LongestLoad bounds the time from the order of a load to its end.
	LongestLoad time.Duration
	// Skew bounds the difference between the clocks of two nodes.
	Skew time.Duration
}

// AdapterBudget is the budget of adapters in flight from the weight store.
var AdapterBudget = Budget{Loads: 30, Term: 20 * time.Second, LongestLoad: 10 * time.Second, Skew: time.Second}

// Ask returns the ledger in which the node's share is changed to what it wants,
// as far as others leave room, and the share. Shares that cannot be in use any
// more are dropped. A share is never cut below what the node has in flight, so
// the node gives back only what is free.
func (l Ledger) Ask(budget Budget, node fleet.NodeID, want, inFlight int, now time.Time) (Ledger, Share) {
	others := 0
	next := Ledger{}
	for _, share := range l.Shares {
		if share.Node == node || share.over(budget, now) {
			continue
		}
		others += share.Loads
		next.Shares = append(next.Shares, share)
	}
	// What the node still holds from an earlier ledger counts against it too.
	mine := Share{Node: node, Loads: max(inFlight, min(want, budget.Loads-others)), Until: now.Add(budget.Term)}
	if held := l.share(node); inFlight > held.Loads {
		mine.Loads = held.Loads // loads that were never in the ledger earn nothing
	}
	if mine.Loads > 0 {
		next.Shares = append(next.Shares, mine)
	}
	slices.SortFunc(next.Shares, func(a, b Share) int { return compareNodes(a.Node, b.Node) })
	return next, mine
}

func compareNodes(a, b fleet.NodeID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// share returns the share of a node, the zero share if it has none.
func (l Ledger) share(node fleet.NodeID) Share {
	for _, share := range l.Shares {
		if share.Node == node {
			return share
		}
	}
	return Share{}
}

// over reports whether no load under the share can be in flight any more.
func (s Share) over(budget Budget, now time.Time) bool {
	return now.After(s.Until.Add(budget.LongestLoad + budget.Skew))
}

// MayStart reports whether a node with loads in flight may start another one
// under the share.
func (s Share) MayStart(inFlight int, now time.Time) bool {
	return inFlight < s.Loads && now.Before(s.Until)
}

// Want returns the share that a node should ask for: enough for what is in
// flight and what is queued. A node that needs nothing keeps nothing. To leave
// room for others, no node asks for more than twice an equal part.
func (b Budget) Want(inFlight, queued, liveNodes int) int {
	fair := max(1, 2*b.Loads/max(1, liveNodes))
	return max(inFlight, min(inFlight+queued, fair))
}
