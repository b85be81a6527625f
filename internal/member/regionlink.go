package member

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

const (
	// maxGatewayCandidates is the number of nodes of each region that may act as
	// the gateway to another region. The first candidate does; each further one
	// takes over if all before it report the region as unreachable.
	maxGatewayCandidates = 3
	// maxLinkTargets is the number of nodes of the other region that are tried in turn.
	maxLinkTargets = 3
	// unreachableAfterFailures is the number of consecutive failed exchanges after
	// which a candidate reports the other region as unreachable.
	unreachableAfterFailures = 4
	// unreachableRetryIntervals is the number of intervals between attempts while
	// the region is unreachable.
	unreachableRetryIntervals = 5
	// unreachableFactIntervals is the lifetime of such a report in intervals.
	unreachableFactIntervals = 15
	// unreachableFactKind is the kind of the fact that holds the report.
	unreachableFactKind = "regionCut"
)

// regionLink is the state of the exchanges with one other region.
type regionLink struct {
	updateQueues
	target   int
	failures int
	next     time.Time
}

// linkTo returns the link to a region and creates it if necessary.
func (v *View) linkTo(region fleet.Region) *regionLink {
	link, found := v.links[region]
	if !found {
		link = &regionLink{}
		v.links[region] = link
	}
	return link
}

// otherRegions returns the other regions that have live nodes in the view.
func (v *View) otherRegions() []fleet.Region {
	var list []fleet.Region
	for _, e := range v.entries {
		if e.live() && e.Region != v.self.Region && !slices.Contains(list, e.Region) {
			list = append(list, e.Region)
		}
	}
	slices.Sort(list)
	return list
}

// gatewayCandidates returns the nodes of this region that may act as the gateway
// to another region, best first. The slice must not be changed.
func (v *View) gatewayCandidates(other fleet.Region) []fleet.NodeID {
	return v.derived.cached(derivedKey{kind: gatewayNodes, name: string(other)}, v.version, func() []fleet.NodeID {
		nodes := ranked(append(v.liveInRegion(v.self.Region), v.self.Node), string(other))
		return nodes[:min(len(nodes), maxGatewayCandidates)]
	})
}

// reportedUnreachable reports whether a candidate reports the region as unreachable.
func (v *View) reportedUnreachable(now time.Time, node fleet.NodeID, region fleet.Region) bool {
	fact, found := v.facts[factKey{unreachableFactKind, string(region), node}]
	return found && now.Before(fact.expires) && string(fact.Value) == "true"
}

// RegionUnreachable reports whether all gateway candidates report the region as unreachable.
func (v *View) RegionUnreachable(now time.Time, region fleet.Region) bool {
	if _, known := v.links[region]; !known || region == v.self.Region {
		return false
	}
	for _, node := range v.gatewayCandidates(region) {
		if !v.reportedUnreachable(now, node, region) {
			return false
		}
	}
	return true
}

// isGatewayTo reports whether this node has to exchange messages with the region:
// it is a candidate, and all better ones report the region as unreachable.
func (v *View) isGatewayTo(now time.Time, region fleet.Region) bool {
	for _, node := range v.gatewayCandidates(region) {
		if node == v.self.Node {
			return true
		}
		if !v.reportedUnreachable(now, node, region) {
			return false
		}
	}
	return false
}

// LinkTargets returns one node of each reachable other region, to which a message
// for that region can be sent.
func (v *View) LinkTargets(now time.Time) []fleet.NodeID {
	var list []fleet.NodeID
	for _, region := range v.otherRegions() {
		if !v.RegionUnreachable(now, region) {
			list = append(list, v.linkTarget(region))
		}
	}
	return list
}

// linkTarget returns the node of the region to exchange messages with.
func (v *View) linkTarget(region fleet.Region) fleet.NodeID {
	nodes := v.derived.cached(derivedKey{kind: targetNodes, name: string(region)}, v.version, func() []fleet.NodeID {
		return ranked(v.liveInRegion(region), string(v.self.Region))
	})
	return nodes[v.linkTo(region).target%min(len(nodes), maxLinkTargets)]
}

// dueLinkExchanges returns the exchanges with other regions that are due and
// schedules the next ones.
func (v *View) dueLinkExchanges(now time.Time) []Action {
	var actions []Action
	for _, region := range v.otherRegions() {
		link := v.linkTo(region)
		if now.Before(link.next) || !v.isGatewayTo(now, region) {
			continue
		}
		link.next = now.Add(v.interval)
		if link.failures >= unreachableAfterFailures {
			link.next = now.Add(unreachableRetryIntervals * v.interval)
		}
		actions = append(actions, Action{To: v.linkTarget(region), Message: v.newMessage(now, &link.updateQueues, Message{})})
	}
	return actions
}

// recordLinkResult counts the result of an exchange with another region and
// publishes the region's reachability if it is or was unreachable. After a failure
// the next exchange tries another node.
func (v *View) recordLinkResult(now time.Time, region fleet.Region, ok bool) {
	link := v.linkTo(region)
	wasUnreachable := link.failures >= unreachableAfterFailures
	if ok {
		link.failures = 0
	} else {
		link.failures++
		link.target++
	}
	if isUnreachable := link.failures >= unreachableAfterFailures; isUnreachable || wasUnreachable {
		value, _ := json.Marshal(isUnreachable)
		v.Publish(now, Fact{Kind: unreachableFactKind, Key: string(region), Value: value}, unreachableFactIntervals*v.interval)
	}
}
