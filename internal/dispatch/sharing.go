package dispatch

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/guavatrack/guavatrack/internal/admission"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/refusal"
)

// sharing holds what the node knows of the organisations that share its queues.
type sharing struct {
	mu sync.Mutex
	// usual holds the usual work of the callers by pool, since the sizes of calls of
	// different pools can't be compared.
	usual map[fleet.PoolID]*admission.UsualWork
	// waiting is the number of waiting calls of each caller.
	waiting map[fleet.CallerID]int
	gauge   metrics.Gauge
}

func (s *sharing) setUp(registry metrics.Registry) {
	s.usual = make(map[fleet.PoolID]*admission.UsualWork)
	s.waiting = make(map[fleet.CallerID]int)
	s.gauge = metrics.GetOrRegisterGauge(waitingOrganisationsName, registry)
}

// setShare records a call and sets its share, unless that is done or the call belongs to no
// organisation.
func (d *Dispatcher) setShare(call *Call) {
	if !d.Organisations || call.Caller == "" || call.share != 0 {
		return
	}
	s := &d.sharing
	s.mu.Lock()
	usual := s.usual[call.Pool]
	if usual == nil {
		usual = &admission.UsualWork{}
		s.usual[call.Pool] = usual
	}
	s.mu.Unlock()
	call.share, call.surges = usual.Record(call.Started, call.Caller, call.Rank, call.Tokens)
}

// ofOrganisation reports whether the call belongs to an organisation. It is set once the call
// asks for a slot.
func (c *Call) ofOrganisation() bool { return c.share != 0 }

// addWaiting adds to the number of waiting calls of the organisation of a call.
func (s *sharing) addWaiting(call *Call, count int) {
	if !call.ofOrganisation() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting[call.Caller] += count; s.waiting[call.Caller] == 0 {
		delete(s.waiting, call.Caller)
	}
	s.gauge.Update(int64(len(s.waiting)))
}

const (
	// retrySpread is the most by which the time until room is expected is lengthened, as a
	// part of it, so that refused callers don't come back at once.
	retrySpread = 0.5
	// retryPart is the part of the time left to a caller that Retry-After doesn't exceed,
	// since callers don't wait longer.
	retryPart = 3
)

// spreadError is a refusal with another Retry-After than that of its cause.
type spreadError struct {
	*refusal.Refusal
	cause error
}

// Unwrap returns the refusal, which is found first, and its cause.
func (s spreadError) Unwrap() []error { return []error{s.Refusal, s.cause} }

// spreadRetry returns the error with the Retry-After of a refusal spread and bounded by the
// time that the caller has left. Refusals of calls that belong to no organisation remain as
// they are.
func (d *Dispatcher) spreadRetry(call *Call, err error) error {
	refused, isRefusal := refusal.As(err)
	if !call.ofOrganisation() || !isRefusal || refused.RetryAfter <= 0 {
		return err
	}
	most := max(0, call.TimeLeft()/retryPart)
	least := min(refused.RetryAfter, time.Duration(float64(most)/(1+retrySpread)))
	longest := min(time.Duration((1+retrySpread)*float64(least)), most)
	spread := *refused
	spread.RetryAfter = least + time.Duration(d.Rand.Float64()*float64(longest-least))
	return spreadError{Refusal: &spread, cause: err}
}

// roomIn returns the time after which a call that is refused while it waits should be sent
// again: that until the queue has room for it, or otherwise if it belongs to no organisation.
// The caller holds the lock.
func (q *waitQueue) roomIn(waiting *waiter, now time.Time, capacity admission.Capacity, otherwise time.Duration) time.Duration {
	if !waiting.call.ofOrganisation() {
		return otherwise
	}
	return max(capacity.ReadyIn, q.pending.RoomIn(now, waiting.request, capacity))
}

// recordRefused counts and logs that a waiting call is refused.
func (q *waitQueue) recordRefused(waiting *waiter, counter metrics.Counter, outcome string) {
	counter.Inc(1)
	if !waiting.call.ofOrganisation() {
		return
	}
	q.dispatcher.Log.LogAttrs(context.WithoutCancel(waiting.call.Context), slog.LevelInfo, "waiting request refused",
		slog.String("request", string(waiting.call.ID)), slog.String("organisation", string(waiting.call.Caller)),
		slog.Int("class", waiting.call.Rank), slog.String("outcome", outcome), slog.Int("waiting", q.pending.Len()))
}
