// Package lookup chooses the nodes to which callers send their requests.
//
// The home nodes of a model in a region are chosen by weighted rendezvous hashing
// over the live members of the region: all nodes with the same view choose the same
// homes, and a member that is added or removed changes only the homes of its own
// share of the models. The first requests of a burst therefore arrive at the same
// node, so that a cold start is decided only once. A hot model is spread over more
// homes, and a home whose load is far above the average is ranked behind the others.
package lookup

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/guavatrack/guavatrack/internal/member"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

const (
	// homesPerModel is the number of homes of a model that is not hot. The second
	// one is the fallback of the first.
	homesPerModel = 2
	// maxRelativeLoad is the load of a home relative to the average of the region
	// above which it counts as overloaded.
	maxRelativeLoad = 1.25
)

// Homes returns the nodes of a region in the order of their rendezvous scores for
// the item's base model; adapters have the homes of their base model. An empty
// region means all regions. Leaving nodes are returned only if there are no others.
func Homes(item fleet.Item, region fleet.Region, members []member.Info) []member.Info {
	list := make([]scored, 0, len(members))
	for _, info := range members {
		if region == "" || info.Region == region {
			list = append(list, scored{score(item, info), info})
		}
	}
	if slices.ContainsFunc(list, func(s scored) bool { return !s.info.Leaving }) {
		list = slices.DeleteFunc(list, func(s scored) bool { return s.info.Leaving })
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.info.Node, b.info.Node))
	})
	homes := make([]member.Info, len(list))
	for i, home := range list {
		homes[i] = home.info
	}
	return homes
}

// scored is a candidate with its rendezvous score.
type scored struct {
	score float64
	info  member.Info
}

// score returns the weighted rendezvous score -weight/ln(u), where u in (0, 1) is a
// hash of model and node. The share of models for which a node has the highest
// score is proportional to its weight.
func score(item fleet.Item, info member.Info) float64 {
	const mantissa = 53
	hash := xxhash.Sum64String(string(item.Model) + "/" + string(info.Node))
	u := (float64(hash>>(64-mantissa)) + 0.5) / (1 << mantissa)
	weight := info.Weight
	if weight <= 0 {
		weight = 1
	}
	return -weight / math.Log(u)
}

// Loads is the load of each node, in one unit for all, such as running requests.
type Loads map[fleet.NodeID]float64

// Choose returns the nodes for callers of an item: its homes in the region, with
// overloaded ones behind the others. If spread, the number of nodes over which a hot
// model is spread, is above 1, the first spread homes are shuffled so that callers
// are distributed evenly. If the region has no nodes, those of ownRegion are used,
// and if that has none either, those of all regions.
func Choose(
	item fleet.Item, region, ownRegion fleet.Region, members []member.Info, loads Loads, spread int, random *rand.Rand,
) []member.Info {
	homes := Homes(item, region, members)
	if len(homes) == 0 {
		homes = Homes(item, ownRegion, members)
	}
	if len(homes) == 0 {
		homes = Homes(item, "", members)
	}
	homes = demoteOverloaded(homes, loads)
	count := min(len(homes), max(homesPerModel, spread))
	if spread > 1 {
		hot := homes[:min(spread, len(homes))]
		random.Shuffle(len(hot), func(i, j int) { hot[i], hot[j] = hot[j], hot[i] })
	}
	return homes[:count]
}

// demoteOverloaded moves the nodes whose load is above maxRelativeLoad times the
// average plus 1 behind the others and keeps the order otherwise.
func demoteOverloaded(homes []member.Info, loads Loads) []member.Info {
	total := 0.0
	for _, home := range homes {
		total += loads[home.Node]
	}
	limit := maxRelativeLoad*total/float64(max(len(homes), 1)) + 1
	slices.SortStableFunc(homes, func(a, b member.Info) int {
		return cmp.Compare(overloadRank(loads[a.Node], limit), overloadRank(loads[b.Node], limit))
	})
	return homes
}

func overloadRank(load, limit float64) int {
	if load > limit {
		return 1
	}
	return 0
}
