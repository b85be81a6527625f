package retry

import "time"

// Allowance is what fills a [Budget]. In any span of time no more attempts are
// spent than Burst, Ratio for each request and PerSecond for each second.
type Allowance struct {
	// Ratio is the number of attempts that each request adds.
	Ratio float64
	// PerSecond is the number of attempts that time adds.
	PerSecond float64
	// Burst is the largest content of the bucket and its first.
	Burst float64
}

// Budget bounds further attempts to a share of the requests, so that retries
// cannot multiply the load when all attempts fail. It is a bucket of attempts.
type Budget struct {
	Allowance

	spent float64
	at    time.Time
}

// Earn adds the share of one request.
func (b *Budget) Earn(now time.Time) {
	b.refill(now)
	b.spent = max(0, b.spent-b.Ratio)
}

// Spend takes one attempt and reports whether there was one.
func (b *Budget) Spend(now time.Time) bool {
	b.refill(now)
	if b.spent+1 > b.Burst {
		return false
	}
	b.spent++
	return true
}

func (b *Budget) refill(now time.Time) {
	if !b.at.IsZero() && now.After(b.at) {
		b.spent = max(0, b.spent-b.PerSecond*now.Sub(b.at).Seconds())
	}
	b.at = now
}
