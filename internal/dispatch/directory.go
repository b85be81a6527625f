package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Replica is a backend server that can run calls of an item, or of a pool of
// plain services.
type Replica struct {
	Server fleet.ServerID
	// Boot is the run of the server's process; empty if unknown.
	Boot    fleet.BootID
	Address string
	fleet.Place
	Pool fleet.PoolID
	// Item is what the server holds; empty for plain services.
	Item fleet.Item
	// Ready says that calls may be sent there, Draining that the server is to
	// be stopped or the item to be unloaded.
	Ready, Draining bool
	// Slots is the number of calls that run at once among all replicas of the
	// server with the same Group.
	Slots int
	Group string
	// Steady says that Slots is the true limit for all nodes together, which is
	// not to be learned.
	Steady bool
	// Tokens is the size of the server's key-value cache; 0 if unknown.
	Tokens int
	// Running and Queued are the server's own counts, as old as AsOf.
	Running, Queued int
	AsOf            time.Time
	// ReadySince is when the replica was first seen ready; zero if long ago.
	ReadySince time.Time
}

// Directory knows the backend servers.
type Directory interface {
	// Replicas returns the servers that hold the item, or without an item those
	// of the pool, in any state. It is called several times for every call and
	// must be cheap.
	Replicas(item fleet.Item, pool fleet.PoolID) []Replica
}

// Dated is a [Directory] that knows how old its word is.
type Dated interface {
	// AsOf returns when the directory last learned what a server holds.
	AsOf(server fleet.ServerID) time.Time
}

// Estimate is what a [Waker] expects of a load.
type Estimate struct {
	// ReadyIn is the time until the first replica is ready.
	ReadyIn time.Duration
	// Progress is the loaded fraction, from 0 to 1.
	Progress float64
}

// Want is what waiting calls want of an item.
type Want struct {
	Item fleet.Item
	Pool fleet.PoolID
	// Waiting is the number of calls that wait, Since when the first of them
	// came.
	Waiting int
	Since   time.Time
	// Rank is that of the most urgent call.
	Rank int
	// Objective is the earliest time by which one of the calls should start;
	// zero if they have none. Deadline is the earliest of their deadlines.
	Objective, Deadline time.Time
}

// Waker has items loaded.
type Waker interface {
	// Wake asks for a replica of the item, or for more of them, and returns at
	// once. It is called again while calls wait. It fails if no replica can be
	// had.
	Wake(ctx context.Context, want Want) (Estimate, error)
}

// Observer learns when calls come and go. A [Waker] may be one.
type Observer interface {
	Arrived(item fleet.Item, pool fleet.PoolID, at time.Time)
	Finished(item fleet.Item, pool fleet.PoolID, at time.Time)
}

// Occupancy learns when calls begin and end at servers. A [Waker] may be one.
type Occupancy interface {
	Entered(replica *Replica, at time.Time)
	Left(replica *Replica, at time.Time)
	// Lost says that the server could not be reached or has crashed.
	Lost(replica *Replica, at time.Time)
}

// Prober finds out about servers that don't answer a call.
type Prober interface {
	// Alive reports whether the server answers over a new connection.
	Alive(ctx context.Context, replica Replica) bool
	// Crashed reports whether the run of the server's process that the replica
	// belongs to has ended.
	Crashed(ctx context.Context, replica Replica) bool
}

// usable returns the replicas that may get new work: mostly all, which are not
// copied then.
func usable(replicas []Replica) []Replica {
	out := func(replica Replica) bool { return !replica.Ready || replica.Draining }
	if !slices.ContainsFunc(replicas, out) {
		return replicas
	}
	return slices.DeleteFunc(slices.Clone(replicas), out)
}

// replicas returns the replicas that a call may be sent to.
func (d *Dispatcher) replicas(call *Call) []Replica {
	return usable(d.Directory.Replicas(call.Item, call.Pool))
}
