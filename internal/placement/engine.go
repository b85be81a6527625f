package placement

import (
	"time"

	"github.com/guavatrack/guavatrack/internal/residence"
	"github.com/guavatrack/guavatrack/internal/roster"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// engine is the scheduler's record of one run of an engine. It is guarded by
// the scheduler's lock.
type engine struct {
	server *roster.Server
	// stateKnown is set if sequence and held match the engine. If not, its
	// report is to be read, at readReportAt at the earliest.
	stateKnown    bool
	readingReport bool
	// suspect is set if a node could not reach the engine, checkingReport while
	// the engine's report is read for that reason.
	suspect, checkingReport bool
	readReportAt            time.Time
	// sequence is the number of orders that the engine has accepted.
	sequence uint64
	held     map[fleet.ModelID]*heldModel
	residence.Copies
	// diskOrder lists the copies on disk, least recently used first.
	diskOrder []fleet.ModelID
	// orderInFlight is set while an order is sent and its outcome is not known.
	orderInFlight bool
	// active is the model order that the engine is executing; nil if none.
	active *activeOrder
	// reservedFor is the model that room is being made for, until
	// reservedUntil.
	reservedFor   fleet.ModelID
	reservedUntil time.Time
	// retryAt is when an engine that could not be reached is tried again.
	retryAt time.Time
	// lateOrderUntil is until when the next run of the engine may carry out an order.
	lateOrderUntil time.Time
	// version is the scheduler's version as of the engine's last change.
	version uint64
}

type heldModel struct {
	unloading bool
	// presumed is set if the load should be complete by now although no report
	// has shown the model yet.
	presumed bool
	adapters map[fleet.AdapterID]*heldAdapter
}

type heldAdapter struct {
	// readyAt is since when the adapter can be used; zero if it was before the engine was
	// first seen.
	readyAt time.Time
}

// activeOrder is a model order that an engine is executing.
type activeOrder struct {
	residence.Order
	// due is when the order is expected to be complete.
	due time.Time
}

func newEngine(server *roster.Server) *engine {
	e := &engine{server: server}
	e.setCopies(server.Engine)
	if server.Engine != nil {
		e.setHeld(server.Engine, time.Time{})
	}
	return e
}

// setCopies records which weights the VM has copies of.
func (e *engine) setCopies(from *roster.Engine) {
	if from == nil {
		return
	}
	e.InHostMemory, e.OnDisk, e.diskOrder = from.InMemory, modelSet(from.OnDisk), from.OnDisk
}

func modelSet(models []fleet.ModelID) map[fleet.ModelID]bool {
	set := make(map[fleet.ModelID]bool, len(models))
	for _, model := range models {
		set[model] = true
	}
	return set
}

// setHeld records the models and adapters that the engine holds. Adapters that
// were ordered shortly before may be missing from a report; they are kept until
// they should be ready and a report should show them. Those that it shows are ready
// since the time known before, at the latest now.
func (e *engine) setHeld(from *roster.Engine, now time.Time) {
	held := make(map[fleet.ModelID]*heldModel, len(from.LoadedModels))
	for _, model := range from.LoadedModels {
		entry := &heldModel{adapters: make(map[fleet.AdapterID]*heldAdapter, len(model.Adapters))}
		for _, adapter := range model.Adapters {
			entry.adapters[adapter] = &heldAdapter{}
		}
		if previous := e.held[model.Model]; previous != nil {
			for id, adapter := range previous.adapters {
				shown := entry.adapters[id]
				switch {
				case shown != nil && adapter.readyAt.After(now):
					shown.readyAt = now
				case shown != nil:
					shown.readyAt = adapter.readyAt
				case now.Before(adapter.readyAt.Add(reportLag)):
					entry.adapters[id] = adapter
				}
			}
		}
		held[model.Model] = entry
	}
	e.held = held
}

// diskEviction returns the copy that another one would evict from the disk;
// empty if there is room.
func (e *engine) diskEviction(spec *roster.EngineSpec) fleet.ModelID {
	if spec.Disk == 0 || len(e.diskOrder) == 0 {
		return ""
	}
	var taken, largest fleet.Bytes
	for _, id := range e.diskOrder {
		if model := spec.Models[id]; model != nil {
			taken += model.Size
			largest = max(largest, model.Size)
		}
	}
	if taken+largest <= spec.Disk {
		return ""
	}
	return e.diskOrder[0]
}

// update lists the models and adapters that calls may be sent for.
func (e *engine) update(now time.Time) engineUpdate {
	update := engineUpdate{
		Server: e.server.ID, Boot: e.server.Boot, Version: e.version, LateOrderMs: max(0, e.lateOrderUntil.Sub(now).Milliseconds()),
	}
	for id, model := range e.held {
		if model.unloading {
			continue
		}
		entry := modelUpdate{Model: id}
		for adapter, state := range model.adapters {
			if !now.Before(state.readyAt) {
				entry.Adapters = append(entry.Adapters, adapter)
			}
		}
		update.Held = append(update.Held, entry)
	}
	return update
}

// planInput describes the engine and the usage of its items to package
// residence.
func (e *engine) planInput(now time.Time, spec *roster.EngineSpec, usages map[usageKey]*usage) residence.Engine {
	e.HostMemoryCapacity = spec.HostMemory
	input := residence.Engine{
		ID: e.server.ID, Place: e.server.Place, Software: e.server.Software, Memory: spec.Memory, AdapterSlots: spec.AdapterSlots,
		Slots: spec.Slots, Copies: e.Copies, DiskVictim: e.diskEviction(spec),
		Unavailable: !e.stateKnown || e.server.Draining || now.Before(e.retryAt),
		Busy:        e.active != nil || e.orderInFlight,
	}
	if !e.server.Draining {
		input.Loading, input.ReservedFor = e.nextModels(now)
	}
	for id, model := range e.held {
		held := residence.ResidentModel{Model: id, Unloading: model.unloading}
		held.Running, held.LastUsed = usageOf(usages, e.server.ID, fleet.Item{Model: id})
		for adapter, state := range model.adapters {
			entry := residence.ResidentAdapter{Adapter: adapter, Loading: now.Before(state.readyAt)}
			entry.Running, entry.LastUsed = usageOf(usages, e.server.ID, fleet.Item{Model: id, Adapter: adapter})
			held.Running += entry.Running
			if entry.LastUsed.After(held.LastUsed) {
				held.LastUsed = entry.LastUsed
			}
			// The calls that it was loaded for are yet to be reported.
			if state.readyAt.After(entry.LastUsed) {
				entry.LastUsed = state.readyAt
			}
			if entry.Loading {
				input.AdaptersLoading++
			}
			held.Adapters = append(held.Adapters, entry)
		}
		input.ResidentModels = append(input.ResidentModels, held)
	}
	return input
}

// nextModels returns the model that the engine is loading and the one that room is being
// made for; empty if none.
func (e *engine) nextModels(now time.Time) (loading, reserved fleet.ModelID) {
	if e.active != nil && e.active.Load {
		loading = e.active.Item.Model
	}
	if now.Before(e.reservedUntil) {
		reserved = e.reservedFor
	}
	return loading, reserved
}

func usageOf(usages map[usageKey]*usage, server fleet.ServerID, item fleet.Item) (count int, lastUsed time.Time) {
	entry := usages[usageKey{server: server, item: item}]
	if entry == nil {
		return 0, time.Time{}
	}
	return max(0, entry.count), entry.lastUsed
}
