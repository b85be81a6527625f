package quota

import (
	"context"
	"sync"

	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// charge is the account of an organisation as one call sees it.
type charge struct {
	controller   *Controller
	organisation fleet.OrganisationID

	mu sync.Mutex
	// spent holds what attempts of the call have spent.
	spent []credit
}

var _ dispatch.Account = (*charge)(nil)

// Admit implements [dispatch.Account].
func (a *charge) Admit(tokens int) error {
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
func (a *charge) Spend(ctx context.Context, tokens int) error {
	result := a.controller.spend(ctx, a.organisation, min(Tokens(tokens), maxAmount))
	a.mu.Lock()
	defer a.mu.Unlock()
	a.spent = append(a.spent, result.spent...)
	return result.err
}

// Refund implements [dispatch.Account]. What has lapsed is not given back.
func (a *charge) Refund(tokens int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	held := c.wallet(a.organisation)
	for left := Tokens(tokens); left > 0 && len(a.spent) > 0; {
		last := &a.spent[len(a.spent)-1]
		part := min(left, last.tokens)
		held.add(credit{tokens: part, expires: last.expires, grantedAt: last.grantedAt})
		left -= part
		if last.tokens -= part; last.tokens == 0 {
			a.spent = a.spent[:len(a.spent)-1]
		}
	}
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
