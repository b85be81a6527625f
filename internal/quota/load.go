package quota

import (
	"time"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

const (
	// maxAsks is the number of requests a second that an owner takes from all nodes. One
	// takes 9 us without the transport (go test -bench Ask), and an owner may have less than
	// a core.
	maxAsks = 4_000
	// maxPause bounds the time between two requests of a node, for which attempts wait.
	maxPause = 100 * time.Millisecond
	// loadTime is the time over which requests are counted.
	loadTime = 200 * time.Millisecond
)

// askLoad counts the requests to the owner, and has nodes send fewer if there are too many: one
// request then carries the needs of several attempts. It has no lock of its own.
type askLoad struct {
	since time.Duration
	asks  int
	nodes map[fleet.NodeID]struct{}
	pause time.Duration
}

// pauseAfter counts a request and returns the time until its node may send the next one.
func (l *askLoad) pauseAfter(now time.Duration, node fleet.NodeID) time.Duration {
	if elapsed := now - l.since; elapsed >= loadTime || l.nodes == nil {
		perSecond := float64(l.asks) / elapsed.Seconds()
		// At half of the limit the pauses end, so that they are not on and off in turn.
		switch {
		case perSecond > maxAsks:
			l.pause = min(time.Duration(float64(len(l.nodes))/maxAsks*float64(time.Second)), maxPause)
		case perSecond < maxAsks/2:
			l.pause = 0
		}
		l.since, l.asks, l.nodes = now, 0, make(map[fleet.NodeID]struct{})
	}
	l.asks++
	l.nodes[node] = struct{}{}
	return l.pause
}
