package member

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

const (
	// candidates is the number of nodes of each region that may speak to
	// another region. The first does; the next one if the first says that it
	// can't.
	candidates = 3
	// crossTargets is the number of nodes of the other region that are tried.
	crossTargets = 3
	// cutAfter is the number of failed exchanges in a row after which a
	// candidate says that the other region is cut off.
	cutAfter = 4
	// cutRetry is the number of intervals between tries while it is cut off.
	cutRetry = 5
	// cutLifetime is how many intervals such a statement lasts.
	cutLifetime = 15
	// cutFact is the kind of the fact by which a candidate says so.
	cutFact = "regionCut"
)

// crossing is the state of the exchange with one other region.
type crossing struct {
	channel
	target   int
	failures int
	next     time.Time
}

// crossingTo returns the state of the exchange with a region.
func (v *View) crossingTo(region fleet.Region) *crossing {
	held, found := v.across[region]
	if !found {
		held = &crossing{}
		v.across[region] = held
	}
	return held
}

// regions returns the other regions of which nodes are known.
func (v *View) regions() []fleet.Region {
	var list []fleet.Region
	for _, held := range v.entries {
		if held.live() && held.Region != v.self.Region && !slices.Contains(list, held.Region) {
			list = append(list, held.Region)
		}
	}
	slices.Sort(list)
	return list
}

// speakers returns the candidates of this region for the exchange with another
// one, best first.
func (v *View) speakers(other fleet.Region) []fleet.NodeID {
	nodes := ranked(append(v.inRegion(v.self.Region), v.self.Node), string(other))
	return nodes[:min(len(nodes), candidates)]
}

// saysCut reports whether a candidate says that the region is cut off.
func (v *View) saysCut(now time.Time, node fleet.NodeID, region fleet.Region) bool {
	fact, found := v.facts[factKey{cutFact, string(region), node}]
	return found && now.Before(fact.expires) && string(fact.Value) == "true"
}

// Cut reports whether no candidate reaches the region.
func (v *View) Cut(now time.Time, region fleet.Region) bool {
	if _, known := v.across[region]; !known || region == v.self.Region {
		return false
	}
	for _, node := range v.speakers(region) {
		if !v.saysCut(now, node, region) {
			return false
		}
	}
	return true
}

// speaksTo reports whether this node has to exchange messages with the region:
// it is a candidate, and all better ones say that they can't.
func (v *View) speaksTo(now time.Time, region fleet.Region) bool {
	for _, node := range v.speakers(region) {
		if node == v.self.Node {
			return true
		}
		if !v.saysCut(now, node, region) {
			return false
		}
	}
	return false
}

// Across returns one node of each other region that is not cut off, to hand a
// message to.
func (v *View) Across(now time.Time) []fleet.NodeID {
	var list []fleet.NodeID
	for _, region := range v.regions() {
		if !v.Cut(now, region) {
			list = append(list, v.targetIn(region))
		}
	}
	return list
}

// targetIn returns the node of the region to speak to.
func (v *View) targetIn(region fleet.Region) fleet.NodeID {
	nodes := ranked(v.inRegion(region), string(v.self.Region))
	return nodes[v.crossingTo(region).target%min(len(nodes), crossTargets)]
}

// tickAcross returns the exchanges with other regions that are due.
func (v *View) tickAcross(now time.Time) []Action {
	var actions []Action
	for _, region := range v.regions() {
		held := v.crossingTo(region)
		if now.Before(held.next) || !v.speaksTo(now, region) {
			continue
		}
		held.next = now.Add(v.interval)
		if held.failures >= cutAfter {
			held.next = now.Add(cutRetry * v.interval)
		}
		actions = append(actions, Action{To: v.targetIn(region), Message: v.message(now, &held.channel, Message{})})
	}
	return actions
}

// crossed notes the end of an exchange with another region.
func (v *View) crossed(now time.Time, region fleet.Region, ok bool) {
	held := v.crossingTo(region)
	was := held.failures >= cutAfter
	if ok {
		held.failures = 0
	} else {
		held.failures++
		held.target++
	}
	if is := held.failures >= cutAfter; is || was {
		value, _ := json.Marshal(is)
		v.Publish(now, Fact{Kind: cutFact, Key: string(region), Value: value}, cutLifetime*v.interval)
	}
}
