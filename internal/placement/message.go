package placement

import (
	"time"

	"github.com/guavatrack/guavatrack/internal/roster"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Methods that nodes call on each other.
const (
	methodDemand = "placement.demand"
	methodNews   = "placement.news"
)

// Waiting is what calls of one node wait for.
type Waiting struct {
	Pool  fleet.PoolID `json:"pool"`
	Item  fleet.Item   `json:"item"`
	Count int          `json:"count"`
	Rank  int          `json:"rank"`
	// SinceMs is how long ago the first call came, ObjectiveMs the time that it
	// has left to be in time, which is negative once it is late.
	SinceMs     int64 `json:"sinceMs"`
	ObjectiveMs int64 `json:"objectiveMs"`
}

// Use is what calls of one node run on or ran on lately.
type Use struct {
	Server fleet.ServerID `json:"server"`
	Item   fleet.Item     `json:"item"`
	Count  int            `json:"count,omitempty"`
	// IdleMs is the time since the last call began or ended.
	IdleMs int64 `json:"idleMs,omitempty"`
}

// Arrival is how many calls for an item came since the last message, how many
// of them were sent to a server, and the time that calls occupied servers.
type Arrival struct {
	Pool   fleet.PoolID `json:"pool"`
	Item   fleet.Item   `json:"item"`
	Count  int          `json:"count,omitempty"`
	Sent   int          `json:"sent,omitempty"`
	BusyMs int64        `json:"busyMs,omitempty"`
}

// demandMessage is what a node tells the scheduler.
type demandMessage struct {
	From   fleet.NodeID `json:"from"`
	Region fleet.Region `json:"region"`
	// Fencing and Seen name the news that the node has.
	Fencing  fleet.FencingNumber `json:"fencing"`
	Seen     uint64              `json:"seen"`
	Waiting  []Waiting           `json:"waiting,omitempty"`
	Uses     []Use               `json:"uses,omitempty"`
	Arrivals []Arrival           `json:"arrivals,omitempty"`
	// Lost lists servers that could not be reached since the last message.
	Lost []fleet.ServerID `json:"lost,omitempty"`
}

// demandAnswer is the scheduler's answer.
type demandAnswer struct {
	// Schedules says that the node that answers gives the orders.
	Schedules bool       `json:"schedules"`
	News      news       `json:"news"`
	Ready     []Expected `json:"ready,omitempty"`
}

// Expected is when an item that calls wait for is expected to be ready.
type Expected struct {
	Pool fleet.PoolID `json:"pool"`
	Item fleet.Item   `json:"item"`
	InMs int64        `json:"inMs"`
}

// news is what the scheduler knows of engines. Number grows with each change
// under one fencing number.
type news struct {
	Fencing fleet.FencingNumber `json:"fencing"`
	Number  uint64              `json:"number"`
	Engines []engineNews        `json:"engines,omitempty"`
}

// engineNews is what one run of an engine holds.
type engineNews struct {
	Server fleet.ServerID `json:"server"`
	Boot   fleet.BootID   `json:"boot"`
	Held   []heldNews     `json:"held"`
}

// heldNews is a model that calls may be sent for, with its adapters.
type heldNews struct {
	Model    fleet.ModelID     `json:"model"`
	Adapters []fleet.AdapterID `json:"adapters,omitempty"`
}

// engine returns the news in the form of an entry.
func (n *engineNews) engine() *roster.Engine {
	engine := &roster.Engine{}
	for _, held := range n.Held {
		engine.Held = append(engine.Held, roster.Held{Model: held.Model, Adapters: held.Adapters})
	}
	return engine
}

// since returns the milliseconds from a time until now.
func since(now, then time.Time) int64 { return now.Sub(then).Milliseconds() }
