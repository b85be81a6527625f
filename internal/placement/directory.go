package placement

import (
	"sync"
	"time"

	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/internal/roster"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Directory shows the backend servers to the dispatcher. Its exported fields are
// set before use.
type Directory struct {
	View func() *roster.View

	mu sync.RWMutex
	// told is what the scheduler said of engines, and seen when their entries
	// last changed.
	told map[fleet.ServerID]toldEngine
	seen map[fleet.ServerID]seenEntry
	// confirmedAt is when the scheduler last said that nothing else has changed.
	confirmedAt time.Time
	// index lists the servers of each item and pool; nil if it is to be made.
	index map[indexKey][]dispatch.Replica
}

var (
	_ dispatch.Directory = (*Directory)(nil)
	_ dispatch.Dated     = (*Directory)(nil)
)

// toldEngine is what the scheduler said of a run of an engine, and when.
type toldEngine struct {
	boot   fleet.BootID
	engine *roster.Engine
	saidAt time.Time
}

// seenEntry is an entry and when it came.
type seenEntry struct {
	server *roster.Server
	at     time.Time
}

type indexKey struct {
	pool fleet.PoolID
	item fleet.Item
}

// entryLag is how much later than the scheduler's word an entry has to come to
// be believed more: entries are written now and then only.
const entryLag = 2500 * time.Millisecond

// Changed takes in a new view of the roster.
func (d *Directory) Changed(view *roster.View) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.init()
	for id, server := range view.Servers {
		if d.seen[id].server != server {
			d.seen[id] = seenEntry{server: server, at: now}
		}
	}
	for id := range d.seen {
		if view.Servers[id] == nil {
			delete(d.seen, id)
			delete(d.told, id)
		}
	}
	d.index = nil
}

func (d *Directory) init() {
	if d.told == nil {
		d.told = make(map[fleet.ServerID]toldEngine)
		d.seen = make(map[fleet.ServerID]seenEntry)
	}
}

// tell takes in what the scheduler knows.
func (d *Directory) tell(engines []engineNews) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.init()
	for at := range engines {
		d.told[engines[at].Server] = toldEngine{boot: engines[at].Boot, engine: engines[at].engine(), saidAt: now}
	}
	d.index = nil
}

// confirm notes that what the scheduler told still holds.
func (d *Directory) confirm() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.confirmedAt = time.Now()
}

// AsOf implements [dispatch.Dated]. That nothing has changed is no new word: the
// scheduler may not have looked at the engine since.
func (d *Directory) AsOf(server fleet.ServerID) time.Time {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if told, found := d.scheduled(d.seen[server].server); found {
		return told.saidAt
	}
	return d.seen[server].at
}

// Replicas implements [dispatch.Directory]. The result must not be changed.
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
		d.reindex()
	}
	return d.index[key]
}

// reindex makes the index. The caller holds the lock.
func (d *Directory) reindex() {
	view := d.View()
	d.index = make(map[indexKey][]dispatch.Replica)
	for id, server := range view.Servers {
		replica := dispatch.Replica{
			Server: id, Boot: server.Boot, Address: server.Address, Place: server.Place, Pool: server.Pool,
			Ready: true, Draining: server.Draining, Slots: server.Slots, Steady: true,
		}
		if view.Manifest != nil && view.Manifest.Pools[server.Pool] != nil {
			if spec := view.Manifest.Pools[server.Pool].Engine; spec != nil {
				replica.Tokens = spec.CacheTokens
			}
		}
		d.add(server.Pool, replica)
		engine := d.engine(server)
		if engine == nil {
			continue
		}
		for _, held := range engine.Held {
			replica.Item = fleet.Item{Model: held.Model}
			d.add(server.Pool, replica)
			for _, adapter := range held.Adapters {
				replica.Item.Adapter = adapter
				d.add(server.Pool, replica)
			}
		}
	}
}

func (d *Directory) add(pool fleet.PoolID, replica dispatch.Replica) {
	key := indexKey{pool: pool, item: replica.Item}
	d.index[key] = append(d.index[key], replica)
}

// engine returns what an engine holds, from the scheduler's word or, if that is
// older or of another run, from the engine's entry. The caller holds the lock.
func (d *Directory) engine(server *roster.Server) *roster.Engine {
	if told, found := d.scheduled(server); found {
		return told.engine
	}
	return server.Engine
}

// scheduled returns the scheduler's word of an engine if it goes before the
// engine's entry. The caller holds the lock.
func (d *Directory) scheduled(server *roster.Server) (told toldEngine, found bool) {
	if server == nil {
		return toldEngine{}, false
	}
	told, found = d.told[server.ID]
	heldAt := told.saidAt
	if d.confirmedAt.After(heldAt) {
		heldAt = d.confirmedAt
	}
	return told, found && told.boot == server.Boot && d.seen[server.ID].at.Sub(heldAt) <= entryLag
}
