package admission

import "time"

// Timing and steps of a [Limit].
const (
	// settle is the time in which a change of the limit shows in the reports.
	settle        = time.Second
	declineFactor = 0.7
	queuedFactor  = 0.85
	raiseStep     = 1
)

// Limit adapts how many requests a node has under way at one replica. It grows
// by steps while the replica queues nothing and shrinks by factors when it
// queues or declines, so that the nodes that share the replica end up near equal
// shares without talking to each other.
type Limit struct {
	// Max is the number of requests that the replica runs at once.
	Max int

	value     float64
	changedAt time.Time
	seen      time.Time
}

// Value returns the limit, which is at least 1.
func (l *Limit) Value() int {
	if l.value == 0 {
		return max(1, l.Max)
	}
	return max(1, int(l.value))
}

// Report notes a load report. Reports lag, so one that describes the time
// before the last change is ignored.
func (l *Limit) Report(now, asOf time.Time, queued, inFlight int) {
	if !asOf.After(l.seen) || asOf.Before(l.changedAt) {
		return
	}
	l.seen = asOf
	switch {
	case queued > 0:
		l.change(now, max(1, float64(l.Value())*queuedFactor))
	case inFlight >= l.Value():
		l.change(now, min(float64(max(1, l.Max)), float64(l.Value()+raiseStep)))
	}
}

// Declined notes that the replica did not take a request for lack of room.
func (l *Limit) Declined(now time.Time) {
	if now.Before(l.changedAt.Add(settle)) && l.value != 0 {
		return
	}
	l.change(now, max(1, float64(l.Value())*declineFactor))
}

func (l *Limit) change(now time.Time, value float64) {
	l.value = value
	l.changedAt = now
}
