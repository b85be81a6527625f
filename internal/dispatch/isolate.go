package dispatch

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/poison"
	"github.com/guavatrack/guavatrack/internal/retry"
	"github.com/guavatrack/guavatrack/internal/wait"
	"github.com/guavatrack/guavatrack/pkg/refusal"
)

// errNoExclusiveServer is the error of a suspected request for which the wait for
// a server without other requests was cut short.
var errNoExclusiveServer = errors.New("no server without other requests")

// errTrialOfAnother is the cause of an attempt that was not made because another
// suspected request is on trial on the server.
var errTrialOfAnother = errors.New("another suspected request is on trial on the server")

// checkPoison refuses requests that crash backend servers and marks those as
// exclusive that are suspected of it.
func (d *Dispatcher) checkPoison(call *Call) error {
	verdict, until := d.poison.Check(call.Digest)
	if verdict == poison.Refuse {
		return poisonRefusal(until)
	}
	call.exclusive = verdict == poison.Exclusive
	return nil
}

// poisonRefusal returns the refusal of a request whose content crashes servers.
func poisonRefusal(until time.Time) *refusal.Refusal {
	return &refusal.Refusal{
		Reason: refusal.Poisonous, Message: "requests of this content have crashed backend servers",
		RetryAfter: max(time.Second, time.Until(until)),
	}
}

// recheckPoison checks a call again after a failed attempt. It fails if the call
// must not run again because it has crashed servers.
func (d *Dispatcher) recheckPoison(call *Call) error {
	verdict, until := d.poison.Check(call.Digest)
	call.exclusive = verdict == poison.Exclusive
	if verdict != poison.Refuse {
		return nil
	}
	return &refusal.Refusal{
		Reason: refusal.CrashedServers, Message: "backend servers crashed while they ran the request",
		RetryAfter: max(time.Second, time.Until(until)),
	}
}

// clearSuspicion withdraws the suspicion against a request that was answered.
func (d *Dispatcher) clearSuspicion(call *Call) {
	if call.exclusive {
		digest, ctx := call.Digest, context.WithoutCancel(call.Context)
		d.background.Go(func() { d.poison.RecordSuccess(ctx, digest) })
	}
}

// probeTimeout is the timeout of a probe of a server over a new connection.
const probeTimeout = 500 * time.Millisecond

// detectCrash reports whether a server whose connection broke has crashed, and
// if so records the crash against the requests that ran on it. The end of a
// server that was draining is not recorded against any request.
func (d *Dispatcher) detectCrash(taken *slot) (crashed bool) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(taken.call.Context), probeTimeout)
	defer cancel()
	if !d.Prober.Crashed(ctx, taken.replica) {
		return false
	}
	taken.server.recordCrash(time.Now(), taken.replica.Boot, func(digests []poison.Digest) {
		if !d.isDraining(taken) {
			d.poison.RecordCrash(taken.replica.Server, taken.replica.Boot, digests)
		}
	})
	return true
}

// isDraining reports whether the slot's replica is marked as draining.
func (d *Dispatcher) isDraining(taken *slot) bool {
	for _, replica := range d.Directory.Replicas(taken.call.Item, taken.call.Pool) {
		if replica.Server == taken.replica.Server {
			return replica.Draining
		}
	}
	return false
}

// Timing of the wait until a server runs no other request.
const (
	exclusivePollInterval = 5 * time.Millisecond
	// exclusiveMaxWait bounds the wait, and so does the time left divided by
	// exclusiveWaitDivisor. Requests that still run there after the wait are not
	// blamed for a crash, since the trial has been recorded.
	exclusiveMaxWait     = 2 * time.Second
	exclusiveWaitDivisor = 3
)

// beginTrial waits until the server runs no other request of this node, while
// it is sent no new ones, and then requests a trial of the suspected call. The
// trial ends with the call.
func (d *Dispatcher) beginTrial(ctx context.Context, taken *slot) error {
	waitUntil := time.Now().Add(min(exclusiveMaxWait, taken.call.TimeLeft()/exclusiveWaitDivisor))
	for taken.server.runningCount() > 1 && time.Now().Before(waitUntil) {
		if !wait.For(ctx, exclusivePollInterval) {
			return errNoExclusiveServer
		}
	}
	digest := taken.call.Digest
	verdict, until := d.poison.BeginTrial(ctx, digest, poison.Trial{
		Server: taken.replica.Server, Boot: taken.replica.Boot, Deadline: taken.call.Deadline,
	})
	switch verdict {
	case poison.Refuse:
		return poisonRefusal(until)
	case poison.Exclusive:
		context.AfterFunc(ctx, func() { d.poison.EndTrial(digest) })
	case poison.Occupied:
		return &FailureError{Kind: retry.Occupied, Err: errTrialOfAnother}
	case poison.Unrestricted:
	}
	return nil
}
