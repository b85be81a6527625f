package policy

import (
	"time"

	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/ticket"
)

// recordArrival records the arrival of a request and adds the idle time before
// it to the item's pattern. The caller holds the lock of the item's shard.
func (c *Controller) recordArrival(s *itemState, at time.Time) {
	if s.active == 0 && !s.lastRequestEnd.IsZero() && at.After(s.lastRequestEnd) {
		c.learnedMu.Lock()
		s.pattern.Observe(&c.population, s.lastRequestEnd, at)
		c.learnedMu.Unlock()
		s.unsaved = true
	}
	s.scheduleValid = false
	s.lastBusy = later(s.lastBusy, at)
}

// schedule returns the windows in which the idle item is to be loaded,
// recomputed if costs or last use have changed. The caller holds the lock of
// the item's shard.
func (c *Controller) schedule(s *itemState, costs Costs) Schedule {
	if !s.scheduleValid || s.costs != costs {
		c.learnedMu.Lock()
		s.schedule = s.pattern.Schedule(&c.population, s.lastBusy, costs)
		c.learnedMu.Unlock()
		s.costs = costs
		s.scheduleValid = true
	}
	return s.schedule
}

// costs returns the costs of an item at the load time that is currently
// expected on a server in the region of the weight store. It returns false if
// no deployment includes the item.
func (c *Controller) costs(snapshot *ticket.Snapshot, item fleet.Item) (Costs, bool) {
	if !snapshot.Serves(item) {
		return Costs{}, false
	}
	deployment := snapshot.Deployments[item.Model]
	loadTime := c.currentStore().LoadTime(item, snapshot.Size(item), &Server{Place: fleet.Place{Region: c.WeightStore.Region}})
	return CostsOf(deployment, item, loadTime), true
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Usage is the usage of one item by the requests at another node.
type Usage struct {
	Item fleet.Item `json:"item"`
	// From is when the first of the requests arrived. Until is when the last
	// one ended, or the time of the message if some still run.
	From  time.Time `json:"from"`
	Until time.Time `json:"until"`
}

// RecordUsage records the usage at other nodes of items that this node decides
// for.
func (c *Controller) RecordUsage(usages []Usage) {
	for _, usage := range usages {
		c.withState(usage.Item, func(s *itemState) {
			c.recordArrival(s, usage.From)
			s.lastRequestEnd = later(s.lastRequestEnd, usage.Until)
			s.lastBusy = later(s.lastBusy, usage.Until)
		})
	}
}

// takeUsage returns the usage since the last call of the items that this node
// does not decide for.
func (c *Controller) takeUsage(now time.Time) (usages []Usage) {
	for i := range c.shards {
		c.shards[i].Lock()
		for item, state := range c.shards[i].items {
			if state.unsentSince.IsZero() || c.isDecider(item) {
				continue
			}
			usage := Usage{Item: item, From: state.unsentSince, Until: state.lastRequestEnd}
			state.unsentSince = time.Time{}
			if state.active > 0 {
				usage.Until, state.unsentSince = now, now
			}
			usages = append(usages, usage)
		}
		c.shards[i].Unlock()
	}
	return usages
}

// currentStore returns the weight store with its observed speed.
func (c *Controller) currentStore() WeightStore {
	c.learnedMu.Lock()
	defer c.learnedMu.Unlock()
	return c.observedStore
}

// observeLoads updates the speed of the weight store from loads that have
// become ready and from those still running, and removes loads that have ended.
func (c *Controller) observeLoads(servers []Server, now time.Time) {
	c.learnedMu.Lock()
	defer c.learnedMu.Unlock()
	held := make(map[fleet.GrantID]ServerGrant)
	for i := range servers {
		for _, grant := range servers[i].Grants {
			held[grant.Grant] = grant
		}
	}
	for grant, started := range c.startedLoads {
		switch current, found := held[grant]; {
		case found && current.State == engine.Ready:
			if started.Remote && !started.Item.IsAdapter() {
				c.observedStore = c.observedStore.Observe(current.Size, now.Sub(started.startedAt))
			}
			delete(c.startedLoads, grant)
		case !found && now.Sub(started.startedAt) > maxViewLag, current.Draining:
			delete(c.startedLoads, grant)
		case found:
			started.progress = current.Progress
			c.startedLoads[grant] = started
			if started.Remote && !started.Item.IsAdapter() {
				c.observedStore = c.observedStore.observeOverdue(current, now.Sub(started.startedAt))
			}
		}
	}
}

// startedLoad is a load that this node has started.
type startedLoad struct {
	Load
	startedAt time.Time
	progress  float64 // according to the last report
}

// readsFromStore reports whether the load is assumed to still read from the
// weight store. Reports are delayed, so a nearly complete load counts until its
// expected end: a slot that is released only by the report would be idle for
// the report's lag.
func (l *startedLoad) readsFromStore(now time.Time) bool {
	return l.Remote && (l.progress < nearlyLoaded || now.Sub(l.startedAt) < l.LoadTime)
}

// inFlight returns the number of loads from the weight store that this node has
// in flight.
func (c *Controller) inFlight(now time.Time) (models, adapters int) {
	c.learnedMu.Lock()
	defer c.learnedMu.Unlock()
	count := func(load startedLoad) {
		switch {
		case !load.readsFromStore(now):
		case load.Item.IsAdapter():
			adapters++
		default:
			models++
		}
	}
	for _, load := range c.startedLoads {
		count(load)
	}
	for _, load := range c.recordingLoads {
		count(load)
	}
	return models, adapters
}
