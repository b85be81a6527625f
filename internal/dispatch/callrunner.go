package dispatch

import (
	"context"
	"log/slog"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/retry"
	"github.com/guavatrack/guavatrack/internal/wait"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/refusal"
)

// callRunner runs one call in one or more attempts.
type callRunner struct {
	*Dispatcher
	call *Call
	// silentConnections counts the connections of the call that were found
	// silent or brought pieces of another answer.
	silentConnections int
	// keptLogged is set once it was logged why a silent attempt is not replaced.
	keptLogged bool
}

// runCall sends a call to the replica that it was admitted to and forwards the
// answer. After a failure it retries as far as the call and the retry policy
// allow.
func (d *Dispatcher) runCall(call *Call) error {
	r := &callRunner{Dispatcher: d, call: call}
	d.creditBudgets(call)
	taken := call.slot
	for {
		err := r.runAttempt(taken)
		if err == nil {
			call.queue.recordServed(time.Since(taken.started), r.workAt(taken))
			return nil
		}
		if _, refused := refusal.As(err); refused || call.Context.Err() != nil || len(call.failedAttempts) == 0 {
			return err
		}
		if taken, err = r.nextSlot(err); err != nil {
			return err
		}
	}
}

// nextSlot decides whether a call is retried after a failed attempt and takes a
// slot for the retry. If there is to be none, it returns the error of the failed
// attempt, or a refusal. A stream that has begun ends with the error of the attempt, at
// once, if no server of its version is left.
func (r *callRunner) nextSlot(attemptErr error) (*slot, error) {
	call := r.call
	if err := r.recheckPoison(call); err != nil {
		return nil, err
	}
	last := call.failedAttempts[len(call.failedAttempts)-1]
	decision := r.retryDecision(call)
	if !decision.Retry {
		return nil, attemptErr
	}
	if err := r.checkVersion(call); err != nil {
		r.refundRetry(call)
		return nil, r.endWithoutSlot(attemptErr, err)
	}
	if err := r.checkStop(call); err != nil {
		r.refundRetry(call)
		return nil, err
	}
	r.meters.retries.Inc(1)
	if !wait.For(call.Context, decision.Backoff) {
		return nil, attemptErr
	}
	if decision.SameServer {
		if taken, found := r.retakeSlot(last.Server); found {
			return taken, nil
		}
	}
	taken, err := call.queue.acquire(call.Context, call)
	if err != nil {
		return nil, r.endWithoutSlot(attemptErr, err)
	}
	taken.fresh = last.Failure == retry.SilentConnection
	return taken, nil
}

// endWithoutSlot returns the error of a call that gets no slot for a retry: the reason for
// that, or the error of the failed attempt if that broke off a stream of which no server
// of its version is left.
func (r *callRunner) endWithoutSlot(attemptErr, reason error) error {
	if r.logAbsentVersion(r.call, reason) && r.call.AnswerStarted() {
		return attemptErr
	}
	return reason
}

// retakeSlot takes another slot, with a new connection, at the server whose
// connection was silent. It reports false if the server is no longer usable.
func (r *callRunner) retakeSlot(server fleet.ServerID) (*slot, bool) {
	for _, replica := range r.replicas(r.call) {
		if replica.Server == server && !r.servers.get(replica.Server).closedTo(time.Now(), replica.Boot) {
			taken, found := r.takeSlotAt(r.call, replica, time.Now(), "")
			if found {
				taken.fresh = true
			}
			return taken, found
		}
	}
	return nil, false
}

// runAttempt makes an attempt, with a hedge if the first byte is late, and
// forwards the answer. An attempt that is made beside a silent one continues its
// answer. Failed attempts are recorded in the call.
func (r *callRunner) runAttempt(taken *slot) error {
	next, err := r.race(taken)
	for next != nil {
		next, err = r.relay(next)
	}
	return err
}

// relay forwards the answer of an attempt. It returns the attempt that continues the
// answer, if one was made since this one is silent.
func (r *callRunner) relay(a *Attempt) (next *Attempt, err error) {
	r.call.restrictStream(a.Replica.Software)
	defer r.releaseSlot(a.slot)
	defer a.close(nil)
	if err := r.recordOrigin(a); err != nil {
		return nil, err
	}
	watch := r.watchForSilence(a)
	stopClearing := r.clearBegun(a)
	err = a.answer.Relay()
	stopClearing()
	next = watch.end(err)
	_, refused := refusal.As(err)
	switch {
	case err != nil && !refused && next != nil:
		return next, nil
	case next != nil:
		next.close(errNotNeeded)
		r.releaseSlot(next.slot)
	}
	switch {
	case refused:
		return nil, err
	case err != nil:
		a.err = err
		r.recordFailure(a)
		return nil, err
	}
	a.slot.server.recordSuccess(a.slot)
	r.recordAnswered(r.call, a.slot.answered())
	return nil, nil
}

// startAttempt starts an attempt in the background and sends it to results when
// its first byte has been received or it has failed.
func (r *callRunner) startAttempt(taken *slot, results chan<- *Attempt) *Attempt {
	a := r.newAttempt(r.call.Context, taken)
	if a.err = r.checkBeforeSend(r.call); a.err != nil {
		results <- a
		return a
	}
	r.meters.sends.Inc(1)
	r.Log.LogAttrs(a.ctx, slog.LevelInfo, "request sent",
		slog.String("request", string(r.call.ID)), slog.String("server", string(taken.replica.Server)),
		slog.String("software", string(taken.replica.Software)), slog.String("boot", string(taken.replica.Boot)),
		slog.String("item", taken.replica.Item.String()), slog.Int("attempt", len(r.call.failedAttempts)+1),
		slog.Duration("waited", taken.started.Sub(r.call.Started)),
		slog.Int("running", taken.replica.Running), slog.Int("queued", taken.replica.Queued),
		slog.Duration("reportAge", reportAge(taken.replica.AsOf, taken.started)))
	exclusive, suspect := r.call.exclusive, r.call.suspect
	go func() {
		if exclusive {
			a.err = r.beginTrial(a.ctx, taken, suspect)
		}
		if a.err == nil && exclusive {
			a.err = r.checkUnchanged(taken)
		}
		if a.err == nil && exclusive {
			a.err = r.checkStop(r.call)
		}
		if a.err == nil {
			a.err = a.spend()
		}
		if a.err == nil {
			taken.generation = r.poison.Generation(r.call.Digest)
			a.answer, a.err = r.call.Message.Open(a.ctx, a)
		}
		if a.err != nil && errors.Is(context.Cause(a.ctx), errLapsed) {
			a.err = errLapsed
		}
		if a.err == nil {
			now := time.Now()
			taken.recordAnswer(now)
			taken.server.recordAnswering(now)
		}
		results <- a
	}()
	return a
}

// reportAge returns the age of a load report; -1 if there was none.
func reportAge(asOf, now time.Time) time.Duration {
	if asOf.IsZero() {
		return -1
	}
	return now.Sub(asOf)
}

// failureKind classifies the error of an attempt. It does not distinguish a
// crashed server from a broken connection, which takes a probe of the server.
func (a *Attempt) failureKind() retry.Failure {
	var failure *FailureError
	switch cause := context.Cause(a.ctx); {
	case errors.Is(cause, ErrSilentConnection):
		return retry.SilentConnection
	case errors.Is(cause, ErrSilentServer):
		return retry.SilentServer
	case errors.As(a.err, &failure):
		return failure.Kind
	case !a.slot.sent.Load():
		return retry.Unreachable
	default:
		return retry.ConnectionLost
	}
}

// retractSent no longer counts the attempt as sent if the server's answer proves
// that it has not run the call.
func (a *Attempt) retractSent() {
	var failure *FailureError
	if errors.As(a.err, &failure) && failure.NotRun && a.slot.sent.Load() {
		a.slot.call.sent.Add(-1)
	}
}

// recordFailure records a failed attempt in the call and in the state of its
// server. An attempt that ended with a refusal, or because the context of the
// call ended, is not counted as a failure.
func (r *callRunner) recordFailure(a *Attempt) {
	a.retractSent()
	a.refund()
	now := time.Now()
	state := a.slot.server
	if errors.Is(r.call.Context.Err(), context.DeadlineExceeded) {
		state.recordDeclined(now, a.slot)
	}
	if _, refused := refusal.As(a.err); refused || r.call.Context.Err() != nil {
		state.recordAbandoned()
		r.checkUnanswered(a.slot)
		return
	}
	kind := a.failureKind()
	if kind == retry.ConnectionLost && r.detectCrash(a.slot) {
		kind = retry.Crashed
	}
	r.Log.LogAttrs(r.call.Context, slog.LevelWarn, "attempt failed",
		slog.String("request", string(r.call.ID)), slog.String("server", string(a.Replica.Server)),
		slog.String("failure", kind.String()), slog.Bool("sent", a.slot.sent.Load()),
		slog.Duration("after", now.Sub(a.slot.started)), slog.Any("error", a.err))
	r.addFailedAttempt(a, kind)
}

// recordSilence records an attempt that is silent but goes on.
func (r *callRunner) recordSilence(a *Attempt, kind retry.Failure) {
	r.Log.LogAttrs(r.call.Context, slog.LevelWarn, "attempt silent",
		slog.String("request", string(r.call.ID)), slog.String("server", string(a.Replica.Server)),
		slog.String("failure", kind.String()), slog.Duration("after", time.Since(a.slot.started)),
		slog.Uint64("events", a.progress.Load()))
	r.addFailedAttempt(a, kind)
}

// addFailedAttempt adds an attempt to the failed ones of the call, once, and records the
// failure in the state of its server.
func (r *callRunner) addFailedAttempt(a *Attempt, kind retry.Failure) {
	if a.failedNumber == 0 {
		r.call.failedAttempts = append(r.call.failedAttempts, retry.Attempt{
			Server: a.Replica.Server, Domain: a.Replica.FailureDomain,
		})
		a.failedNumber = len(r.call.failedAttempts)
	}
	r.call.failedAttempts[a.failedNumber-1].Failure = kind
	r.recordServerFailure(a, kind)
}

// recordServerFailure records a failure in the state of its server.
func (r *callRunner) recordServerFailure(a *Attempt, kind retry.Failure) {
	now, state := time.Now(), a.slot.server
	if r.slotObserver != nil && (kind == retry.Unreachable || kind == retry.Crashed || kind == retry.SilentServer) {
		r.slotObserver.ServerLost(&a.Replica, now)
	}
	switch kind {
	case retry.ItemNotLoaded:
		state.recordAbsent(now, a.slot)
	case retry.Unreachable:
		state.recordUnreachable(now)
	case retry.Declined:
		r.countStartRejection(a.slot)
		state.recordDeclined(now, a.slot)
		r.restBrittle(a.slot, now)
	case retry.SilentConnection, retry.ResponseMismatch:
		r.silentConnections++
		state.recordFailure(now, a.slot)
	case retry.Occupied:
		state.recordAbandoned()
	case retry.Crashed:
	default:
		state.recordFailure(now, a.slot)
	}
}
