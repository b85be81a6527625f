package admission

import "time"

// Timing and steps of a [Limit].
const (
	// settle is the shortest time between two reductions for declined requests,
	// in which the first one takes effect.
	settle        = time.Second
	declineFactor = 0.7
	raiseStep     = 1
	// A first byte is late if it takes lateFactor times the fastest and
	// lateAllowance more.
	lateFactor    = 3
	lateAllowance = 20 * time.Millisecond
	lateCut       = 0.9
	// successStep is what each success adds to a limit that is in use.
	successStep = 0.25
	// initialLimit is where a limit starts, unless Max is lower.
	initialLimit = 16
)

// Limit adapts how many requests a node has under way at one replica. It starts
// low and grows with each success until the replica is seen to queue requests.
// Then it is cut to the node's share of what the replica runs at once, and grows
// by a step with each report without a queue. So the nodes that share a replica
// end up near equal shares without talking to each other.
type Limit struct {
	// Max is the number of requests that the replica runs at once.
	Max int

	value     float64
	fastest   time.Duration
	full      bool
	changedAt time.Time
	seen      time.Time
}

// Value returns the limit, which is at least 1.
func (l *Limit) Value() int {
	if l.value == 0 {
		return min(max(1, l.Max), initialLimit)
	}
	return min(max(1, l.Max), max(1, int(l.value)))
}

// Report notes a load report: what the replica ran and queued for all nodes at
// the time asOf, and what the node has under way. Reports lag, so one that
// describes the time before the last change is ignored.
func (l *Limit) Report(now, asOf time.Time, running, queued, inFlight int) {
	if !asOf.After(l.seen) || asOf.Before(l.changedAt) {
		return
	}
	l.seen = asOf
	switch {
	case queued > 0:
		share := float64(running) / float64(running+queued)
		l.full = true
		l.change(now, max(1, share*float64(max(inFlight, l.Value()))))
	case inFlight >= l.Value():
		l.change(now, float64(l.Value()+raiseStep))
	}
}

// Succeeded notes the whole answer to a request whose first byte took a while.
// A first byte that is late compared with the fastest one says, long before a
// report does, that the replica queues requests.
func (l *Limit) Succeeded(inFlight int, firstByte time.Duration) {
	if l.fastest == 0 || firstByte < l.fastest {
		l.fastest = firstByte
	}
	if !l.full && firstByte > lateFactor*l.fastest+lateAllowance {
		l.full = true
		l.value = max(1, lateCut*float64(l.Value()))
	}
	if !l.full && inFlight >= l.Value() && l.Value() < l.Max {
		l.value = max(l.value, float64(l.Value())) + successStep
	}
}

// Declined notes that the replica did not take a request for lack of room, or
// did not end it in time.
func (l *Limit) Declined(now time.Time) {
	if now.Before(l.changedAt.Add(settle)) {
		return
	}
	l.full = true
	l.change(now, max(1, float64(l.Value())*declineFactor))
}

func (l *Limit) change(now time.Time, value float64) {
	l.value = value
	l.changedAt = now
}
