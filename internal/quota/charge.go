package quota

import (
	"context"
	"slices"
	"sync"

	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// organisationAccount is the account of an organisation as one call sees it.
type organisationAccount struct {
	controller   *Controller
	organisation fleet.OrganisationID
}

var _ dispatch.Account = (*organisationAccount)(nil)

// Admit implements [dispatch.Account].
func (a *organisationAccount) Admit(tokens int) error {
	c := a.controller
	now := c.Clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	held := c.wallet(a.organisation)
	// While no owner answers, a call would only wait in vain for its tokens.
	noOwner := c.failedAsks > 0 && now-c.failedSince >= maxOwnerWait
	if (noOwner || now < held.overUntil) && held.available(now) < Tokens(tokens) {
		return c.noTokens(held, Tokens(tokens))
	}
	return nil
}

// Spend implements [dispatch.Account].
func (a *organisationAccount) Spend(ctx context.Context, tokens int) (dispatch.Charge, error) {
	need := min(Tokens(tokens), maxAmount)
	result := a.controller.spend(ctx, a.organisation, need)
	if result.err != nil {
		return nil, result.err
	}
	return &charge{controller: a.controller, organisation: a.organisation, tokens: need, spent: result.spent}, nil
}

// charge is the tokens of one attempt.
type charge struct {
	controller   *Controller
	organisation fleet.OrganisationID
	tokens       Tokens

	mu    sync.Mutex
	spent []credit
}

var _ dispatch.Charge = (*charge)(nil)

// Renew implements [dispatch.Charge].
func (a *charge) Renew() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock()
	if !slices.ContainsFunc(a.spent, func(spent credit) bool { return now >= spent.expires }) {
		return true
	}
	spent, enough := c.wallet(a.organisation).take(now, a.tokens)
	if enough {
		a.refund()
		a.spent = spent
	}
	return enough
}

// Refund implements [dispatch.Charge]. What has lapsed is not given back.
func (a *charge) Refund() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.controller.mu.Lock()
	defer a.controller.mu.Unlock()
	a.refund()
}

// refund puts the tokens back. The caller holds both locks.
func (a *charge) refund() {
	held := a.controller.wallet(a.organisation)
	for _, spent := range a.spent {
		held.add(spent)
	}
	a.spent = nil
}

// spend takes tokens for an attempt, and waits for them if this node has too few.
func (c *Controller) spend(ctx context.Context, id fleet.OrganisationID, need Tokens) spendResult {
	now := c.Clock()
	c.mu.Lock()
	held := c.wallet(id)
	if len(held.waiting) == 0 {
		if spent, enough := held.take(now, need); enough {
			c.mu.Unlock()
			return spendResult{spent: spent}
		}
	}
	waiting := &spend{need: need, since: now, result: make(chan spendResult, 1)}
	held.waiting = append(held.waiting, waiting)
	c.mu.Unlock()
	c.wake.Notify()
	select {
	case result := <-waiting.result:
		return result
	case <-ctx.Done():
	}
	c.mu.Lock()
	removed := held.remove(waiting)
	c.mu.Unlock()
	if removed {
		return spendResult{err: context.Cause(ctx)}
	}
	return <-waiting.result
}
