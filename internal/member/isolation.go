package member

import (
	"slices"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// A node to which no node of its own region answers can't tell whether the others are lost or
// itself is cut off, and suspects none of them by itself. It is isolated: it uses no node of its
// region but itself, finds out alone which other regions can be reached, and has the nodes of its
// region probed through those. So the only node left of a region, or the first one that starts
// where all others were lost, does not go on to name them.

// isolatedAfterFailures is the least number of consecutive failed exchanges with nodes of its own
// region after which a node is isolated. After half as many it begins to find out.
const isolatedAfterFailures = 4

// Isolated reports whether no node of this region, if there are others, answers this one.
func (v *View) Isolated() bool {
	neighbors := len(v.Neighbors())
	return neighbors > 0 && v.unanswered >= max(isolatedAfterFailures, neighbors)
}

// seemsIsolated reports whether this node has to find out if it is isolated.
func (v *View) seemsIsolated() bool { return v.unanswered >= isolatedAfterFailures/2 }

// dueNeighbors returns the nodes of this region to exchange messages with in this tick: the next
// neighbour. While none answers, it is several others at once that are not suspected yet, so that
// a node that is left alone, or starts alone, finds that out soon.
func (v *View) dueNeighbors() []fleet.NodeID {
	if v.seemsIsolated() {
		nodes := slices.DeleteFunc(v.liveInRegion(v.self.Region), func(node fleet.NodeID) bool {
			return v.entries[node].Status == Suspect
		})
		if len(nodes) > 0 {
			slices.Sort(nodes)
			v.random.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
			return nodes[:min(len(nodes), neighborOrders)]
		}
	}
	if target, found := v.nextNeighbor(); found {
		return []fleet.NodeID{target}
	}
	return nil
}

// intermediates returns the nodes through which a node of this region may be probed: the others
// of the region, or one of each other region if there are none or none answers.
func (v *View) intermediates(target fleet.NodeID) (nodes []fleet.NodeID) {
	nodes = slices.DeleteFunc(v.liveInRegion(v.self.Region), func(node fleet.NodeID) bool { return node == target })
	regions := v.otherRegions()
	if len(nodes) > 0 && (!v.Isolated() || len(regions) == 0) {
		return nodes
	}
	nodes = nil
	for _, region := range regions {
		nodes = append(nodes, v.linkTarget(region))
	}
	return nodes
}
