// Package wait pauses without outliving a context.
package wait

import (
	"context"
	"time"
)

// For waits for the span and reports whether the context is still alive.
func For(ctx context.Context, span time.Duration) bool {
	if span <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Until waits until the condition holds, looking at it every interval, and
// reports whether it does. It gives up after the limit and with the context.
func Until(ctx context.Context, limit, interval time.Duration, holds func() bool) bool {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for !holds() {
		if !For(ctx, interval) {
			return holds()
		}
	}
	return true
}
