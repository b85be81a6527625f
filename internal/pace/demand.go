package pace

import "time"

// intervalWeight is the weight of the newest interval in the average of a [Demand].
const intervalWeight = 0.2

// Demand is the rate at which requests come to a node.
type Demand struct {
	last time.Time
	// interval is the average time between two requests; 0 if fewer than two came.
	interval time.Duration
}

// Record records that a request has come.
func (d *Demand) Record(now time.Time) {
	if !d.last.IsZero() {
		newest := now.Sub(d.last)
		if d.interval == 0 {
			d.interval = newest
		}
		d.interval += time.Duration(intervalWeight * float64(newest-d.interval))
	}
	d.last = now
}

// Rate returns the number of requests in 100 ms, at most 1. It is 0 if fewer than two came,
// and falls while none comes.
func (d *Demand) Rate(now time.Time) float64 {
	if d.interval == 0 {
		return 0
	}
	return min(1, float64(turnInterval)/float64(max(d.interval, now.Sub(d.last))))
}
