package policy

import (
	"context"
	"log/slog"
	"math"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/ticket"
)

// counters are the metrics of a controller.
type counters struct {
	wakes, forwarded, loads, loadsFailed, unloads, evictions metrics.Counter
}

func newCounters(registry metrics.Registry) counters {
	return counters{
		wakes:       metrics.GetOrRegisterCounter("policy.wakes", registry),
		forwarded:   metrics.GetOrRegisterCounter("policy.wakesForwarded", registry),
		loads:       metrics.GetOrRegisterCounter("policy.loads", registry),
		loadsFailed: metrics.GetOrRegisterCounter("policy.loadsFailed", registry),
		unloads:     metrics.GetOrRegisterCounter("policy.unloads", registry),
		evictions:   metrics.GetOrRegisterCounter("policy.evictions", registry),
	}
}

// step makes one plan and starts its actions.
func (c *Controller) step(ctx context.Context, now time.Time) {
	snapshot := c.Snapshot()
	demands, underway := c.demands(now) // before the servers, which show what has been granted since
	view := View{
		Now: now, Servers: c.Grants.Servers(), Snapshot: snapshot, Store: c.Weights,
		ModelSlots: math.MaxInt, AdapterSlots: math.MaxInt,
	}
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
}

// demands lists the items that requests wait for, and the loads that are being
// recorded, with an empty grant, or were recorded within the view's lag.
func (c *Controller) demands(now time.Time) (demands []Demand, underway map[fleet.Item]fleet.GrantID) {
	underway = make(map[fleet.Item]fleet.GrantID)
	for i := range c.shards {
		c.shards[i].Lock()
		for item, state := range c.shards[i].items {
			if state.loading || now.Before(state.retryAt) {
				underway[item] = ""
			} else if now.Sub(state.grantedAt) < viewLag {
				underway[item] = state.granted
			}
			if now.Sub(state.wokenAt) <= waitingFor {
				demands = append(demands, Demand{
					Item: item, Urgency: Waiting, Want: 1,
					Deadline: state.deadline, Since: state.since,
				})
			}
		}
		c.shards[i].Unlock()
	}
	return demands, underway
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

// idle returns the unloads of replicas that are not worth their memory.
func (c *Controller) idle(snapshot *ticket.Snapshot, servers []Server, now time.Time) []Unload {
	var unloads []Unload
	counts := readyCounts(servers)
	for i := range servers {
		for _, held := range servers[i].Held {
			if !c.decides(held.Item) || !c.expired(snapshot, &servers[i], held, now) {
				continue
			}
			if counts[held.Item] <= minReplicas(snapshot, held.Item) {
				continue
			}
			counts[held.Item]--
			unloads = append(unloads, Unload{held.Item, held.Grant, "idle"})
		}
	}
	return unloads
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

// expired reports whether a replica is idle and its keep-alive has run out.
func (c *Controller) expired(snapshot *ticket.Snapshot, server *Server, held Held, now time.Time) bool {
	if held.State != engine.Ready || held.Draining || held.Serves() {
		return false
	}
	for _, other := range server.Held {
		if !held.Item.IsAdapter() && other.Item.IsAdapter() && other.Item.Base() == held.Item && !other.Draining {
			return false // adapters leave before their base model
		}
	}
	expired := false
	c.with(held.Item, func(s *itemState) {
		if s.lastBusy.IsZero() {
			s.lastBusy = now
		}
		keep := c.keepAlive(snapshot, held.Item)
		expired = s.active == 0 && now.Sub(s.lastBusy) > keep && now.Sub(s.wokenAt) > waitingFor
	})
	return expired
}

// Bounds of the keep-alive of a replica that has just served a request.
const (
	minKeepAlive = 10 * time.Second
	maxKeepAlive = 24 * time.Hour
)

// keepAlive returns how long an idle replica stays, by the break-even of the
// deployment's two prices.
func (c *Controller) keepAlive(snapshot *ticket.Snapshot, item fleet.Item) time.Duration {
	deployment, found := snapshot.Deployments[item.Model]
	if !found {
		return 0
	}
	span := c.Weights.LoadTime(item, snapshot.Size(item), &Server{})
	cold := deployment.Prices.ColdStartSecond * span.Seconds()
	hourly := deployment.Prices.AcceleratorHour * float64(max(1, deployment.Accelerators))
	if hourly <= 0 {
		return maxKeepAlive
	}
	return min(maxKeepAlive, max(minKeepAlive, time.Duration(cold/hourly*float64(time.Hour))))
}

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
	deployment, found := snapshot.Deployments[held.Item.Model]
	if !found {
		return 0, true
	}
	span := c.Weights.LoadTime(held.Item, held.Size, server)
	c.with(held.Item, func(s *itemState) {
		allowed = s.active == 0 && now.Sub(s.wokenAt) > waitingFor
		idle := max(time.Second, now.Sub(s.lastBusy))
		cost = deployment.Prices.ColdStartSecond * span.Seconds() / idle.Hours()
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
	c.working.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, actionLimit)
		defer cancel()
		grant, err := c.Grants.Load(ctx, load.Item, load.Server)
		c.with(load.Item, func(s *itemState) {
			s.loading = false
			s.lastBusy = time.Now()
			if err != nil {
				s.retryAt = time.Now().Add(retryPause)
				s.blocked = err.Error()
				return
			}
			s.granted, s.grantedAt = grant, time.Now()
		})
		if err != nil {
			c.counters.loadsFailed.Inc(1)
			return
		}
		c.counters.loads.Inc(1)
		c.Log.Info("load ordered", slog.String("item", load.Item.String()), slog.String("server", string(load.Server)),
			slog.String("grant", string(grant)), slog.String("urgency", load.Urgency.String()),
			slog.Duration("expected", load.LoadTime))
	})
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
		c.Log.Info("unload ordered", slog.String("item", unload.Item.String()),
			slog.String("grant", string(unload.Grant)), slog.String("reason", unload.Reason))
	})
}
