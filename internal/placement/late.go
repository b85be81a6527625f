package placement

import (
	"time"

	"github.com/guavatrack/guavatrack/internal/residence"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// lateOrder is an order that had no answer.
type lateOrder struct {
	boot fleet.BootID
	// until is when it is not carried out any more.
	until time.Time
}

// lateLife is how long an order without an answer may still be carried out.
const lateLife = 15 * time.Second

// unanswered notes that an order had no answer. The caller holds the lock.
func (s *Scheduler) unanswered(now time.Time, e *engine) {
	s.late[e.server.ID] = append(s.late[e.server.ID], lateOrder{boot: e.server.Boot, until: now.Add(lateLife)})
}

// reserve sets room aside for orders from before an engine's restart. The count
// of accepted orders starts anew with the engine, so that it no longer keeps
// them out.
func (s *Scheduler) reserve(
	now time.Time, e *engine, planned *residence.Engine, models map[fleet.ModelID]residence.Model,
) {
	var kept []lateOrder
	late := 0
	for _, order := range s.late[e.server.ID] {
		if now.After(order.until) {
			continue
		}
		kept = append(kept, order)
		if order.boot != e.server.Boot {
			late++
		}
	}
	if len(kept) == 0 {
		delete(s.late, e.server.ID)
		return
	}
	s.late[e.server.ID] = kept
	var largest fleet.Bytes
	for _, model := range models {
		largest = max(largest, model.Size)
	}
	planned.Memory -= fleet.Bytes(late) * largest
	planned.AdapterSlots = max(0, planned.AdapterSlots-late)
}
