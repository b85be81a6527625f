package dispatch

import (
	"sync"
	"time"

	"github.com/guavatrack/guavatrack/internal/route"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Limits of the bytes that a node sends and receives over the link between
// regions.
const (
	linkBytesPerSecond = 256 * fleet.KiB
	linkBurstBytes     = 4 * fleet.MiB
)

// linkState is a [route.LinkLimiter] with its lock.
type linkState struct {
	sync.Mutex
	route.LinkLimiter
}

func (l *linkState) setUp() {
	l.PerSecond, l.Burst = linkBytesPerSecond, linkBurstBytes
}

// linkOpen reports whether the byte budget of the link allows another request to
// leave the region.
func (d *Dispatcher) linkOpen(now time.Time) bool {
	d.link.Lock()
	defer d.link.Unlock()
	return d.link.Allow(now)
}

// countCrossRegion counts the bytes of a request that left the region against
// the link and in the metrics.
func (d *Dispatcher) countCrossRegion(taken *slot) {
	size := fleet.Bytes(taken.bytes.Load())
	d.link.Lock()
	defer d.link.Unlock()
	d.link.Record(time.Now(), taken.cause, size)
	d.meters.crossRegionBytes[taken.cause].Inc(int64(size))
}
