package pace

import (
	"math/bits"
	"time"
)

// Parameters of a [LowTime]. It settles where a share of up/(up+down) of the times, a tenth,
// is lower.
const (
	lowStepUp   = 0.02
	lowStepDown = 0.18
	// minLowCount is the number of times from which on the low time is known.
	minLowCount = 5
)

// LowTime is about the lower decile of recent times to the first byte of the servers of a
// pool, for each size class of requests: the powers of two of their tokens.
type LowTime struct {
	classes [33]lowClass
}

type lowClass struct {
	low   time.Duration
	count int
}

// class returns the class of requests of a number of tokens.
func (l *LowTime) class(tokens int) *lowClass {
	return &l.classes[min(bits.Len(uint(max(0, tokens))), len(l.classes)-1)]
}

// Record records the time to the first byte of a request of a number of tokens.
func (l *LowTime) Record(tokens int, elapsed time.Duration) {
	class := l.class(tokens)
	class.count = min(class.count+1, minLowCount)
	switch {
	case class.count == 1:
		class.low = elapsed
	case elapsed < class.low:
		class.low = max(elapsed, class.low-time.Duration(lowStepDown*float64(class.low)))
	default:
		class.low = min(elapsed, class.low+time.Duration(lowStepUp*float64(class.low)))
	}
}

// Low returns the low time of requests of a number of tokens; 0 if it is unknown.
func (l *LowTime) Low(tokens int) time.Duration {
	class := l.class(tokens)
	if class.count < minLowCount {
		return 0
	}
	return class.low
}
