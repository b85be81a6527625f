package quota

import (
	"math"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/roster"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Tokens is an amount of the unit in which a quota is counted.
type Tokens int64

// Errors of a [Ledger], to be tested with errors.Is.
var (
	ErrInvalidAmount = errors.New("amount of tokens is negative or beyond any request")
	ErrNotGranted    = errors.New("more tokens are given back than were granted")
)

const (
	// CreditLifetime is how long granted tokens may be spent, counted from when the node
	// asked for them.
	CreditLifetime = 500 * time.Millisecond
	// DefaultWindow is the window in which quotas are kept.
	DefaultWindow = 8 * time.Second
	// maxAmount is beyond what all requests of a node can want at once.
	maxAmount Tokens = 1e9
	// minBurstTime is the time whose tokens a bucket can hold at least.
	minBurstTime = 250 * time.Millisecond
	// overRetention is the time without a refusal after which an organisation counts as
	// within its quota again.
	overRetention = 2 * time.Second
)

// Ledger holds the accounts of the organisations. It does no I/O: times are arguments, read
// from a clock that includes suspension. Its exported fields are set before use.
type Ledger struct {
	// Window is the window in which quotas are kept; 0 means [DefaultWindow].
	Window time.Duration

	accounts map[fleet.OrganisationID]*account
	openedAt time.Duration
}

// account is the token bucket of an organisation, and what was granted lately.
type account struct {
	level   float64
	asOf    time.Duration
	granted window
	// backlog are the tokens of refused requests, less what the quota has allowed since:
	// callers are told to return when their turn would be if they had waited in line.
	backlog float64
	// over is set while the organisation is over its quota, refusedAt when a node was last
	// refused tokens.
	over      bool
	refusedAt time.Duration
	// outstanding is what each node has been granted lately.
	outstanding map[fleet.NodeID]outstanding
}

// outstanding are the tokens granted to a node that may not have lapsed before until.
type outstanding struct {
	tokens Tokens
	until  time.Duration
}

// Open starts the ledger of a new owner. What was granted before is unknown.
func (l *Ledger) Open(now time.Duration) {
	l.accounts, l.openedAt = make(map[fleet.OrganisationID]*account), now
}

func (l *Ledger) window() time.Duration {
	if l.Window > 0 {
		return l.Window
	}
	return DefaultWindow
}

// capacity returns how many tokens the bucket of a quota can hold.
func capacity(quota *roster.Quota) float64 {
	return max(quota.Burst, quota.PerSecond*minBurstTime.Seconds())
}

// mostInWindow returns the number of tokens that a quota allows in a window.
func (l *Ledger) mostInWindow(quota *roster.Quota) float64 {
	return quota.PerSecond*l.window().Seconds() + quota.Burst
}

// account returns the account of an organisation, filled up to now.
func (l *Ledger) account(now time.Duration, id fleet.OrganisationID, quota *roster.Quota) *account {
	a := l.accounts[id]
	if a == nil {
		a = &account{asOf: l.openedAt, outstanding: make(map[fleet.NodeID]outstanding)}
		a.granted.fill(l.openedAt, l.window()+CreditLifetime, quota)
		l.accounts[id] = a
	}
	if elapsed := now - a.asOf; elapsed > 0 {
		filled := elapsed.Seconds() * quota.PerSecond
		a.level, a.backlog, a.asOf = a.level+filled, max(0, a.backlog-filled), now
	}
	a.level = min(a.level, capacity(quota))
	a.granted.advance(now)
	return a
}

// Grant is the answer to a request for tokens.
type Grant struct {
	Tokens Tokens
	// RetryIn is the time until the smallest need may be met; 0 if tokens were granted.
	RetryIn time.Duration
	// Began and Ended report that the organisation is now over its quota, or within it again.
	Began, Ended bool
}

// Take grants a node up to want tokens, or none if there are fewer than need. It fails with
// [ErrInvalidAmount].
func (l *Ledger) Take(now time.Duration, node fleet.NodeID, id fleet.OrganisationID, quota *roster.Quota, need, want Tokens) (grant Grant, err error) {
	if need < 0 || want < need || want > maxAmount {
		return Grant{}, errors.Wrapf(ErrInvalidAmount, "organisation %q: need %d, want %d", id, need, want)
	}
	a := l.account(now, id, quota)
	room := l.mostInWindow(quota) - a.granted.sum
	// A request that is larger than the bucket takes it into debt: it would else never run.
	if required := min(float64(need), capacity(quota)); a.level < required || room < float64(need) {
		grant.RetryIn = a.readyIn(now, required, l.mostInWindow(quota)-float64(need), quota.PerSecond)
		grant.Began, a.over, a.refusedAt = !a.over, true, now
		return grant, nil
	}
	spare := math.Floor(min(a.level, room))
	grant.Tokens = max(need, Tokens(min(float64(want), max(spare, 0))))
	a.level -= float64(grant.Tokens)
	a.granted.add(float64(grant.Tokens))
	a.recordGrant(now, node, grant.Tokens)
	if a.over && now-a.refusedAt > overRetention {
		grant.Ended, a.over = true, false
	}
	return grant, nil
}

// readyIn returns the time until a need may be met: until the bucket holds what is required
// besides the backlog, and no more than most is left in the window.
func (a *account) readyIn(now time.Duration, required, most, perSecond float64) time.Duration {
	missing := max(0, required-a.level) + a.backlog
	filled := time.Duration(min(missing/perSecond, a.granted.span.Seconds()) * float64(time.Second))
	return max(filled, a.granted.roomIn(now, most), slotTime)
}

// Refused records that a node has refused requests of so many tokens. It fails with
// [ErrInvalidAmount].
func (l *Ledger) Refused(now time.Duration, id fleet.OrganisationID, quota *roster.Quota, tokens Tokens) error {
	if tokens < 0 || tokens > maxAmount {
		return errors.Wrapf(ErrInvalidAmount, "organisation %q: %d refused", id, tokens)
	}
	a := l.account(now, id, quota)
	a.backlog = min(a.backlog+float64(tokens), l.mostInWindow(quota))
	return nil
}

func (a *account) recordGrant(now time.Duration, node fleet.NodeID, tokens Tokens) {
	before := a.outstanding[node]
	if now > before.until {
		before.tokens = 0
	}
	a.outstanding[node] = outstanding{tokens: before.tokens + tokens, until: now + CreditLifetime}
}

// GiveBack takes back tokens that a node was granted about age ago and will not spend. It
// fails with [ErrInvalidAmount] or [ErrNotGranted].
func (l *Ledger) GiveBack(now time.Duration, node fleet.NodeID, id fleet.OrganisationID, quota *roster.Quota, tokens Tokens) error {
	if tokens < 0 || tokens > maxAmount {
		return errors.Wrapf(ErrInvalidAmount, "organisation %q: %d given back", id, tokens)
	}
	a := l.account(now, id, quota)
	before := a.outstanding[node]
	if now > before.until || tokens > before.tokens {
		return errors.Wrapf(ErrNotGranted, "organisation %q: %d given back", id, tokens)
	}
	before.tokens -= tokens
	a.outstanding[node] = before
	a.level = min(a.level+float64(tokens), capacity(quota))
	a.granted.subtract(float64(tokens), now-CreditLifetime)
	return nil
}
