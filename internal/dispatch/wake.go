package dispatch

import (
	"context"
	"time"

	"github.com/guavatrack/guavatrack/internal/admission"
	"github.com/guavatrack/guavatrack/pkg/refusal"
)

// Timing of the calls of the waker.
const (
	// wakeInterval is the time between two calls of the waker for one item.
	wakeInterval = 200 * time.Millisecond
	// wakePatience bounds how long a request waits while no replica can be had.
	wakePatience = 2 * time.Second
)

// wake is what is known of the load of an item.
type wake struct {
	at       time.Time
	estimate Estimate
	// failing is since when no replica can be had.
	failing time.Time
	err     error
	// asking says that the waker is being called.
	asking bool
}

// noServerRetryAfter is when to come back if no server is there.
const noServerRetryAfter = time.Second

// loads reports whether a replica for the call can be loaded.
func (d *Dispatcher) loads(call *Call) bool { return d.Waker != nil && call.Item.Model != "" }

// readyIn returns the time until a replica of the call's item is ready, and a
// refusal if that is too late. It has the item loaded if there is no replica.
func (l *lane) readyIn(call *Call, now time.Time) (time.Duration, error) {
	if len(l.dispatcher.replicas(call)) > 0 {
		return 0, nil
	}
	if !l.dispatcher.loads(call) {
		return 0, &refusal.Refusal{
			Reason: refusal.NoServer, Message: "no server is there to run the request", RetryAfter: noServerRetryAfter,
		}
	}
	return l.wake(call, now).readyIn(call, now)
}

// readyIn returns the time until a load is done, and a refusal if that is too
// late for the call.
func (w wake) readyIn(call *Call, now time.Time) (time.Duration, error) {
	if w.err != nil {
		patience := min(wakePatience, call.Deadline.Sub(call.Started)/3)
		if now.Sub(w.failing) < patience {
			return 0, nil
		}
		return 0, &refusal.Refusal{
			Reason: refusal.NoServer, Message: "no replica can be loaded: " + w.err.Error(),
			RetryAfter: wakePatience,
		}
	}
	left := w.estimate.ReadyIn - now.Sub(w.at)
	if ready := now.Add(left); ready.After(call.Deadline) || !call.StartBy.IsZero() && ready.After(call.StartBy) {
		return 0, &refusal.Refusal{
			Reason: refusal.DeadlineUnreachable, Message: "the model will not be loaded before the deadline",
			RetryAfter: left,
		}
	}
	return max(0, left), nil
}

// wake calls the waker, though not more often than the interval.
func (l *lane) wake(call *Call, now time.Time) wake {
	l.mu.Lock()
	state := l.wakes[call.Item]
	if state == nil {
		state = &wake{}
		l.wakes[call.Item] = state
	}
	if state.asking || now.Sub(state.at) < wakeInterval && !state.at.IsZero() {
		defer l.mu.Unlock()
		return *state
	}
	state.asking = true
	want := l.want(call)
	l.mu.Unlock()
	estimate, err := l.dispatcher.Waker.Wake(context.WithoutCancel(call.Context), want)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil && (state.err == nil || now.Sub(state.failing) > 2*wakePatience) {
		state.failing = now
	}
	state.estimate, state.err, state.at, state.asking = estimate, err, now, false
	return *state
}

// want sums up the calls that wait for the item of a call, itself included. The
// caller holds the lock.
func (l *lane) want(call *Call) Want {
	want := Want{
		Item: call.Item, Pool: call.Pool, Since: call.Started, Rank: call.Rank,
		Objective: call.Objective, Deadline: call.Deadline,
	}
	counted := false
	for _, waiting := range l.waiters {
		if waiting.call.Item == call.Item {
			want.add(waiting.call)
			counted = counted || waiting.call == call
		}
	}
	if !counted {
		want.Waiting++
	}
	return want
}

// add joins a waiting call.
func (w *Want) add(call *Call) {
	w.Waiting++
	w.Rank = min(w.Rank, call.Rank)
	if call.Started.Before(w.Since) {
		w.Since = call.Started
	}
	if call.Deadline.Before(w.Deadline) {
		w.Deadline = call.Deadline
	}
	if call.Objective.Before(w.Objective) {
		w.Objective = call.Objective
	}
}

// capacity returns what the requests of a call's item can run on.
func (d *Dispatcher) capacity(call *Call, now time.Time, readyIn time.Duration) (capacity admission.Capacity) {
	replicas := d.replicas(call)
	for at := range replicas {
		if replicas[at].Region != d.Place.Region && len(replicas) > 1 && d.Place.Region != "" {
			continue
		}
		candidate := d.servers.get(replicas[at].Server).candidate(now, &replicas[at], call)
		capacity.Slots += candidate.Limit
		capacity.Free += max(0, candidate.Limit-candidate.InFlight)
	}
	if capacity.Slots == 0 {
		// Nothing is there, or nothing that can be reached: another replica will
		// be.
		slots := max(1, call.Concurrency)
		return admission.Capacity{Slots: slots, Free: slots, ReadyIn: readyIn}
	}
	return capacity
}
