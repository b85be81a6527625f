package engine

import (
	"time"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Replica is a node's view of one item on one engine, combined from the grants
// in the table and the engine's reports.
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
	// Running and Queued are the engine's request counts as of AsOf.
	Running int
	Queued  int
	AsOf    time.Time
	// ReadySince is when the replica was first seen ready.
	ReadySince time.Time
	// Draining is true if the replica gets no new requests because it is about
	// to be unloaded or its VM is leaving.
	Draining bool
}
