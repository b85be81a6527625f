package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/guavatrack/guavatrack/internal/poison"
	"github.com/guavatrack/guavatrack/internal/retry"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Call is one request on its way to a backend server. The exported fields are
// set before [Dispatcher.Do].
type Call struct {
	// Context ends when the caller leaves or the deadline passes.
	Context  context.Context //nolint:containedctx // a Call lives as long as its request
	ID       fleet.RequestID
	Started  time.Time
	Deadline time.Time
	// Objective is by when the answer should begin; zero if there is no such
	// time.
	Objective time.Time
	Caller    fleet.CallerID
	// Item is what a server must hold to run the call; empty for calls of plain
	// services.
	Item fleet.Item
	// Pool is the set of servers that may run the call.
	Pool fleet.PoolID
	// Rank orders calls of different urgency, the most urgent being 0.
	Rank int
	// Concurrency is the number of calls of the item that a replica runs at
	// once, for estimates while there is none.
	Concurrency int
	// StartBy is when the caller gives up if no byte of an answer has come; zero
	// if it waits until the deadline.
	StartBy time.Time
	// Work is how much longer than others the call takes; 0 means 1.
	Work float64
	// Tokens is the room that the call needs in a server's key-value cache.
	Tokens int
	// Idempotent says that the call may run more than once.
	Idempotent bool
	// MaxAttempts bounds the servers that the call is sent to; 0 leaves it to
	// the retry policy.
	MaxAttempts int
	// Hedge says that the call may run at two servers at once.
	Hedge bool
	// Stream says that the answer comes piece by piece, so that its first byte
	// says nothing about its end.
	Stream bool
	// Digest names the content, Prefix the start of the prompt; 0 if none.
	Digest poison.Digest
	Prefix uint64
	// Message is the call on the wire.
	Message Message

	// alone says that the call must run apart from others.
	alone bool
	// failed lists the attempts that failed.
	failed []retry.Attempt
	lane   *lane
	slot   *slot
	// sent counts the attempts of which any byte may have reached a server and
	// that are not known to have been turned away.
	sent atomic.Int32
	// begun is set before the first byte goes to the caller.
	begun atomic.Bool
}

// Sent reports whether the call may have run or may still run.
func (c *Call) Sent() bool { return c.sent.Load() > 0 }

// Begin notes that the first byte of an answer goes to the caller.
func (c *Call) Begin() { c.begun.Store(true) }

// Begun reports whether the caller has got a part of an answer.
func (c *Call) Begun() bool { return c.begun.Load() }

// Left returns the time until the deadline.
func (c *Call) Left() time.Duration { return time.Until(c.Deadline) }

// Attempts returns the number of attempts that failed.
func (c *Call) Attempts() int { return len(c.failed) }

// Message is the edge's side of a call: how it is sent and what becomes of the
// answer.
type Message interface {
	// Open sends the call to the server of the attempt and reads the answer as
	// far as its first piece, or whole if it does not come in pieces. It calls
	// [Attempt.Sending] before the first byte goes out. Nothing reaches the
	// caller yet, since another attempt may be faster.
	Open(ctx context.Context, attempt *Attempt) (Answer, error)
	// Resumable reports whether an answer that the caller has a part of can go
	// on from another server.
	Resumable() bool
}

// Answer is an answer that has begun.
type Answer interface {
	// Relay passes the answer to the caller and returns nil when the caller has
	// it whole.
	Relay() error
	// Close ends the exchange with the server, whatever is left of it.
	Close()
}

// FailureError is the error of an attempt whose kind the edge knows. Any other error
// of an attempt that was sent is a broken connection.
type FailureError struct {
	Kind retry.Failure
	// NotRun says that the server has proved not to have run the call and that
	// it never will.
	NotRun bool
	Err    error
}

// Error implements error.
func (f *FailureError) Error() string { return f.Err.Error() }

// Unwrap returns the cause.
func (f *FailureError) Unwrap() error { return f.Err }

// Attempt is one exchange with one backend server.
type Attempt struct {
	Replica Replica
	// Fresh asks for a new connection.
	Fresh bool

	slot *slot
	// progress counts the reads that brought something.
	progress atomic.Uint64
	ctx      context.Context //nolint:containedctx // an attempt lives as long as its context
	cancel   context.CancelCauseFunc
	answer   Answer
	err      error
}

func newAttempt(parent context.Context, taken *slot) *Attempt {
	a := &Attempt{Replica: taken.replica, Fresh: taken.fresh, slot: taken}
	a.ctx, a.cancel = context.WithCancelCause(parent)
	return a
}

// Sending notes that bytes of the call may reach the server from now on.
func (a *Attempt) Sending() {
	if a.slot.sent.CompareAndSwap(false, true) {
		a.slot.call.sent.Add(1)
	}
}

// Received notes that bytes of the answer have come.
func (a *Attempt) Received(count int) {
	a.progress.Add(1)
	a.slot.bytes.Add(int64(count))
}

// Load notes what the server says of its load with an answer, this call
// included: the calls that it runs and that wait there.
func (a *Attempt) Load(running, queued int) { a.slot.server.loaded(time.Now(), running+queued) }

// Sized notes the bytes of the call itself.
func (a *Attempt) Sized(count int) { a.slot.bytes.Add(int64(count)) }

// close ends the exchange. It does not give the slot back.
func (a *Attempt) close(cause error) {
	a.cancel(cause)
	if a.answer != nil {
		a.answer.Close()
	}
}
