package dispatch

import (
	"context"
	"log/slog"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/retry"
	"github.com/guavatrack/guavatrack/internal/wait"
	"github.com/guavatrack/guavatrack/pkg/refusal"
)

// relay carries one call through its attempts.
type relay struct {
	*Dispatcher
	call *Call
	// silences counts the connections of the call that were found silent.
	silences int
}

// relay sends a call to the replica that it was admitted to and has the answer
// relayed. After a failure it goes on elsewhere as far as the call allows.
func (d *Dispatcher) relay(call *Call) error {
	r := &relay{Dispatcher: d, call: call}
	d.earn(call)
	taken := call.slot
	for {
		err := r.try(taken)
		if err == nil {
			call.lane.served(time.Since(taken.started), call.Work)
			r.clear(call)
			return nil
		}
		if _, final := refusal.As(err); final || call.Context.Err() != nil || len(call.failed) == 0 {
			return err
		}
		if taken, err = r.next(err); err != nil {
			return err
		}
	}
}

// next decides after a failed attempt and takes a slot for another one.
func (r *relay) next(failed error) (*slot, error) {
	call := r.call
	if err := r.judge(call); err != nil {
		return nil, err
	}
	last := call.failed[len(call.failed)-1]
	decision := r.decide(call)
	if !decision.Again {
		return nil, failed
	}
	r.meters.retries.Inc(1)
	if !wait.For(call.Context, decision.Pause) {
		return nil, failed
	}
	if decision.SameServer {
		if taken, found := r.again(last); found {
			return taken, nil
		}
	}
	taken, err := call.lane.acquire(call)
	if err != nil {
		return nil, err
	}
	taken.fresh = last.Failure == retry.SilentConnection
	return taken, nil
}

// again takes another slot at the server whose connection failed.
func (r *relay) again(last retry.Attempt) (*slot, bool) {
	for _, replica := range r.replicas(r.call) {
		if replica.Server == last.Server {
			taken := r.takeAt(r.call, replica, time.Now(), "")
			taken.fresh = true
			return taken, true
		}
	}
	return nil, false
}

// try makes an attempt, with a hedge if the first byte is late, and has what
// comes relayed. Failed attempts are noted in the call.
func (r *relay) try(taken *slot) error {
	winner, err := r.race(taken)
	if err != nil {
		return err
	}
	defer r.release(winner.slot)
	defer winner.close(nil)
	stop := r.watchAnswer(winner)
	err = winner.answer.Relay()
	stop()
	if _, final := refusal.As(err); final {
		return err
	}
	if err != nil {
		winner.err = err
		r.fail(winner)
		return err
	}
	winner.slot.server.succeeded(winner.slot)
	return nil
}

// start begins an attempt in the background and sends it to results when its
// first byte has come or it has failed.
func (r *relay) start(taken *slot, results chan<- *Attempt) *Attempt {
	r.meters.sends.Inc(1)
	a := newAttempt(r.call.Context, taken)
	r.Log.LogAttrs(a.ctx, slog.LevelInfo, "request sent",
		slog.String("request", string(r.call.ID)), slog.String("server", string(taken.replica.Server)),
		slog.String("item", taken.replica.Item.String()), slog.Int("attempt", len(r.call.failed)+1),
		slog.Duration("waited", taken.started.Sub(r.call.Started)),
		slog.Int("running", taken.replica.Running), slog.Int("queued", taken.replica.Queued),
		slog.Duration("reportAge", age(taken.replica.AsOf, taken.started)))
	go func() {
		if r.call.alone {
			a.err = r.tryAlone(a.ctx, taken)
		}
		if a.err == nil {
			a.answer, a.err = r.call.Message.Open(a.ctx, a)
		}
		results <- a
	}()
	return a
}

// age returns how old a report is; -1 if there was none.
func age(asOf, now time.Time) time.Duration {
	if asOf.IsZero() {
		return -1
	}
	return now.Sub(asOf)
}

// kind classifies the error of an attempt. A broken connection is classified
// as such; whether the server crashed is found out by probing it.
func (a *Attempt) kind() retry.Failure {
	var failure *FailureError
	switch cause := context.Cause(a.ctx); {
	case errors.Is(cause, ErrSilentConnection):
		return retry.SilentConnection
	case errors.Is(cause, ErrSilentServer):
		return retry.SilentServer
	case !a.slot.sent.Load():
		return retry.Unreachable
	case errors.As(a.err, &failure):
		return failure.Kind
	default:
		return retry.Broken
	}
}

// settle takes back that the call may have run if the server has proved that
// it has not.
func (a *Attempt) settle() {
	var failure *FailureError
	if errors.As(a.err, &failure) && failure.NotRun && a.slot.sent.Load() {
		a.slot.call.sent.Add(-1)
	}
}

// fail notes a failed attempt in the call and in the state of its server.
func (r *relay) fail(a *Attempt) {
	a.settle()
	now := time.Now()
	state := a.slot.server
	if errors.Is(r.call.Context.Err(), context.DeadlineExceeded) {
		state.declined(now, a.slot)
	}
	if _, final := refusal.As(a.err); final || r.call.Context.Err() != nil {
		state.abandoned()
		return
	}
	kind := a.kind()
	if kind == retry.Broken && r.investigate(a.slot) {
		kind = retry.Crashed
	}
	r.Log.LogAttrs(r.call.Context, slog.LevelWarn, "attempt failed",
		slog.String("request", string(r.call.ID)), slog.String("server", string(a.Replica.Server)),
		slog.String("failure", kind.String()), slog.Bool("sent", a.slot.sent.Load()),
		slog.Duration("after", now.Sub(a.slot.started)), slog.Any("error", a.err))
	r.call.failed = append(r.call.failed, retry.Attempt{
		Server: a.Replica.Server, Domain: a.Replica.FailureDomain, Failure: kind,
	})
	r.blame(a, kind)
}

// blame notes a failure in the state of its server.
func (r *relay) blame(a *Attempt, kind retry.Failure) {
	now, state := time.Now(), a.slot.server
	if r.occupancy != nil && (kind == retry.Unreachable || kind == retry.Crashed || kind == retry.SilentServer) {
		r.occupancy.Lost(&a.Replica, now)
	}
	switch kind {
	case retry.Absent:
		state.lacked(now, a.slot)
	case retry.Unreachable:
		state.unreachable(now)
	case retry.Declined:
		state.declined(now, a.slot)
	case retry.SilentConnection, retry.Crossed:
		r.silences++
		state.failed(now)
	case retry.Crashed:
	default:
		state.failed(now)
	}
}
