// Package lookup tells callers which nodes to send their requests to.
//
// The nodes that are home to a model in a region are chosen by weighted
// rendezvous hashing over the live members there: every node with the same
// view names the same ones, and a member that comes or goes changes the homes
// of its own share of the models only. So the first requests of a burst meet,
// and one cold start is decided once. A hot model has more homes, and a home
// that has far more load than the average is passed over for the next one.
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
	// homesPerModel is the number of homes of a model that is not hot. The
	// second one stands in for the first.
	homesPerModel = 2
	// loadBound is the largest load of a home relative to the average of the
	// region.
	loadBound = 1.25
)

// Homes returns the nodes of a region in the order of their preference for the
// item's base model, adapters included with it. An empty region means all.
// Leaving nodes come last, and only if there are no others at all.
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

// scored is a candidate with its rank.
type scored struct {
	score float64
	info  member.Info
}

// score is the weighted rendezvous score: -weight/ln(u) for a u in (0, 1) that
// is hashed from item and node. A node wins in proportion to its weight.
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

// Loads gives the load of nodes, in any one unit such as running requests.
type Loads map[fleet.NodeID]float64

// Choose returns the nodes to name for an item: its homes in the region, those
// over the load bound behind the others. With wide, the number of nodes among
// which a hot model is spread, the first ones are shuffled so that callers
// spread evenly. Regions without nodes fall back to the nearer of the others,
// which is the given own region if it has any.
func Choose(
	item fleet.Item, region, own fleet.Region, members []member.Info, loads Loads, wide int, random *rand.Rand,
) []member.Info {
	homes := Homes(item, region, members)
	if len(homes) == 0 {
		homes = Homes(item, own, members)
	}
	if len(homes) == 0 {
		homes = Homes(item, "", members)
	}
	homes = bounded(homes, loads)
	count := min(len(homes), max(homesPerModel, wide))
	if wide > 1 {
		shared := homes[:min(wide, len(homes))]
		random.Shuffle(len(shared), func(i, j int) { shared[i], shared[j] = shared[j], shared[i] })
	}
	return homes[:count]
}

// bounded moves the nodes whose load is over the bound behind the others and
// keeps the order otherwise.
func bounded(homes []member.Info, loads Loads) []member.Info {
	total := 0.0
	for _, home := range homes {
		total += loads[home.Node]
	}
	limit := loadBound*total/float64(max(len(homes), 1)) + 1
	slices.SortStableFunc(homes, func(a, b member.Info) int {
		return cmp.Compare(over(loads[a.Node], limit), over(loads[b.Node], limit))
	})
	return homes
}

func over(load, limit float64) int {
	if load > limit {
		return 1
	}
	return 0
}
