package policy

import "time"

// Thresholds of scaling. A busy item gets another replica soon and loses one
// late, and the thresholds are apart, so that the number does not swing.
const (
	scaleUpUse    = 0.8
	scaleDownUse  = 0.3
	scaleUpAfter  = 10 * time.Second
	scaleDownIdle = 5 * time.Minute
	// defaultConcurrency is used where a deployment states none.
	defaultConcurrency = 8
)

// Scale holds how long an item has been too busy or not busy enough for its
// replicas.
type Scale struct {
	HighSince, LowSince time.Time
}

// Use is what the replicas of an item do at present.
type Use struct {
	Replicas int
	// Running and Queued count requests on all replicas.
	Running, Queued int
	// Concurrency is the number of requests that a replica runs at once.
	Concurrency int
}

// Step returns the number of replicas to aim for within bounds, and the new
// state.
func (s Scale) Step(use Use, minimum, maximum int, now time.Time) (want int, next Scale) {
	want = min(max(use.Replicas, minimum), max(maximum, minimum))
	if use.Replicas == 0 {
		return want, Scale{}
	}
	if use.Concurrency <= 0 {
		use.Concurrency = defaultConcurrency
	}
	busy := float64(use.Running + use.Queued)
	high := busy > scaleUpUse*float64(use.Replicas*use.Concurrency)
	// Low means that one replica fewer would still be far from high.
	low := use.Replicas > 1 && busy < scaleDownUse*float64((use.Replicas-1)*use.Concurrency)
	if high {
		next.HighSince = since(s.HighSince, now)
	}
	if low {
		next.LowSince = since(s.LowSince, now)
	}
	switch {
	case high && now.Sub(next.HighSince) >= scaleUpAfter && want < maximum:
		return want + 1, Scale{}
	case low && now.Sub(next.LowSince) >= scaleDownIdle && want > max(1, minimum):
		return want - 1, Scale{}
	}
	return want, next
}

// since keeps the start of a state that goes on.
func since(start, now time.Time) time.Time {
	if start.IsZero() {
		return now
	}
	return start
}
