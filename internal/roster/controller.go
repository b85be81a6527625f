package roster

import (
	"context"
	"log/slog"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/guavatrack/guavatrack/internal/logs"
	"github.com/guavatrack/guavatrack/internal/metric"
	"github.com/guavatrack/guavatrack/internal/wait"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Metrics lists the metrics that a [Controller] registers.
var Metrics = []metric.Doc{
	{Name: serversName, Kind: metric.Gauge, Help: "backend servers in the platform's list"},
	{Name: manifestName, Kind: metric.Gauge, Help: "version of the manifest in force"},
}

const (
	serversName  = "roster.servers"
	manifestName = "roster.manifestVersion"
)

// Timing of the controller.
const (
	// serversRest and manifestRest are the pauses between two reads of a feed.
	serversRest  = 900 * time.Millisecond
	manifestRest = 300 * time.Millisecond
	// reentryTime is how long after the store's return a living server may
	// take to enter itself again.
	reentryTime = 2 * time.Second
	// serversPatience and manifestPatience are allowed at most for an answer.
	// The list is long where servers are many.
	serversPatience  = 6 * time.Second
	manifestPatience = 1500 * time.Millisecond
)

// View is what is known at one moment. It is not changed after it was made.
type View struct {
	// Manifest is nil until one is known.
	Manifest *Manifest
	Servers  map[fleet.ServerID]*Server
	// Listed says that the list of servers has been read.
	Listed bool
}

// Model describes a model of a pool; nil if it is not deployed.
func (v *View) Model(pool fleet.PoolID, model fleet.ModelID) *Model {
	if spec := v.Engine(pool); spec != nil {
		return spec.Models[model]
	}
	return nil
}

// Engine describes the engines of a pool; nil if it has none or none is
// deployed.
func (v *View) Engine(pool fleet.PoolID) *EngineSpec {
	if v.Manifest == nil || v.Manifest.Pools[pool] == nil {
		return nil
	}
	return v.Manifest.Pools[pool].Engine
}

// Controller follows the platform's list of servers and its manifest. Its
// exported fields are set before Run.
type Controller struct {
	Servers   Feed[ServerEntry]
	Manifests Feed[*Manifest]
	// Changed is called after each change of the view. It may be nil.
	Changed func(*View)
	Log     *slog.Logger
	Metrics metrics.Registry

	mu   sync.Mutex
	view atomic.Pointer[View]
	// missing says since when the entry of a server is gone that is kept for
	// now because the store was away.
	missing map[fleet.ServerID]time.Time
	// regainedAt is when the list was last back after a failure.
	regainedAt time.Time
}

// View returns what is known now.
func (c *Controller) View() *View {
	if view := c.view.Load(); view != nil {
		return view
	}
	return &View{}
}

// Run follows both feeds until the context ends.
func (c *Controller) Run(ctx context.Context) error {
	c.Log = logs.OrDiscard(c.Log)
	c.Metrics = metric.OrNew(c.Metrics)
	c.missing = make(map[fleet.ServerID]time.Time)
	var group sync.WaitGroup
	group.Go(func() {
		follow := follower[ServerEntry]{
			name: "servers", feed: c.Servers, rest: serversRest, apply: c.applyServers,
			patience: serversPatience, log: c.Log,
		}
		follow.run(ctx)
	})
	group.Go(func() {
		follow := follower[*Manifest]{
			name: "manifest", feed: c.Manifests, rest: manifestRest, apply: c.applyManifests,
			patience: manifestPatience, log: c.Log,
		}
		follow.run(ctx)
	})
	group.Go(func() { c.sweep(ctx) })
	group.Wait()
	return nil
}

// applyManifests takes in manifests. An older version than the one in force is
// never applied.
func (c *Controller) applyManifests(_ time.Time, manifests []*Manifest, _, _ bool) {
	c.change(func(next *View) {
		for _, manifest := range manifests {
			if next.Manifest != nil && manifest.Version <= next.Manifest.Version {
				continue
			}
			next.Manifest = manifest
			metrics.GetOrRegisterGauge(manifestName, c.Metrics).Update(int64(manifest.Version))
			c.Log.Info("manifest in force", slog.Uint64("version", manifest.Version),
				slog.Int("hosts", len(manifest.Hosts)), slog.Int("pools", len(manifest.Pools)))
		}
	})
}

func (c *Controller) applyServers(now time.Time, entries []ServerEntry, whole, regained bool) {
	c.change(func(next *View) {
		if regained {
			c.regainedAt = now
		}
		next.Listed = true
		servers := maps.Clone(next.Servers)
		if servers == nil {
			servers = make(map[fleet.ServerID]*Server)
		}
		present := make(map[fleet.ServerID]bool, len(entries))
		for _, entry := range entries {
			present[entry.ID] = entry.Server != nil
			if entry.Server == nil {
				c.remove(now, servers, entry.ID)
				continue
			}
			delete(c.missing, entry.ID)
			c.put(servers, entry.Server)
		}
		if whole {
			for id := range next.Servers {
				if !present[id] {
					c.remove(now, servers, id)
				}
			}
		}
		next.Servers = servers
		metrics.GetOrRegisterGauge(serversName, c.Metrics).Update(int64(len(servers)))
	})
}

// put takes in an entry.
func (c *Controller) put(servers map[fleet.ServerID]*Server, server *Server) {
	old := servers[server.ID]
	servers[server.ID] = server
	switch {
	case old == nil || old.Boot != server.Boot:
		c.Log.Info("server in", slog.String("server", string(server.ID)), slog.String("boot", string(server.Boot)),
			slog.String("pool", string(server.Pool)), slog.String("address", server.Address))
	case server.Draining && !old.Draining:
		c.Log.Info("server draining", slog.String("server", string(server.ID)), slog.Duration("goneIn", server.GoneIn))
	}
}

// remove takes a server out, at once if the store has been there all the while.
func (c *Controller) remove(now time.Time, servers map[fleet.ServerID]*Server, id fleet.ServerID) {
	if servers[id] == nil {
		return
	}
	if !c.regainedAt.IsZero() && now.Sub(c.regainedAt) < reentryTime {
		if _, known := c.missing[id]; !known {
			c.missing[id] = now
			c.Log.Info("entry of a server lapsed", slog.String("server", string(id)))
		}
		return
	}
	delete(servers, id)
	delete(c.missing, id)
	c.Log.Info("server out", slog.String("server", string(id)))
}

// sweep takes out the servers that have not entered themselves again in time.
func (c *Controller) sweep(ctx context.Context) {
	const interval = 200 * time.Millisecond
	for ctx.Err() == nil {
		wait.For(ctx, interval)
		now := time.Now()
		c.mu.Lock()
		idle := len(c.missing) == 0 || now.Sub(c.regainedAt) < reentryTime
		c.mu.Unlock()
		if idle {
			continue
		}
		c.change(func(next *View) {
			servers := maps.Clone(next.Servers)
			for id := range c.missing {
				c.remove(now, servers, id)
			}
			next.Servers = servers
		})
	}
}

// change makes the next view.
func (c *Controller) change(apply func(next *View)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := *c.View()
	apply(&next)
	c.view.Store(&next)
	if c.Changed != nil {
		c.Changed(&next)
	}
}
