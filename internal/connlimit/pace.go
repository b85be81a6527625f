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

// Add records that bytes arrived. It reports whether the minimum has arrived, so that the next
// window begins.
func (p *Pace) Add(now time.Time, count int) bool {
	p.received += int64(count)
	if p.received < p.MinBytes {
		return false
	}
	p.since, p.received = now, 0
	return true
}

// Deadline returns when the sender has become too slow unless more arrives.
func (p *Pace) Deadline(now time.Time) time.Time {
	if p.since.IsZero() {
		p.since = now
	}
	return p.since.Add(p.Window)
}
