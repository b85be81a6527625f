package quota

import (
	"math"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/roster"
	"github.com/guavatrack/guavatrack/internal/tokenbucket"
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
	// minBurstTime is the time whose tokens a bucket can hold at least, minBurst the same as
	// an amount if tokens are counted: three of the largest usual requests. Less than that
	// is full too often while requests wait that are larger than what is there: 4,000 used
	// 0.81 of 4,200 a second with a burst of as much, 12,000 used 0.95.
	minBurstTime        = 250 * time.Millisecond
	minBurst     Tokens = 12_000
	// returnTime is how long after a grant its tokens may be given back. A request that comes
	// later, after a pause of the node, returns nothing.
	returnTime = 2 * CreditLifetime
	// forgetInterval is the time between two searches for what can be forgotten.
	forgetInterval = time.Second
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
	// forgotAt is when accounts were last searched for those that can be forgotten.
	forgotAt time.Duration
}

// account is the token bucket of an organisation, and what was granted lately.
type account struct {
	// quota is the one that was last in force.
	quota roster.Quota
	level tokenbucket.Bucket
	asOf  time.Duration
	// granted is what counts against the quota in force, all what counts against the highest
	// of the last window, highest, which is in force or was until highestUntil.
	granted, all window
	highest      float64
	highestUntil time.Duration
	// backlog are the tokens of refused requests, less what the quota has allowed since:
	// callers are told to return when their turn would be if they had waited in line.
	backlog float64
	// over is set while the organisation is over its quota, refusedAt when a node was last
	// refused tokens.
	over      bool
	refusedAt time.Duration
	// outstanding is what each node was granted within returnTime and has not given back, the
	// earliest grant first.
	outstanding map[fleet.NodeID][]outstanding
}

// outstanding are tokens that were granted to a node at a time.
type outstanding struct {
	tokens    Tokens
	grantedAt time.Duration
}

// Open starts the ledger of a new owner. What was granted before is unknown.
func (l *Ledger) Open(now time.Duration) {
	l.accounts, l.openedAt, l.forgotAt = make(map[fleet.OrganisationID]*account), now, now
}

func (l *Ledger) window() time.Duration {
	if l.Window > 0 {
		return l.Window
	}
	return DefaultWindow
}

// capacity returns how many tokens the bucket of a quota can hold.
func capacity(quota *roster.Quota) float64 {
	least := float64(minBurst)
	if quota.PerRequest {
		least = 1
	}
	return max(quota.Burst, quota.PerSecond*minBurstTime.Seconds(), least)
}

// mostInWindow returns the number of tokens that a quota allows in a window.
func (l *Ledger) mostInWindow(quota *roster.Quota) float64 {
	return quota.PerSecond*l.window().Seconds() + quota.Burst
}

// account returns the account of an organisation, filled up to now.
func (l *Ledger) account(now time.Duration, id fleet.OrganisationID, quota *roster.Quota) *account {
	l.forget(now)
	a := l.accounts[id]
	if a == nil {
		a = &account{asOf: l.openedAt, quota: *quota, outstanding: make(map[fleet.NodeID][]outstanding)}
		a.granted.fill(l.openedAt, l.window()+CreditLifetime, quota)
		a.all.fill(l.openedAt, l.window()+CreditLifetime, quota)
		l.accounts[id] = a
	}
	if elapsed := now - a.asOf; elapsed > 0 {
		a.backlog = max(0, a.backlog-a.level.Fill(elapsed, quota.PerSecond, capacity(quota)))
		a.asOf = now
	}
	a.granted.advance(now)
	a.all.advance(now)
	l.follow(now, a, quota)
	return a
}

// follow puts a quota in force that may have changed.
func (l *Ledger) follow(now time.Duration, a *account, quota *roster.Quota) {
	switch most := l.mostInWindow(quota); {
	case most >= a.highest || now >= a.highestUntil && l.mostInWindow(&a.quota) == most:
		a.highest = most
	case l.mostInWindow(&a.quota) > most:
		a.highestUntil = now + a.all.span + slotTime
	}
	if quota.PerSecond < a.quota.PerSecond || quota.Burst < a.quota.Burst {
		// The lower limit binds from now on. Grants under the higher one would else leave
		// nothing of the lower one for a whole window.
		a.granted.clamp(quota.PerSecond * slotTime.Seconds())
	}
	a.quota = *quota
}

// forget drops accounts that a new one would equal, and records of grants that can no longer
// be given back.
func (l *Ledger) forget(now time.Duration) {
	if now-l.forgotAt < forgetInterval {
		return
	}
	l.forgotAt = now
	for id, a := range l.accounts {
		for node := range a.outstanding {
			a.dropOld(now, node)
		}
		quota := a.quota
		idle := now - a.asOf
		isFull := a.level.Missing(capacity(&quota)) <= idle.Seconds()*quota.PerSecond && (now-l.openedAt).Seconds()*quota.PerSecond >= capacity(&quota)
		if isFull && idle > a.granted.span+slotTime && a.backlog <= idle.Seconds()*quota.PerSecond {
			delete(l.accounts, id)
		}
	}
}

// dropOld drops the records of grants to a node that can no longer be given back.
func (a *account) dropOld(now time.Duration, node fleet.NodeID) {
	kept := a.outstanding[node]
	for len(kept) > 0 && now-kept[0].grantedAt > returnTime {
		kept = kept[1:]
	}
	if len(kept) == 0 {
		delete(a.outstanding, node)
		return
	}
	a.outstanding[node] = kept
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
	room := min(l.mostInWindow(quota)-a.granted.sum, a.highest-a.all.sum)
	// A request that is larger than the bucket takes it into debt: it would else never run.
	if required := min(float64(need), capacity(quota)); a.level.Missing(required) > 0 || room < float64(need) {
		grant.RetryIn = a.readyIn(now, required, l.mostInWindow(quota)-float64(need), quota.PerSecond)
		grant.Began, a.over, a.refusedAt = !a.over, true, now
		return grant, nil
	}
	spare := math.Floor(min(float64(a.level), room))
	grant.Tokens = max(need, Tokens(min(float64(want), max(spare, 0))))
	a.level.Take(float64(grant.Tokens))
	a.granted.add(float64(grant.Tokens))
	a.all.add(float64(grant.Tokens))
	a.recordGrant(now, node, grant.Tokens)
	if a.over && now-a.refusedAt > overRetention {
		grant.Ended, a.over = true, false
	}
	return grant, nil
}

// readyIn returns the time until a need may be met: until the bucket holds what is required
// besides the backlog, and no more than most is left in the window.
func (a *account) readyIn(now time.Duration, required, most, perSecond float64) time.Duration {
	missing := min(a.level.Missing(required)+a.backlog, perSecond*a.granted.span.Seconds())
	return max(tokenbucket.FillTime(missing, perSecond), a.granted.roomIn(now, most), slotTime)
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
	a.dropOld(now, node)
	a.outstanding[node] = append(a.outstanding[node], outstanding{tokens: tokens, grantedAt: now})
}

// GiveBack takes back tokens that a node was granted at a time and will not spend. They count
// in the window no more, but don't fill the bucket: that may have been full since. It fails
// with [ErrInvalidAmount] or [ErrNotGranted].
func (l *Ledger) GiveBack(
	now time.Duration, node fleet.NodeID, id fleet.OrganisationID, quota *roster.Quota, grantedAt time.Duration, tokens Tokens,
) error {
	if tokens < 0 || tokens > maxAmount {
		return errors.Wrapf(ErrInvalidAmount, "organisation %q: %d given back", id, tokens)
	}
	a := l.account(now, id, quota)
	a.dropOld(now, node)
	at := slices.IndexFunc(a.outstanding[node], func(o outstanding) bool { return o.grantedAt == grantedAt && o.tokens >= tokens })
	if at < 0 {
		return errors.Wrapf(ErrNotGranted, "organisation %q: %d given back", id, tokens)
	}
	a.outstanding[node][at].tokens -= tokens
	a.granted.subtract(float64(tokens), grantedAt)
	a.all.subtract(float64(tokens), grantedAt)
	return nil
}
