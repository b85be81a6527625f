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
// one. It also tells which callers surge, that is send more than usual while the others
// don't. It is safe for concurrent use.
type UsualWork struct {
	mu sync.Mutex
	// sums hold the tokens of each flow that count as usual, recent those that don't yet:
	// of the present interval and of the one before. They are multiplied by the growth from
	// scaledAt to the time of the request, which has the effect of a decay of older ones.
	sums, recent, before map[flowKey]float64
	total                float64
	scaledAt, intervalAt time.Time
	// callers hold the sums by caller, to tell those that send more than usual.
	callers map[fleet.CallerID]*callerWork
	present decayingSum
}

// callerWork is the work of one caller in all classes.
type callerWork struct {
	// usual is the sum of its flows.
	usual   float64
	present decayingSum
}

// decayingSum is a sum of tokens that decays with surgeWindow.
type decayingSum struct {
	tokens float64
	at     time.Time
}

// add adds tokens and returns the sum.
func (s *decayingSum) add(now time.Time, tokens float64) float64 {
	s.tokens = s.tokens*math.Exp(-float64(max(0, now.Sub(s.at)))/float64(surgeWindow)) + tokens
	s.at = now
	return s.tokens
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
	// maxTokens bounds the size of a request that counts, since callers state it. It is about
	// the memory of an engine.
	maxTokens = 1 << 16
	// maxWeight bounds the weight of a flow, so that a caller that always sends far more
	// than others doesn't take all of a queue, and minWeight that of one that sends next to
	// nothing, so that the second of two requests doesn't wait for tens of seconds.
	maxWeight = 8
	minWeight = 0.125
	// surgeWindow is the time constant of the present work of callers. A caller surges if
	// its work relative to that of the others is surgeFactor times the usual, and
	// surgeTokens more, since single requests say nothing.
	surgeWindow = 3 * time.Second
	surgeFactor = 2
	surgeTokens = 6_000
	// usualRescale is the age at which sums are scaled, to keep the growth bounded.
	usualRescale = 10 * usualWindow
)

// Record adds a request and returns the weight of its caller, relative to the average flow,
// and whether the caller surges.
func (u *UsualWork) Record(now time.Time, caller fleet.CallerID, rank, tokens int) (weight float64, surges bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.sums == nil {
		u.sums, u.recent, u.before = make(map[flowKey]float64), make(map[flowKey]float64), make(map[flowKey]float64)
		u.callers = make(map[fleet.CallerID]*callerWork)
		u.scaledAt, u.intervalAt = now, now
	}
	if now.Sub(u.intervalAt) >= usualInterval {
		u.endInterval(now)
	}
	growth := math.Exp(float64(max(0, now.Sub(u.scaledAt))) / float64(usualWindow))
	key := flowKey{class: classOf(rank), caller: caller}
	size := float64(min(max(1, tokens), maxTokens))
	u.recent[key] += size * growth
	prior := usualPrior * growth
	weight = (u.sums[key] + prior) / (u.total/float64(max(1, len(u.sums))) + prior)
	return min(max(weight, minWeight), maxWeight), u.surges(now, caller, size)
}

// surges adds a request to the present work and reports whether its caller surges.
func (u *UsualWork) surges(now time.Time, caller fleet.CallerID, size float64) bool {
	work := u.work(caller)
	own := work.present.add(now, size)
	others, usualOthers := u.present.add(now, size)-own, u.total-work.usual
	return usualOthers > 0 && own > surgeFactor*others*work.usual/usualOthers+surgeTokens
}

// work returns the work of a caller and creates it if there is none.
func (u *UsualWork) work(caller fleet.CallerID) *callerWork {
	found := u.callers[caller]
	if found == nil {
		found = &callerWork{}
		u.callers[caller] = found
	}
	return found
}

// endInterval has the requests of the interval before the present one count as usual.
func (u *UsualWork) endInterval(now time.Time) {
	for key, sum := range u.before {
		u.sums[key] += sum
		u.total += sum
		u.work(key.caller).usual += sum
	}
	u.before, u.recent = u.recent, make(map[flowKey]float64)
	u.intervalAt = now
	if age := now.Sub(u.scaledAt); age > usualRescale {
		growth := math.Exp(float64(age) / float64(usualWindow))
		u.total = rescale(u.sums, growth)
		rescale(u.before, growth)
		u.scaledAt = now
		clear(u.callers)
		for key, sum := range u.sums {
			u.work(key.caller).usual += sum
		}
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
