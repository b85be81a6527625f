package retry

import (
	"math"
	"time"
)

const (
	// bucketGrowth is the ratio of the bounds of neighbouring buckets.
	bucketGrowth = 1.2
	bucketCount  = 80
	// smallest is the bound of the first bucket.
	smallest = 100 * time.Microsecond
	// window is the number of durations after which old ones are halved.
	window = 1024
	// enough is the number of durations from which on quantiles are given.
	enough = 20
)

// Quantiles estimates quantiles of recent durations.
type Quantiles struct {
	buckets [bucketCount]float64
	total   float64
}

// Observe adds a duration.
func (q *Quantiles) Observe(span time.Duration) {
	bucket := 0
	if span > smallest {
		bucket = min(bucketCount-1, int(math.Log(float64(span)/float64(smallest))/math.Log(bucketGrowth))+1)
	}
	q.buckets[bucket]++
	q.total++
	if q.total < window {
		return
	}
	q.total = 0
	for at := range q.buckets {
		q.buckets[at] /= 2
		q.total += q.buckets[at]
	}
}

// At returns an upper bound of the given quantile, and false if too few
// durations are known.
func (q *Quantiles) At(quantile float64) (time.Duration, bool) {
	if q.total < enough {
		return 0, false
	}
	left := quantile * q.total
	for at, count := range q.buckets {
		left -= count
		if left <= 0 {
			return time.Duration(float64(smallest) * math.Pow(bucketGrowth, float64(at))), true
		}
	}
	return time.Duration(float64(smallest) * math.Pow(bucketGrowth, bucketCount-1)), true
}
