package policy

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/ticket"
)

// Penalties of a placement, as the additional cold start time that is accepted
// to avoid it.
const (
	sharedDomainPenalty = 5 * time.Second  // another replica is in the failure domain
	sharedServerPenalty = 20 * time.Second // another replica is on the server
	fragmentPenalty     = 2 * time.Second  // at most, if the remaining memory is small
)

// Query describes the item to place.
type Query struct {
	Item       fleet.Item
	Size       fleet.Bytes
	Deployment *ticket.Deployment
	// Region is where most of the waiting requests are; empty means no
	// preference.
	Region fleet.Region
	// EvictionCost returns the expected cost of evicting a grant and whether it
	// may be evicted; nil forbids evictions.
	EvictionCost func(*Server, ServerGrant) (cost float64, allowed bool)
}

// Placement is a server for an item, with the evictions that it requires.
type Placement struct {
	Server fleet.ServerID
	// LoadTime is the expected time of the load itself.
	LoadTime time.Duration
	// Cost is the load time plus the cost of the evictions and all penalties.
	Cost time.Duration
	// Evict lists the grants to unload first, least valuable first.
	Evict []fleet.GrantID
	// Remote is set if the load reads from the weight store.
	Remote bool
}

// Place returns the cheapest placement. Ties are broken by a hash of item and
// server, so that items are spread over the caches of all servers, return to
// the same server, and all nodes choose the same from the same view.
func Place(query *Query, store WeightStore, servers []Server) (Placement, bool) {
	domains := make(map[fleet.FailureDomain]bool)
	for i := range servers {
		if _, held := servers[i].grantOf(query.Item); held {
			domains[servers[i].FailureDomain] = true
		}
	}
	var best Placement
	found := false
	for i := range servers {
		placement, possible := placeOn(query, store, &servers[i])
		if !possible {
			continue
		}
		if domains[servers[i].FailureDomain] {
			placement.Cost += sharedDomainPenalty
		}
		if !found || placement.Cost < best.Cost ||
			(placement.Cost == best.Cost && affinity(query.Item, placement.Server) > affinity(query.Item, best.Server)) {
			best, found = placement, true
		}
	}
	return best, found
}

// affinity returns the rank of a server for an item among servers of equal
// cost. The highest is preferred.
func affinity(item fleet.Item, server fleet.ServerID) uint64 {
	return xxhash.Sum64String(item.String() + "@" + string(server))
}

// placeOn returns the placement on one server, and false if the item cannot be
// placed there.
func placeOn(query *Query, store WeightStore, server *Server) (Placement, bool) {
	if !eligible(query, server) {
		return Placement{}, false
	}
	placement := Placement{
		Server:   server.ID,
		LoadTime: store.LoadTime(query.Item, query.Size, server),
		Remote:   readsFromStore(query.Item, server),
	}
	if placement.Remote && store.Down {
		return Placement{}, false
	}
	evict, cost, possible := evictions(query, server)
	if !possible {
		return Placement{}, false
	}
	placement.Evict = evict
	placement.Cost = placement.LoadTime + cost
	if _, held := server.grantOf(query.Item); held {
		placement.Cost += sharedServerPenalty
	}
	if query.Region != "" && server.Region != query.Region {
		placement.Cost += regionPenalty
	}
	placement.Cost += fragmentationCost(query.Size, server)
	return placement, true
}

// regionPenalty is the additional cold start time that is accepted to keep
// responses off the link between regions.
const regionPenalty = 10 * time.Second

// eligible reports whether the item may be loaded on the server, regardless of
// free memory. An adapter needs a ready replica of its base model there.
func eligible(query *Query, server *Server) bool {
	deployment := query.Deployment
	switch {
	case server.Leaving, server.ReportStale, server.Pool != deployment.Pool:
		return false
	case len(deployment.Regions) > 0 && !slices.Contains(deployment.Regions, server.Region):
		return false
	case server.Accelerators > 0 && deployment.Accelerators > server.Accelerators:
		return false
	}
	if !query.Item.IsAdapter() {
		_, held := server.grantOf(query.Item)
		return !held
	}
	base, held := server.grantOf(query.Item.Base())
	_, loaded := server.grantOf(query.Item)
	return held && base.State == engine.Ready && !loaded
}

// fragmentationCost penalises free memory that remains but is too small for
// another item of the size, so that items of equal size fill one server after
// another.
func fragmentationCost(size fleet.Bytes, server *Server) time.Duration {
	left := server.Free() - size
	if left <= 0 || left >= size {
		return 0
	}
	return time.Duration(float64(fragmentPenalty) * float64(left) / float64(size))
}
