package residence

import (
	"time"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// State is what is known when a decision is made.
type State struct {
	Now     time.Time
	Engines []Engine
	// Models describes the models of the pool.
	Models map[fleet.ModelID]Model
	// Demands lists the items that calls wait for or run on.
	Demands []Demand
	// Settled says that the rates of calls have been followed for a while.
	Settled bool
	// StoreLoads is the number of loads from the weight store that may begin
	// now, AdapterLoads that of adapters.
	StoreLoads, AdapterLoads int
	// Random breaks ties, from 0 up to 1.
	Random func() float64
}

// Model is a model that the engines may hold.
type Model struct {
	Size        fleet.Bytes
	AdapterSize fleet.Bytes
	// FromStore, FromDisk and FromMemory are the times of a load by where its
	// weights are.
	FromStore, FromDisk, FromMemory time.Duration
}

// Engine is one engine.
type Engine struct {
	ID fleet.ServerID
	fleet.Place
	Memory       fleet.Bytes
	AdapterSlots int
	Slots        int
	// Closed says that the engine gets no orders now: it is leaving, it cannot
	// be reached, or its state is not known.
	Closed bool
	// Busy says that an order about a model is under way.
	Busy bool
	// Loading is the model that is being loaded, Next the one for which room
	// is being made; empty if none.
	Loading, Next fleet.ModelID
	Held          []Held
	Copies
	// Evicts is the copy that a load from the weight store would push off the
	// disk; empty if there is room.
	Evicts fleet.ModelID
	// AdaptersComing is the number of adapters that are being loaded.
	AdaptersComing int
}

// Held is a model in accelerator memory.
type Held struct {
	Model fleet.ModelID
	// Leaving says that it is being unloaded.
	Leaving bool
	// Running is the number of calls under way, those on adapters included.
	Running int
	// Used is when it was last used.
	Used     time.Time
	Adapters []HeldAdapter
}

// HeldAdapter is an adapter in accelerator memory.
type HeldAdapter struct {
	Adapter fleet.AdapterID
	// Coming says that it is being loaded.
	Coming  bool
	Running int
	Used    time.Time
}

// Demand is what calls want of an item.
type Demand struct {
	Item fleet.Item
	// Waiting is the number of calls that wait for a replica or for room at
	// one, Since when the first of them came.
	Waiting int
	Since   time.Time
	// Objective is when the first of them has to start to be in time.
	Objective time.Time
	// Rank is the urgency of the most urgent of them, 0 being the most urgent.
	Rank int
	// Rate is the number of calls a second lately, refused ones included, Takes
	// how long each occupies a server.
	Rate  float64
	Takes time.Duration
	// Region is where most of the calls wait.
	Region fleet.Region
}

// Order is an order to one engine.
type Order struct {
	Server fleet.ServerID
	// Load says whether the item is loaded or unloaded.
	Load bool
	Item fleet.Item
	// Tier says where the weights of a loaded model come from.
	Tier Tier
	// For is the model that an unloaded one makes room for.
	For fleet.ModelID
	// Why is a word for logs.
	Why string
}

// Reasons of orders.
const (
	WhyWaiting = "waiting"
	WhyRoom    = "room"
	WhySpread  = "spread"
	WhySpare   = "spare"
)

// held returns the entry of a model on the engine; nil if there is none.
func (e *Engine) held(model fleet.ModelID) *Held {
	for at := range e.Held {
		if e.Held[at].Model == model {
			return &e.Held[at]
		}
	}
	return nil
}
