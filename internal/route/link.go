package route

import (
	"time"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Cause says why bytes go over the link between regions.
type Cause string

// Causes of traffic between regions.
const (
	// CauseNoLocal is a request whose item no server of the region holds.
	CauseNoLocal Cause = "noLocal"
	// CauseDeadline is a request that would miss its deadline in the region.
	CauseDeadline Cause = "deadline"
	// CauseRetry is a further attempt after a failure in the region.
	CauseRetry Cause = "retry"
)

// Link bounds the bytes that a node sends and receives over the link between
// regions. It is a bucket of bytes that may be overdrawn by one request, since
// the size of an answer is not known before.
type Link struct {
	PerSecond fleet.Bytes
	Burst     fleet.Bytes

	used  float64
	at    time.Time
	bytes map[Cause]fleet.Bytes
}

// Open reports whether another request may use the link.
func (l *Link) Open(now time.Time) bool {
	l.refill(now)
	return l.used < float64(l.Burst)
}

// Use counts bytes.
func (l *Link) Use(now time.Time, cause Cause, size fleet.Bytes) {
	l.refill(now)
	l.used += float64(size)
	if l.bytes == nil {
		l.bytes = make(map[Cause]fleet.Bytes)
	}
	l.bytes[cause] += size
}

// Bytes returns the bytes counted for a cause.
func (l *Link) Bytes(cause Cause) fleet.Bytes { return l.bytes[cause] }

func (l *Link) refill(now time.Time) {
	if !l.at.IsZero() && now.After(l.at) {
		l.used = max(0, l.used-float64(l.PerSecond)*now.Sub(l.at).Seconds())
	}
	l.at = now
}
