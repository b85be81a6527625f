// Package wait provides waits that end with their context.
package wait

import (
	"context"
	"math/rand/v2"
	"time"
)

// For waits for the duration and reports whether the context is still active.
// It returns early when the context ends.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Jitter returns a random duration of at least a half of d and less than d, so that
// nodes that wait at the same time don't all go on at the same time. d is at least 2 ns.
func Jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2) }

// Until waits until the condition is true, checking it at the interval, and
// reports whether it is. It stops waiting after the timeout and when the
// context ends.
func Until(ctx context.Context, timeout, interval time.Duration, condition func() bool) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for !condition() {
		if !For(ctx, interval) {
			return condition()
		}
	}
	return true
}
