package placement

import (
	"context"

	"github.com/guavatrack/guavatrack/internal/roster"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Order tells an engine to load or unload an item.
type Order struct {
	// Load is set if the item is to be loaded, unset if it is to be unloaded.
	Load bool
	Item fleet.Item
	// ExpectedSequence is the number of orders that the engine must have
	// accepted before.
	ExpectedSequence uint64
	// Holder is the VM that gives the order, Fencing its fencing number.
	Holder  string
	Fencing fleet.FencingNumber
	// Allowed is called right before the order is written to the connection,
	// and prevents that if it returns false.
	Allowed func() bool
}

// Outcome is the result of sending an order.
type Outcome int

// Outcomes of an order. Only after Unknown may the order still be executed
// later.
const (
	// Accepted means that the engine is executing the order.
	Accepted Outcome = iota
	// InEffect means that the engine is already in the state that the order asks
	// for.
	InEffect
	// Conflict means that the engine is executing another order or that its
	// number of accepted orders is not the expected one.
	Conflict
	// Fenced means that the engine has seen a higher fencing number.
	Fenced
	// WrongServer means that another engine has the address.
	WrongServer
	// Refused means that the engine could not interpret the order.
	Refused
	// NotSent means that no part of the order was sent.
	NotSent
	// Unknown means that there was no answer.
	Unknown
)

// String returns the name of the outcome for logs.
func (o Outcome) String() string {
	return [...]string{
		"accepted", "held", "conflict", "fenced", "wrongServer", "refused", "notSent", "unknown",
	}[o]
}

// Report is the state that an engine reports on request. It may be out of date
// by a moment.
type Report struct {
	Engine roster.Engine
	// Sequence is the number of orders that this run of the engine has
	// accepted.
	Sequence uint64
}

// EngineClient sends orders to engines and reads their reports.
type EngineClient interface {
	// Order sends an order once. The error gives details of the outcome.
	Order(ctx context.Context, server *roster.Server, order Order) (Outcome, error)
	Report(ctx context.Context, server *roster.Server) (Report, error)
}
