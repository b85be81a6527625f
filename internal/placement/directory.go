package placement

import (
	"maps"
	"sync"
	"time"

	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/internal/roster"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Directory lists the backend servers and what they hold for the dispatcher.
// Its exported fields are set before use.
type Directory struct {
	View func() *roster.View
	// Leaving records that a server leaves; it may be nil.
	Leaving dispatch.LeaveRecorder

	mu sync.RWMutex
	// schedulerEntries holds the engine states that the scheduler sent,
	// rosterEntries the servers' entries in the roster with the time of their
	// last change.
	schedulerEntries map[fleet.ServerID]schedulerEntry
	rosterEntries    map[fleet.ServerID]rosterEntry
	// lateOrders holds until when the next run of a server may carry out a late order.
	lateOrders map[fleet.ServerID]time.Time
	// loads holds the engines with many calls, as of loadsAsOf.
	loads     map[fleet.ServerID]int
	loadsAsOf time.Time
	// confirmedAt is when the scheduler last confirmed that no other engine has
	// changed.
	confirmedAt time.Time
	index       replicaIndex
	// manifest is the one that the index was built for.
	manifest *roster.Manifest
	// changed is closed at the next change; nil if nobody waits for it.
	changed chan struct{}
}

var (
	_ dispatch.Directory            = (*Directory)(nil)
	_ dispatch.TimestampedDirectory = (*Directory)(nil)
	_ dispatch.NotifyingDirectory   = (*Directory)(nil)
	_ dispatch.LeaveRecorder        = (*Directory)(nil)
	_ dispatch.LoadDirectory        = (*Directory)(nil)
)

// schedulerEntry is the state of one run of an engine as sent by the scheduler,
// and when it was received.
type schedulerEntry struct {
	// fencing and version order the states of an engine.
	fencing    fleet.FencingNumber
	version    uint64
	boot       fleet.BootID
	engine     *roster.Engine
	receivedAt time.Time
}

// rosterEntry is a server's entry in the roster and when it was received.
type rosterEntry struct {
	server     *roster.Server
	receivedAt time.Time
	// runListedAt is when the run of the server was first listed; zero if that was with the
	// first servers that the node listed.
	runListedAt time.Time
}

// entryLag is how much later than the scheduler's state a roster entry has to
// arrive to take precedence: engines write their entries only at intervals.
const entryLag = 2500 * time.Millisecond

// UpdateView applies a new view of the roster.
func (d *Directory) UpdateView(view *roster.View) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	defer d.notify()
	d.init()
	isFirst := len(d.rosterEntries) == 0
	for id, server := range view.Servers {
		before := d.rosterEntries[id]
		if before.server == server {
			continue
		}
		entry := rosterEntry{server: server, receivedAt: now, runListedAt: before.runListedAt}
		if !isFirst && (before.server == nil || before.server.Boot != server.Boot) {
			entry.runListedAt = now
		}
		d.rosterEntries[id] = entry
		d.index.markStale(id)
	}
	for id := range d.rosterEntries {
		if view.Servers[id] == nil {
			delete(d.rosterEntries, id)
			delete(d.schedulerEntries, id)
			d.index.markStale(id)
		}
	}
	if d.manifest != view.Manifest {
		d.manifest = view.Manifest
		d.index.markAllStale()
	}
}

// RecordLeaving implements [dispatch.LeaveRecorder].
func (d *Directory) RecordLeaving(server fleet.ServerID, boot fleet.BootID) {
	if d.Leaving != nil {
		d.Leaving.RecordLeaving(server, boot)
	}
}

// Changed implements [dispatch.NotifyingDirectory].
func (d *Directory) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.changed == nil {
		d.changed = make(chan struct{})
	}
	return d.changed
}

// notify reports a change of the lists. The caller holds the lock.
func (d *Directory) notify() {
	if d.changed != nil && !d.index.current() {
		close(d.changed)
		d.changed = nil
	}
}

func (d *Directory) init() {
	if d.schedulerEntries == nil {
		d.schedulerEntries = make(map[fleet.ServerID]schedulerEntry)
		d.rosterEntries = make(map[fleet.ServerID]rosterEntry)
		d.lateOrders = make(map[fleet.ServerID]time.Time)
	}
}

// applyUpdate stores the engine states of an update from the scheduler under a
// fencing number. A state older than the stored one is ignored: updates for all nodes
// are prepared some time before they are sent.
func (d *Directory) applyUpdate(fencing fleet.FencingNumber, engines []engineUpdate) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	defer d.notify()
	d.init()
	maps.DeleteFunc(d.lateOrders, func(_ fleet.ServerID, until time.Time) bool { return now.After(until) })
	for i := range engines {
		update := &engines[i]
		stored, found := d.schedulerEntries[update.Server]
		d.recordLateOrder(now, update)
		if found && (fencing < stored.fencing || fencing == stored.fencing && update.Version < stored.version) {
			continue
		}
		d.schedulerEntries[update.Server] = schedulerEntry{
			fencing: fencing, version: update.Version, boot: update.Boot, engine: update.rosterEngine(), receivedAt: now,
		}
		if !found || stored.boot != update.Boot || stored.fencing != fencing || stored.version != update.Version {
			d.index.markStale(update.Server)
		}
	}
}

// recordLateOrder stores until when an order may be carried out late by the next run of an
// engine. The next holder of the lease does not know of it, so that its updates don't
// shorten the time. The caller holds the lock.
func (d *Directory) recordLateOrder(now time.Time, update *engineUpdate) {
	until := now.Add(time.Duration(min(update.LateOrderMs, lateOrderTime.Milliseconds())) * time.Millisecond)
	if update.LateOrderMs > 0 && until.After(d.lateOrders[update.Server]) {
		d.lateOrders[update.Server] = until
	}
}

// LateOrder reports whether an order may be carried out late by the next run of a server,
// so that the model is there before that run is listed.
func (d *Directory) LateOrder(server fleet.ServerID) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return time.Now().Before(d.lateOrders[server])
}

// loadAge is about the age of the loads in an update of the scheduler: nodes report
// once per reportInterval.
const loadAge = reportInterval * 3 / 4

// applyLoads replaces the loads of the engines.
func (d *Directory) applyLoads(loads []engineLoad) {
	byServer := make(map[fleet.ServerID]int, len(loads))
	for _, load := range loads {
		byServer[load.Server] = load.Running
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.loads, d.loadsAsOf = byServer, time.Now().Add(-loadAge)
}

// Load implements [dispatch.LoadDirectory].
func (d *Directory) Load(server fleet.ServerID) (running int, asOf time.Time) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if d.schedulerEntries[server].engine == nil {
		return 0, time.Time{}
	}
	return d.loads[server], d.loadsAsOf
}

// confirm records that the states sent by the scheduler are still current. After a
// long time without a confirmation some roster entries have taken precedence.
func (d *Directory) confirm() {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Sub(d.confirmedAt) > entryLag {
		d.index.markAllStale()
	}
	d.confirmedAt = now
}

// AsOf implements [dispatch.TimestampedDirectory]. A confirmation that nothing has changed
// does not advance the time: the scheduler may not have read the engine's
// report since.
func (d *Directory) AsOf(server fleet.ServerID) time.Time {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if entry, found := d.currentSchedulerEntry(d.rosterEntries[server].server); found {
		return entry.receivedAt
	}
	return d.rosterEntries[server].receivedAt
}

// Replicas implements [dispatch.Directory]. The result must not be modified.
func (d *Directory) Replicas(item fleet.Item, pool fleet.PoolID) []dispatch.Replica {
	key := indexKey{pool: pool, item: item}
	d.mu.RLock()
	if d.index.current() {
		defer d.mu.RUnlock()
		return d.index.replicas[key]
	}
	d.mu.RUnlock()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.init()
	d.index.update(d.View(), d.replicasOf)
	return d.index.replicas[key]
}

// replicasOf returns the replicas of a server: one for the server itself and one
// for each item that it holds. The caller holds the lock.
func (d *Directory) replicasOf(view *roster.View, server *roster.Server) []dispatch.Replica {
	replica := dispatch.Replica{
		Server: server.ID, Boot: server.Boot, Address: server.Address, Place: server.Place, Pool: server.Pool,
		Software: server.Software, Ready: true, Draining: server.Draining, Slots: server.Slots, FixedSlots: true,
		ListedAt: d.rosterEntries[server.ID].runListedAt,
	}
	if spec := view.Engine(server.Pool); spec != nil {
		replica.Tokens = spec.CacheTokens
	}
	replicas := []dispatch.Replica{replica}
	engine := d.engineState(server)
	if engine == nil {
		return replicas
	}
	for _, held := range engine.LoadedModels {
		replica.Item = fleet.Item{Model: held.Model}
		replicas = append(replicas, replica)
		for _, adapter := range held.Adapters {
			replica.Item.Adapter = adapter
			replicas = append(replicas, replica)
		}
	}
	return replicas
}

// engineState returns what an engine holds: the state that the scheduler sent
// or, if that is older or of another run of the engine, the one in the roster
// entry. The caller holds the lock.
func (d *Directory) engineState(server *roster.Server) *roster.Engine {
	if entry, found := d.currentSchedulerEntry(server); found {
		return entry.engine
	}
	return server.Engine
}

// currentSchedulerEntry returns the state that the scheduler sent of an engine;
// found is false if the roster entry takes precedence. The caller holds the
// lock.
func (d *Directory) currentSchedulerEntry(server *roster.Server) (entry schedulerEntry, found bool) {
	if server == nil {
		return schedulerEntry{}, false
	}
	entry, found = d.schedulerEntries[server.ID]
	validAt := entry.receivedAt
	if d.confirmedAt.After(validAt) {
		validAt = d.confirmedAt
	}
	return entry, found && entry.boot == server.Boot && d.rosterEntries[server.ID].receivedAt.Sub(validAt) <= entryLag
}
