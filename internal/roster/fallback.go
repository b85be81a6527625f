package roster

import (
	"time"

	"github.com/guavatrack/guavatrack/internal/wait"
)

// fallbackLimiter paces the reads of the source by a node whose readers have failed. While
// the source itself is down, all nodes of a region would otherwise read it as often as
// its readers do, and still do so when it comes back.
type fallbackLimiter struct {
	// nextRead is when the node may read the source again, retryAt when it may ask a
	// reader again.
	nextRead, retryAt time.Time
	// pause is the pause after the next failure; 0 after a success.
	pause time.Duration
}

const (
	// minFallbackPause is the first pause between two reads of the source that fail. It
	// doubles with each one up to fallbackPausePerNode for each node of the region, so
	// that all of them together read at a bounded rate, but at least to
	// fallbackPauseLimit: a node of a small region reads the source within that time
	// after an outage, however long it was.
	minFallbackPause     = 500 * time.Millisecond
	fallbackPauseLimit   = 600 * time.Millisecond
	fallbackPausePerNode = 50 * time.Millisecond
	maxFallbackPause     = 8 * time.Second
	// readerRetryPause is the pause after a reader and the source have both failed. The
	// readers notice the end of an outage first.
	readerRetryPause = 500 * time.Millisecond
)

// mayRead reports whether the node may read the source in place of a reader.
func (l *fallbackLimiter) mayRead(now time.Time) bool { return !now.Before(l.nextRead) }

// mayTry reports whether the node may ask a reader, or read the source in its place.
func (l *fallbackLimiter) mayTry(now time.Time) bool { return !now.Before(l.retryAt) }

// recordFailure records that the source could not be read, or that it was too early to
// try. nodes is the number of nodes in the region.
func (l *fallbackLimiter) recordFailure(now time.Time, nodes int) {
	l.retryAt = now.Add(wait.Jitter(readerRetryPause))
	if !l.mayRead(now) {
		return
	}
	longest := min(max(fallbackPauseLimit, time.Duration(nodes)*fallbackPausePerNode), maxFallbackPause)
	l.pause = min(max(minFallbackPause, 2*l.pause), longest)
	l.nextRead = now.Add(wait.Jitter(l.pause))
}

// failing reports whether neither a reader nor the source could be read lately.
func (l *fallbackLimiter) failing() bool { return l.pause > 0 }

// recordSuccess records that a reader or the source was read.
func (l *fallbackLimiter) recordSuccess() { *l = fallbackLimiter{} }
