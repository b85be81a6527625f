package retry

import (
	"math/rand/v2"
	"time"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Failure says how an attempt ended without a whole answer.
type Failure int

// Failures of an attempt.
const (
	// Unreachable says that no connection could be made. Nothing was sent.
	Unreachable Failure = iota
	// Declined says that the server answered that it does not take the
	// request, for example because it is overloaded.
	Declined
	// Absent says that the server answered that it does not hold the item.
	Absent
	// Broken says that the connection broke.
	Broken
	// SilentConnection says that nothing came over the connection although the
	// server answers over a new one.
	SilentConnection
	// SilentServer says that the server does not answer over a new connection
	// either.
	SilentServer
	// Crashed says that the server's process has ended.
	Crashed
	// Crossed says that the connection brought pieces of another answer.
	Crossed
	// Faulty says that the server answered with an error of its own.
	Faulty
)

// String returns the name of the failure in logs.
func (f Failure) String() string {
	names := [...]string{
		"unreachable", "declined", "absent", "broken", "silentConnection", "silentServer", "crashed", "crossed", "faulty",
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
	// Base is the bound of the first pause; it doubles with each attempt up to
	// Longest.
	Base, Longest time.Duration
}

// Default is the policy of a node.
var Default = Policy{MaxAttempts: 12, Base: 25 * time.Millisecond, Longest: time.Second}

// State is what the decision on one call depends on.
type State struct {
	Now, Deadline time.Time
	Idempotent    bool
	// Sent says whether any byte may have reached a server.
	Sent bool
	// Resumable says whether an answer that has begun can go on elsewhere.
	Resumable bool
	// Failed lists the attempts so far, the last one last.
	Failed []Attempt
}

// Decision is what follows a failed attempt.
type Decision struct {
	// Again says that there is to be another attempt, after the pause.
	Again bool
	Pause time.Duration
	// SameServer says that only the connection is suspected, so that the same
	// server is to be asked over a new one.
	SameServer bool
}

// Next decides on a call whose last attempt failed.
func (p Policy) Next(state State, budget *Budget, random *rand.Rand) Decision {
	last := state.Failed[len(state.Failed)-1]
	switch {
	case state.Sent && !state.Idempotent, !state.Resumable, len(state.Failed) >= p.MaxAttempts:
		return Decision{}
	case !state.Now.Before(state.Deadline), !budget.Spend(state.Now):
		return Decision{}
	}
	decision := Decision{Again: true, SameServer: last.Failure == SilentConnection && !p.repeated(state.Failed)}
	if len(state.Failed) > 1 || last.Failure == Declined || last.Failure == Faulty {
		decision.Pause = p.pause(len(state.Failed), random)
	}
	if !state.Now.Add(decision.Pause).Before(state.Deadline) {
		return Decision{}
	}
	return decision
}

// repeated reports whether the last server's connections were silent twice in a
// row, after which the server itself is suspected.
func (p Policy) repeated(failed []Attempt) bool {
	if len(failed) < 2 {
		return false
	}
	last, before := failed[len(failed)-1], failed[len(failed)-2]
	return before.Server == last.Server && before.Failure == SilentConnection
}

// pause returns a pause with full jitter.
func (p Policy) pause(attempts int, random *rand.Rand) time.Duration {
	bound := min(p.Base<<min(attempts-1, 16), p.Longest)
	return time.Duration(random.Int64N(int64(bound) + 1))
}
