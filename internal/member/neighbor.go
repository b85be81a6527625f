package member

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// neighborOrders is the number of hashed orders in which a node has a
// successor. It bounds the connections that a node holds within its region.
// The union of a few random cycles is an expander graph, so a change reaches
// every node in a number of steps that grows with the logarithm of the number
// of members.
const neighborOrders = 8

// orderHash returns the position of a node in the order of a name.
func orderHash(node fleet.NodeID, order string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	// A digest's writes return no error.
	_, _ = digest.WriteString(order)
	_, _ = digest.WriteString("/")
	_, _ = digest.WriteString(string(node))
	return digest.Sum64()
}

// Neighbors returns the nodes of the region that this node exchanges messages
// with, at most one for each order. A change reaches every node of the region if
// each node forwards it to its neighbours.
func (v *View) Neighbors() []fleet.NodeID {
	if v.neighborsStale {
		v.neighbors = successors(v.self.Node, v.liveInRegion(v.self.Region))
		v.neighborsStale = false
	}
	return v.neighbors
}

// successors returns the successors of the node in all orders, without duplicates.
func successors(self fleet.NodeID, others []fleet.NodeID) []fleet.NodeID {
	chosen := make([]fleet.NodeID, 0, neighborOrders)
	for order := range neighborOrders {
		name := strconv.Itoa(order)
		selfHash := orderHash(self, name)
		var next fleet.NodeID
		var nearest uint64
		for _, node := range others {
			// The distance wraps around, so the order is a cycle.
			if distance := orderHash(node, name) - selfHash; next == "" || distance < nearest {
				next, nearest = node, distance
			}
		}
		if next != "" && !slices.Contains(chosen, next) {
			chosen = append(chosen, next)
		}
	}
	return chosen
}

// hashedNode is a node with its position in an order.
type hashedNode struct {
	hash uint64
	node fleet.NodeID
}

// ranked sorts the nodes by their hash for a purpose. All nodes with the same
// view get the same order.
func ranked(nodes []fleet.NodeID, purpose string) []fleet.NodeID {
	hashed := make([]hashedNode, len(nodes))
	for i, node := range nodes {
		hashed[i] = hashedNode{hash: orderHash(node, purpose), node: node}
	}
	slices.SortFunc(hashed, func(a, b hashedNode) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.node, b.node))
	})
	for i := range hashed {
		nodes[i] = hashed[i].node
	}
	return nodes
}

// Ranked returns the nodes of the region, this one included, that are neither
// suspected nor leaving, ordered by their hash for a purpose. The slice must not
// be changed.
func (v *View) Ranked(purpose string) []fleet.NodeID {
	return v.derived.cached(derivedKey{kind: rankedNodes, name: purpose}, v.version, func() []fleet.NodeID {
		return ranked(v.healthyInRegion(), purpose)
	})
}

// healthyInRegion returns the nodes of the region, this one included, that are
// neither suspected nor leaving.
func (v *View) healthyInRegion() []fleet.NodeID {
	var nodes []fleet.NodeID
	if v.self.Status == Alive && !v.self.Leaving {
		nodes = append(nodes, v.self.Node)
	}
	for node, e := range v.entries {
		if e.Status == Alive && !e.Leaving && e.Region == v.self.Region {
			nodes = append(nodes, node)
		}
	}
	return nodes
}
