package dispatch

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/guavatrack/guavatrack/internal/admission"
	"github.com/guavatrack/guavatrack/pkg/refusal"
)

// Judgement of calls while the node stops.
const (
	// unknownServiceTime is assumed of a call that may not be repeated as long as no call
	// of its queue has ended.
	unknownServiceTime = 2 * time.Second
	// stopMargin is the time before the cut-off by which a call that may not be repeated
	// is expected to end.
	stopMargin = 250 * time.Millisecond
	// stopRetryAfter is the Retry-After of a refusal because the node stops: another node
	// takes the request at once.
	stopRetryAfter = 200 * time.Millisecond
)

// StopAt says that the node stops and cuts off, at the given time, what still runs. From
// then on a call is refused as soon as it is known not to end before, as long as it is not
// at work at a server, and further attempts that would not end before are not made. This
// holds for calls that wait as well. Streams that callers can take up at another node go
// on to the cut-off.
func (d *Dispatcher) StopAt(cutOff time.Time) {
	d.once.Do(d.setUp)
	d.cutOff.Store(&cutOff)
	now := time.Now()
	for i := range d.queues.shards {
		shard := &d.queues.shards[i]
		shard.mu.Lock()
		queues := slices.Collect(maps.Values(shard.queues))
		shard.mu.Unlock()
		for _, queue := range queues {
			queue.bringForward()
			queue.expire(now)
		}
	}
}

// Stops reports whether the node stops.
func (d *Dispatcher) Stops() bool { return d.cutOff.Load() != nil }

// continuesElsewhere reports whether the caller can take up the rest of the answer at
// another node.
func (c *Call) continuesElsewhere() bool { return c.Stream && c.Idempotent }

// endBy returns the time by which a call must end: its deadline, or the cut-off if that is
// earlier and bounds the call.
func (d *Dispatcher) endBy(call *Call) (end time.Time, stops bool) {
	cutOff := d.cutOff.Load()
	if cutOff == nil || call.continuesElsewhere() {
		return call.Deadline, false
	}
	end = *cutOff
	if !call.Idempotent {
		end = end.Add(-stopMargin)
	}
	// A call whose deadline comes before the cut-off gets its answer in any case.
	if !call.Deadline.IsZero() && !call.Deadline.After(*cutOff) {
		return call.Deadline, false
	}
	return end, true
}

// bringForward sets the time by which each waiting request must end, after the cut-off
// has become known.
func (q *waitQueue) bringForward() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, waiting := range q.waiters {
		if end, stops := q.dispatcher.endBy(waiting.call); stops {
			waiting.request = q.pending.SetDeadline(waiting.request, end)
		}
	}
}

// checkStop fails with a refusal if a call that is sent now is not expected to end before
// the node cuts it off.
func (d *Dispatcher) checkStop(call *Call) error {
	if !d.Stops() || call.queue == nil {
		return nil
	}
	call.queue.mu.Lock()
	defer call.queue.mu.Unlock()
	if refused := call.queue.stopRefusal(call, time.Now()); refused != nil {
		return refused
	}
	return nil
}

// stopRefusal returns the refusal of a call that would not end before the node cuts it off
// if it began now; nil if it would. The caller holds the lock.
func (q *waitQueue) stopRefusal(call *Call, now time.Time) *refusal.Refusal {
	endBy, stops := q.dispatcher.endBy(call)
	if !stops {
		return nil
	}
	expected := q.pending.ExpectedServiceTime(q.dispatcher.expectedWork(call, now))
	if expected == 0 && !call.Idempotent {
		expected = unknownServiceTime
	}
	if now.Add(expected).Before(endBy) {
		return nil
	}
	return q.dispatcher.refuseForStop(call, now, expected)
}

// refuseForStop logs and counts that a call, or a further attempt, is not sent because it
// would not end before the cut-off, and returns the refusal.
func (d *Dispatcher) refuseForStop(call *Call, now time.Time, expected time.Duration) *refusal.Refusal {
	d.meters.stopRefusals.Inc(1)
	d.Log.LogAttrs(context.WithoutCancel(call.Context), slog.LevelInfo, "not sent since the node stops",
		slog.String("request", string(call.ID)), slog.Bool("idempotent", call.Idempotent),
		slog.Duration("expected", expected), slog.Duration("toCutOff", d.cutOff.Load().Sub(now)),
		slog.Bool("mayHaveRun", call.Sent()))
	return &refusal.Refusal{
		Reason: refusal.Draining, Message: "the node stops before the answer would be whole", RetryAfter: stopRetryAfter,
	}
}

// refuseStopping refuses the waiting requests that would not end before the cut-off even if
// they began now. The caller holds the lock.
func (q *waitQueue) refuseStopping(now time.Time) {
	if !q.dispatcher.Stops() {
		return
	}
	for _, waiting := range q.waiters {
		if refused := q.stopRefusal(waiting.call, now); refused != nil {
			q.pending.Remove(waiting.request)
			q.resolve(waiting, admissionResult{err: refused})
		}
	}
}

// lateRefusal returns the refusal of a call that would end too late where it stands in the
// queue: for the node's stop if that bounds it, else for its deadline. The caller holds
// the lock.
func (q *waitQueue) lateRefusal(call *Call, now time.Time, retryAfter time.Duration) *refusal.Refusal {
	if _, stops := q.dispatcher.endBy(call); stops {
		return q.dispatcher.refuseForStop(call, now, q.pending.ExpectedServiceTime(q.dispatcher.expectedWork(call, now)))
	}
	return admissionRefusal(admission.Decision{Outcome: admission.Late, RetryAfter: retryAfter})
}
