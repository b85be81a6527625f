package retry

import "time"

// Allowance is the refill rates and the capacity of a [Budget]. In any period
// no more attempts are withdrawn than Burst, plus Ratio for each request, plus
// PerSecond for each second.
type Allowance struct {
	// Ratio is the number of attempts added per request.
	Ratio float64
	// PerSecond is the number of attempts added per second.
	PerSecond float64
	// Burst is the capacity of the bucket, which starts full.
	Burst float64
}

// Budget is a token bucket that limits further attempts to a share of the
// requests, so that retries cannot multiply the load when all attempts fail.
// The zero value with an Allowance is full.
type Budget struct {
	Allowance

	spent      float64
	refilledAt time.Time
}

// Deposit adds the attempts that one request allows.
func (b *Budget) Deposit(now time.Time) {
	b.refill(now)
	b.spent = max(0, b.spent-b.Ratio)
}

// Withdraw takes one attempt and reports whether one was available.
func (b *Budget) Withdraw(now time.Time) bool {
	b.refill(now)
	if b.spent+1 > b.Burst {
		return false
	}
	b.spent++
	return true
}

// Refund returns an attempt that was withdrawn and not made.
func (b *Budget) Refund() { b.spent = max(0, b.spent-1) }

// refill adds the attempts for the time since the last refill.
func (b *Budget) refill(now time.Time) {
	if !b.refilledAt.IsZero() && now.After(b.refilledAt) {
		b.spent = max(0, b.spent-b.PerSecond*now.Sub(b.refilledAt).Seconds())
	}
	b.refilledAt = now
}
