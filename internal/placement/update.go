package placement

import (
	"log/slog"
	"time"

	"github.com/guavatrack/guavatrack/internal/packed"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Prepared updates are sent for sharedUpdatePerNode times the number of nodes, at
// most for maxSharedUpdateAge. The states that a node's calls wait for are sent at
// once beside them.
const (
	sharedUpdatePerNode = time.Millisecond
	maxSharedUpdateAge  = 200 * time.Millisecond
)

// sharedUpdates holds the updates that are sent to all nodes that have applied the
// same number of changes: hundreds of nodes report several times a second, and the
// engines that have changed since are the same for most of them.
type sharedUpdates struct {
	fencing    fleet.FencingNumber
	preparedAt time.Time
	// number is the number of changes that the updates contain at least.
	number uint64
	loads  packed.List
	// after holds the updates by the number of changes that a node has applied.
	after map[uint64]packed.List
}

// updateFor returns the engines that have changed since the last update that the
// node has applied, and those that hold an item that its calls wait for. The caller
// holds the lock.
func (s *Scheduler) updateFor(now time.Time, message demandMessage) updateMessage {
	seen := message.Seen
	if message.Fencing != s.fencing {
		seen = 0
	}
	shared := &s.shared
	maxAge := min(maxSharedUpdateAge, time.Duration(len(s.nodes))*sharedUpdatePerNode)
	if shared.after == nil || shared.fencing != s.fencing || now.Sub(shared.preparedAt) >= maxAge {
		*shared = sharedUpdates{
			fencing: s.fencing, preparedAt: now, number: s.version, after: make(map[uint64]packed.List),
			loads: encodeList(s.Log, s.engineLoads(now)),
		}
	}
	return updateMessage{
		Fencing: s.fencing, Number: shared.number, Shared: s.sharedUpdate(now, seen), Loads: shared.loads,
		Engines: s.updatesWaitedFor(now, message),
	}
}

// sharedUpdate returns the engines that have changed after the first seen changes.
// The caller holds the lock.
func (s *Scheduler) sharedUpdate(now time.Time, seen uint64) packed.List {
	if seen >= s.shared.number && seen > 0 {
		return packed.List{}
	}
	if list, found := s.shared.after[seen]; found {
		return list
	}
	var updates []engineUpdate
	for _, e := range s.engines {
		if e.stateKnown && e.version > seen {
			updates = append(updates, e.update(now))
		}
	}
	list := encodeList(s.Log, updates)
	s.shared.after[seen] = list
	return list
}

// encodeList encodes a part of an update, which always has a JSON form.
func encodeList[T any](log *slog.Logger, entries []T) packed.List {
	list, err := packed.Encode(entries)
	if err != nil {
		log.Error("cannot encode update for nodes", slog.Any("error", err))
	}
	return list
}

// loadReportDivisor is the share of an engine's slots, as a divisor, from which the
// number of its calls is sent to the nodes. Those not listed have fewer.
const loadReportDivisor = 4

// engineLoads returns the engines of which a considerable share of the slots is taken.
// The caller holds the lock.
func (s *Scheduler) engineLoads(now time.Time) (loads []engineLoad) {
	running := make(map[fleet.ServerID]int)
	for _, node := range s.nodes {
		if node.usageExpired(now) {
			continue
		}
		for i := range node.Uses {
			running[node.Uses[i].Server] += node.Uses[i].Count
		}
	}
	for id, e := range s.engines {
		if count := running[id]; count > 0 && loadReportDivisor*count >= e.server.Slots {
			loads = append(loads, engineLoad{Server: id, Running: count})
		}
	}
	return loads
}

// updatesWaitedFor returns the engines that hold a model that calls of the node wait
// for and may run there. The caller holds the lock.
func (s *Scheduler) updatesWaitedFor(now time.Time, message demandMessage) (updates []engineUpdate) {
	if len(message.Waiting) == 0 {
		return nil
	}
	for _, e := range s.engines {
		if e.stateKnown && e.holdsAny(message.Waiting) {
			updates = append(updates, e.update(now))
		}
	}
	return updates
}

// holdsAny reports whether the engine holds a model that calls wait for and may run them.
func (e *engine) holdsAny(waiting []WaitingCalls) bool {
	for i := range waiting {
		held := e.held[waiting[i].Item.Model]
		if held != nil && !held.unloading && waiting[i].mayRun(e.server.Software) {
			return true
		}
	}
	return false
}
