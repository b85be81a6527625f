package residence

import (
	"time"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// State is the input of [Plan].
type State struct {
	Now     time.Time
	Engines []Engine
	// Models describes the models of the pool.
	Models map[fleet.ModelID]Model
	// Demands holds the demand for each item that has had calls lately.
	Demands []Demand
	// RatesSettled reports whether call rates have been measured for long
	// enough to be relied on.
	RatesSettled bool
	// StoreLoads is the number of loads from the weight store that may start
	// now, AdapterLoads the number of adapter loads.
	StoreLoads, AdapterLoads int
	// RankDelay is by how much later the objective of a demand counts for each class that
	// it is less urgent; 0 if classes don't matter.
	RankDelay time.Duration
	// Random returns a number in [0, 1) that breaks ties.
	Random func() float64
}

// Model describes a model that the engines may load.
type Model struct {
	Size        fleet.Bytes
	AdapterSize fleet.Bytes
	// FromStore, FromDisk and FromMemory are the load times from the weight
	// store, the VM's disk and its host memory.
	FromStore, FromDisk, FromMemory time.Duration
}

// Engine is the state of one engine.
type Engine struct {
	ID fleet.ServerID
	fleet.Place
	// Software is the version of the engine's software; empty if unknown.
	Software fleet.SoftwareVersion
	// Memory is the accelerator memory.
	Memory fleet.Bytes
	// AdapterSlots is the number of adapters that fit at once, Slots the number
	// of calls that run at once.
	AdapterSlots int
	Slots        int
	// Unavailable reports whether the engine gets no orders: it is draining,
	// cannot be reached, or its state is unknown.
	Unavailable bool
	// Limited reports whether the engine has named a limit of requests. Its models count as
	// loaded only for calls that do not wait, so that a further replica takes the others.
	Limited bool
	// Busy reports whether an order to load or unload a model is in progress.
	Busy bool
	// Loading is the model that is being loaded, ReservedFor the model that
	// memory is being freed for; empty if none. A draining engine has neither.
	Loading, ReservedFor fleet.ModelID
	ResidentModels       []ResidentModel
	Copies
	// DiskVictim is the model whose copy a load from the weight store would
	// evict from the disk; empty if the disk has room.
	DiskVictim fleet.ModelID
	// AdaptersLoading is the number of adapters that are being loaded.
	AdaptersLoading int
}

// ResidentModel is a model in the accelerator memory of an engine.
type ResidentModel struct {
	Model fleet.ModelID
	// Unloading reports whether the model is being unloaded.
	Unloading bool
	// Kept reports whether the model must not be unloaded although it looks unused.
	Kept bool
	// Running is the number of calls in progress, including those on adapters.
	Running int
	// LastUsed is when the model or one of its adapters was last used.
	LastUsed time.Time
	Adapters []ResidentAdapter
}

// ResidentAdapter is an adapter in the accelerator memory of an engine.
type ResidentAdapter struct {
	Adapter fleet.AdapterID
	// Loading reports whether the adapter is still being loaded.
	Loading  bool
	Running  int
	LastUsed time.Time
}

// Demand is the demand for an item, over the calls of all nodes.
type Demand struct {
	Item fleet.Item
	// Software restricts the engines that may run the calls to those of a software
	// version; empty if any may. Such a demand has no rate: arrivals are counted over all
	// versions.
	Software fleet.SoftwareVersion
	// Waiting is the number of calls that wait for a replica or for a free slot
	// of one, WaitingSince the arrival time of the oldest of them.
	Waiting      int
	WaitingSince time.Time
	// Objective is the earliest time at which one of them has to start to meet
	// its latency objective.
	Objective time.Time
	// Rank is the lowest rank among them; 0 is the most urgent.
	Rank int
	// Rate is the recent number of calls per second, including refused ones,
	// ServiceTime the average time for which a call occupies a slot.
	Rate        float64
	ServiceTime time.Duration
	// Region is the region where most of the calls wait.
	Region fleet.Region
}

// Order tells one engine to load or unload an item.
type Order struct {
	Server fleet.ServerID
	// Load is true for a load and false for an unload.
	Load bool
	Item fleet.Item
	// Tier is where a load reads the weights of a model from.
	Tier Tier
	// MakesRoomFor is the model that an unload frees memory for.
	MakesRoomFor fleet.ModelID
	// Reason is the reason that is logged.
	Reason string
}

// Reasons of orders.
const (
	// ReasonWaiting is a load that calls wait for.
	ReasonWaiting = "waiting"
	// ReasonMakeRoom is an unload that makes room for another item.
	ReasonMakeRoom = "room"
	// ReasonReplicate is a load of a further replica.
	ReasonReplicate = "spread"
	// ReasonPreload is a load into memory that no waiting call needs.
	ReasonPreload = "spare"
)

// residentModel returns the entry of a model on the engine; nil if the engine
// does not hold it.
func (e *Engine) residentModel(model fleet.ModelID) *ResidentModel {
	for i := range e.ResidentModels {
		if e.ResidentModels[i].Model == model {
			return &e.ResidentModels[i]
		}
	}
	return nil
}
