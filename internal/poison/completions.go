package poison

import "time"

// Bounds of the record of completed answers.
const (
	// latelyCompleted is the time for which the parts of a completed answer are
	// blamed after others only, and for which its request needs no trial after one crash.
	latelyCompleted = 3 * time.Second
	// maxCompletions bounds each of the two generations of the record.
	maxCompletions = 2048
)

// completions records when the latest answers to requests with a digest began, of those
// that were completed. It has two generations, of which the older one is dropped when the
// newer one is full or old. It is not safe for concurrent use.
type completions struct {
	newer, older map[Digest]time.Time
	since        time.Time
}

// record records a completed answer that began at a time.
func (c *completions) record(now, began time.Time, part Digest) {
	if c.newer == nil || len(c.newer) >= maxCompletions || now.Sub(c.since) > latelyCompleted {
		c.newer, c.older, c.since = make(map[Digest]time.Time), c.newer, now
	}
	if began.After(c.newer[part]) {
		c.newer[part] = began
	}
}

// last returns when the latest completed answer of a part began; zero if none is known.
func (c *completions) last(part Digest) time.Time {
	newer, older := c.newer[part], c.older[part]
	if older.After(newer) {
		return older
	}
	return newer
}

// lately reports whether an answer to a request with the part began lately and was
// completed.
func (c *completions) lately(now time.Time, part Digest) bool {
	last := c.last(part)
	return !last.IsZero() && now.Sub(last) <= latelyCompleted
}
