package grant

import (
	"time"

	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Event is an input of a [Machine].
type Event interface{ event() }

type (
	// Recorded is the server's record as read from or written to the table. The
	// read or write began at RequestedAt.
	Recorded struct {
		Record      ServerRecord
		Version     table.Version
		RequestedAt time.Time
	}
	// Reported is an engine's report whose request began at RequestedAt.
	Reported struct {
		Report      engine.Report
		RequestedAt time.Time
	}
	// Sending means that this node is recording an order and may send it.
	Sending struct{ Order table.Token }
	// Reserved means that this node has recorded an order under a standing grant
	// and withholds it until the item is to be loaded.
	Reserved struct{ Order table.Token }
	// Accepted means that the engine accepted this node's order and will execute
	// it at some later time.
	Accepted struct{ Order table.Token }
	// Refused means that this node's order had and will have no effect: the
	// engine refused it, or it was never sent.
	Refused struct{ Order table.Token }
	// Unanswered means that this node's order got no answer and may still arrive.
	Unanswered struct{ Order table.Token }
	// Unrecorded means that this node's order is not and will not be recorded.
	Unrecorded struct{ Order table.Token }
	// Drained means that this node marked a grant as draining.
	Drained struct{ Grant fleet.GrantID }
	// Gone means that the VM has ended.
	Gone struct{}
	// Relisted means that the VM is listed again, which revokes Gone.
	Relisted struct{}
	// Tick carries no information; it has the machine evaluate what is due.
	Tick struct{}
)

func (Recorded) event()   {}
func (Reported) event()   {}
func (Sending) event()    {}
func (Reserved) event()   {}
func (Accepted) event()   {}
func (Refused) event()    {}
func (Unanswered) event() {}
func (Unrecorded) event() {}
func (Drained) event()    {}
func (Relisted) event()   {}
func (Gone) event()       {}
func (Tick) event()       {}

// Action is an output of a [Machine], to be executed by its [Controller].
type Action interface{ action() }

type (
	// Release requests that grants be removed from the table, each with its
	// proof.
	Release struct{ Grants map[fleet.GrantID]Proof }
	// DrainGrant requests that a grant be marked as draining.
	DrainGrant struct{ Grant fleet.GrantID }
	// FenceGrant requests that a fencing number be recorded with which the
	// engine is made to refuse the orders under a grant.
	FenceGrant struct{ Grant fleet.GrantID }
	// SendUnload requests that an unload order be sent.
	SendUnload struct{ Order engine.UnloadOrder }
	// SendFence requests that a fence order be sent.
	SendFence struct{ Order engine.FenceOrder }
)

func (Release) action()    {}
func (DrainGrant) action() {}
func (FenceGrant) action() {}
func (SendUnload) action() {}
func (SendFence) action()  {}

// Proof is the reason for which a grant is known to have ended.
type Proof string

// Proofs.
const (
	// ProofRefused means that the sender, this node, established that no order
	// had or will have an effect.
	ProofRefused Proof = "refused"
	// ProofAbsent means that the engine reports nothing held under the grant, as
	// of a time after the last of its orders was closed.
	ProofAbsent Proof = "absent"
	// ProofGone means that the VM has ended.
	ProofGone Proof = "gone"
)
