package placement

import (
	"context"

	"github.com/guavatrack/guavatrack/internal/roster"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Order is an order to an engine.
type Order struct {
	// Load says whether the item is loaded or unloaded.
	Load bool
	Item fleet.Item
	// Expect is the number of orders that the engine must have accepted before.
	Expect uint64
	// Holder is the VM that gives the order, Fencing its fencing number.
	Holder  string
	Fencing fleet.FencingNumber
	// Allowed is asked right before the order is written to the connection.
	Allowed func() bool
}

// Outcome is what became of an order.
type Outcome int

// Outcomes of an order. Only after Unknown may it still be carried out.
const (
	// Accepted says that the order is being carried out.
	Accepted Outcome = iota
	// Held says that it already holds.
	Held
	// Conflict says that another order is under way or that the number of
	// accepted orders is another one.
	Conflict
	// Fenced says that the engine has seen a higher fencing number.
	Fenced
	// WrongServer says that another engine has the address.
	WrongServer
	// Refused says that the engine can't make sense of the order.
	Refused
	// NotSent says that nothing of the order was sent.
	NotSent
	// Unknown says that there was no answer.
	Unknown
)

// String returns the name of the outcome in logs.
func (o Outcome) String() string {
	return [...]string{
		"accepted", "held", "conflict", "fenced", "wrongServer", "refused", "notSent", "unknown",
	}[o]
}

// Report is what an engine says of itself when it is asked. It describes the
// engine a moment ago.
type Report struct {
	Engine roster.Engine
	// Sequence is the number of orders that this run of the engine has accepted.
	Sequence uint64
}

// Engines sends orders to engines and reads their reports.
type Engines interface {
	// Order sends an order once. The error says more of the outcome.
	Order(ctx context.Context, server *roster.Server, order Order) (Outcome, error)
	Report(ctx context.Context, server *roster.Server) (Report, error)
}
