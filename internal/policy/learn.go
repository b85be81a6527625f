package policy

import (
	"time"

	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/ticket"
)

// arrive notes that a request has come, and learns from the idle time before.
// The caller holds the lock of the item's shard.
func (c *Controller) arrive(s *itemState, at time.Time) {
	if s.active == 0 && !s.lastEnd.IsZero() && at.After(s.lastEnd) {
		c.learning.Lock()
		s.pattern.Observe(&c.population, s.lastEnd, at)
		c.learning.Unlock()
		s.changed = true
	}
	s.planned = false
	s.lastBusy = later(s.lastBusy, at)
}

// schedule returns the windows in which the idle item is to be loaded. The
// caller holds the lock of the item's shard.
func (c *Controller) schedule(s *itemState, costs Costs) Schedule {
	if !s.planned || s.costs != costs {
		c.learning.Lock()
		s.schedule = s.pattern.Schedule(&c.population, s.lastBusy, costs)
		c.learning.Unlock()
		s.costs = costs
		s.planned = true
	}
	return s.schedule
}

// costs returns the costs of an item as a load is expected to take now, where
// its checkpoint is nearest.
func (c *Controller) costs(snapshot *ticket.Snapshot, item fleet.Item) (Costs, bool) {
	if !snapshot.Serves(item) {
		return Costs{}, false
	}
	deployment := snapshot.Deployments[item.Model]
	loadTime := c.weights().LoadTime(item, snapshot.Size(item), &Server{Place: fleet.Place{Region: c.Weights.Region}})
	return CostsOf(deployment, item, loadTime), true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Used is what another node saw of the requests for one item.
type Used struct {
	Item fleet.Item `json:"item"`
	// From is when the first of the requests arrived, Until when the last one
	// ended, or the time of the message if some still run.
	From  time.Time `json:"from"`
	Until time.Time `json:"until"`
}

// Heard takes in what another node saw of items that this node decides for.
func (c *Controller) Heard(uses []Used) {
	for _, use := range uses {
		c.with(use.Item, func(s *itemState) {
			c.arrive(s, use.From)
			s.lastEnd = later(s.lastEnd, use.Until)
			s.lastBusy = later(s.lastBusy, use.Until)
		})
	}
}

// uses returns what this node saw since the last call of items that it does
// not decide for.
func (c *Controller) uses(now time.Time) (uses []Used) {
	for i := range c.shards {
		c.shards[i].Lock()
		for item, state := range c.shards[i].items {
			if state.usedFrom.IsZero() || c.decides(item) {
				continue
			}
			use := Used{Item: item, From: state.usedFrom, Until: state.lastEnd}
			state.usedFrom = time.Time{}
			if state.active > 0 {
				use.Until, state.usedFrom = now, now
			}
			uses = append(uses, use)
		}
		c.shards[i].Unlock()
	}
	return uses
}

// weights returns the store as it is at present.
func (c *Controller) weights() Store {
	c.learning.Lock()
	defer c.learning.Unlock()
	return c.store
}

// observeLoads learns how fast the store is from loads that have come up, and
// forgets loads that are over.
func (c *Controller) observeLoads(servers []Server, now time.Time) {
	c.learning.Lock()
	defer c.learning.Unlock()
	held := make(map[fleet.GrantID]Held)
	for i := range servers {
		for _, grant := range servers[i].Held {
			held[grant.Grant] = grant
		}
	}
	for grant, started := range c.started {
		switch current, found := held[grant]; {
		case found && current.State == engine.Ready:
			if started.Remote && !started.Item.IsAdapter() {
				c.store = c.store.Observe(current.Size, now.Sub(started.at))
			}
			delete(c.started, grant)
		case !found && now.Sub(started.at) > viewLag, current.Draining:
			delete(c.started, grant)
		case found:
			started.progress = current.Progress
			c.started[grant] = started
			if started.Remote && !started.Item.IsAdapter() {
				c.store = c.store.overdue(current, now.Sub(started.at))
			}
		}
	}
}

// startedLoad is a load that this node has ordered.
type startedLoad struct {
	Load
	at       time.Time
	progress float64 // of the last report
}

// reading reports whether the load still reads from the store. Reports are
// behind, so a load that was well on its way counts until its expected end: a
// slot that waits for the report would be idle for the report's lag.
func (l *startedLoad) reading(now time.Time) bool {
	return l.Remote && (l.progress < nearlyThere || now.Sub(l.at) < l.LoadTime)
}

// inFlight counts the loads from the store that this node has ordered.
func (c *Controller) inFlight(now time.Time) (models, adapters int) {
	c.learning.Lock()
	defer c.learning.Unlock()
	count := func(load startedLoad) {
		switch {
		case !load.reading(now):
		case load.Item.IsAdapter():
			adapters++
		default:
			models++
		}
	}
	for _, load := range c.started {
		count(load)
	}
	for _, load := range c.recording {
		count(load)
	}
	return models, adapters
}
