package wait

import (
	"context"
	"time"
)

// Signal wakes one waiting goroutine. Signals sent while no goroutine waits are
// merged into one. A Signal is created by NewSignal.
type Signal chan struct{}

// NewSignal returns a signal that is not set.
func NewSignal() Signal { return make(Signal, 1) }

// Notify wakes the waiting goroutine or, if none waits, the next one that does.
func (s Signal) Notify() {
	select {
	case s <- struct{}{}:
	default:
	}
}

// Wait waits for the signal and reports whether it came before the timeout
// passed or the context ended.
func (s Signal) Wait(ctx context.Context, timeout time.Duration) (signalled bool) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-s:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}
