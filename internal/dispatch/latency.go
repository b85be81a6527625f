package dispatch

import (
	"time"

	"github.com/guavatrack/guavatrack/internal/retry"
)

// recordServed records the service time of a request that was answered.
func (q *waitQueue) recordServed(elapsed time.Duration, work float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pending.RecordServiceTime(elapsed, work)
}

// recordFirstByte records the time to a first byte.
func (q *waitQueue) recordFirstByte(stream bool, elapsed time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.firstByteTimes(stream).Observe(elapsed)
}

// firstByteTimes returns the times to the first byte of streams or of whole
// answers. The caller holds the lock.
func (q *waitQueue) firstByteTimes(stream bool) *retry.QuantileEstimator {
	if stream {
		return &q.streamTimes
	}
	return &q.wholeTimes
}

// Parameters of firstByteTimeouts. The hedge delay is the hedgeQuantile of the
// times to the first byte, but at most hedgeMedianFactor times their median and at
// least minHedgeDelay. The silence timeout is silenceFactor times their
// silenceQuantile, between minSilenceTimeout and maxSilenceTimeout; it is
// maxSilenceTimeout if too few times have been recorded.
const (
	hedgeQuantile     = 0.95
	hedgeMedianFactor = 3
	minHedgeDelay     = 20 * time.Millisecond
	silenceQuantile   = 0.99
	silenceFactor     = 3
	minSilenceTimeout = time.Second
	maxSilenceTimeout = 5 * time.Second
)

// firstByteTimeouts returns how long a call waits for the first byte before it
// is hedged and before its connection is checked for silence. The hedge delay is
// 0 if too few times have been recorded.
func (q *waitQueue) firstByteTimeouts(stream bool) (hedge, silence time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	times := q.firstByteTimes(stream)
	late, enough := times.Quantile(silenceQuantile)
	if !enough {
		return 0, maxSilenceTimeout
	}
	high, _ := times.Quantile(hedgeQuantile)
	median, _ := times.Quantile(0.5)
	return max(minHedgeDelay, min(high, hedgeMedianFactor*median)), max(minSilenceTimeout, min(silenceFactor*late, maxSilenceTimeout))
}
