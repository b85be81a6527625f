// Package vmlist reads the platform's list of VMs.
//
// The list is served as JSON under GET /vms and is behind by some seconds: a
// VM that is gone may still be listed and a new one may be missing. A leaving
// VM is listed with the time at which it will be reclaimed.
package vmlist

import (
	"time"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// State is the state of a VM.
type State string

// States of a VM.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// VM is one backend server's VM.
type VM struct {
	ID   fleet.ServerID `json:"id"`
	Pool fleet.PoolID   `json:"pool"`
	// Address is the host and port of the backend server.
	Address string `json:"address"`
	fleet.Place
	// Memory is the accelerator memory in total; 0 for plain services.
	Memory       fleet.Bytes `json:"memory"`
	Accelerators int         `json:"accelerators"`
	State        State       `json:"state"`
	// ReclaimAt is when a leaving VM will be gone.
	ReclaimAt time.Time `json:"reclaimAt,omitzero"`
}

// List is one answer of the VM list.
type List struct {
	AsOf time.Time `json:"asOf"`
	VMs  []VM      `json:"vms"`
}
