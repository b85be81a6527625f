package dispatch

import (
	"context"
	"time"
)

// ServerLoad is what a server reports of itself.
type ServerLoad struct {
	// Running and Queued are the numbers of calls of all nodes.
	Running, Queued int
	// Slowdown is how long work takes there now, relative to the usual; 0 if it does not
	// report that.
	Slowdown float64
}

// LoadReader is a [Prober] that can ask a server for its load.
type LoadReader interface {
	// ReadLoad returns the load of a server now; found is false if it does not tell.
	ReadLoad(ctx context.Context, replica Replica) (load ServerLoad, found bool)
}

// Parameters of confirmPace.
const (
	// freshReading is the age up to which a reading is not asked for again.
	freshReading = 50 * time.Millisecond
	// paceReadTimeout bounds the time that a call waits for a reading.
	paceReadTimeout = 25 * time.Millisecond
	// maxPaceMoves is the number of times that a call moves to another server.
	maxPaceMoves = 2
	// minSlowRatio is the factor of a server, relative to its mean, from which on a call
	// moves.
	minSlowRatio = 1.4
	// A call asks only if less than objectiveRatio times the low time to the first byte is
	// left to its objective, or if that time is unknown: otherwise a slow server meets the
	// objective as well.
	objectiveRatio = 4
)

// confirmPace asks the server of a slot how long work takes there now, if the last reading
// is old, and takes the slot at another server instead if the server is slow now or full.
// The reading that comes with an answer is too late for its own call, and with many nodes
// too old for the next one.
func (d *Dispatcher) confirmPace(call *Call, taken *slot) *slot {
	reader, found := d.Prober.(LoadReader)
	if !found || !d.ReadPace || call.exclusive || !d.pace.applies(call.Pool) || !d.pace.reports(call.Pool) {
		return taken
	}
	left, low := time.Until(call.Objective), d.pace.lowTime(call, 0)
	if left <= 0 || low > 0 && left >= objectiveRatio*low {
		return taken
	}
	for range maxPaceMoves {
		if !d.slowNow(call, reader, taken) {
			return taken
		}
		other, found := d.takeSlot(call, time.Now(), false)
		if !found {
			return taken
		}
		if other.replica.Server == taken.replica.Server {
			d.releaseSlot(other)
			return taken
		}
		d.meters.paceMoves.Inc(1)
		d.releaseSlot(taken)
		taken = other
	}
	return taken
}

// slowNow reports whether the server of a slot that no call uses yet is slow now, or full.
func (d *Dispatcher) slowNow(call *Call, reader LoadReader, taken *slot) bool {
	server, full := taken.server, false
	if !server.readSince(time.Now().Add(-freshReading)) {
		ctx, cancel := context.WithTimeout(call.Context, paceReadTimeout)
		defer cancel()
		load, found := reader.ReadLoad(ctx, taken.replica)
		d.meters.paceReads.Inc(1)
		if !found {
			return false
		}
		now := time.Now()
		server.recordLoad(now, taken, load.Running+load.Queued+1)
		full = load.Running+load.Queued >= taken.replica.Slots
		if load.Slowdown > 0 {
			server.recordSlowdown(now, load.Slowdown)
		}
	}
	expected, mean := server.slowdown(time.Now())
	return full || expected > minSlowRatio*mean
}

// readSince reports whether the last reading of the server is from after a time.
func (s *serverState) readSince(after time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, age, found := s.factor.Last(after)
	return found && age < 0
}
