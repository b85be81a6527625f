package route

import "time"

// Timing and bounds of ejections.
const (
	// A failure counts as much as failureWeight successes, so that a server
	// that fails now and then is ejected as well.
	failureWeight   = 2
	failuresToEject = 5
	firstEjection   = time.Second
	longestEjection = 30 * time.Second
)

// Health decides whether a server that failed gets work. After several failures
// in a row it is ejected for a time that doubles with each ejection. Then one
// request tries it: if that succeeds the server is back.
type Health struct {
	failures  int // failureWeight for each failure less the successes since
	ejections int
	until     time.Time
	trying    bool
}

// Ejected reports whether the server gets no work.
func (h *Health) Ejected(now time.Time) bool {
	return now.Before(h.until) || h.trying
}

// Started notes that a request was sent to the server.
func (h *Health) Started(now time.Time) {
	if !h.until.IsZero() && !now.Before(h.until) {
		h.trying = true
	}
}

// Succeeded notes that the server answered.
func (h *Health) Succeeded() {
	if h.trying {
		h.trying = false
		h.until = time.Time{}
		return
	}
	h.failures = max(0, h.failures-1)
	if h.failures == 0 && h.until.IsZero() {
		h.ejections = max(0, h.ejections-1)
	}
}

// Failed notes that the server did not answer and reports whether it was
// ejected for that.
func (h *Health) Failed(now time.Time) bool {
	h.failures += failureWeight
	if !h.trying && h.failures < failuresToEject {
		return false
	}
	return h.eject(now)
}

// Lost notes that the server's process has ended, and ejects it.
func (h *Health) Lost(now time.Time) { h.eject(now) }

func (h *Health) eject(now time.Time) bool {
	if now.Before(h.until) {
		return false
	}
	h.until = now.Add(min(longestEjection, firstEjection<<min(h.ejections, 10)))
	h.ejections++
	h.trying = false
	h.failures = 0
	return true
}

// Abandoned notes that a request ended without telling anything of the server.
func (h *Health) Abandoned() { h.trying = false }
