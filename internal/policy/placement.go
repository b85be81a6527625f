package policy

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/ticket"
)

// Penalties of a placement, in seconds of cold start that it is worth avoiding
// it for.
const (
	sharedDomainPenalty = 5 * time.Second  // another replica is in the domain
	sharedServerPenalty = 20 * time.Second // another replica is on the server
	fragmentPenalty     = 2 * time.Second  // memory left over that fits little
)

// Query asks where to load one item.
type Query struct {
	Item       fleet.Item
	Size       fleet.Bytes
	Deployment *ticket.Deployment
	// Region is where most of the waiting requests are; empty for none.
	Region fleet.Region
	// Value returns the expected cost of evicting a grant; nil forbids
	// evictions.
	Value func(*Server, Held) (cost float64, allowed bool)
}

// Placement is one way to load an item.
type Placement struct {
	Server fleet.ServerID
	// LoadTime is the expected time of the load itself.
	LoadTime time.Duration
	// Cost is the load time with all penalties.
	Cost time.Duration
	// Evict lists the grants to unload first, least valuable first.
	Evict []fleet.GrantID
	// Remote says that the load reads from the weight store.
	Remote bool
}

// Place returns the cheapest placement. Among equals a hash of item and server
// decides, so that items spread over the caches of all servers, come back to the
// same one, and all nodes choose alike from the same view.
func Place(query *Query, store Store, servers []Server) (Placement, bool) {
	domains := make(map[fleet.FailureDomain]bool)
	for i := range servers {
		if _, held := servers[i].holds(query.Item); held {
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

// affinity orders the servers that are equally good for an item.
func affinity(item fleet.Item, server fleet.ServerID) uint64 {
	return xxhash.Sum64String(item.String() + "@" + string(server))
}

// placeOn returns the placement on one server, if the item may go there.
func placeOn(query *Query, store Store, server *Server) (Placement, bool) {
	if !eligible(query, server) {
		return Placement{}, false
	}
	placement := Placement{
		Server:   server.ID,
		LoadTime: store.LoadTime(query.Item, query.Size, server),
		Remote:   remote(query.Item, server),
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
	if _, held := server.holds(query.Item); held {
		placement.Cost += sharedServerPenalty
	}
	if query.Region != "" && server.Region != query.Region {
		placement.Cost += regionPenalty
	}
	placement.Cost += fragmentation(query.Size, server)
	return placement, true
}

// regionPenalty is what it is worth to keep answers off the link between
// regions.
const regionPenalty = 10 * time.Second

func eligible(query *Query, server *Server) bool {
	deployment := query.Deployment
	switch {
	case server.Leaving, server.Silent, server.Pool != deployment.Pool:
		return false
	case len(deployment.Regions) > 0 && !slices.Contains(deployment.Regions, server.Region):
		return false
	case server.Accelerators > 0 && deployment.Accelerators > server.Accelerators:
		return false
	}
	if !query.Item.IsAdapter() {
		_, held := server.holds(query.Item)
		return !held
	}
	base, held := server.holds(query.Item.Base())
	_, twice := server.holds(query.Item)
	return held && base.State == engine.Ready && !twice
}

// fragmentation penalises a gap that is left but too small for another item of
// the size, so that items of a size fill servers one after another.
func fragmentation(size fleet.Bytes, server *Server) time.Duration {
	left := server.Free() - size
	if left <= 0 || left >= size {
		return 0
	}
	return time.Duration(float64(fragmentPenalty) * float64(left) / float64(size))
}
