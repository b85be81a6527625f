package policy

import "time"

// Thresholds of scaling. An overloaded item gets another replica quickly and
// loses one slowly. The thresholds are far apart, so that the number of
// replicas does not oscillate.
const (
	scaleUpUtilisation   = 0.8
	scaleDownUtilisation = 0.3
	scaleUpAfter         = 10 * time.Second
	scaleDownAfter       = 5 * time.Minute
	// defaultConcurrency is the concurrency of a deployment that states none.
	defaultConcurrency = 8
)

// ScalingState tells since when the utilisation of an item has been too high or
// too low for its number of replicas.
type ScalingState struct {
	HighSince, LowSince time.Time
}

// Utilisation is the present load on an item's replicas.
type Utilisation struct {
	Replicas int
	// Running and Queued count requests on all replicas.
	Running, Queued int
	// Concurrency is the number of requests that a replica runs concurrently.
	Concurrency int
}

// Step returns the number of replicas to aim for within the bounds, and the
// next state.
func (s ScalingState) Step(utilisation Utilisation, minimum, maximum int, now time.Time) (want int, next ScalingState) {
	want = min(max(utilisation.Replicas, minimum), max(maximum, minimum))
	if utilisation.Replicas == 0 {
		return want, ScalingState{}
	}
	if utilisation.Concurrency <= 0 {
		utilisation.Concurrency = defaultConcurrency
	}
	busy := float64(utilisation.Running + utilisation.Queued)
	high := busy > scaleUpUtilisation*float64(utilisation.Replicas*utilisation.Concurrency)
	// Utilisation is low if it would still be far below the upper threshold
	// with one replica fewer.
	low := utilisation.Replicas > 1 && busy < scaleDownUtilisation*float64((utilisation.Replicas-1)*utilisation.Concurrency)
	if high {
		next.HighSince = startOrNow(s.HighSince, now)
	}
	if low {
		next.LowSince = startOrNow(s.LowSince, now)
	}
	switch {
	case high && now.Sub(next.HighSince) >= scaleUpAfter && want < maximum:
		return want + 1, ScalingState{}
	case low && now.Sub(next.LowSince) >= scaleDownAfter && want > max(1, minimum):
		return want - 1, ScalingState{}
	}
	return want, next
}

// startOrNow returns the start of a condition that persists, or now if it
// begins now.
func startOrNow(start, now time.Time) time.Time {
	if start.IsZero() {
		return now
	}
	return start
}
