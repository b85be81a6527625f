package member

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxFacts bounds the facts that a node holds.
	maxFacts = 20000
	// maxFactBytes bounds the value of one fact.
	maxFactBytes = 2048
	// maxFactLifetime bounds the lifetime of a fact.
	maxFactLifetime = 10 * time.Minute
)

// Publish stores a fact of this node and queues it for the other nodes. It
// replaces the value under the same kind and key. It returns false if the value
// exceeds maxFactBytes.
func (v *View) Publish(now time.Time, fact Fact, lifetime time.Duration) bool {
	if len(fact.Value) > maxFactBytes {
		return false
	}
	fact.Owner, fact.Region = v.self.Node, v.self.Region
	// The clock keeps versions increasing after the previous value has expired.
	fact.Version = max(v.facts[fact.id()].Version+1, uint64(max(now.UnixMilli(), 0)))
	fact.expires = now.Add(min(lifetime, maxFactLifetime))
	v.storeFact(now, fact)
	return true
}

// mergeFact stores a fact received from another node. It returns true if the
// fact was known already or is rejected, so that the sender need not repeat it.
func (v *View) mergeFact(now time.Time, fact Fact) (known bool) {
	existing, found := v.facts[fact.id()]
	if found && existing.Version >= fact.Version || fact.Owner == v.self.Node {
		return true
	}
	if fact.TTLMillis <= 0 || len(fact.Value) > maxFactBytes || !found && len(v.facts) >= maxFacts {
		return true
	}
	fact.expires = now.Add(min(time.Duration(fact.TTLMillis)*time.Millisecond, maxFactLifetime))
	v.storeFact(now, fact)
	return false
}

// storeFact stores a fact and queues it for sending. Only
// cross-region facts are sent to other regions, and only from their owner's
// region, so that each crosses a link once.
func (v *View) storeFact(now time.Time, fact Fact) {
	fact.receivedAt = now
	v.facts[fact.id()] = fact
	if fact.Kind == unreachableFactKind {
		v.recordReport(now, &fact)
	}
	v.localQueues.facts.add(fact.id())
	v.immediateDue = v.immediateDue || fact.Urgent
	if !fact.CrossRegion || fact.Region != v.self.Region {
		return
	}
	for _, link := range v.links {
		link.facts.add(fact.id())
	}
}

// Facts returns the facts of a kind that have not expired, ordered by key and
// owner.
func (v *View) Facts(now time.Time, kind string) []Fact {
	var list []Fact
	for _, fact := range v.facts {
		if fact.Kind == kind && now.Before(fact.expires) {
			list = append(list, fact)
		}
	}
	slices.SortFunc(list, func(a, b Fact) int {
		return cmp.Or(cmp.Compare(a.Key, b.Key), cmp.Compare(a.Owner, b.Owner))
	})
	return list
}
