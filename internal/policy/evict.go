package policy

import (
	"cmp"
	"slices"
	"time"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// evictable is one grant that may go, or a base model with the adapters on it,
// which go with it.
type evictable struct {
	grants []fleet.GrantID
	size   fleet.Bytes
	cost   float64
}

// evictions returns the grants to unload so that the item fits, and what they
// are worth as seconds of cold start of the item. The least value per byte goes
// first. Grants whose unload would be superfluous in the end are spared.
func evictions(query *Query, server *Server) (evict []fleet.GrantID, worth time.Duration, possible bool) {
	missing := query.Size - server.Free()
	if missing <= 0 {
		return nil, 0, true
	}
	if query.Value == nil {
		return nil, 0, false
	}
	chosen := chooseEvictions(missing, evictables(query, server, query.Item.IsAdapter()))
	if chosen == nil && query.Item.IsAdapter() {
		chosen = chooseEvictions(missing, evictables(query, server, false))
	}
	if chosen == nil {
		return nil, 0, false
	}
	total := 0.0
	for _, group := range chosen {
		evict = append(evict, group.grants...)
		total += group.cost
	}
	price := max(query.Deployment.Prices.ColdStartSecond, minPrice)
	return evict, time.Duration(min(total/price, maxWorthSeconds) * float64(time.Second)), true
}

// minPrice stands in for a price of zero so that costs stay comparable.
const minPrice = 1e-9

// maxWorthSeconds bounds the worth of an eviction when prices differ widely.
const maxWorthSeconds = 24 * 3600

// evictables returns what may go for the item: adapters, or base models with
// their adapters. An adapter displaces base models only where too few adapters
// can go; its own base model stays.
func evictables(query *Query, server *Server, adapters bool) []evictable {
	var list []evictable
	for _, held := range server.Held {
		if held.Draining || held.Item.IsAdapter() != adapters || held.Item == query.Item.Base() {
			continue
		}
		if group, allowed := evictionGroup(query, server, held); allowed {
			list = append(list, group)
		}
	}
	slices.SortFunc(list, func(a, b evictable) int {
		return cmp.Or(
			cmp.Compare(a.cost*float64(b.size), b.cost*float64(a.size)),
			cmp.Compare(a.grants[0], b.grants[0]),
		)
	})
	return list
}

// evictionGroup collects the grants that go together with one, adapters first.
// None goes while one of them serves.
func evictionGroup(query *Query, server *Server, held Held) (group evictable, allowed bool) {
	for _, other := range server.Held {
		part := other.Grant == held.Grant || (!held.Item.IsAdapter() && other.Item.Base() == held.Item)
		if !part {
			continue
		}
		cost, spared := 0.0, false
		if !other.Draining {
			cost, spared = query.Value(server, other)
			spared = !spared
		}
		if spared || other.Serves() {
			return evictable{}, false
		}
		group.size += other.Size
		group.cost += cost
		if other.Grant != held.Grant && !other.Draining {
			group.grants = append(group.grants, other.Grant)
		}
	}
	group.grants = append(group.grants, held.Grant)
	return group, true
}

// chooseEvictions takes the least valuable grants until the missing memory is
// covered, then spares each that is not needed, most valuable first. It returns
// nil if all of them together do not suffice.
func chooseEvictions(missing fleet.Bytes, list []evictable) []evictable {
	var chosen []evictable
	for _, group := range list {
		if missing <= 0 {
			break
		}
		chosen = append(chosen, group)
		missing -= group.size
	}
	if missing > 0 {
		return nil
	}
	byCost := slices.Clone(chosen)
	slices.SortStableFunc(byCost, func(a, b evictable) int { return cmp.Compare(b.cost, a.cost) })
	for _, spare := range byCost {
		if missing+spare.size > 0 {
			continue
		}
		missing += spare.size
		chosen = slices.DeleteFunc(chosen, func(e evictable) bool { return e.grants[0] == spare.grants[0] })
	}
	return chosen
}
