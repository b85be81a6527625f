package placement

import (
	"time"

	"github.com/guavatrack/guavatrack/internal/residence"
	"github.com/guavatrack/guavatrack/internal/roster"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// engine is what the scheduler knows of one run of an engine. It is guarded by
// the scheduler's lock.
type engine struct {
	server *roster.Server
	// known says that sequence and what is held are those of the engine. If
	// not, its report is to be read, at readAt at the earliest.
	known   bool
	reading bool
	// doubted says that a node could not reach the engine, checking that its
	// report is being read for that.
	doubted, checking bool
	readAt            time.Time
	// sequence is the number of orders that the engine has accepted.
	sequence uint64
	held     map[fleet.ModelID]*heldModel
	residence.Copies
	// diskOrder lists the copies on disk, the least recently used first.
	diskOrder []fleet.ModelID
	// sending says that an order is on its way.
	sending bool
	// open is the order about a model that the engine carries out; nil if none.
	open *openOrder
	// next is the model that room is being made for, until nextUntil.
	next      fleet.ModelID
	nextUntil time.Time
	// closedUntil is when an engine that could not be reached is tried again.
	closedUntil time.Time
	// changed is the number of the news of the last change.
	changed uint64
}

type heldModel struct {
	leaving bool
	// offered says that it should be there by now, although no report has shown
	// it yet.
	offered  bool
	adapters map[fleet.AdapterID]*heldAdapter
}

type heldAdapter struct {
	// readyAt is when it can be used.
	readyAt time.Time
}

// openOrder is an order that an engine carries out.
type openOrder struct {
	residence.Order
	// due is when it is expected to be done.
	due time.Time
}

func newEngine(server *roster.Server) *engine {
	e := &engine{server: server}
	e.copies(server.Engine)
	if server.Engine != nil {
		e.holds(server.Engine, time.Time{})
	}
	return e
}

// copies takes in which weights the VM has copies of.
func (e *engine) copies(from *roster.Engine) {
	if from == nil {
		return
	}
	e.InMemory, e.OnDisk, e.diskOrder = from.InMemory, modelSet(from.OnDisk), from.OnDisk
}

func modelSet(models []fleet.ModelID) map[fleet.ModelID]bool {
	set := make(map[fleet.ModelID]bool, len(models))
	for _, model := range models {
		set[model] = true
	}
	return set
}

// holds takes in what the engine holds. Adapters that were ordered a moment ago
// may be missing from a report; they stay until their time to be ready.
func (e *engine) holds(from *roster.Engine, now time.Time) {
	held := make(map[fleet.ModelID]*heldModel, len(from.Held))
	for _, model := range from.Held {
		entry := &heldModel{adapters: make(map[fleet.AdapterID]*heldAdapter, len(model.Adapters))}
		for _, adapter := range model.Adapters {
			entry.adapters[adapter] = &heldAdapter{}
		}
		if before := e.held[model.Model]; before != nil {
			for id, adapter := range before.adapters {
				if entry.adapters[id] == nil && now.Before(adapter.readyAt.Add(reportLag)) {
					entry.adapters[id] = adapter
				}
			}
		}
		held[model.Model] = entry
	}
	e.held = held
}

// evicts returns the copy that another one would push off the disk; empty if
// there is room.
func (e *engine) evicts(spec *roster.EngineSpec) fleet.ModelID {
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

// news returns what calls may be sent for.
func (e *engine) news(now time.Time) engineNews {
	told := engineNews{Server: e.server.ID, Boot: e.server.Boot}
	for id, model := range e.held {
		if model.leaving {
			continue
		}
		entry := heldNews{Model: id}
		for adapter, state := range model.adapters {
			if !now.Before(state.readyAt) {
				entry.Adapters = append(entry.Adapters, adapter)
			}
		}
		told.Held = append(told.Held, entry)
	}
	return told
}

// plan describes the engine to package residence, with the uses of its items.
func (e *engine) plan(now time.Time, spec *roster.EngineSpec, uses map[useKey]*use) residence.Engine {
	e.HostMemory = spec.HostMemory
	planned := residence.Engine{
		ID: e.server.ID, Place: e.server.Place, Memory: spec.Memory, AdapterSlots: spec.AdapterSlots,
		Slots: spec.Slots, Copies: e.Copies, Evicts: e.evicts(spec),
		Closed: !e.known || e.server.Draining || now.Before(e.closedUntil),
		Busy:   e.open != nil || e.sending,
	}
	if e.open != nil && e.open.Load {
		planned.Loading = e.open.Item.Model
	}
	if now.Before(e.nextUntil) {
		planned.Next = e.next
	}
	for id, model := range e.held {
		held := residence.Held{Model: id, Leaving: model.leaving}
		held.Running, held.Used = used(uses, e.server.ID, fleet.Item{Model: id})
		for adapter, state := range model.adapters {
			entry := residence.HeldAdapter{Adapter: adapter, Coming: now.Before(state.readyAt)}
			entry.Running, entry.Used = used(uses, e.server.ID, fleet.Item{Model: id, Adapter: adapter})
			held.Running += entry.Running
			if entry.Used.After(held.Used) {
				held.Used = entry.Used
			}
			if entry.Coming {
				planned.AdaptersComing++
			}
			held.Adapters = append(held.Adapters, entry)
		}
		planned.Held = append(planned.Held, held)
	}
	return planned
}

func used(uses map[useKey]*use, server fleet.ServerID, item fleet.Item) (count int, last time.Time) {
	found := uses[useKey{server: server, item: item}]
	if found == nil {
		return 0, time.Time{}
	}
	return max(0, found.count), found.last
}
