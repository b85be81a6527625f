package grant

import (
	"time"

	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Event is something that a [Machine] learns.
type Event interface{ event() }

type (
	// Recorded brings the server's record as the table holds it. The read or
	// the write that showed it began at RequestedAt.
	Recorded struct {
		Record      ServerRecord
		Version     table.Version
		RequestedAt time.Time
	}
	// Reported brings a report whose request began at RequestedAt.
	Reported struct {
		Report      engine.Report
		RequestedAt time.Time
	}
	// Sending says that this node records an order and may send it.
	Sending struct{ Order table.Token }
	// Reserved says that this node holds an order back under a standing grant.
	Reserved struct{ Order table.Token }
	// Accepted says that the engine accepted this node's order, which it will
	// carry out at some time.
	Accepted struct{ Order table.Token }
	// Refused says that this node's order had and will have no effect: the
	// engine refused it, or it was never sent.
	Refused struct{ Order table.Token }
	// Lost says that this node's order has no answer and may still arrive.
	Lost struct{ Order table.Token }
	// Unrecorded says that this node's order is not and will not be recorded.
	Unrecorded struct{ Order table.Token }
	// Drained says that this node marked a grant as draining.
	Drained struct{ Grant fleet.GrantID }
	// Gone says that the VM has ended.
	Gone struct{}
	// Listed says that the VM list names the VM.
	Listed struct{}
	// Tick lets time pass.
	Tick struct{}
)

func (Recorded) event()   {}
func (Reported) event()   {}
func (Sending) event()    {}
func (Reserved) event()   {}
func (Accepted) event()   {}
func (Refused) event()    {}
func (Lost) event()       {}
func (Unrecorded) event() {}
func (Drained) event()    {}
func (Listed) event()     {}
func (Gone) event()       {}
func (Tick) event()       {}

// Action is something that a [Machine] wants done.
type Action interface{ action() }

type (
	// Release wants grants removed from the table, each with its proof.
	Release struct{ Grants map[fleet.GrantID]Proof }
	// DrainGrant wants a grant marked as draining.
	DrainGrant struct{ Grant fleet.GrantID }
	// FenceGrant wants a fencing number recorded that shuts out the orders
	// under a grant.
	FenceGrant struct{ Grant fleet.GrantID }
	// SendUnload wants an unload order sent.
	SendUnload struct{ Order engine.UnloadOrder }
	// SendFence wants a fence order sent.
	SendFence struct{ Order engine.FenceOrder }
)

func (Release) action()    {}
func (DrainGrant) action() {}
func (FenceGrant) action() {}
func (SendUnload) action() {}
func (SendFence) action()  {}

// Proof is why a grant is over.
type Proof string

// Proofs.
const (
	// ProofRefused is the sender's own word that no order had or will have an
	// effect.
	ProofRefused Proof = "refused"
	// ProofAbsent is the engine's word that it holds nothing under the grant,
	// from after the last of its orders was closed.
	ProofAbsent Proof = "absent"
	// ProofGone is the end of the VM.
	ProofGone Proof = "gone"
)
