package dispatch

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/pkg/refusal"
)

// Account is the quota of an organisation, as one call sees it.
type Account interface {
	// Admit fails with a refusal if a call of so many tokens is known not to get them
	// soon. It does not block and takes none.
	Admit(tokens int) error
	// Spend takes tokens for an attempt that is about to be sent. It may wait a short
	// time and fails with a refusal if it gets none.
	Spend(ctx context.Context, tokens int) (Charge, error)
}

// Charge is the tokens of one attempt.
type Charge interface {
	// Renew reports whether the attempt may be sent at this moment. Tokens that have lapsed
	// since they were taken are replaced if others are at hand.
	Renew() bool
	// Refund gives back the tokens of an attempt that no server has run.
	Refund()
}

// errLapsed is the refusal of an attempt whose tokens lapsed before it was sent: the process was
// suspended, or it took long to connect.
var errLapsed = &refusal.Refusal{
	Reason: refusal.NoServer, Message: "the tokens of the request lapsed before it was sent", RetryAfter: 100 * time.Millisecond,
}

// spend takes the tokens of the attempt from the account of the call, right before it is sent.
func (a *Attempt) spend() error {
	call := a.slot.call
	if call.Account == nil {
		return nil
	}
	var err error
	a.charge, err = call.Account.Spend(a.ctx, call.Charge)
	return err
}

// refund gives the tokens of a failed attempt back if no server has run it.
func (a *Attempt) refund() {
	var failure *FailureError
	notRun := !a.slot.sent.Load() || errors.As(a.err, &failure) && failure.NotRun
	if a.charge != nil && notRun {
		a.charge.Refund()
		a.charge = nil
	}
}

// renewCharge reports whether the tokens of the attempt are still valid. It ends the attempt if
// they are not.
func (a *Attempt) renewCharge() bool {
	if a.charge == nil || a.charge.Renew() {
		return true
	}
	a.cancel(errLapsed)
	return false
}
