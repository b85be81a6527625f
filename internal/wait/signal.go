package wait

import (
	"context"
	"time"
)

// Signal wakes one waiting goroutine. Signals that come while nobody waits count
// as one. It is made by NewSignal.
type Signal chan struct{}

// NewSignal returns a signal that has not been given.
func NewSignal() Signal { return make(Signal, 1) }

// Give wakes who waits, or who waits next.
func (s Signal) Give() {
	select {
	case s <- struct{}{}:
	default:
	}
}

// Wait waits for the signal, the span at the most, and reports whether the
// signal was given before the span or the context ended.
func (s Signal) Wait(ctx context.Context, span time.Duration) (given bool) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-s:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}
