package dispatch

import (
	"context"
	"log/slog"
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

// Causes of an attempt that was not made because the server changed while its trial was
// awaited.
var (
	errReplacedProcess = errors.New("another process has replaced the server")
	errItemGone        = errors.New("the server no longer holds the item")
)

// checkPoison refuses requests that crash backend servers, or share a part with such, and
// marks those as exclusive that are suspected of it.
func (d *Dispatcher) checkPoison(call *Call) error {
	finding := d.judge(call)
	if finding.Verdict == poison.Refuse {
		return poisonRefusal(finding.Until)
	}
	return nil
}

// judge sets whether a call must run exclusively, according to its content and the parts
// of its prompt, and logs if it must not run.
func (d *Dispatcher) judge(call *Call) poison.Finding {
	finding := d.poison.Check(call.Digest, call.Parts)
	call.exclusive = finding.Verdict == poison.Exclusive
	call.suspect = finding.Digest
	if finding.Verdict == poison.Refuse {
		d.logRefusal(call, finding)
	}
	return finding
}

// logRefusal logs that a call must not run, with the crashes and the trial that it is due to.
func (d *Dispatcher) logRefusal(call *Call, finding poison.Finding) {
	notice := finding.Notice
	d.Log.LogAttrs(context.Background(), slog.LevelWarn, "request refused for crashes",
		slog.String("request", string(call.ID)), slog.String("digest", string(finding.Digest)),
		slog.Int("crashes", finding.Crashes), slog.Duration("for", time.Until(finding.Until)),
		slog.Any("evidence", notice.Evidence()), slog.Time("lastSuccess", notice.ClearedAt),
		slog.String("trialAt", string(notice.Trial.Server)), slog.Time("trialUntil", notice.Trial.Deadline))
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
	finding := d.judge(call)
	if finding.Verdict != poison.Refuse {
		return nil
	}
	return &refusal.Refusal{
		Reason: refusal.CrashedServers, Message: "backend servers crashed while they ran the request",
		RetryAfter: max(time.Second, time.Until(finding.Until)),
	}
}

// checkBeforeSend checks a call right before each attempt, since it may have waited while
// a part of its prompt was found to crash servers, or until the node would cut it off.
func (d *Dispatcher) checkBeforeSend(call *Call) error {
	if err := d.checkStop(call); err != nil {
		return err
	}
	if call.Sent() {
		return d.recheckPoison(call)
	}
	return d.checkPoison(call)
}

// recordAnswered records that a request was answered: it clears the request and the parts of
// its prompt.
func (d *Dispatcher) recordAnswered(call *Call, began time.Time) {
	d.poison.RecordCompletion(began, call.Digest, call.Parts)
	if call.exclusive {
		digest, ctx := call.Digest, context.WithoutCancel(call.Context)
		d.background.Go(func() { d.poison.RecordSuccess(ctx, digest) })
	}
}

// clearBegun clears a request and the parts of its prompt once its answer has been written for
// longer than it takes to crash a server: a stream may last for long.
func (d *Dispatcher) clearBegun(a *Attempt) (stop func()) {
	call := a.slot.call
	if !call.Stream {
		return func() {}
	}
	began := a.slot.answered()
	timer := time.AfterFunc(crashWindow, func() { d.poison.RecordCompletion(began, call.Digest, call.Parts) })
	return func() { timer.Stop() }
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
	isNew := taken.server.recordCrash(time.Now(), taken.replica.Boot, func(runs []poison.Run) {
		if !d.isDraining(taken) {
			d.poison.RecordCrash(taken.replica.Server, taken.replica.Boot, runs)
		}
	})
	if isNew && taken.replica.Boot != "" {
		d.checkReturn(taken.replica)
	}
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
// it is sent no new ones, and then requests a trial of the digest that the call
// is suspected for. The trial ends with the call.
func (d *Dispatcher) beginTrial(ctx context.Context, taken *slot, digest poison.Digest) error {
	waitUntil := time.Now().Add(min(exclusiveMaxWait, taken.call.TimeLeft()/exclusiveWaitDivisor))
	for taken.server.runningCount() > 1 && time.Now().Before(waitUntil) {
		if !wait.For(ctx, exclusivePollInterval) {
			return errNoExclusiveServer
		}
	}
	verdict, until := d.poison.BeginTrial(ctx, digest, poison.Trial{
		Server: taken.replica.Server, Boot: taken.replica.Boot, Deadline: taken.call.Deadline, Parts: taken.call.Parts,
	})
	switch verdict {
	case poison.Refuse:
		d.logRefusal(taken.call, d.poison.TrialRefusal(digest, until))
		return poisonRefusal(until)
	case poison.Exclusive:
		context.AfterFunc(ctx, func() { d.poison.EndTrial(digest) })
	case poison.Occupied:
		return &FailureError{Kind: retry.Occupied, Err: errTrialOfAnother}
	case poison.Unrestricted:
	}
	return nil
}

// checkUnchanged fails if the run of the server's process that a slot was taken at is no
// longer listed with the item: the process that takes connections there now may have
// another software version.
func (d *Dispatcher) checkUnchanged(taken *slot) error {
	for _, replica := range d.Directory.Replicas(taken.call.Item, taken.call.Pool) {
		switch {
		case replica.Server != taken.replica.Server:
		case replica.Boot != taken.replica.Boot || replica.Software != taken.replica.Software:
			return &FailureError{Kind: retry.Crashed, Err: errReplacedProcess}
		default:
			return nil
		}
	}
	return &FailureError{Kind: retry.ItemNotLoaded, Err: errItemGone}
}
