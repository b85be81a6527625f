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

// Metrics documents the metrics of a [Controller].
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

// Reasons for an unload, for the log.
const (
	reasonIdle      = "idle"
	reasonEvicted   = "evicted"
	reasonCancelled = "nobody waits"
)

// reconcile makes one plan, starts its actions and returns whether requests
// wait.
func (c *Controller) reconcile(ctx context.Context, now time.Time) (busy bool) {
	snapshot := c.Snapshot()
	// The demands are read before the servers, so that the servers include all
	// grants that were recorded until then.
	demands, underway := c.demands(snapshot, now)
	view := View{Now: now, Servers: c.Grants.Servers(), Snapshot: snapshot}
	c.observeLoads(view.Servers, now)
	demands = append(demands, c.scalingDemands(snapshot, view.Servers, now)...)
	view.WeightStore = c.currentStore()
	c.addSlots(ctx, &view, demands)
	view.EvictionCost = func(server *Server, held ServerGrant) (float64, bool) {
		return c.evictionCost(snapshot, view.Servers, server, held, now)
	}
	view.Pending = pendingLoads(view.Servers, underway)
	actions := Plan(view, demands)
	for item, reason := range actions.Blocked {
		c.withState(item, func(s *itemState) { s.blockedReason = reason })
	}
	actions.Unloads = append(actions.Unloads, c.surplusUnloads(snapshot, view.Servers, now)...)
	for _, load := range actions.Loads {
		c.startLoad(ctx, load)
	}
	for _, unload := range actions.Unloads {
		c.startUnload(ctx, unload)
	}
	return slices.ContainsFunc(demands, func(d Demand) bool { return d.Urgency == Waiting })
}

// probeInterval is the time between two loads that test whether a weight store
// that was down is available again.
const probeInterval = 30 * time.Second

// addSlots sets how many loads from the weight store the plan may start.
func (c *Controller) addSlots(ctx context.Context, view *View, demands []Demand) {
	models, adapters := c.inFlight(view.Now)
	need := shareNeed{inFlight: models, liveNodes: 1, now: view.Now}
	if c.LiveNodes != nil {
		need.liveNodes = c.LiveNodes()
	}
	adapterNeed := need
	adapterNeed.inFlight = adapters
	for _, demand := range demands {
		if demand.Item.IsAdapter() {
			adapterNeed.queued++
		}
		if !heldByAny(view.Servers, demand.Item.Base()) {
			need.queued++
		}
	}
	view.ModelSlots = c.modelShare.slots(ctx, c.Table, c.Node, need)
	view.AdapterSlots = c.adapterShare.slots(ctx, c.Table, c.Node, adapterNeed)
	view.ModelSlots = min(view.ModelSlots, c.modelStarts.allow(c.startRate(), view.Now))
	if view.WeightStore.Down && models == 0 && view.Now.Sub(c.probedAt) >= probeInterval {
		view.WeightStore.Down = false
		view.ModelSlots = min(1, view.ModelSlots)
		c.probedAt = view.Now
	}
}

// startRate returns the rate per second at which this node may start loads, in
// proportion to its share.
func (c *Controller) startRate() float64 {
	rate := c.WeightStore.LoadsPerSecond
	if rate <= 0 {
		rate = defaultLoadsPerSecond
	}
	if c.Table == nil {
		return rate
	}
	return rate * float64(max(1, c.modelShare.share.Loads)) / float64(c.modelShare.Loads)
}

// heldByAny reports whether any server has a grant of the item.
func heldByAny(servers []Server, item fleet.Item) bool {
	return slices.ContainsFunc(servers, func(s Server) bool {
		_, found := s.grantOf(item)
		return found
	})
}

// demands returns the items that requests wait for or that are expected to be
// requested soon. underway contains the items whose load is being recorded or
// has failed within retryDelay, with an empty grant, and those whose load was
// recorded within maxViewLag, with its grant.
func (c *Controller) demands(snapshot *ticket.Snapshot, now time.Time) (
	demands []Demand, underway map[fleet.Item]fleet.GrantID,
) {
	underway = make(map[fleet.Item]fleet.GrantID)
	for i := range c.shards {
		c.shards[i].Lock()
		for item, state := range c.shards[i].items {
			if state.startingLoad || now.Before(state.retryAt) {
				underway[item] = ""
			} else if now.Sub(state.grantedAt) < maxViewLag {
				underway[item] = state.lastGrant
			}
			if demand, wanted := c.demand(snapshot, item, state, now); wanted {
				demands = append(demands, demand)
			}
		}
		c.shards[i].Unlock()
	}
	return demands, underway
}

// demand returns the present demand for an item. The caller holds the shard's
// lock.
func (c *Controller) demand(snapshot *ticket.Snapshot, item fleet.Item, state *itemState, now time.Time) (Demand, bool) {
	if now.Sub(state.lastWaiting) <= waitingExpiry {
		return Demand{
			Item: item, Urgency: Waiting, Replicas: 1, Deadline: state.deadline, Since: state.waitingSince,
		}, true
	}
	costs, served := c.costs(snapshot, item)
	if !served || state.active > 0 || state.lastRequestEnd.IsZero() || !c.isDecider(item) {
		return Demand{}, false
	}
	schedule := c.schedule(state, costs)
	loaded, _ := schedule.At(now.Sub(state.lastBusy) + costs.LoadTime)
	if !loaded {
		return Demand{}, false
	}
	return Demand{Item: item, Urgency: Prewarm, Replicas: 1, Since: state.lastBusy}, true
}

// scalingDemands returns the demands of items whose replicas are overloaded or
// fewer than the minimum.
func (c *Controller) scalingDemands(snapshot *ticket.Snapshot, servers []Server, now time.Time) (demands []Demand) {
	utilisations := utilisationByModel(servers)
	for model, deployment := range snapshot.Deployments {
		item := fleet.Item{Model: model}
		utilisation, seen := utilisations[item]
		if (!seen && deployment.Replicas.Min == 0) || !c.isDecider(item) {
			continue
		}
		utilisation.Concurrency = deployment.Concurrency
		c.withState(item, func(s *itemState) {
			s.targetReplicas, s.scaling = s.scaling.Step(utilisation, deployment.Replicas.Min, deployment.Replicas.Max, now)
			if s.targetReplicas > utilisation.Replicas {
				demands = append(demands, Demand{Item: item, Urgency: Prewarm, Replicas: s.targetReplicas, Since: now})
			}
		})
	}
	return demands
}

// utilisationByModel sums the requests on the replicas of each base model.
// Requests for adapters count for their base model.
func utilisationByModel(servers []Server) map[fleet.Item]Utilisation {
	utilisations := make(map[fleet.Item]Utilisation)
	for i := range servers {
		for _, held := range servers[i].Grants {
			utilisation := utilisations[held.Item.Base()]
			if !held.Item.IsAdapter() && !held.Draining {
				utilisation.Replicas++
			}
			utilisation.Running += held.Running
			utilisation.Queued += held.Queued
			utilisations[held.Item.Base()] = utilisation
		}
	}
	return utilisations
}

// pendingLoads returns the items with a load underway that the view does not
// contain yet.
func pendingLoads(servers []Server, underway map[fleet.Item]fleet.GrantID) map[fleet.Item]bool {
	shown := make(map[fleet.GrantID]bool)
	for i := range servers {
		for _, held := range servers[i].Grants {
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

// surplusUnloads returns the unloads of replicas whose keep-alive has expired,
// of replicas that their item does not need, and of loads for which no request
// waits any more. While the weight store is down nothing is unloaded, since it
// could not be loaded again.
func (c *Controller) surplusUnloads(snapshot *ticket.Snapshot, servers []Server, now time.Time) []Unload {
	if c.currentStore().Down {
		return nil
	}
	var unloads []Unload
	counts := readyCounts(servers)
	for i := range servers {
		for _, held := range servers[i].Grants {
			if held.Draining || !c.isDecider(held.Item) {
				continue
			}
			if c.isAbandoned(snapshot, held, now) {
				unloads = append(unloads, Unload{held.Item, held.Grant, reasonCancelled})
				continue
			}
			if counts[held.Item] <= minReplicas(snapshot, held.Item) || !c.isSurplus(snapshot, servers, i, held, counts, now) {
				continue
			}
			counts[held.Item]--
			unloads = append(unloads, Unload{held.Item, held.Grant, reasonIdle})
		}
	}
	return unloads
}

// isSurplus reports whether the keep-alive of a replica has expired or the item
// has more replicas than it needs.
func (c *Controller) isSurplus(
	snapshot *ticket.Snapshot, servers []Server, serverIndex int, held ServerGrant, counts map[fleet.Item]int, now time.Time,
) bool {
	if c.isExpired(snapshot, &servers[serverIndex], held, now) {
		return true
	}
	extra := false
	c.withState(held.Item, func(s *itemState) {
		extra = s.targetReplicas > 0 && counts[held.Item] > s.targetReplicas && held.State == engine.Ready && !held.HasRequests()
	})
	return extra && !hasAdapters(&servers[serverIndex], held.Item)
}

// nearlyLoaded is the progress from which a load is completed even if no
// request waits for it any more.
const nearlyLoaded = 0.7

// isAbandoned reports whether a load was started for requests none of which
// waits any more. It excludes replicas that the minimum, scaling or the
// schedule requires.
func (c *Controller) isAbandoned(snapshot *ticket.Snapshot, held ServerGrant, now time.Time) bool {
	if held.State != engine.Loading || held.Progress >= nearlyLoaded || minReplicas(snapshot, held.Item) > 0 {
		return false
	}
	c.learnedMu.Lock()
	started, ownLoad := c.startedLoads[held.Grant]
	c.learnedMu.Unlock()
	if !ownLoad || started.Urgency != Waiting {
		return false
	}
	costs, served := c.costs(snapshot, held.Item)
	abandoned := false
	c.withState(held.Item, func(s *itemState) {
		abandoned = s.active == 0 && now.Sub(s.lastWaiting) > waitingExpiry && now.Sub(started.startedAt) > waitingExpiry
		if abandoned && served && !s.lastRequestEnd.IsZero() {
			schedule := c.schedule(s, costs)
			loaded, _ := schedule.At(now.Sub(s.lastBusy))
			abandoned = !loaded
		}
	})
	return abandoned && !c.hasWaitingAdapter(held.Item, now)
}

// hasWaitingAdapter reports whether requests wait for an adapter of a base
// model.
func (c *Controller) hasWaitingAdapter(base fleet.Item, now time.Time) bool {
	for i := range c.shards {
		c.shards[i].Lock()
		for item, state := range c.shards[i].items {
			if item.IsAdapter() && item.Base() == base && now.Sub(state.lastWaiting) <= waitingExpiry {
				c.shards[i].Unlock()
				return true
			}
		}
		c.shards[i].Unlock()
	}
	return false
}

// isDecider reports whether this node decides for the item.
func (c *Controller) isDecider(item fleet.Item) bool {
	return c.IsDecider == nil || c.IsDecider(item.Base())
}

// readyCounts returns the number of ready replicas of each item.
func readyCounts(servers []Server) map[fleet.Item]int {
	counts := make(map[fleet.Item]int)
	for i := range servers {
		for _, held := range servers[i].Grants {
			if held.State == engine.Ready && !held.Draining {
				counts[held.Item]++
			}
		}
	}
	return counts
}

// minReplicas returns the number of replicas of an item below which none is
// unloaded.
func minReplicas(snapshot *ticket.Snapshot, item fleet.Item) int {
	deployment, found := snapshot.Deployments[item.Model]
	if !found || item.IsAdapter() {
		return 0
	}
	return deployment.Replicas.Min
}

// hasAdapters reports whether the server holds adapters of the base model. They
// are unloaded before it.
func hasAdapters(server *Server, base fleet.Item) bool {
	return slices.ContainsFunc(server.Grants, func(h ServerGrant) bool {
		return h.Item.IsAdapter() && h.Item.Base() == base
	})
}

// isExpired reports whether a replica is idle and its schedule no longer keeps
// it loaded.
func (c *Controller) isExpired(snapshot *ticket.Snapshot, server *Server, held ServerGrant, now time.Time) bool {
	if held.State != engine.Ready || held.HasRequests() {
		return false
	}
	if !held.Item.IsAdapter() && hasAdapters(server, held.Item) {
		return false
	}
	costs, served := c.costs(snapshot, held.Item)
	expired := false
	c.withState(held.Item, func(s *itemState) {
		if s.lastBusy.IsZero() {
			s.lastBusy = now
		}
		idle := now.Sub(s.lastBusy)
		if s.active > 0 || idle < minKeepAlive || now.Sub(s.lastWaiting) <= waitingExpiry {
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

// evictionCost returns the expected cost of evicting a grant and whether it may
// be evicted.
func (c *Controller) evictionCost(
	snapshot *ticket.Snapshot, servers []Server, server *Server, held ServerGrant, now time.Time,
) (cost float64, allowed bool) {
	if held.State != engine.Ready || held.HasRequests() {
		return 0, false
	}
	if readyCounts(servers)[held.Item] <= minReplicas(snapshot, held.Item) {
		return 0, false
	}
	costs, served := c.costs(snapshot, held.Item)
	if !served {
		return 0, true
	}
	costs.ColdStart = snapshot.Deployments[held.Item.Model].Prices.ColdStartSecond *
		c.currentStore().LoadTime(held.Item, held.Size, server).Seconds()
	c.withState(held.Item, func(s *itemState) {
		allowed = s.active == 0 && now.Sub(s.lastWaiting) > waitingExpiry
		c.learnedMu.Lock()
		cost = s.pattern.DropCost(&c.population, s.lastBusy, now, costs)
		c.learnedMu.Unlock()
	})
	return cost, allowed
}

// startLoad executes a load in the background. At most one load of an item is
// being recorded at a time.
func (c *Controller) startLoad(ctx context.Context, load Load) {
	started := false
	c.withState(load.Item, func(s *itemState) {
		started = !s.startingLoad
		s.startingLoad = true
		s.blockedReason = ""
	})
	if !started {
		return
	}
	if load.Remote && !load.Item.IsAdapter() {
		c.modelStarts.record(1, c.startRate())
	}
	c.learnedMu.Lock()
	c.recordingLoads[load.Item] = startedLoad{Load: load, startedAt: time.Now()}
	c.learnedMu.Unlock()
	c.background.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, actionTimeout)
		defer cancel()
		grant, err := c.Grants.Load(ctx, load.Item, load.Server)
		c.finishRecording(load, grant, err)
		c.withState(load.Item, func(s *itemState) {
			s.startingLoad = false
			s.lastBusy = time.Now()
			if err != nil {
				s.retryAt = time.Now().Add(retryDelay)
				s.blockedReason = err.Error()
				return
			}
			s.lastGrant, s.grantedAt = grant, time.Now()
			s.scheduleValid = false
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

// finishRecording moves a load from those being recorded to those started, or
// removes it if recording failed.
func (c *Controller) finishRecording(load Load, grant fleet.GrantID, err error) {
	c.learnedMu.Lock()
	defer c.learnedMu.Unlock()
	delete(c.recordingLoads, load.Item)
	if err == nil {
		c.startedLoads[grant] = startedLoad{Load: load, startedAt: time.Now()}
	}
}

// startUnload executes an unload in the background.
func (c *Controller) startUnload(ctx context.Context, unload Unload) {
	started := false
	c.withState(unload.Item, func(s *itemState) {
		started = !s.unloading[unload.Grant]
		s.unloading[unload.Grant] = true
	})
	if !started {
		return
	}
	c.background.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, actionTimeout)
		defer cancel()
		err := c.Grants.Unload(ctx, unload.Grant)
		c.withState(unload.Item, func(s *itemState) { delete(s.unloading, unload.Grant) })
		if err != nil {
			return // the next plan decides again
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
