package route

import "time"

// Thresholds and durations of ejections.
const (
	// failureWeight is the number of successes that make up for one failure, so
	// that a server that fails intermittently is ejected as well.
	failureWeight = 2
	// ejectionThreshold is the failure score at which a server is ejected.
	ejectionThreshold = 5
	firstEjection     = time.Second
	maxEjection       = 30 * time.Second
)

// Health is the circuit breaker of a server. After several failures the server
// is ejected for a time that doubles with each ejection. Then a single request
// probes it, and the server gets requests again if the probe succeeds.
type Health struct {
	failureScore int // failureWeight for each failure, minus the successes since
	ejections    int
	ejectedUntil time.Time
	probing      bool
}

// Ejected reports whether the server gets no requests.
func (h *Health) Ejected(now time.Time) bool {
	return now.Before(h.ejectedUntil) || h.probing
}

// RecordStart records that a request was sent to the server. After an ejection
// has expired, that request is the probe.
func (h *Health) RecordStart(now time.Time) {
	if !h.ejectedUntil.IsZero() && !now.Before(h.ejectedUntil) {
		h.probing = true
	}
}

// RecordSuccess records that the server answered a request.
func (h *Health) RecordSuccess() {
	if h.probing {
		h.probing = false
		h.ejectedUntil = time.Time{}
		return
	}
	h.failureScore = max(0, h.failureScore-1)
	if h.failureScore == 0 && h.ejectedUntil.IsZero() {
		h.ejections = max(0, h.ejections-1)
	}
}

// RecordFailure records that the server failed a request and reports whether
// this ejected the server.
func (h *Health) RecordFailure(now time.Time) bool {
	h.failureScore += failureWeight
	if !h.probing && h.failureScore < ejectionThreshold {
		return false
	}
	return h.eject(now)
}

// RecordCrash records that the server's process has ended, and ejects the
// server.
func (h *Health) RecordCrash(now time.Time) { h.eject(now) }

// eject ejects the server unless it is already ejected, and reports whether it
// did.
func (h *Health) eject(now time.Time) bool {
	if now.Before(h.ejectedUntil) {
		return false
	}
	h.ejectedUntil = now.Add(min(maxEjection, firstEjection<<min(h.ejections, 10)))
	h.ejections++
	h.probing = false
	h.failureScore = 0
	return true
}

// RecordAbandoned records that a request ended without a result that says
// anything about the health of the server.
func (h *Health) RecordAbandoned() { h.probing = false }
