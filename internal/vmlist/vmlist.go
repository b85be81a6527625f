// Package vmlist reads the platform's list of VMs.
//
// The platform serves the list as JSON at GET /vms. It is out of date by some
// seconds: a VM that no longer exists may still be listed, and a new one may be
// missing. A leaving VM is listed with the time at which it will be reclaimed.
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

// VM is the VM of one backend server.
type VM struct {
	ID   fleet.ServerID `json:"id"`
	Pool fleet.PoolID   `json:"pool"`
	// Address is the host and port of the backend server.
	Address string `json:"address"`
	fleet.Place
	// Memory is the total accelerator memory; 0 for services without
	// accelerators.
	Memory       fleet.Bytes `json:"memory"`
	Accelerators int         `json:"accelerators"`
	State        State       `json:"state"`
	// ReclaimAt is the time at which the platform reclaims a leaving VM.
	ReclaimAt time.Time `json:"reclaimAt,omitzero"`
}

// List is the VM list as the platform reports it at one time.
type List struct {
	AsOf time.Time `json:"asOf"`
	VMs  []VM      `json:"vms"`
	// Unreadable has an error for each VM that is left out because it can't be decoded.
	Unreadable []error `json:"-"`
}
