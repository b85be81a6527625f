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
