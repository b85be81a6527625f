package admission

import (
	"math"
	"sync"
	"time"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// UsualWork averages the work that each caller sends in each class over a long time. The
// averages are the weights of callers in wait queues: a caller that sends more than usual
// waits behind its own requests, while a large caller at its usual load is not taken for
// one. It is safe for concurrent use.
type UsualWork struct {
	mu sync.Mutex
	// sums hold the tokens of each flow that count as usual, recent those that don't yet:
	// of the present interval and of the one before. They are multiplied by the growth from
	// scaledAt to the time of the request, which has the effect of a decay of older ones.
	sums, recent, before map[flowKey]float64
	total                float64
	scaledAt, intervalAt time.Time
}

const (
	// usualWindow is the time constant of the averages.
	usualWindow = 2 * time.Minute
	// usualInterval is the least time after which a request counts as usual. Surges last
	// 5 to 11 s; without the delay a surge of 6.5 times the usual load doubles the weight
	// of its caller if the node runs for a minute.
	usualInterval = 12 * time.Second
	// usualPrior is the work in tokens that each flow is assumed to have sent in addition,
	// so that the first requests at a node don't set the weights.
	usualPrior = 10_000
	// maxTokens bounds the size of a request that counts, since callers state it.
	maxTokens = 16_384
	// maxWeight bounds the weight of a flow, so that a caller that always sends far more
	// than others doesn't take all of a queue.
	maxWeight = 8
	// usualRescale is the age at which sums are scaled, to keep the growth bounded.
	usualRescale = 10 * usualWindow
)

// Record adds a request and returns the weight of its caller, relative to the average flow.
func (u *UsualWork) Record(now time.Time, caller fleet.CallerID, rank, tokens int) (weight float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.sums == nil {
		u.sums, u.recent, u.before = make(map[flowKey]float64), make(map[flowKey]float64), make(map[flowKey]float64)
		u.scaledAt, u.intervalAt = now, now
	}
	if now.Sub(u.intervalAt) >= usualInterval {
		u.endInterval(now)
	}
	growth := math.Exp(float64(max(0, now.Sub(u.scaledAt))) / float64(usualWindow))
	key := flowKey{class: classOf(rank), caller: caller}
	u.recent[key] += float64(min(max(1, tokens), maxTokens)) * growth
	prior := usualPrior * growth
	return min(maxWeight, (u.sums[key]+prior)/(u.total/float64(max(1, len(u.sums)))+prior))
}

// endInterval has the requests of the interval before the present one count as usual.
func (u *UsualWork) endInterval(now time.Time) {
	for key, sum := range u.before {
		u.sums[key] += sum
		u.total += sum
	}
	u.before, u.recent = u.recent, make(map[flowKey]float64)
	u.intervalAt = now
	if age := now.Sub(u.scaledAt); age > usualRescale {
		growth := math.Exp(float64(age) / float64(usualWindow))
		u.total = rescale(u.sums, growth)
		rescale(u.before, growth)
		u.scaledAt = now
	}
}

// rescale divides all sums by the growth, forgets the flows that have sent next to nothing
// in the window, and returns the total.
func rescale(sums map[flowKey]float64, growth float64) (total float64) {
	for key, sum := range sums {
		if sum /= growth; sum < 1 {
			delete(sums, key)
			continue
		}
		sums[key] = sum
		total += sum
	}
	return total
}
