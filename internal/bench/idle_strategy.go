package bench

import (
	"time"

	"github.com/guavatrack/guavatrack/internal/policy"
)

// forever is longer than any trace.
const forever = 100 * 365 * 24 * time.Hour

// learned is the product's policy.
type learned struct{}

func (learned) schedule(r *idleReplay, item *replayItem) policy.Schedule {
	return item.pattern.Schedule(r.population, idleStart.Add(r.now), r.costs(item))
}

func (learned) value(r *idleReplay, item *replayItem) float64 {
	return item.pattern.DropCost(r.population, idleStart.Add(item.lastEnd), idleStart.Add(r.now), r.costs(item))
}

// costs returns the costs of an item as a cold start is expected to take now.
func (r *idleReplay) costs(item *replayItem) policy.Costs {
	return policy.CostsOf(item.deployment, item.Item, r.expectedLoad(item))
}

// fixed keeps every item for the same time. It evicts the least recently used.
type fixed time.Duration

func (f fixed) schedule(*idleReplay, *replayItem) policy.Schedule {
	return policy.Schedule{Windows: []policy.Window{{From: 0, To: time.Duration(f)}}}
}

// recencyUnit makes the value of an item that orders evictions by recency too
// small to count as a cost of placement.
const recencyUnit = 1e-30

func (fixed) value(_ *idleReplay, item *replayItem) float64 {
	return recencyUnit * item.lastEnd.Seconds() * float64(item.size)
}

// clairvoyant knows when the next request arrives. For each gap it takes the
// cheapest of holding the item, letting the request wait, and, if ahead is set,
// loading just in time.
type clairvoyant struct {
	fixed
	ahead bool
}

func (c clairvoyant) schedule(r *idleReplay, item *replayItem) policy.Schedule {
	if item.next >= len(item.arrivals) {
		return policy.Schedule{}
	}
	costs := r.costs(item)
	gap := item.arrivals[item.next] - r.now
	hold := costs.HoldPerSecond * gap.Seconds()
	cold := item.deployment.Prices.ColdStartSecond * item.waiting(costs.LoadTime).Seconds()
	ahead := costs.HoldPerSecond * costs.LoadTime.Seconds()
	window := policy.Window{From: gap, To: gap + time.Minute}
	switch {
	case hold <= cold && (hold <= ahead || !c.ahead):
		window.From = 0
	case !c.ahead || cold <= ahead:
		return policy.Schedule{}
	}
	return policy.Schedule{Windows: []policy.Window{window}}
}

// waiting returns how long the next requests together would wait for a load
// that starts with the first of them.
func (i *replayItem) waiting(loadTime time.Duration) (total time.Duration) {
	first := i.arrivals[i.next]
	for _, at := range i.arrivals[i.next:] {
		if at >= first+loadTime {
			break
		}
		total += first + loadTime - at
	}
	return total
}
