package placement

import (
	"time"

	"github.com/guavatrack/guavatrack/internal/packed"
	"github.com/guavatrack/guavatrack/internal/roster"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Methods of calls between nodes.
const (
	methodDemand = "placement.demand"
	methodUpdate = "placement.news"
)

// WaitingCalls describes the calls of one node that wait for an item.
type WaitingCalls struct {
	Pool fleet.PoolID `json:"pool"`
	Item fleet.Item   `json:"item"`
	// Software is the version of the servers that may run the calls; empty if any may.
	Software fleet.SoftwareVersion `json:"software,omitempty"`
	Count    int                   `json:"count"`
	Rank     int                   `json:"rank"`
	// SinceMs is the time in milliseconds since the first call arrived,
	// ObjectiveMs the time until it has to start to meet its objective, which
	// is negative once it is late.
	SinceMs     int64 `json:"sinceMs"`
	ObjectiveMs int64 `json:"objectiveMs"`
}

// Usage describes the calls of one node that run or recently ran on an item at
// a server.
type Usage struct {
	Server fleet.ServerID `json:"server"`
	Item   fleet.Item     `json:"item"`
	Count  int            `json:"count,omitempty"`
	// IdleMs is the time in milliseconds since the last call began or ended.
	IdleMs int64 `json:"idleMs,omitempty"`
}

// ArrivalCounts holds the number of calls for an item since the last message,
// the number of them that were sent to a server, and the milliseconds that calls
// occupied servers.
type ArrivalCounts struct {
	Pool   fleet.PoolID `json:"pool"`
	Item   fleet.Item   `json:"item"`
	Count  int          `json:"count,omitempty"`
	Sent   int          `json:"sent,omitempty"`
	BusyMs int64        `json:"busyMs,omitempty"`
}

// demandMessage is a node's report to the scheduler.
type demandMessage struct {
	From   fleet.NodeID `json:"from"`
	Region fleet.Region `json:"region"`
	// Fencing and Seen identify the last update that the node has applied.
	Fencing  fleet.FencingNumber `json:"fencing"`
	Seen     uint64              `json:"seen"`
	Waiting  []WaitingCalls      `json:"waiting,omitempty"`
	Uses     []Usage             `json:"uses,omitempty"`
	Arrivals []ArrivalCounts     `json:"arrivals,omitempty"`
	// Lost lists the servers that could not be reached since the last message.
	Lost []fleet.ServerID `json:"lost,omitempty"`
}

// demandAnswer is the scheduler's answer to a demandMessage.
type demandAnswer struct {
	// Schedules is set if the node that answers has the scheduler's lease.
	Schedules bool            `json:"schedules"`
	Update    updateMessage   `json:"news"`
	Ready     []ReadyEstimate `json:"ready,omitempty"`
}

// ReadyEstimate is the time in milliseconds until an item that calls wait for
// is expected to be ready at a server that may run them.
type ReadyEstimate struct {
	Pool     fleet.PoolID          `json:"pool"`
	Item     fleet.Item            `json:"item"`
	Software fleet.SoftwareVersion `json:"software,omitempty"`
	InMs     int64                 `json:"inMs"`
}

// updateMessage carries engine states from the scheduler to the nodes.
type updateMessage struct {
	Fencing fleet.FencingNumber `json:"fencing"`
	// Number is the number of changes under the fencing number that the node has
	// applied with this message; 0 if the message has only some of the engines.
	Number uint64 `json:"number"`
	// Engines are states for this node, Shared those that other nodes get too.
	Engines []engineUpdate `json:"engines,omitempty"`
	Shared  packed.List    `json:"shared"`
	// Loads lists the engines with many calls; it is not set in a message with only some
	// of the engines.
	Loads packed.List `json:"loads"`
}

// engineLoad is the number of calls of all nodes that run on an engine.
type engineLoad struct {
	Server  fleet.ServerID `json:"server"`
	Running int            `json:"running"`
}

// engineUpdate lists what one run of an engine holds. Version increases with each
// change of an engine under one fencing number.
type engineUpdate struct {
	Server  fleet.ServerID `json:"server"`
	Boot    fleet.BootID   `json:"boot"`
	Version uint64         `json:"version"`
	Held    []modelUpdate  `json:"held"`
	// LateOrderMs is the time for which an order may be carried out late by the next run
	// of the engine, in milliseconds; 0 if none may.
	LateOrderMs int64 `json:"lateOrderMs,omitempty"`
}

// modelUpdate is a model that calls may be sent for, with its adapters.
type modelUpdate struct {
	Model    fleet.ModelID     `json:"model"`
	Adapters []fleet.AdapterID `json:"adapters,omitempty"`
}

// rosterEngine converts the update to the form of a roster entry.
func (u *engineUpdate) rosterEngine() *roster.Engine {
	engine := &roster.Engine{}
	for _, held := range u.Held {
		engine.LoadedModels = append(engine.LoadedModels, roster.LoadedModel{Model: held.Model, Adapters: held.Adapters})
	}
	return engine
}

// elapsedMs returns the time from then until now in milliseconds.
func elapsedMs(now, then time.Time) int64 { return now.Sub(then).Milliseconds() }
