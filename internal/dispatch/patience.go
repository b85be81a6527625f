package dispatch

import (
	"time"

	"github.com/guavatrack/guavatrack/internal/retry"
)

// served notes the end of a request that got its answer.
func (l *lane) served(span time.Duration, work float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue.Served(span, work)
}

// firstByte notes the time to a first byte.
func (l *lane) firstByte(stream bool, span time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.quantiles(stream).Observe(span)
}

func (l *lane) quantiles(stream bool) *retry.Quantiles {
	if stream {
		return &l.streamed
	}
	return &l.whole
}

// Timing of hedges and of the first suspicion of silence.
const (
	hedgeQuantile   = 0.95
	hedgeMedians    = 3
	leastHedgeDelay = 20 * time.Millisecond
	lateQuantile    = 0.99
	lateFactor      = 3
	leastSilence    = time.Second
	unknownSilence  = 5 * time.Second
)

// patience returns after which time without a first byte a call is hedged and
// after which its connection is suspected. The first is 0 if too little is
// known.
func (l *lane) patience(stream bool) (hedge, silence time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.quantiles(stream)
	late, enough := known.At(lateQuantile)
	if !enough {
		return 0, unknownSilence
	}
	high, _ := known.At(hedgeQuantile)
	median, _ := known.At(0.5)
	return max(leastHedgeDelay, min(high, hedgeMedians*median)), max(leastSilence, min(lateFactor*late, unknownSilence))
}
