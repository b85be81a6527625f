package connlimit

import "time"

// Pace is the minimum rate at which something must arrive: MinBytes in each Window, the
// first of which begins with the first call of Deadline.
type Pace struct {
	Window   time.Duration
	MinBytes int64

	since    time.Time
	received int64
}

// Add records that bytes arrived.
func (p *Pace) Add(now time.Time, count int) {
	p.received += int64(count)
	if p.received >= p.MinBytes {
		p.since, p.received = now, 0
	}
}

// Deadline returns when the sender has become too slow unless more arrives.
func (p *Pace) Deadline(now time.Time) time.Time {
	if p.since.IsZero() {
		p.since = now
	}
	return p.since.Add(p.Window)
}
