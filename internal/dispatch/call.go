package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/guavatrack/guavatrack/internal/poison"
	"github.com/guavatrack/guavatrack/internal/retry"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Call is one request to be run by a backend server. The exported fields are
// set before [Dispatcher.Do].
type Call struct {
	// Context is cancelled when the caller disconnects or the deadline passes.
	Context  context.Context //nolint:containedctx // a Call lives as long as its request
	ID       fleet.RequestID
	Started  time.Time
	Deadline time.Time
	// Objective is the time by which the answer should start; zero if none is
	// set.
	Objective time.Time
	Caller    fleet.CallerID
	// Item is the model or adapter that a server must have loaded to run the
	// call; empty for calls of plain services.
	Item fleet.Item
	// Pool is the set of servers that may run the call.
	Pool fleet.PoolID
	// Rank is the priority class of the call; 0 is the most urgent.
	Rank int
	// Account is charged with Charge tokens for each attempt of the call; nil if the
	// caller's organisation has no quota.
	Account Account
	Charge  int
	// Concurrency is the number of calls of the item that a replica runs at
	// once. It is used for estimates while there is no replica.
	Concurrency int
	// StartBy is the time at which the caller gives up if it has received no
	// byte of the answer; zero if it waits until the deadline.
	StartBy time.Time
	// Work is the expected service time relative to an average call; 0 means 1.
	Work float64
	// Tokens is the number of tokens that the call occupies in a server's
	// key-value cache.
	Tokens int
	// Idempotent is set if the call may run more than once.
	Idempotent bool
	// MaxAttempts bounds the attempts of the call; 0 means the bound of the
	// retry policy.
	MaxAttempts int
	// Hedge is set if the call may run on two servers at once.
	Hedge bool
	// Stream is set if the answer is streamed, so that the time to its first
	// byte does not predict when it ends.
	Stream bool
	// Continued is set if the caller has received events of the answer with an earlier
	// request and asks for the rest. Resumes is the ID of the request that brought the
	// first event; empty if the caller does not name it.
	Continued bool
	Resumes   fleet.RequestID
	// Digest identifies the content of the request, Prefix the beginning of the
	// prompt; 0 if there is none.
	Digest poison.Digest
	Prefix uint64
	// Parts identifies the parts of the prompt that other requests may share, in order;
	// empty if they are unknown.
	Parts []poison.Digest
	// LastPart is the id of the last part of the prompt, which only requests of the same
	// session share; empty if it is unknown.
	LastPart string
	// Manifest is the version of the manifest by which the call is handled, 0 if there is
	// none; ManifestReadAge is how long ago, at the latest, the store held no newer one. Both
	// are logged only.
	Manifest        uint64
	ManifestReadAge time.Duration
	// Message encodes the call and forwards its answer.
	Message Message

	// exclusive is set if the call must run on a server without other calls of
	// this node, because its content is suspected of crashing servers.
	exclusive bool
	// suspect is the digest that exclusive is due to.
	suspect poison.Digest
	// failedAttempts lists the failed attempts, the last one last.
	failedAttempts []retry.Attempt
	// abandonedAttempts counts the attempts that were made beside another one, which went
	// on or answered first.
	abandonedAttempts int
	// software is the only software version at which the call may run; nil if any may.
	software atomic.Pointer[fleet.SoftwareVersion]
	// share is the share of the caller in wait queues; 0 as long as it is not set. surges is
	// set if the caller sends more than usual.
	share  float64
	surges bool
	queue  *waitQueue
	slot   *slot
	// arrivedAt is when the call was passed to the dispatcher.
	arrivedAt time.Time
	// sent counts the attempts of which any byte may have reached a server,
	// without those that the server is known not to have run.
	sent atomic.Int32
	// answerStarted is set before the first byte is sent to the caller.
	answerStarted atomic.Bool
}

// Sent reports whether the call may have run on a server or may still run.
func (c *Call) Sent() bool { return c.sent.Load() > 0 }

// MarkAnswerStarted records that the answer is about to be sent to the caller. The
// edge calls it before the first byte.
func (c *Call) MarkAnswerStarted() { c.answerStarted.Store(true) }

// AnswerStarted reports whether the caller may have received a part of the answer.
func (c *Call) AnswerStarted() bool { return c.answerStarted.Load() }

// TimeLeft returns the time remaining until the deadline.
func (c *Call) TimeLeft() time.Duration { return time.Until(c.Deadline) }

// Message is implemented by the edge. It sends a call to a server and forwards
// the answer.
type Message interface {
	// Open sends the call to the server of the attempt and reads the first piece
	// of a streamed answer, or the whole of any other answer. It calls
	// [Attempt.MarkSent] before it writes the first byte, and writes none if that
	// returns false. It must not send anything to the caller, since a concurrent attempt may answer first.
	Open(ctx context.Context, attempt *Attempt) (Answer, error)
	// Resumable reports whether an answer of which the caller has received a
	// part can be continued from another server.
	Resumable() bool
}

// Answer is an answer of which the first piece has been read.
type Answer interface {
	// Relay forwards the answer to the caller. It returns nil after the whole
	// answer has been forwarded.
	Relay() error
	// Close ends the exchange with the server and discards the rest of it.
	Close()
}

// FailureError is an error of an attempt with the kind of failure determined by
// the edge. Any other error of an attempt that was sent counts as a broken
// connection.
type FailureError struct {
	Kind retry.Failure
	// NotRun is set if the server's answer proves that it has not run the call
	// and will not run it later.
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
	// Fresh is set if the attempt must use a new connection.
	Fresh bool
	// Retry is set if an earlier attempt of the call has failed or is silent.
	Retry bool

	dispatcher *Dispatcher
	slot       *slot
	// progress counts the events and the pieces of progressBytes that were received.
	progress atomic.Uint64
	received atomic.Int64
	ctx      context.Context //nolint:containedctx // an attempt lives as long as its context
	cancel   context.CancelCauseFunc
	answer   Answer
	err      error
	// silence is the reason to end the attempt once another one answers; nil if it is
	// not silent.
	silence error
	// checkedProgress is the progress at the last check for silence.
	checkedProgress uint64
	// silentProgress is the progress at which it fell silent.
	silentProgress uint64
	// probing is set while the server is probed because the attempt makes no progress.
	probing bool
	// charge is what the account of the call was charged for it; nil if nothing.
	charge Charge
	// failedNumber is its position among the failed attempts of the call, from 1; 0 if
	// it is none of them.
	failedNumber int
}

func (d *Dispatcher) newAttempt(parent context.Context, taken *slot) *Attempt {
	a := &Attempt{
		Replica: taken.replica, Fresh: taken.fresh, Retry: len(taken.call.failedAttempts) > 0, dispatcher: d, slot: taken,
	}
	a.ctx, a.cancel = context.WithCancelCause(parent)
	return a
}

// MarkSent records that bytes of the call may reach the server from now on. It returns false if
// none may be sent, since the tokens of the attempt have lapsed.
func (a *Attempt) MarkSent() bool {
	if !a.slot.sent.Load() && !a.renewCharge() {
		return false
	}
	if a.slot.sent.CompareAndSwap(false, true) {
		a.slot.call.sent.Add(1)
	}
	return true
}

// progressBytes is the number of bytes that count as progress of an answer. A byte now
// and then does not: a server may stall without falling silent.
const progressBytes = 256

// AddReceived records that a read returned count bytes of the answer.
func (a *Attempt) AddReceived(count int) {
	total := a.received.Add(int64(count))
	if total/progressBytes != (total-int64(count))/progressBytes {
		a.progress.Add(1)
	}
	a.slot.bytes.Add(int64(count))
}

// AddEvent records that a whole event or the header of the answer was received.
func (a *Attempt) AddEvent() { a.progress.Add(1) }

// RecordLoad records the load that the server reported with its answer: the
// numbers of calls running and queued there, including this one.
func (a *Attempt) RecordLoad(running, queued int) {
	a.slot.server.recordLoad(time.Now(), a.slot, running+queued)
}

// RecordSlowdown records that the server reported with its answer how long work takes there
// now, relative to the usual. The number must be above 0.
func (a *Attempt) RecordSlowdown(factor float64) {
	a.dispatcher.pace.recordReport(a.slot.call.Pool)
	a.slot.server.recordSlowdown(time.Now(), factor)
}

// RecordLeaving records that the server reported with its answer that it leaves, so
// that it gets no further calls in this run of its process.
func (a *Attempt) RecordLeaving() {
	a.slot.server.recordLeaving(a.Replica.Boot)
	if a.dispatcher.leaveRecorder != nil {
		a.dispatcher.leaveRecorder.RecordLeaving(a.Replica.Server, a.Replica.Boot)
	}
}

// RecordRest records that the server declined the call and wants no requests of this
// node for a time.
func (a *Attempt) RecordRest(duration time.Duration) {
	a.dispatcher.RecordRest(a.Replica.Server, a.Replica.Boot, duration)
}

// AddRequestSize records the size of the request in bytes.
func (a *Attempt) AddRequestSize(count int) { a.slot.bytes.Add(int64(count)) }

// silent reports whether the attempt is known to be silent and has made no progress since.
func (a *Attempt) silent() bool { return a.silence != nil && a.progress.Load() == a.silentProgress }

// close ends the exchange with the server. It does not release the slot.
func (a *Attempt) close(cause error) {
	a.cancel(cause)
	if a.answer != nil {
		a.answer.Close()
	}
}
