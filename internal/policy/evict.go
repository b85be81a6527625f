package policy

import (
	"cmp"
	"slices"
	"time"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// evictionCandidate is a grant that may be evicted, or that of a base model
// with those of its adapters, which are evicted with it.
type evictionCandidate struct {
	grants []fleet.GrantID
	size   fleet.Bytes
	cost   float64
}

// evictions returns the grants to unload so that the item fits, and their cost
// converted to seconds of cold start of the item. Grants with the lowest cost
// per byte are evicted first. Grants whose unload turns out to be unnecessary
// are kept.
func evictions(query *Query, server *Server) (evict []fleet.GrantID, coldStartTime time.Duration, possible bool) {
	missing := query.Size - server.Free()
	if missing <= 0 {
		return nil, 0, true
	}
	if query.EvictionCost == nil {
		return nil, 0, false
	}
	chosen := chooseEvictions(missing, evictionCandidates(query, server, query.Item.IsAdapter()))
	if chosen == nil && query.Item.IsAdapter() {
		chosen = chooseEvictions(missing, evictionCandidates(query, server, false))
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
	return evict, time.Duration(min(total/price, maxEvictionCostSeconds) * float64(time.Second)), true
}

// minPrice replaces a price of zero, so that costs stay comparable.
const minPrice = 1e-9

// maxEvictionCostSeconds bounds the converted cost of an eviction where prices
// differ widely.
const maxEvictionCostSeconds = 24 * 3600

// evictionCandidates returns what may be evicted for the item, by cost per
// byte: either adapters, or base models with their adapters. An adapter
// displaces base models only if evicting adapters does not free enough memory.
// Its own base model is never evicted.
func evictionCandidates(query *Query, server *Server, adapters bool) []evictionCandidate {
	var list []evictionCandidate
	for _, held := range server.Grants {
		if held.Draining || held.Item.IsAdapter() != adapters || held.Item == query.Item.Base() {
			continue
		}
		if group, allowed := evictionGroup(query, server, held); allowed {
			list = append(list, group)
		}
	}
	slices.SortFunc(list, func(a, b evictionCandidate) int {
		return cmp.Or(
			cmp.Compare(a.cost*float64(b.size), b.cost*float64(a.size)),
			cmp.Compare(a.grants[0], b.grants[0]),
		)
	})
	return list
}

// evictionGroup collects the grants that are unloaded together with one,
// adapters first. The group may not be evicted while one of its grants has
// requests.
func evictionGroup(query *Query, server *Server, held ServerGrant) (group evictionCandidate, allowed bool) {
	for _, other := range server.Grants {
		inGroup := other.Grant == held.Grant || (!held.Item.IsAdapter() && other.Item.Base() == held.Item)
		if !inGroup {
			continue
		}
		cost, protected := 0.0, false
		if !other.Draining {
			cost, protected = query.EvictionCost(server, other)
			protected = !protected
		}
		if protected || other.HasRequests() {
			return evictionCandidate{}, false
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

// chooseEvictions takes the candidates with the lowest cost per byte until the
// missing memory is covered, then drops those that are not needed, most
// expensive first. It returns nil if all of them together do not suffice.
func chooseEvictions(missing fleet.Bytes, list []evictionCandidate) []evictionCandidate {
	var chosen []evictionCandidate
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
	slices.SortStableFunc(byCost, func(a, b evictionCandidate) int { return cmp.Compare(b.cost, a.cost) })
	for _, spare := range byCost {
		if missing+spare.size > 0 {
			continue
		}
		missing += spare.size
		chosen = slices.DeleteFunc(chosen, func(e evictionCandidate) bool { return e.grants[0] == spare.grants[0] })
	}
	return chosen
}
