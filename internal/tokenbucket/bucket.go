// Package tokenbucket has a bucket that fills with tokens at a rate.
package tokenbucket

import "time"

// Bucket is the level of a bucket, in tokens. It reads no clock: its user tells how much time has
// passed, by the clock that the user trusts. It may be in debt, with a level below 0.
type Bucket float64

// Fill adds the tokens of a span of time, up to a capacity, and returns how many the span has
// brought, also beyond the capacity.
func (b *Bucket) Fill(elapsed time.Duration, perSecond, capacity float64) (brought float64) {
	if elapsed <= 0 {
		return 0
	}
	brought = elapsed.Seconds() * perSecond
	*b = min(*b+Bucket(brought), Bucket(capacity))
	return brought
}

// Take removes tokens.
func (b *Bucket) Take(amount float64) { *b -= Bucket(amount) }

// Missing returns the number of tokens that the bucket lacks of an amount.
func (b *Bucket) Missing(amount float64) float64 { return max(0, amount-float64(*b)) }

// FillTime returns the time in which a number of tokens come.
func FillTime(amount, perSecond float64) time.Duration {
	return time.Duration(amount / perSecond * float64(time.Second))
}
