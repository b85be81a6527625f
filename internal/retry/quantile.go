package retry

import (
	"math"
	"time"
)

const (
	// bucketGrowth is the ratio of the upper bounds of adjacent buckets.
	bucketGrowth = 1.2
	bucketCount  = 80
	// firstBound is the upper bound of the first bucket.
	firstBound = 100 * time.Microsecond
	// decayCount is the total count at which all counts are halved, so that old
	// durations lose weight.
	decayCount = 1024
	// minCount is the total count below which no quantiles are returned.
	minCount = 20
)

// QuantileEstimator estimates quantiles of recent durations from a histogram
// with exponential buckets.
type QuantileEstimator struct {
	buckets [bucketCount]float64
	total   float64
}

// Observe records a duration.
func (q *QuantileEstimator) Observe(duration time.Duration) {
	bucket := 0
	if duration > firstBound {
		bucket = min(bucketCount-1, int(math.Log(float64(duration)/float64(firstBound))/math.Log(bucketGrowth))+1)
	}
	q.buckets[bucket]++
	q.total++
	if q.total < decayCount {
		return
	}
	q.total = 0
	for i := range q.buckets {
		q.buckets[i] /= 2
		q.total += q.buckets[i]
	}
}

// Quantile returns an upper bound of the given quantile, and false if fewer
// than minCount durations are counted.
func (q *QuantileEstimator) Quantile(quantile float64) (time.Duration, bool) {
	if q.total < minCount {
		return 0, false
	}
	remaining := quantile * q.total
	for i, count := range q.buckets {
		remaining -= count
		if remaining <= 0 {
			return time.Duration(float64(firstBound) * math.Pow(bucketGrowth, float64(i))), true
		}
	}
	return time.Duration(float64(firstBound) * math.Pow(bucketGrowth, bucketCount-1)), true
}
