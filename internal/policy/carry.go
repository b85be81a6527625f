package policy

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/internal/metric"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/ticket"
)

// Metrics lists what a [Controller] counts.
var Metrics = []metric.Doc{
	{Name: "policy.wakes", Kind: metric.Counter, Help: "Calls for an item on behalf of waiting requests that this node decided."},
	{Name: "policy.wakesForwarded", Kind: metric.Counter, Help: "Calls for an item that were sent to its first home."},
	{Name: "policy.forwardsFailed", Kind: metric.Counter, Help: "Calls that were decided here because the first home did not answer."},
	{Name: "policy.loads", Kind: metric.Counter, Help: "Loads that were granted and ordered."},
	{Name: "policy.prewarms", Kind: metric.Counter, Help: "Loads ahead of requests, contained in policy.loads."},
	{Name: "policy.loadsFailed", Kind: metric.Counter, Help: "Loads that got no grant."},
	{Name: "policy.unloads", Kind: metric.Counter, Help: "Unloads that were ordered."},
	{Name: "policy.evictions", Kind: metric.Counter, Help: "Unloads to make room, contained in policy.unloads."},
	{Name: "policy.cancelled", Kind: metric.Counter, Help: "Loads that nobody waited for any more, contained in policy.unloads."},
}

// counters are the metrics of a controller.
type counters struct {
	wakes, forwarded, forwardsFailed metrics.Counter
	loads, prewarms, loadsFailed     metrics.Counter
	unloads, evictions, cancelled    metrics.Counter
}

func newCounters(registry metrics.Registry) counters {
	get := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, registry) }
	return counters{
		wakes:          get("policy.wakes"),
		forwarded:      get("policy.wakesForwarded"),
		forwardsFailed: get("policy.forwardsFailed"),
		loads:          get("policy.loads"),
		prewarms:       get("policy.prewarms"),
		loadsFailed:    get("policy.loadsFailed"),
		unloads:        get("policy.unloads"),
		evictions:      get("policy.evictions"),
		cancelled:      get("policy.cancelled"),
	}
}

// Reasons for an unload.
const (
	reasonIdle      = "idle"
	reasonEvicted   = "evicted"
	reasonCancelled = "nobody waits"
)

// step makes one plan and starts its actions.
// It returns whether requests wait.
func (c *Controller) step(ctx context.Context, now time.Time) (busy bool) {
	snapshot := c.Snapshot()
	demands, underway := c.demands(snapshot, now) // before the servers, which show what has been granted since
	view := View{Now: now, Servers: c.Grants.Servers(), Snapshot: snapshot}
	c.observeLoads(view.Servers, now)
	demands = append(demands, c.scaling(snapshot, view.Servers, now)...)
	view.Store = c.weights()
	c.addSlots(ctx, &view, demands)
	view.Value = func(server *Server, held Held) (float64, bool) {
		return c.value(snapshot, view.Servers, server, held, now)
	}
	view.Pending = notShown(view.Servers, underway)
	actions := Plan(view, demands)
	for item, reason := range actions.Blocked {
		c.with(item, func(s *itemState) { s.blocked = reason })
	}
	actions.Unloads = append(actions.Unloads, c.idle(snapshot, view.Servers, now)...)
	for _, load := range actions.Loads {
		c.startLoad(ctx, load)
	}
	for _, unload := range actions.Unloads {
		c.startUnload(ctx, unload)
	}
	return slices.ContainsFunc(demands, func(d Demand) bool { return d.Urgency == Waiting })
}

// probePause is the time between loads that try whether a store that was down
// is back.
const probePause = 30 * time.Second

// addSlots sets how many loads from the store the plan may start.
func (c *Controller) addSlots(ctx context.Context, view *View, demands []Demand) {
	models, adapters := c.inFlight(view.Now)
	need := shareNeed{inFlight: models, liveNodes: 1, now: view.Now}
	if c.Live != nil {
		need.liveNodes = c.Live()
	}
	adapterNeed := need
	adapterNeed.inFlight = adapters
	for _, demand := range demands {
		if demand.Item.IsAdapter() {
			adapterNeed.queued++
		}
		if !held(view.Servers, demand.Item.Base()) {
			need.queued++
		}
	}
	view.ModelSlots = c.models.slots(ctx, c.Store, c.Node, need)
	view.AdapterSlots = c.adapters.slots(ctx, c.Store, c.Node, adapterNeed)
	view.ModelSlots = min(view.ModelSlots, c.pace.allow(c.startRate(), view.Now))
	if view.Store.Down && models == 0 && view.Now.Sub(c.probedAt) >= probePause {
		view.Store.Down = false
		view.ModelSlots = min(1, view.ModelSlots)
		c.probedAt = view.Now
	}
}

// startRate is the rate at which this node may start loads, by its share.
func (c *Controller) startRate() float64 {
	rate := c.Weights.LoadsPerSecond
	if rate <= 0 {
		rate = defaultLoadsPerSecond
	}
	if c.Store == nil {
		return rate
	}
	return rate * float64(max(1, c.models.share.Loads)) / float64(c.models.Loads)
}

// held reports whether any server holds the item.
func held(servers []Server, item fleet.Item) bool {
	return slices.ContainsFunc(servers, func(s Server) bool {
		_, found := s.holds(item)
		return found
	})
}

// demands lists the items that requests wait for or that are expected soon, and
// the loads that are being recorded, with an empty grant, or were recorded
// within the view's lag.
func (c *Controller) demands(snapshot *ticket.Snapshot, now time.Time) (
	demands []Demand, underway map[fleet.Item]fleet.GrantID,
) {
	underway = make(map[fleet.Item]fleet.GrantID)
	for i := range c.shards {
		c.shards[i].Lock()
		for item, state := range c.shards[i].items {
			if state.loading || now.Before(state.retryAt) {
				underway[item] = ""
			} else if now.Sub(state.grantedAt) < viewLag {
				underway[item] = state.granted
			}
			if demand, wanted := c.demand(snapshot, item, state, now); wanted {
				demands = append(demands, demand)
			}
		}
		c.shards[i].Unlock()
	}
	return demands, underway
}

// demand returns what an item needs now. The caller holds the shard's lock.
func (c *Controller) demand(snapshot *ticket.Snapshot, item fleet.Item, state *itemState, now time.Time) (Demand, bool) {
	if now.Sub(state.wokenAt) <= waitingFor {
		return Demand{
			Item: item, Urgency: Waiting, Want: 1, Deadline: state.deadline, Since: state.since,
		}, true
	}
	costs, served := c.costs(snapshot, item)
	if !served || state.active > 0 || state.lastEnd.IsZero() || !c.decides(item) {
		return Demand{}, false
	}
	schedule := c.schedule(state, costs)
	loaded, _ := schedule.At(now.Sub(state.lastBusy) + costs.LoadTime)
	if !loaded {
		return Demand{}, false
	}
	return Demand{Item: item, Urgency: Prewarm, Want: 1, Since: state.lastBusy}, true
}

// scaling returns the demands of items that are too busy for their replicas or
// have fewer than their minimum.
func (c *Controller) scaling(snapshot *ticket.Snapshot, servers []Server, now time.Time) (demands []Demand) {
	usage := usageOf(servers)
	for model, deployment := range snapshot.Deployments {
		item := fleet.Item{Model: model}
		use, seen := usage[item]
		if (!seen && deployment.Replicas.Min == 0) || !c.decides(item) {
			continue
		}
		use.Concurrency = deployment.Concurrency
		c.with(item, func(s *itemState) {
			s.want, s.scale = s.scale.Step(use, deployment.Replicas.Min, deployment.Replicas.Max, now)
			if s.want > use.Replicas {
				demands = append(demands, Demand{Item: item, Urgency: Prewarm, Want: s.want, Since: now})
			}
		})
	}
	return demands
}

// usageOf sums the use of the replicas of each base model. Requests for
// adapters count for their base.
func usageOf(servers []Server) map[fleet.Item]Use {
	usage := make(map[fleet.Item]Use)
	for i := range servers {
		for _, held := range servers[i].Held {
			use := usage[held.Item.Base()]
			if !held.Item.IsAdapter() && !held.Draining {
				use.Replicas++
			}
			use.Running += held.Running
			use.Queued += held.Queued
			usage[held.Item.Base()] = use
		}
	}
	return usage
}

// notShown returns the items whose load is underway and not in the view.
func notShown(servers []Server, underway map[fleet.Item]fleet.GrantID) map[fleet.Item]bool {
	shown := make(map[fleet.GrantID]bool)
	for i := range servers {
		for _, held := range servers[i].Held {
			shown[held.Grant] = true
		}
	}
	pending := make(map[fleet.Item]bool)
	for item, grant := range underway {
		if grant == "" || !shown[grant] {
			pending[item] = true
		}
	}
	return pending
}

// idle returns the unloads of replicas that are not worth their memory, are more
// than a busy item needs, or are loads that nobody waits for. While the store is
// down nothing is unloaded, since it could not be loaded again.
func (c *Controller) idle(snapshot *ticket.Snapshot, servers []Server, now time.Time) []Unload {
	if c.weights().Down {
		return nil
	}
	var unloads []Unload
	counts := readyCounts(servers)
	for i := range servers {
		for _, held := range servers[i].Held {
			if held.Draining || !c.decides(held.Item) {
				continue
			}
			if c.abandoned(snapshot, held, now) {
				unloads = append(unloads, Unload{held.Item, held.Grant, reasonCancelled})
				continue
			}
			if counts[held.Item] <= minReplicas(snapshot, held.Item) || !c.superfluous(snapshot, servers, i, held, counts, now) {
				continue
			}
			counts[held.Item]--
			unloads = append(unloads, Unload{held.Item, held.Grant, reasonIdle})
		}
	}
	return unloads
}

// superfluous reports whether a replica has run out of its keep-alive or is one
// more than its item needs.
func (c *Controller) superfluous(
	snapshot *ticket.Snapshot, servers []Server, server int, held Held, counts map[fleet.Item]int, now time.Time,
) bool {
	if c.expired(snapshot, &servers[server], held, now) {
		return true
	}
	extra := false
	c.with(held.Item, func(s *itemState) {
		extra = s.want > 0 && counts[held.Item] > s.want && held.State == engine.Ready && !held.Serves()
	})
	return extra && !hasAdapters(&servers[server], held.Item)
}

// nearlyThere is the progress from which a load is finished although nobody
// waits for it any more.
const nearlyThere = 0.7

// abandoned reports whether a load was started for requests that are gone. It
// spares replicas that the minimum, scaling or the schedule asks for.
func (c *Controller) abandoned(snapshot *ticket.Snapshot, held Held, now time.Time) bool {
	if held.State != engine.Loading || held.Progress >= nearlyThere || minReplicas(snapshot, held.Item) > 0 {
		return false
	}
	c.learning.Lock()
	started, mine := c.started[held.Grant]
	c.learning.Unlock()
	if !mine || started.Urgency != Waiting {
		return false
	}
	costs, served := c.costs(snapshot, held.Item)
	gone := false
	c.with(held.Item, func(s *itemState) {
		gone = s.active == 0 && now.Sub(s.wokenAt) > waitingFor && now.Sub(started.at) > waitingFor
		if gone && served && !s.lastEnd.IsZero() {
			schedule := c.schedule(s, costs)
			loaded, _ := schedule.At(now.Sub(s.lastBusy))
			gone = !loaded
		}
	})
	return gone && !c.adapterWaits(held.Item, now)
}

// adapterWaits reports whether requests wait for an adapter of a base model.
func (c *Controller) adapterWaits(base fleet.Item, now time.Time) bool {
	for i := range c.shards {
		c.shards[i].Lock()
		for item, state := range c.shards[i].items {
			if item.IsAdapter() && item.Base() == base && now.Sub(state.wokenAt) <= waitingFor {
				c.shards[i].Unlock()
				return true
			}
		}
		c.shards[i].Unlock()
	}
	return false
}

func (c *Controller) decides(item fleet.Item) bool {
	return c.Decides == nil || c.Decides(item.Base())
}

func readyCounts(servers []Server) map[fleet.Item]int {
	counts := make(map[fleet.Item]int)
	for i := range servers {
		for _, held := range servers[i].Held {
			if held.State == engine.Ready && !held.Draining {
				counts[held.Item]++
			}
		}
	}
	return counts
}

// minReplicas is the number of replicas below which nothing is unloaded.
func minReplicas(snapshot *ticket.Snapshot, item fleet.Item) int {
	deployment, found := snapshot.Deployments[item.Model]
	if !found || item.IsAdapter() {
		return 0
	}
	return deployment.Replicas.Min
}

// hasAdapters reports whether adapters of the base model are on the server. They
// leave before it.
func hasAdapters(server *Server, base fleet.Item) bool {
	return slices.ContainsFunc(server.Held, func(h Held) bool {
		return h.Item.IsAdapter() && h.Item.Base() == base
	})
}

// expired reports whether a replica is idle and its schedule wants it gone.
func (c *Controller) expired(snapshot *ticket.Snapshot, server *Server, held Held, now time.Time) bool {
	if held.State != engine.Ready || held.Serves() {
		return false
	}
	if !held.Item.IsAdapter() && hasAdapters(server, held.Item) {
		return false
	}
	costs, served := c.costs(snapshot, held.Item)
	expired := false
	c.with(held.Item, func(s *itemState) {
		if s.lastBusy.IsZero() {
			s.lastBusy = now
		}
		idle := now.Sub(s.lastBusy)
		if s.active > 0 || idle < minKeepAlive || now.Sub(s.wokenAt) <= waitingFor {
			return
		}
		if !served {
			expired = true
			return
		}
		schedule := c.schedule(s, costs)
		loaded, until := schedule.At(idle)
		expired = !loaded && (until == 0 || until-idle > costs.LoadTime)
	})
	return expired
}

// Bounds of the keep-alive of a replica that has just served a request.
const (
	minKeepAlive = 10 * time.Second
	maxKeepAlive = 24 * time.Hour
)

// value returns what the eviction of a grant is expected to cost.
func (c *Controller) value(
	snapshot *ticket.Snapshot, servers []Server, server *Server, held Held, now time.Time,
) (cost float64, allowed bool) {
	if held.State != engine.Ready || held.Serves() {
		return 0, false
	}
	if readyCounts(servers)[held.Item] <= minReplicas(snapshot, held.Item) {
		return 0, false
	}
	costs, served := c.costs(snapshot, held.Item)
	if !served {
		return 0, true
	}
	costs.Cold = snapshot.Deployments[held.Item.Model].Prices.ColdStartSecond *
		c.weights().LoadTime(held.Item, held.Size, server).Seconds()
	c.with(held.Item, func(s *itemState) {
		allowed = s.active == 0 && now.Sub(s.wokenAt) > waitingFor
		c.learning.Lock()
		cost = s.pattern.DropCost(&c.population, s.lastBusy, now, costs)
		c.learning.Unlock()
	})
	return cost, allowed
}

// startLoad carries out a load in the background. At most one is on its way to
// the table for each item.
func (c *Controller) startLoad(ctx context.Context, load Load) {
	started := false
	c.with(load.Item, func(s *itemState) {
		started = !s.loading
		s.loading = true
		s.blocked = ""
	})
	if !started {
		return
	}
	if load.Remote && !load.Item.IsAdapter() {
		c.pace.take(1, c.startRate())
	}
	c.learning.Lock()
	c.recording[load.Item] = startedLoad{Load: load, at: time.Now()}
	c.learning.Unlock()
	c.working.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, actionLimit)
		defer cancel()
		grant, err := c.Grants.Load(ctx, load.Item, load.Server)
		c.recorded(load, grant, err)
		c.with(load.Item, func(s *itemState) {
			s.loading = false
			s.lastBusy = time.Now()
			if err != nil {
				s.retryAt = time.Now().Add(retryPause)
				s.blocked = err.Error()
				return
			}
			s.granted, s.grantedAt = grant, time.Now()
			s.planned = false
		})
		if err != nil {
			c.counters.loadsFailed.Inc(1)
			return
		}
		c.counters.loads.Inc(1)
		if load.Urgency != Waiting {
			c.counters.prewarms.Inc(1)
		}
		c.Log.Info("load ordered", slog.String("item", load.Item.String()), slog.String("server", string(load.Server)),
			slog.String("grant", string(grant)), slog.String("urgency", load.Urgency.String()),
			slog.Duration("expected", load.LoadTime))
	})
}

// recorded moves a load from those being recorded to those started.
func (c *Controller) recorded(load Load, grant fleet.GrantID, err error) {
	c.learning.Lock()
	defer c.learning.Unlock()
	delete(c.recording, load.Item)
	if err == nil {
		c.started[grant] = startedLoad{Load: load, at: time.Now()}
	}
}

// startUnload carries out an unload in the background.
func (c *Controller) startUnload(ctx context.Context, unload Unload) {
	started := false
	c.with(unload.Item, func(s *itemState) {
		started = !s.unloading[unload.Grant]
		s.unloading[unload.Grant] = true
	})
	if !started {
		return
	}
	c.working.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, actionLimit)
		defer cancel()
		err := c.Grants.Unload(ctx, unload.Grant)
		c.with(unload.Item, func(s *itemState) { delete(s.unloading, unload.Grant) })
		if err != nil {
			return // the next step decides again
		}
		c.counters.unloads.Inc(1)
		switch unload.Reason {
		case reasonEvicted:
			c.counters.evictions.Inc(1)
		case reasonCancelled:
			c.counters.cancelled.Inc(1)
		}
		c.Log.Info("unload ordered", slog.String("item", unload.Item.String()),
			slog.String("grant", string(unload.Grant)), slog.String("reason", unload.Reason))
	})
}
