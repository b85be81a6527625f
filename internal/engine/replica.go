package engine

import (
	"time"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Replica is what a node knows of one item on one engine, from the table's
// grants and the engine's reports.
type Replica struct {
	Item    fleet.Item
	Version fleet.Version
	Grant   fleet.GrantID
	Server  fleet.ServerID
	Boot    fleet.BootID
	Address string
	fleet.Place
	State    ItemState
	Progress float64
	// Running and Queued are the engine's own counts, as old as AsOf.
	Running int
	Queued  int
	AsOf    time.Time
	// ReadySince is when the replica was first seen ready.
	ReadySince time.Time
	// Draining says that the replica gets no new work because it is to be
	// unloaded or its VM is leaving.
	Draining bool
}
