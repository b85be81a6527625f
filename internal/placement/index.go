package placement

import (
	"slices"

	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/internal/roster"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// indexKey identifies the replicas of an item in a pool, or all servers of the pool
// if the item is empty.
type indexKey struct {
	pool fleet.PoolID
	item fleet.Item
}

func keyOf(replica *dispatch.Replica) indexKey {
	return indexKey{pool: replica.Pool, item: replica.Item}
}

// replicaIndex lists replicas by pool and item. Only the entries of servers that have
// changed are listed anew: among hundreds of engines several change in the time
// between two calls. It has no lock of its own.
type replicaIndex struct {
	// replicas is nil until the index has been built. Its lists are read without
	// the lock, so that they are replaced and never changed.
	replicas map[indexKey][]dispatch.Replica
	// listed holds the keys under which each server is listed.
	listed map[fleet.ServerID][]indexKey
	// stale is the set of servers to be listed anew.
	stale map[fleet.ServerID]bool
}

// current reports whether all servers are listed as they are.
func (x *replicaIndex) current() bool { return x.replicas != nil && len(x.stale) == 0 }

func (x *replicaIndex) markStale(server fleet.ServerID) {
	if x.stale == nil {
		x.stale = make(map[fleet.ServerID]bool)
	}
	x.stale[server] = true
}

// markAllStale has all servers listed anew.
func (x *replicaIndex) markAllStale() { x.replicas = nil }

// update lists the stale servers anew with the replicas that replicasOf returns.
func (x *replicaIndex) update(
	view *roster.View, replicasOf func(*roster.View, *roster.Server) []dispatch.Replica,
) {
	if x.replicas == nil {
		x.replicas = make(map[indexKey][]dispatch.Replica)
		x.listed = make(map[fleet.ServerID][]indexKey)
		for id := range view.Servers {
			x.markStale(id)
		}
	}
	for id := range x.stale {
		var replicas []dispatch.Replica
		if server := view.Servers[id]; server != nil {
			replicas = replicasOf(view, server)
		}
		x.relist(id, replicas)
	}
	clear(x.stale)
}

// relist replaces the replicas of a server. Lists in which nothing changes are kept.
func (x *replicaIndex) relist(id fleet.ServerID, replicas []dispatch.Replica) {
	keys := make([]indexKey, len(replicas))
	for i := range replicas {
		keys[i] = keyOf(&replicas[i])
		x.put(keys[i], &replicas[i])
	}
	for _, key := range x.listed[id] {
		if !slices.Contains(keys, key) {
			x.remove(key, id)
		}
	}
	x.listed[id] = keys
	if len(keys) == 0 {
		delete(x.listed, id)
	}
}

// put adds a replica to the list of its key or replaces the one of its server.
func (x *replicaIndex) put(key indexKey, replica *dispatch.Replica) {
	list := x.replicas[key]
	at := positionOf(list, replica.Server)
	switch {
	case at < 0:
		// Readers of the former list don't read beyond its length.
		x.replicas[key] = append(list, *replica)
	case list[at] != *replica:
		list = slices.Clone(list)
		list[at] = *replica
		x.replicas[key] = list
	}
}

// remove removes the replica of a server from the list of a key.
func (x *replicaIndex) remove(key indexKey, id fleet.ServerID) {
	list := x.replicas[key]
	at := positionOf(list, id)
	if at < 0 {
		return
	}
	if len(list) == 1 {
		delete(x.replicas, key)
		return
	}
	x.replicas[key] = slices.Delete(slices.Clone(list), at, at+1)
}

// positionOf returns the position of a server's replica in a list, -1 if there is
// none.
func positionOf(list []dispatch.Replica, server fleet.ServerID) int {
	return slices.IndexFunc(list, func(replica dispatch.Replica) bool { return replica.Server == server })
}
