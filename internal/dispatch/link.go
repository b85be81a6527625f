package dispatch

import (
	"sync"
	"time"

	"github.com/guavatrack/guavatrack/internal/route"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Bounds of what a node sends and receives over the link between regions.
const (
	linkPerSecond = 256 * fleet.KiB
	linkBurst     = 4 * fleet.MiB
)

// linkState guards [route.Link].
type linkState struct {
	sync.Mutex
	route.Link
}

func (l *linkState) setUp() {
	l.PerSecond, l.Burst = linkPerSecond, linkBurst
}

// linkOpen reports whether another request may leave the region.
func (d *Dispatcher) linkOpen(now time.Time) bool {
	d.link.Lock()
	defer d.link.Unlock()
	return d.link.Open(now)
}

// crossed counts the bytes of a request that left the region.
func (d *Dispatcher) crossed(taken *slot) {
	size := fleet.Bytes(taken.bytes.Load())
	d.link.Lock()
	defer d.link.Unlock()
	d.link.Use(time.Now(), taken.cause, size)
	d.meters.crossed[taken.cause].Inc(int64(size))
}
