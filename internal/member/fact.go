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
	// maxFactLifetime bounds the time that a fact is kept.
	maxFactLifetime = 10 * time.Minute
)

// Publish tells the others a fact of this node. It replaces the value under
// the same kind and key. It reports whether the fact was taken: its value must
// not be too long.
func (v *View) Publish(now time.Time, fact Fact, lifetime time.Duration) bool {
	if len(fact.Value) > maxFactBytes {
		return false
	}
	fact.Owner, fact.Region = v.self.Node, v.self.Region
	// The clock keeps versions rising past the expiry of the value before.
	fact.Version = max(v.facts[fact.id()].Version+1, uint64(max(now.UnixMilli(), 0)))
	fact.expires = now.Add(min(lifetime, maxFactLifetime))
	v.keep(fact)
	return true
}

// mergeFact takes in a fact of another node and reports whether it was known.
func (v *View) mergeFact(now time.Time, fact Fact) (known bool) {
	held, found := v.facts[fact.id()]
	if found && held.Version >= fact.Version || fact.Owner == v.self.Node {
		return true
	}
	if fact.TTLMillis <= 0 || len(fact.Value) > maxFactBytes || !found && len(v.facts) >= maxFacts {
		return true
	}
	fact.expires = now.Add(min(time.Duration(fact.TTLMillis)*time.Millisecond, maxFactLifetime))
	v.keep(fact)
	return false
}

// keep stores a fact and queues it. Between regions go wide facts only, and
// only out of their owner's region, so that each crosses a link once.
func (v *View) keep(fact Fact) {
	v.facts[fact.id()] = fact
	v.near.facts.add(fact.id())
	if !fact.Wide || fact.Region != v.self.Region {
		return
	}
	for _, crossing := range v.across {
		crossing.facts.add(fact.id())
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
