package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Replica is a backend server that can run calls for an item, or for a pool of
// plain services.
type Replica struct {
	Server fleet.ServerID
	// Boot identifies the run of the server's process; empty if unknown.
	Boot    fleet.BootID
	Address string
	fleet.Place
	Pool fleet.PoolID
	// Software is the version of the software of the server's process.
	Software fleet.SoftwareVersion
	// Item is the loaded model or adapter; empty for plain services.
	Item fleet.Item
	// Ready is set if the replica accepts calls, Draining if the server is about
	// to be stopped or the item about to be unloaded.
	Ready, Draining bool
	// Slots is the number of calls that run at once, shared by all replicas of
	// the server with the same Group.
	Slots int
	Group string
	// FixedSlots is set if Slots is the exact limit for the calls of all nodes
	// together. Otherwise the node adapts its own limit to the reported load.
	FixedSlots bool
	// Tokens is the capacity of the server's key-value cache; 0 if unknown.
	Tokens int
	// Running and Queued are the numbers of calls of all nodes that the server
	// reported at the time AsOf.
	Running, Queued int
	AsOf            time.Time
	// ReadySince is when the replica was first observed to be ready; zero if
	// that was long ago.
	ReadySince time.Time
	// ListedAt is when the node first listed this run of the server's process; zero if it
	// was listed when the node started, or if that is unknown.
	ListedAt time.Time
}

// Directory lists the backend servers.
type Directory interface {
	// Replicas returns the servers that have the item loaded, or those of the
	// pool if the item is empty, in any state. It is called several times for
	// every call and must be cheap.
	Replicas(item fleet.Item, pool fleet.PoolID) []Replica
}

// TimestampedDirectory is implemented by a [Directory] that records when its
// entries were last reported.
type TimestampedDirectory interface {
	// AsOf returns the time of the last report of which items a server holds.
	AsOf(server fleet.ServerID) time.Time
}

// NotifyingDirectory is implemented by a [Directory] that reports when its lists
// change.
type NotifyingDirectory interface {
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}

// LeaveRecorder is implemented by a [Directory] that lists a server as draining once
// the server itself has reported that it leaves.
type LeaveRecorder interface {
	RecordLeaving(server fleet.ServerID, boot fleet.BootID)
}

// LoadDirectory is implemented by a [Directory] that counts the calls of all nodes on
// each server.
type LoadDirectory interface {
	// Load returns the number of calls on a server and the time as of which it holds,
	// which is zero if the number is unknown.
	Load(server fleet.ServerID) (running int, asOf time.Time)
}

// Estimate is the expected course of a load, as estimated by a [Loader].
type Estimate struct {
	// ReadyIn is the time until the first replica is ready.
	ReadyIn time.Duration
	// Progress is the fraction that has been loaded, from 0 to 1.
	Progress float64
}

// Demand summarises the calls that wait for an item.
type Demand struct {
	Item fleet.Item
	Pool fleet.PoolID
	// Software restricts the servers that may run the calls to those of a software
	// version; empty if any may.
	Software fleet.SoftwareVersion
	// Waiting is the number of waiting calls, Since the arrival time of the
	// first of them.
	Waiting int
	Since   time.Time
	// Rank is the rank of the most urgent call.
	Rank int
	// Objective is the earliest time by which one of the answers should start;
	// zero if none is set. Deadline is the earliest deadline of the calls.
	Objective, Deadline time.Time
}

// Loader loads items on demand.
type Loader interface {
	// RequestLoad requests a replica of the item, or additional ones, and returns
	// without waiting for the load. It is called repeatedly while calls wait. It
	// fails if no replica can be loaded.
	RequestLoad(ctx context.Context, demand Demand) (Estimate, error)
}

// Observer is notified when calls for an item arrive and finish. A [Loader] may
// implement it.
type Observer interface {
	Arrived(item fleet.Item, pool fleet.PoolID, at time.Time)
	Finished(item fleet.Item, pool fleet.PoolID, at time.Time)
}

// SlotObserver is notified when slots of servers are taken and released. A
// [Loader] may implement it.
type SlotObserver interface {
	SlotTaken(replica *Replica, at time.Time)
	SlotReleased(replica *Replica, at time.Time)
	// ServerLost reports that the server could not be reached, did not answer, or
	// has crashed.
	ServerLost(replica *Replica, at time.Time)
}

// Prober checks the state of servers that do not answer a call.
type Prober interface {
	// Alive reports whether the server answers over a new connection.
	Alive(ctx context.Context, replica Replica) bool
	// Crashed reports whether the run of the server's process given by
	// Replica.Boot has ended.
	Crashed(ctx context.Context, replica Replica) bool
}

// usable returns the replicas that may be sent new calls. It returns the slice
// itself in the usual case that all are usable, to avoid a copy.
func usable(replicas []Replica) []Replica {
	unusable := func(replica Replica) bool { return !replica.Ready || replica.Draining }
	if !slices.ContainsFunc(replicas, unusable) {
		return replicas
	}
	return slices.DeleteFunc(slices.Clone(replicas), unusable)
}

// replicas returns the replicas that a call may be sent to.
func (d *Dispatcher) replicas(call *Call) []Replica {
	return call.permitted(usable(d.Directory.Replicas(call.Item, call.Pool)))
}
