package admission

import "time"

// Parameters of a [Limit].
const (
	// minReductionInterval is the minimum time between two reductions for
	// declined requests. It leaves time for the first one to take effect.
	minReductionInterval = time.Second
	declineReduction     = 0.7
	increaseStep         = 1
	// The time to the first byte is late if it exceeds lateFactor times the
	// minimum plus lateAllowance.
	lateFactor    = 3
	lateAllowance = 20 * time.Millisecond
	lateReduction = 0.9
	// successStep is added to the limit at each success while all of it is in
	// use.
	successStep = 0.25
	// initialLimit is the initial limit, unless Max is lower.
	initialLimit = 16
)

// Limit is an adaptive limit of the requests that a node has in flight at one
// replica. It starts low and grows with each success until the replica is found
// to queue requests. It is then reduced to the node's share of the requests that
// the replica runs at once, and grows by a step with each load report without a
// queue. So the nodes that share a replica converge to nearly equal shares
// without communication between them.
type Limit struct {
	// Max is the number of requests that the replica runs at once.
	Max int

	value        float64
	minFirstByte time.Duration
	saturated    bool
	changedAt    time.Time
	lastReport   time.Time
}

// Value returns the limit, which is at least 1.
func (l *Limit) Value() int {
	if l.value == 0 {
		return min(max(1, l.Max), initialLimit)
	}
	return min(max(1, l.Max), max(1, int(l.value)))
}

// RecordLoad adjusts the limit to a load report: the requests of all nodes that
// the replica ran and queued at the time asOf, and those that this node has in
// flight. Reports lag, so one from before the last change of the limit is
// ignored.
func (l *Limit) RecordLoad(now, asOf time.Time, running, queued, inFlight int) {
	if !asOf.After(l.lastReport) || asOf.Before(l.changedAt) {
		return
	}
	l.lastReport = asOf
	switch {
	case queued > 0:
		share := float64(running) / float64(running+queued)
		l.saturated = true
		l.change(now, max(1, share*float64(max(inFlight, l.Value()))))
	case inFlight >= l.Value():
		l.change(now, float64(l.Value()+increaseStep))
	}
}

// RecordSuccess adjusts the limit after a complete answer whose first byte came
// after the time firstByte. A time that is late compared with the minimum
// shows, long before a load report does, that the replica queues requests.
func (l *Limit) RecordSuccess(inFlight int, firstByte time.Duration) {
	if l.minFirstByte == 0 || firstByte < l.minFirstByte {
		l.minFirstByte = firstByte
	}
	if !l.saturated && firstByte > lateFactor*l.minFirstByte+lateAllowance {
		l.saturated = true
		l.value = max(1, lateReduction*float64(l.Value()))
	}
	if !l.saturated && inFlight >= l.Value() && l.Value() < l.Max {
		l.value = max(l.value, float64(l.Value())) + successStep
	}
}

// RecordDecline reduces the limit after the replica declined a request for lack
// of capacity or did not complete it in time.
func (l *Limit) RecordDecline(now time.Time) {
	if now.Before(l.changedAt.Add(minReductionInterval)) {
		return
	}
	l.saturated = true
	l.change(now, max(1, float64(l.Value())*declineReduction))
}

// change sets the limit; load reports from before now are ignored after that.
func (l *Limit) change(now time.Time, value float64) {
	l.value = value
	l.changedAt = now
}
