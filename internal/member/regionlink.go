package member

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

const (
	// maxGatewayCandidates is the number of nodes of each region that may act as
	// the gateway to another region. The first candidate does; the others join in
	// once one before them reports the region as unreachable.
	maxGatewayCandidates = 3
	// maxLinkTargets is the number of nodes of the other region that are tried: in turn
	// while they answer, all at once after a failure.
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
	// unreachableValue is the value of a report that the region is unreachable; that of one
	// that it has been reached again is false.
	unreachableValue = "true"
)

// regionLink is the state of the exchanges with one other region.
type regionLink struct {
	updateQueues
	target   int
	failures int
	next     time.Time
	// unreachable is set once all candidates have reported the region as unreachable. Then the
	// reports of any suffice, since candidates come and go: a node that has just become one
	// has tried nothing yet.
	unreachable bool
	// knownSince is when the region was first asked about, reportedAt when it was last
	// reported as unreachable, reachedAt when a message from it, or the report of one, was last
	// received.
	knownSince, reportedAt, reachedAt time.Time
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
// to another region, best first: this node alone if no other one answers. The slice must not
// be changed.
func (v *View) gatewayCandidates(other fleet.Region) []fleet.NodeID {
	if v.Isolated() {
		return []fleet.NodeID{v.self.Node}
	}
	return v.derived.cached(derivedKey{kind: gatewayNodes, name: string(other)}, v.version, func() []fleet.NodeID {
		nodes := ranked(append(v.liveInRegion(v.self.Region), v.self.Node), string(other))
		return nodes[:min(len(nodes), maxGatewayCandidates)]
	})
}

// reportKey returns the key of a node's report on a region.
func reportKey(node fleet.NodeID, region fleet.Region) factKey {
	return factKey{unreachableFactKind, string(region), node}
}

// reportedUnreachable reports whether a node reports the region as unreachable, and has
// done so since the region was last reached.
func (v *View) reportedUnreachable(now time.Time, node fleet.NodeID, region fleet.Region) bool {
	fact, found := v.facts[reportKey(node, region)]
	return found && now.Before(fact.expires) && string(fact.Value) == unreachableValue &&
		fact.receivedAt.After(v.linkTo(region).reachedAt)
}

// RegionUnreachable reports whether the region can't be reached: all gateway candidates have
// reported so, reports still come, and none of its nodes has been reached since. A node that
// has just started takes the report of one candidate, since it has no earlier state of its own.
func (v *View) RegionUnreachable(now time.Time, region fleet.Region) bool {
	link, known := v.links[region]
	if !known || region == v.self.Region {
		return false
	}
	if link.knownSince.IsZero() {
		link.knownSince = now
	}
	if link.unreachable && now.Sub(link.reportedAt) < unreachableFactIntervals*v.interval {
		return true
	}
	candidates := v.gatewayCandidates(region)
	reports := 0
	for _, node := range candidates {
		if v.reportedUnreachable(now, node, region) {
			reports++
		}
	}
	isNew := link.reachedAt.IsZero() && now.Sub(link.knownSince) < unreachableFactIntervals*v.interval
	link.unreachable = reports > 0 && (reports == len(candidates) || isNew)
	return link.unreachable
}

// recordReport records the report of a node of this region that a region is unreachable, or
// has been reached again.
func (v *View) recordReport(now time.Time, report *Fact) {
	region := fleet.Region(report.Key)
	switch {
	case string(report.Value) == unreachableValue:
		v.linkTo(region).reportedAt = now
	case report.Owner != v.self.Node:
		v.recordReached(now, region)
	}
}

// recordReached records that a message from the region, or the report of one, was received.
func (v *View) recordReached(now time.Time, region fleet.Region) {
	link := v.linkTo(region)
	link.unreachable, link.reachedAt = false, now
	if link.failures >= unreachableAfterFailures {
		link.next = now
	}
	link.failures = 0
}

// unreachableReports returns the reports that regions are unreachable, for a node of this
// region that has just started.
func (v *View) unreachableReports(now time.Time) (reports []Fact) {
	for region := range v.links {
		for _, node := range v.gatewayCandidates(region) {
			if v.reportedUnreachable(now, node, region) {
				reports = append(reports, v.facts[reportKey(node, region)].toSend(now))
			}
		}
	}
	return reports
}

// isGatewayTo reports whether this node has to exchange messages with the region: it is the
// first candidate, or another one while a better one reports the region as unreachable. A node
// that gets no answer from its own region tries the others at the same time.
func (v *View) isGatewayTo(now time.Time, region fleet.Region) bool {
	if v.seemsIsolated() {
		return true
	}
	reported := false
	for i, node := range v.gatewayCandidates(region) {
		if node == v.self.Node {
			return i == 0 || reported
		}
		reported = reported || v.reportedUnreachable(now, node, region)
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

// linkTargets returns the nodes of the region that a gateway exchanges messages with, best
// first. The slice must not be changed.
func (v *View) linkTargets(region fleet.Region) []fleet.NodeID {
	return v.derived.cached(derivedKey{kind: targetNodes, name: string(region)}, v.version, func() []fleet.NodeID {
		nodes := ranked(v.liveInRegion(region), string(v.self.Region))
		return nodes[:min(len(nodes), maxLinkTargets)]
	})
}

// linkTarget returns the node of the region to exchange messages with next.
func (v *View) linkTarget(region fleet.Region) fleet.NodeID {
	nodes := v.linkTargets(region)
	return nodes[v.linkTo(region).target%len(nodes)]
}

// dueLinkTargets returns the nodes of the region to exchange messages with now: all of them
// at once while it is open whether it can be reached, so that this takes no longer than need be.
func (v *View) dueLinkTargets(now time.Time, region fleet.Region) []fleet.NodeID {
	failures := v.linkTo(region).failures
	if failures < unreachableAfterFailures && (failures > 0 || v.reportedByAny(now, region)) {
		return v.linkTargets(region)
	}
	return []fleet.NodeID{v.linkTarget(region)}
}

// reportedByAny reports whether a candidate reports the region as unreachable.
func (v *View) reportedByAny(now time.Time, region fleet.Region) bool {
	return slices.ContainsFunc(v.gatewayCandidates(region), func(node fleet.NodeID) bool {
		return v.reportedUnreachable(now, node, region)
	})
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
		switch {
		case link.failures >= unreachableAfterFailures:
			link.next = now.Add(unreachableRetryIntervals * v.interval)
		case link.failures > 0:
			link.next = now.Add(v.interval / 2) // once the exchanges have failed
		default:
			link.next = now.Add(v.interval)
		}
		for _, target := range v.dueLinkTargets(now, region) {
			actions = append(actions, Action{To: target, Message: v.newMessage(now, &link.updateQueues, Message{})})
		}
	}
	return actions
}

// recordLinkResult counts the result of an exchange with another region and
// publishes the region's reachability if it is or was unreachable, a change before the next
// tick. After a failure the next exchange tries another node. The report of another candidate
// counts as a failure as well.
func (v *View) recordLinkResult(now time.Time, region fleet.Region, ok bool) {
	link := v.linkTo(region)
	wasUnreachable := link.failures >= unreachableAfterFailures || ok && v.RegionUnreachable(now, region)
	if ok {
		v.recordReached(now, region)
	} else {
		if link.failures == 0 && v.reportedByAny(now, region) {
			link.failures++
		}
		link.failures++
		link.target++
	}
	isUnreachable := link.failures >= unreachableAfterFailures
	if !isUnreachable && !wasUnreachable {
		return
	}
	value, _ := json.Marshal(isUnreachable)
	v.Publish(now, Fact{
		Kind: unreachableFactKind, Key: string(region), Value: value, Urgent: isUnreachable != wasUnreachable,
	}, unreachableFactIntervals*v.interval)
}
