package roster

import (
	"context"
	"log/slog"
	"maps"
	"math"
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
	{Name: serversMetric, Kind: metric.Gauge, Help: "backend servers in the platform's list"},
	{Name: manifestMetric, Kind: metric.Gauge, Help: "version of the manifest in force"},
	{Name: fetchedMetric, Kind: metric.Counter, Help: "manifests fetched from other nodes"},
}

const (
	serversMetric  = "roster.servers"
	manifestMetric = "roster.manifestVersion"
	fetchedMetric  = "roster.manifestsFetched"
)

// Timing of the controller.
const (
	// serversPause and manifestPause are the minimum pauses between two reads of the
	// feeds.
	serversPause  = 900 * time.Millisecond
	manifestPause = 300 * time.Millisecond
	// reregistrationTime is how long a running server may take to register itself
	// again after the store is reachable again.
	reregistrationTime = 2 * time.Second
	// maxServersTimeout and maxManifestTimeout are the maximum times allowed for a
	// response. The list of servers is long in a large site.
	maxServersTimeout  = 6 * time.Second
	maxManifestTimeout = 1500 * time.Millisecond
)

// View is an immutable snapshot of the servers and the manifest.
type View struct {
	// Manifest is nil until one has been read.
	Manifest *Manifest
	// ManifestSince is when the manifest came into force at this node.
	ManifestSince time.Time
	Servers       map[fleet.ServerID]*Server
	// ServersListed reports whether the list of servers has been read.
	ServersListed bool
}

// Model returns the description of a model of a pool; nil if it is not deployed.
func (v *View) Model(pool fleet.PoolID, model fleet.ModelID) *Model {
	if spec := v.Engine(pool); spec != nil {
		return spec.Models[model]
	}
	return nil
}

// Engine returns the description of the engines of a pool; nil if the pool has
// none or is not deployed.
func (v *View) Engine(pool fleet.PoolID) *EngineSpec {
	if v.Manifest == nil || v.Manifest.Pools[pool] == nil {
		return nil
	}
	return v.Manifest.Pools[pool].Engine
}

// ResumableVersions counts the servers of each software version in each pool whose streams
// may be continued and that has servers. There are none before the list has been read.
func (v *View) ResumableVersions() map[fleet.PoolID]map[fleet.SoftwareVersion]int {
	listed := make(map[fleet.PoolID]map[fleet.SoftwareVersion]int)
	if !v.ServersListed {
		return listed
	}
	for _, route := range v.Manifest.ResumableRoutes() {
		for _, target := range route.Targets {
			listed[target.Pool] = make(map[fleet.SoftwareVersion]int)
		}
	}
	for _, server := range v.Servers {
		if versions := listed[server.Pool]; versions != nil {
			versions[server.Software]++
		}
	}
	for pool, versions := range listed {
		if len(versions) == 0 {
			delete(listed, pool)
		}
	}
	return listed
}

// Controller watches the platform's list of servers and its manifest. Its exported
// fields are set before Run.
type Controller struct {
	Servers   Feed[ServerEntry]
	Manifests Feed[*Manifest]
	// OnChange is called with the new view after each change. It may be nil.
	OnChange func(*View)
	Log      *slog.Logger
	Metrics  metrics.Registry

	// manifestsFailing reports whether the feed of the manifest fails, or has not been
	// read yet.
	manifestsFailing atomic.Bool
	// onManifest is called after a newer manifest has come into force. It may be nil.
	onManifest func()

	// serversRead is when the list of servers was last read, or its changes; nil if never.
	serversRead atomic.Pointer[instant]
	// manifestRead is when the store held the manifest that was last read; nil if none was.
	manifestRead atomic.Pointer[instant]
	// manifestSoundAt is when a read of the manifest last ended during which the process
	// has not stood still; nil if none has.
	manifestSoundAt atomic.Pointer[instant]
	// manifestFailedAt is when reads of the manifest began to fail; nil while they succeed.
	manifestFailedAt atomic.Pointer[instant]

	mu   sync.Mutex
	view atomic.Pointer[View]
	// expiredAt holds, for each server that is kept although its entry expired, when
	// that was noticed. Such servers are kept because the store was unreachable.
	expiredAt map[fleet.ServerID]time.Time
	// leaving holds the runs of servers that have themselves reported that they leave,
	// whatever their entries say, and when that was recorded.
	leaving map[fleet.BootID]time.Time
	// gone holds the runs of servers whose entries were removed or replaced by that of
	// another run, and when.
	gone map[fleet.BootID]time.Time
	// excluded holds the runs of servers that are not used because their entries can't
	// be read.
	excluded map[fleet.ServerID]fleet.BootID
	// returnedAt is when the list of servers was last read again after the store was away.
	returnedAt time.Time
}

// View returns the current view.
func (c *Controller) View() *View {
	if view := c.view.Load(); view != nil {
		return view
	}
	return &View{}
}

// ServersAge returns the time since the list of servers, or its changes, were last read,
// with the time for which the process or its VM stood still.
func (c *Controller) ServersAge() time.Duration { return ageOf(&c.serversRead) }

// ManifestAge returns how long ago, at the latest, the store held no manifest newer than
// this node had read, with the time for which the process or its VM stood still.
func (c *Controller) ManifestAge() time.Duration { return ageOf(&c.manifestRead) }

const (
	// maxCalmPause is above the time between the ends of two reads of the manifest that
	// succeed.
	maxCalmPause = maxCalmRead + manifestPause + 200*time.Millisecond
	// maxManifestAwait bounds the wait for a read of the manifest, manifestAwaitPoll is the
	// pause between two looks.
	maxManifestAwait  = time.Second
	manifestAwaitPoll = 20 * time.Millisecond
)

// AwaitManifest waits for the next read of the manifest if the process may have stood still:
// the last one is older than it can be otherwise, and reads have not failed for long. It
// returns after maxManifestAwait at the latest, and at once while the store is away.
func (c *Controller) AwaitManifest(ctx context.Context) {
	for began := time.Now(); c.mayHaveStoodStill() && time.Since(began) < maxManifestAwait; {
		if !wait.For(ctx, manifestAwaitPoll) {
			return
		}
	}
}

// mayHaveStoodStill reports whether the manifest was last read too long ago for a process that
// runs, other than because reads fail.
func (c *Controller) mayHaveStoodStill() bool {
	read, failedAt := c.manifestSoundAt.Load(), c.manifestFailedAt.Load()
	return read != nil && read.age() >= maxCalmPause && (failedAt == nil || failedAt.age() < maxManifestAwait)
}

// ageOf returns the time since a read; the longest possible one if there was none.
func ageOf(last *atomic.Pointer[instant]) time.Duration {
	if read := last.Load(); read != nil {
		return read.age()
	}
	return math.MaxInt64
}

// readAt returns when the store was as the last response of a feed says.
func readAt(feed any) *instant {
	if shared, ok := feed.(sharedFeed); ok {
		asOf := shared.AsOf()
		return &asOf
	}
	return currentInstant()
}

// instant is a time by the clock of the process and by that of the VM, which counts the
// time for which the VM was suspended too.
type instant struct {
	at       time.Time
	bootTime time.Duration
}

func currentInstant() *instant { return &instant{at: time.Now(), bootTime: wait.BootTime()} }

// add returns the instant a time later.
func (i *instant) add(d time.Duration) instant {
	return instant{at: i.at.Add(d), bootTime: i.bootTime + d}
}

// afterWait returns when a source was as it says in the response to a request that was sent
// at the instant: at the end of the wait for changes if there were none, else at any time
// since then.
func (i *instant) afterWait(wait time.Duration, unchanged bool) instant {
	if unchanged && time.Since(i.at) >= wait {
		return i.add(wait)
	}
	return *i
}

// age returns the time since then by the clock that shows more.
func (i *instant) age() time.Duration { return max(time.Since(i.at), wait.BootTime()-i.bootTime) }

// Run watches both feeds until the context ends.
func (c *Controller) Run(ctx context.Context) error {
	c.Log = logs.OrDiscard(c.Log)
	c.Metrics = metric.OrNew(c.Metrics)
	c.mu.Lock()
	c.init()
	c.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() {
		watch := watcher[ServerEntry]{
			name: "servers", feed: c.Servers, minPause: serversPause, apply: c.applyServers,
			maxTimeout: maxServersTimeout, failing: new(atomic.Bool), log: c.Log,
			succeeded: func(bool) { c.serversRead.Store(currentInstant()) },
		}
		watch.run(ctx)
	})
	group.Go(func() {
		watch := watcher[*Manifest]{
			name: "manifest", feed: c.Manifests, minPause: manifestPause, apply: c.applyManifests,
			maxTimeout: maxManifestTimeout, failing: &c.manifestsFailing, log: c.Log,
			succeeded: func(stoodStill bool) {
				c.manifestRead.Store(readAt(c.Manifests))
				c.manifestFailedAt.Store(nil)
				if !stoodStill {
					c.manifestSoundAt.Store(currentInstant())
				}
			},
			failed: func() { c.manifestFailedAt.Store(currentInstant()) },
		}
		watch.run(ctx)
	})
	group.Go(func() { c.removeExpired(ctx) })
	group.Wait()
	return nil
}

// applyManifests applies manifests that were read. A version older than the one in
// force is never applied.
func (c *Controller) applyManifests(now time.Time, manifests []*Manifest, _ readKind) {
	newer := false
	c.updateView(func(next *View) {
		for _, manifest := range manifests {
			if !manifest.complete() || next.Manifest != nil && manifest.Version <= next.Manifest.Version {
				continue
			}
			next.Manifest, next.ManifestSince, newer = manifest, now, true
			metrics.GetOrRegisterGauge(manifestMetric, c.Metrics).Update(int64(manifest.Version))
			c.Log.Info("manifest in force", slog.Uint64("version", manifest.Version),
				slog.Int("hosts", len(manifest.Hosts)), slog.Int("pools", len(manifest.Pools)))
		}
	})
	if newer && c.onManifest != nil {
		c.onManifest()
	}
}

// applyServers applies entries that were read. If they are the whole list, servers
// without an entry are removed. In a restored store entries of servers may be missing
// that have not registered again yet, and servers may be listed that have left: those
// are not used until their entry is written again.
func (c *Controller) applyServers(now time.Time, entries []ServerEntry, read readKind) {
	c.updateView(func(next *View) {
		if read.returned || read.restored {
			c.returnedAt = now
		}
		next.ServersListed = true
		servers := maps.Clone(next.Servers)
		if servers == nil {
			servers = make(map[fleet.ServerID]*Server)
		}
		present := make(map[fleet.ServerID]bool, len(entries))
		for _, entry := range entries {
			present[entry.ID] = entry.Server != nil || entry.Unreadable
			if entry.Unreadable {
				c.excludeServer(servers, entry.ID)
				continue
			}
			if entry.Server == nil {
				c.removeServer(now, servers, entry.ID)
				continue
			}
			if _, gone := c.gone[entry.Server.Boot]; gone && read.restored {
				c.Log.Info("entry of a server that has left ignored", slog.String("server", string(entry.ID)))
				continue
			}
			delete(c.expiredAt, entry.ID)
			delete(c.excluded, entry.ID)
			delete(c.gone, entry.Server.Boot)
			c.setServer(now, servers, entry.Server)
		}
		if read.complete {
			for id := range next.Servers {
				if !present[id] {
					c.removeServer(now, servers, id)
				}
			}
			for id := range c.excluded {
				if !present[id] {
					c.removeServer(now, servers, id)
				}
			}
		}
		next.Servers = servers
		metrics.GetOrRegisterGauge(serversMetric, c.Metrics).Update(int64(len(servers)))
	})
}

// setServer adds a server or replaces its description. A run of a server that was
// draining stays so.
func (c *Controller) setServer(now time.Time, servers map[fleet.ServerID]*Server, server *Server) {
	old := servers[server.ID]
	if old != nil && old.Boot != server.Boot && old.Boot != "" {
		remember(c.gone, old.Boot, now)
	}
	switch _, leaves := c.leaving[server.Boot]; {
	case leaves:
		server = server.asDraining()
	case server.Draining && server.Boot != "":
		remember(c.leaving, server.Boot, now)
	}
	servers[server.ID] = server
	switch {
	case old == nil || old.Boot != server.Boot:
		c.Log.Info("server registered", slog.String("server", string(server.ID)), slog.String("boot", string(server.Boot)),
			slog.String("pool", string(server.Pool)), slog.String("software", string(server.Software)),
			slog.String("address", server.Address))
	case server.Draining && !old.Draining:
		c.Log.Info("server draining", slog.String("server", string(server.ID)), slog.Duration("goneIn", server.TerminatesIn))
	}
}

func (c *Controller) init() {
	if c.expiredAt == nil {
		c.expiredAt = make(map[fleet.ServerID]time.Time)
		c.gone = make(map[fleet.BootID]time.Time)
		c.excluded = make(map[fleet.ServerID]fleet.BootID)
		c.leaving = make(map[fleet.BootID]time.Time)
	}
}

// bootRetention is how long it is kept that a run of a server leaves or is gone: longer
// than an entry of that run can be read again.
const bootRetention = 10 * time.Minute

// remember records a time for a run of a server and drops those that are too old.
func remember(boots map[fleet.BootID]time.Time, boot fleet.BootID, now time.Time) {
	maps.DeleteFunc(boots, func(_ fleet.BootID, at time.Time) bool { return now.Sub(at) > bootRetention })
	boots[boot] = now
}

// RecordLeaving records that a run of a server has itself reported that it leaves. From
// then on it is draining, whatever its entries say, until it has another run. It
// reports whether that was not recorded before.
func (c *Controller) RecordLeaving(id fleet.ServerID, boot fleet.BootID) (recorded bool) {
	if boot == "" {
		return false
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	if _, known := c.leaving[boot]; known {
		return false
	}
	remember(c.leaving, boot, now)
	logs.OrDiscard(c.Log).Info("server leaves", slog.String("server", string(id)), slog.String("boot", string(boot)))
	if server := c.View().Servers[id]; server != nil && server.Boot == boot && !server.Draining {
		c.updateViewLocked(func(next *View) {
			next.Servers = maps.Clone(next.Servers)
			next.Servers[id] = server.asDraining()
		})
	}
	return true
}

// excludeServer stops the use of a server whose entry can't be read. It is used again with
// its next good entry.
func (c *Controller) excludeServer(servers map[fleet.ServerID]*Server, id fleet.ServerID) {
	if servers[id] == nil {
		return
	}
	c.excluded[id] = servers[id].Boot
	delete(servers, id)
	delete(c.expiredAt, id)
	c.Log.Warn("server entry unreadable", slog.String("server", string(id)))
}

// removeServer removes a server. If the store was away until shortly before, it only notes
// the time, since the server may register itself again.
func (c *Controller) removeServer(now time.Time, servers map[fleet.ServerID]*Server, id fleet.ServerID) {
	if boot := c.excluded[id]; boot != "" {
		remember(c.gone, boot, now)
	}
	delete(c.excluded, id)
	if servers[id] == nil {
		return
	}
	if !c.returnedAt.IsZero() && now.Sub(c.returnedAt) < reregistrationTime {
		if _, known := c.expiredAt[id]; !known {
			c.expiredAt[id] = now
			c.Log.Info("server entry expired, waiting for registration", slog.String("server", string(id)))
		}
		return
	}
	if boot := servers[id].Boot; boot != "" {
		remember(c.gone, boot, now)
	}
	delete(servers, id)
	delete(c.expiredAt, id)
	c.Log.Info("server out", slog.String("server", string(id)))
}

// removeExpired removes the servers that have not registered themselves again in
// time.
func (c *Controller) removeExpired(ctx context.Context) {
	const interval = 200 * time.Millisecond
	for ctx.Err() == nil {
		wait.For(ctx, interval)
		now := time.Now()
		c.mu.Lock()
		idle := len(c.expiredAt) == 0 || now.Sub(c.returnedAt) < reregistrationTime
		c.mu.Unlock()
		if idle {
			continue
		}
		c.updateView(func(next *View) {
			servers := maps.Clone(next.Servers)
			for id := range c.expiredAt {
				c.removeServer(now, servers, id)
			}
			next.Servers = servers
		})
	}
}

// updateView publishes the next view: the current one after apply has changed it.
func (c *Controller) updateView(apply func(next *View)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateViewLocked(apply)
}

// updateViewLocked publishes the next view. The caller holds the lock.
func (c *Controller) updateViewLocked(apply func(next *View)) {
	next := *c.View()
	apply(&next)
	c.view.Store(&next)
	if c.OnChange != nil {
		c.OnChange(&next)
	}
}
