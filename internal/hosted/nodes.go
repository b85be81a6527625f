package hosted

import (
	"cmp"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/guavatrack/guavatrack/internal/forward"
	"github.com/guavatrack/guavatrack/internal/lookup"
	"github.com/guavatrack/guavatrack/internal/member"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Which nodes are used for what. Each choice starts from [member.Controller.Healthy], so that
// nodes of a region that is lost are in none of them. Exceptions: acknowledgements of a
// configuration count the nodes of unreachable regions (package config), budgets are divided by
// all nodes that were ever known, and a node that reaches no other one owns no server's limit.

// nearestAddresses returns the addresses of the nodes that a caller at a place may
// use. Nodes that reach no backend server, and suspected nodes, are included only if there
// are no others. If all nodes are starting and this one is not leaving, its own address is
// returned.
func (n *Node) nearestAddresses(place fleet.Place) []string {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	healthy := n.components.Members.Healthy()
	reaching := slices.DeleteFunc(slices.Clone(healthy), func(info member.Info) bool { return info.CutOff })
	if near := lookup.NearestAddresses(place, reaching, random); len(near) > 0 {
		return near
	}
	if near := lookup.NearestAddresses(place, healthy, random); len(near) > 0 {
		return near
	}
	if near := lookup.NearestAddresses(place, n.components.Members.Members(), random); len(near) > 0 || n.leaving.Load() {
		return near
	}
	return []string{n.Addresses().Callers}
}

// nodeAddresses returns the addresses of this node's sockets and those of the members.
func nodeAddresses(own Addresses, members *member.Controller) []string {
	others := members.Members()
	addresses := make([]string, 0, 5+2*len(others))
	addresses = append(addresses, own.Callers, own.Peers, own.Lookup, own.Readiness, own.Metrics)
	for _, info := range others {
		addresses = append(addresses, info.CallerAddress, info.PeerAddress)
	}
	return addresses
}

// claimants returns the nodes in the order in which they claim a free lease.
func claimants(members *member.Controller) []fleet.NodeID {
	return sortedNodes(members, "", compareLeasePriority)
}

// sortedNodes returns the nodes that may be used, but for one, in an order.
func sortedNodes(members *member.Controller, except fleet.NodeID, compare func(a, b *member.Info) int) (nodes []fleet.NodeID) {
	candidates := slices.Clone(members.Healthy())
	slices.SortStableFunc(candidates, func(a, b member.Info) int { return compare(&a, &b) })
	for i := range candidates {
		if candidates[i].Node != except {
			nodes = append(nodes, candidates[i].Node)
		}
	}
	return nodes
}

const (
	// claimDelayPerNode is how long a node delays its claim of the lease for each
	// node with a higher lease priority, maxClaimDelay the upper bound of the sum.
	claimDelayPerNode = 150 * time.Millisecond
	maxClaimDelay     = 2 * time.Second
	// discoveryTime is the time after its start within which a node has discovered
	// the others.
	discoveryTime = 1200 * time.Millisecond
)

// claimDelay returns how long to wait before the lease is claimed. Before the end
// of discoveryTime the node may not have discovered nodes with a higher priority.
func (n *Node) claimDelay(members *member.Controller) time.Duration {
	delay := time.Duration(0)
	for _, info := range members.Members() {
		if info.Node != n.ID && !info.Leaving && compareLeasePriority(&info, &members.Self) < 0 {
			delay += claimDelayPerNode
		}
	}
	return max(min(delay, maxClaimDelay), discoveryTime-time.Since(members.Self.StartedAt))
}

// compareLeasePriority orders nodes by their priority for holding the lease: nodes
// with more processor time first, and among equal ones those that started last. If
// nodes are restarted one after the other, the one that started last is the last
// to be stopped again.
func compareLeasePriority(a, b *member.Info) int {
	return cmp.Or(cmp.Compare(b.Weight, a.Weight), b.StartedAt.Compare(a.StartedAt), cmp.Compare(a.Node, b.Node))
}

// deputies returns the nodes that may become the deputy of this one, in order of
// preference: nodes with more processor time first, and among equal ones those in
// other failure domains.
func (n *Node) deputies(members *member.Controller) []fleet.NodeID {
	sameDomain := func(info *member.Info) int {
		if info.FailureDomain == n.Settings.Node.FailureDomain {
			return 1
		}
		return 0
	}
	return sortedNodes(members, n.ID, func(a, b *member.Info) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(sameDomain(a), sameDomain(b)), compareLeasePriority(a, b))
	})
}

// forwardTargets returns the nodes to which requests may be passed on, in random order: those
// of this node's failure domain first, then those of its region, then the others.
func (n *Node) forwardTargets(members *member.Controller) (targets []forward.Node) {
	healthy := slices.Clone(members.Healthy())
	rand.Shuffle(len(healthy), func(i, j int) { healthy[i], healthy[j] = healthy[j], healthy[i] })
	slices.SortStableFunc(healthy, func(a, b member.Info) int {
		own := n.Settings.Node.Place
		return cmp.Compare(lookup.Distance(own, a.Place), lookup.Distance(own, b.Place))
	})
	for i := range healthy {
		info := &healthy[i]
		if info.Node != n.ID && info.ForwardAddress != "" && !info.CutOff {
			targets = append(targets, forward.Node{ID: info.Node, Address: info.ForwardAddress})
		}
	}
	return targets
}

// others returns the other nodes that serve requests, those of this node's region first.
func (n *Node) others(members *member.Controller) []fleet.NodeID {
	remote := func(info *member.Info) int {
		if info.Region == n.Settings.Node.Region {
			return 0
		}
		return 1
	}
	return sortedNodes(members, n.ID, func(a, b *member.Info) int { return cmp.Compare(remote(a), remote(b)) })
}

// ownerOf returns the node that hands out the tokens of a limited server: one of its
// region, if any, that has the highest hash with the server. A node to which no other answers
// takes no server for its own, since the others may only be out of its reach.
func ownerOf(server fleet.ServerID, region fleet.Region, members *member.Controller) (owner fleet.NodeID) {
	if members.Isolated() {
		return ""
	}
	nodes := members.Healthy()
	var highest uint64
	local := false
	for i := range nodes {
		hash := fnv.New64a()
		_, _ = io.WriteString(hash, string(server)+"/"+string(nodes[i].Node))
		inRegion := nodes[i].Region == region
		if owner == "" || inRegion && !local || inRegion == local && hash.Sum64() > highest {
			owner, highest, local = nodes[i].Node, hash.Sum64(), inRegion
		}
	}
	return owner
}
