package retry

import (
	"math/rand/v2"
	"time"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Failure is the way in which an attempt ended without a complete answer.
type Failure int

// Failures of an attempt.
const (
	// Unreachable means that no connection could be made. Nothing was sent.
	Unreachable Failure = iota
	// Declined means that the server answered that it does not accept the
	// request, for example because it is overloaded.
	Declined
	// ItemNotLoaded means that the server answered that it does not hold the
	// item.
	ItemNotLoaded
	// ConnectionLost means that the connection was lost.
	ConnectionLost
	// SilentConnection means that no data arrived over the connection although
	// the server answers over a new one.
	SilentConnection
	// SilentServer means that the server does not answer over a new connection
	// either.
	SilentServer
	// Crashed means that the server's process has ended.
	Crashed
	// ResponseMismatch means that the connection delivered parts of another
	// answer.
	ResponseMismatch
	// ServerError means that the server answered with an error of its own.
	ServerError
	// Occupied means that nothing was sent because the server is kept for another
	// request for a while.
	Occupied
)

// String returns the name of the failure as it is logged.
func (f Failure) String() string {
	names := [...]string{
		"unreachable", "declined", "absent", "broken", "silentConnection", "silentServer", "crashed", "crossed", "faulty",
		"occupied",
	}
	if f < 0 || int(f) >= len(names) {
		return "unknown"
	}
	return names[f]
}

// Attempt is one attempt that failed.
type Attempt struct {
	Server  fleet.ServerID
	Domain  fleet.FailureDomain
	Failure Failure
}

// Policy decides what follows a failed attempt.
type Policy struct {
	// MaxAttempts bounds the attempts of one call.
	MaxAttempts int
	// BaseBackoff is the upper bound of the first backoff. The bound doubles
	// with each attempt, up to MaxBackoff.
	BaseBackoff, MaxBackoff time.Duration
}

// DefaultPolicy is the retry policy of a node.
var DefaultPolicy = Policy{MaxAttempts: 12, BaseBackoff: 25 * time.Millisecond, MaxBackoff: time.Second}

// State is the state of one call that the decision depends on.
type State struct {
	Now, Deadline time.Time
	Idempotent    bool
	// Sent reports whether any byte of the request may have reached a server.
	Sent bool
	// Resumable reports whether no answer has begun, or one that has begun can
	// be continued by another attempt.
	Resumable bool
	// FailedAttempts lists the failed attempts so far, oldest first.
	FailedAttempts []Attempt
}

// Decision is what follows a failed attempt.
type Decision struct {
	// Retry reports whether to make another attempt, after Backoff.
	Retry   bool
	Backoff time.Duration
	// SameServer reports that only the connection is suspected, so that the
	// next attempt goes to the same server over a new connection.
	SameServer bool
}

// Next returns what follows the last failed attempt of a call. It withdraws an
// attempt from the budget for a retry, unless nothing was sent to an occupied server.
func (p Policy) Next(state State, budget *Budget, random *rand.Rand) Decision {
	last := state.FailedAttempts[len(state.FailedAttempts)-1]
	switch {
	case state.Sent && !state.Idempotent, !state.Resumable, p.exhausted(state.FailedAttempts):
		return Decision{}
	case !state.Now.Before(state.Deadline), last.Failure != Occupied && !budget.Withdraw(state.Now):
		return Decision{}
	}
	decision := Decision{Retry: true, SameServer: last.Failure == SilentConnection && !p.silentTwice(state.FailedAttempts)}
	if len(state.FailedAttempts) > 1 || last.Failure == Declined || last.Failure == ServerError || last.Failure == Occupied {
		decision.Backoff = p.backoff(len(state.FailedAttempts), random)
	}
	if !state.Now.Add(decision.Backoff).Before(state.Deadline) {
		return Decision{}
	}
	return decision
}

// exhausted reports whether no further attempt is allowed. Attempts at an occupied server, to
// which nothing was sent, count only towards the bound of [DefaultPolicy].
func (p Policy) exhausted(failed []Attempt) bool {
	occupied := 0
	for _, attempt := range failed {
		if attempt.Failure == Occupied {
			occupied++
		}
	}
	return len(failed)-occupied >= p.MaxAttempts || len(failed) >= max(p.MaxAttempts, DefaultPolicy.MaxAttempts)
}

// silentTwice reports whether the attempt before the last was at the same
// server and over a silent connection. After a second silent connection the
// server itself is suspected.
func (p Policy) silentTwice(failed []Attempt) bool {
	if len(failed) < 2 {
		return false
	}
	last, previous := failed[len(failed)-1], failed[len(failed)-2]
	return previous.Server == last.Server && previous.Failure == SilentConnection
}

// backoff returns an exponential backoff with full jitter.
func (p Policy) backoff(attempts int, random *rand.Rand) time.Duration {
	bound := min(p.BaseBackoff<<min(attempts-1, 16), p.MaxBackoff)
	return time.Duration(random.Int64N(int64(bound) + 1))
}
