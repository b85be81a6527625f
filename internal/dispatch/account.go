package dispatch

import (
	"context"

	"github.com/go-faster/errors"
)

// Account is the quota of an organisation, as one call sees it.
type Account interface {
	// Admit fails with a refusal if a call of so many tokens is known not to get them
	// soon. It does not block and takes none.
	Admit(tokens int) error
	// Spend takes tokens for an attempt that is about to be sent. It may wait a short
	// time and fails with a refusal if it gets none.
	Spend(ctx context.Context, tokens int) error
	// Refund gives back the tokens of an attempt that no server has run.
	Refund(tokens int)
}

// spend takes the tokens of the attempt from the account of the call, right before it is sent.
func (a *Attempt) spend() error {
	call := a.slot.call
	if call.Account == nil {
		return nil
	}
	err := call.Account.Spend(a.ctx, call.Charge)
	a.charged = err == nil
	return err
}

// refund gives the tokens of a failed attempt back if no server has run it.
func (a *Attempt) refund() {
	var failure *FailureError
	notRun := !a.slot.sent.Load() || errors.As(a.err, &failure) && failure.NotRun
	if a.charged && notRun {
		a.charged = false
		a.slot.call.Account.Refund(a.slot.call.Charge)
	}
}
