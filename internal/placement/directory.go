package placement

import (
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

	mu sync.RWMutex
	// schedulerEntries holds the engine states that the scheduler sent,
	// rosterEntries the servers' entries in the roster with the time of their
	// last change.
	schedulerEntries map[fleet.ServerID]schedulerEntry
	rosterEntries    map[fleet.ServerID]rosterEntry
	// confirmedAt is when the scheduler last confirmed that no other engine has
	// changed.
	confirmedAt time.Time
	// index lists the replicas by pool and item; nil if it has to be rebuilt.
	index map[indexKey][]dispatch.Replica
}

var (
	_ dispatch.Directory            = (*Directory)(nil)
	_ dispatch.TimestampedDirectory = (*Directory)(nil)
)

// schedulerEntry is the state of one run of an engine as sent by the scheduler,
// and when it was received.
type schedulerEntry struct {
	boot       fleet.BootID
	engine     *roster.Engine
	receivedAt time.Time
}

// rosterEntry is a server's entry in the roster and when it was received.
type rosterEntry struct {
	server     *roster.Server
	receivedAt time.Time
}

type indexKey struct {
	pool fleet.PoolID
	item fleet.Item
}

// entryLag is how much later than the scheduler's state a roster entry has to
// arrive to take precedence: engines write their entries only at intervals.
const entryLag = 2500 * time.Millisecond

// UpdateView applies a new view of the roster.
func (d *Directory) UpdateView(view *roster.View) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.init()
	for id, server := range view.Servers {
		if d.rosterEntries[id].server != server {
			d.rosterEntries[id] = rosterEntry{server: server, receivedAt: now}
		}
	}
	for id := range d.rosterEntries {
		if view.Servers[id] == nil {
			delete(d.rosterEntries, id)
			delete(d.schedulerEntries, id)
		}
	}
	d.index = nil
}

func (d *Directory) init() {
	if d.schedulerEntries == nil {
		d.schedulerEntries = make(map[fleet.ServerID]schedulerEntry)
		d.rosterEntries = make(map[fleet.ServerID]rosterEntry)
	}
}

// applyUpdate stores the engine states of an update from the scheduler.
func (d *Directory) applyUpdate(engines []engineUpdate) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.init()
	for i := range engines {
		d.schedulerEntries[engines[i].Server] = schedulerEntry{boot: engines[i].Boot, engine: engines[i].rosterEngine(), receivedAt: now}
	}
	d.index = nil
}

// confirm records that the states sent by the scheduler are still current.
func (d *Directory) confirm() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.confirmedAt = time.Now()
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
	if d.index != nil {
		defer d.mu.RUnlock()
		return d.index[key]
	}
	d.mu.RUnlock()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.init()
	if d.index == nil {
		d.rebuildIndex()
	}
	return d.index[key]
}

// rebuildIndex lists the replicas of all servers anew. The caller holds the
// lock.
func (d *Directory) rebuildIndex() {
	view := d.View()
	d.index = make(map[indexKey][]dispatch.Replica)
	for id, server := range view.Servers {
		replica := dispatch.Replica{
			Server: id, Boot: server.Boot, Address: server.Address, Place: server.Place, Pool: server.Pool,
			Ready: true, Draining: server.Draining, Slots: server.Slots, FixedSlots: true,
		}
		if view.Manifest != nil && view.Manifest.Pools[server.Pool] != nil {
			if spec := view.Manifest.Pools[server.Pool].Engine; spec != nil {
				replica.Tokens = spec.CacheTokens
			}
		}
		d.addReplica(server.Pool, replica)
		engine := d.engineState(server)
		if engine == nil {
			continue
		}
		for _, held := range engine.LoadedModels {
			replica.Item = fleet.Item{Model: held.Model}
			d.addReplica(server.Pool, replica)
			for _, adapter := range held.Adapters {
				replica.Item.Adapter = adapter
				d.addReplica(server.Pool, replica)
			}
		}
	}
}

func (d *Directory) addReplica(pool fleet.PoolID, replica dispatch.Replica) {
	key := indexKey{pool: pool, item: replica.Item}
	d.index[key] = append(d.index[key], replica)
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
