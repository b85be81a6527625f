package route

import (
	"time"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Cause is the reason why a request leaves the region.
type Cause string

// Causes of traffic between regions.
const (
	// CauseNoLocal means that no server of the region holds the item.
	CauseNoLocal Cause = "noLocal"
	// CauseDeadline means that the request would miss its deadline in the
	// region.
	CauseDeadline Cause = "deadline"
	// CauseFull means that all servers of the region that hold the item are full.
	CauseFull Cause = "full"
	// CauseRetry means that an earlier attempt in the region failed.
	CauseRetry Cause = "retry"
)

// LinkLimiter limits the bytes that a node sends and receives over the link
// between regions. It is a token bucket that a request may overdraw, since the
// size of an answer is not known in advance.
type LinkLimiter struct {
	// PerSecond is the refill rate, Burst the capacity.
	PerSecond fleet.Bytes
	Burst     fleet.Bytes

	used       float64
	refilledAt time.Time
	bytes      map[Cause]fleet.Bytes
}

// Allow reports whether another request may use the link.
func (l *LinkLimiter) Allow(now time.Time) bool {
	l.refill(now)
	return l.used < float64(l.Burst)
}

// Record counts bytes that a request sent and received over the link.
func (l *LinkLimiter) Record(now time.Time, cause Cause, size fleet.Bytes) {
	l.refill(now)
	l.used += float64(size)
	if l.bytes == nil {
		l.bytes = make(map[Cause]fleet.Bytes)
	}
	l.bytes[cause] += size
}

// Bytes returns the total of the bytes recorded for a cause.
func (l *LinkLimiter) Bytes(cause Cause) fleet.Bytes { return l.bytes[cause] }

// refill adds the bytes for the time since the last refill.
func (l *LinkLimiter) refill(now time.Time) {
	if !l.refilledAt.IsZero() && now.After(l.refilledAt) {
		l.used = max(0, l.used-float64(l.PerSecond)*now.Sub(l.refilledAt).Seconds())
	}
	l.refilledAt = now
}
