package quota

import (
	"time"

	"github.com/guavatrack/guavatrack/internal/roster"
)

// slotTime is the time over which grants are added up. It is the precision of a [window].
const slotTime = 50 * time.Millisecond

// window is what was granted in a span of time up to now, in slots.
type window struct {
	span time.Duration
	// slots is a ring, in which the slot of a time is its number modulo the length.
	slots  []float64
	newest int64
	sum    float64
}

// slotOf returns the number of the slot of a time.
func slotOf(at time.Duration) int64 { return int64(at / slotTime) }

func (w *window) slot(number int64) *float64 {
	return &w.slots[((number%int64(len(w.slots)))+int64(len(w.slots)))%int64(len(w.slots))]
}

// fill starts a window with the most that owners before may have granted under a quota by a
// time: its rate all along, and a burst at the end.
func (w *window) fill(at, span time.Duration, quota *roster.Quota) {
	// One slot more, since both the first and the last one are counted whole.
	w.span, w.newest, w.slots = span, slotOf(at), make([]float64, int((span+slotTime-1)/slotTime)+1)
	for i := range w.slots {
		w.slots[i] = quota.PerSecond * slotTime.Seconds()
		w.sum += w.slots[i]
	}
	w.add(max(quota.Burst, capacity(quota)))
}

// advance drops what was granted before the span that ends at a time.
func (w *window) advance(now time.Duration) {
	latest := slotOf(now)
	if latest-w.newest >= int64(len(w.slots)) {
		clear(w.slots)
		w.newest, w.sum = latest, 0
		return
	}
	for ; w.newest < latest; w.newest++ {
		oldest := w.slot(w.newest + 1)
		w.sum -= *oldest
		*oldest = 0
	}
	w.sum = max(0, w.sum)
}

// add counts a grant in the newest slot.
func (w *window) add(amount float64) {
	*w.slot(w.newest) += amount
	w.sum += amount
}

// subtract counts a part of the grants at a time as not granted. After clamp no more is
// subtracted than is still counted.
func (w *window) subtract(amount float64, at time.Duration) {
	if number := slotOf(at); number > w.newest-int64(len(w.slots)) && number <= w.newest {
		slot := w.slot(number)
		part := min(amount, *slot)
		*slot -= part
		w.sum -= part
	}
}

// clamp counts at most an amount in each slot so far.
func (w *window) clamp(most float64) {
	w.sum = 0
	for i := range w.slots {
		w.slots[i] = min(w.slots[i], most)
		w.sum += w.slots[i]
	}
}

// roomIn returns the time until no more than most is left in the window if nothing is added.
func (w *window) roomIn(now time.Duration, most float64) time.Duration {
	left := w.sum
	number := w.newest - int64(len(w.slots)) + 1
	for ; left > most && number < w.newest; number++ {
		left -= *w.slot(number)
	}
	if number == w.newest-int64(len(w.slots))+1 {
		return 0
	}
	return max(0, time.Duration(number-1+int64(len(w.slots)))*slotTime-now)
}
