package placement

import (
	"time"

	"github.com/guavatrack/guavatrack/internal/residence"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// unansweredOrder is an order that had no answer and that the engine may still
// execute.
type unansweredOrder struct {
	boot fleet.BootID
	// expiresAt is when the order can no longer be executed.
	expiresAt time.Time
	// first is set if the order expects that the engine has accepted none before.
	first bool
}

// unansweredOrderTTL is how long an order without an answer may still be
// executed.
const unansweredOrderTTL = 15 * time.Second

// lateOrderTime is how long nodes ask an engine for its run after an order without an answer:
// the run that carries it out at the last moment has to be listed.
const lateOrderTime = unansweredOrderTTL + replacedInPlaceDelay

// recordUnanswered records that an order had no answer. The caller holds the
// lock.
func (s *Scheduler) recordUnanswered(now time.Time, e *engine, expectedSequence uint64) {
	s.unanswered[e.server.ID] = append(s.unanswered[e.server.ID],
		unansweredOrder{boot: e.server.Boot, expiresAt: now.Add(unansweredOrderTTL), first: expectedSequence == 0})
	if expectedSequence == 0 {
		e.lateOrderUntil = now.Add(lateOrderTime)
		s.bumpVersion(e)
	}
}

// firstTerm is the fencing number of the first holder of the lease.
const firstTerm fleet.FencingNumber = 1

// recordEarlierTerm records that an engine that has accepted no orders may still get one of
// the holder of the lease before, which may have ended before it could tell. The caller holds
// the lock.
func (s *Scheduler) recordEarlierTerm(now time.Time, e *engine) {
	if s.fencing <= firstTerm || e.sequence > 0 || now.Sub(s.termBegan) >= unansweredOrderTTL {
		return
	}
	if until := s.termBegan.Add(lateOrderTime); until.After(e.lateOrderUntil) {
		e.lateOrderUntil = until
	}
}

// lateOrderUntil returns until when the next run of an engine may carry out an order that
// an earlier one did not answer. The caller holds the lock.
func (s *Scheduler) lateOrderUntil(server fleet.ServerID) (until time.Time) {
	for _, order := range s.unanswered[server] {
		if listedBy := order.expiresAt.Add(lateOrderTime - unansweredOrderTTL); order.first && listedBy.After(until) {
			until = listedBy
		}
	}
	return until
}

// reserveForLateOrders reserves memory and adapter slots for unanswered orders
// from before an engine's restart. The engine's count of accepted orders
// restarts with it, so the count that these orders expect no longer rules them
// out.
func (s *Scheduler) reserveForLateOrders(
	now time.Time, e *engine, input *residence.Engine, models map[fleet.ModelID]residence.Model,
) {
	var kept []unansweredOrder
	fromEarlierBoot := 0
	for _, order := range s.unanswered[e.server.ID] {
		if now.After(order.expiresAt) {
			continue
		}
		kept = append(kept, order)
		if order.boot != e.server.Boot {
			fromEarlierBoot++
		}
	}
	if len(kept) == 0 {
		delete(s.unanswered, e.server.ID)
		return
	}
	s.unanswered[e.server.ID] = kept
	var largest fleet.Bytes
	for _, model := range models {
		largest = max(largest, model.Size)
	}
	input.Memory -= fleet.Bytes(fromEarlierBoot) * largest
	input.AdapterSlots = max(0, input.AdapterSlots-fromEarlierBoot)
}
