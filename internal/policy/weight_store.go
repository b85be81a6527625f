package policy

import (
	"time"

	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Default rates of the paths on which a checkpoint is read into accelerator
// memory. The rate of the weight store is used until loads have been observed.
const (
	defaultStoreBytesPerSecond = 2 * fleet.GiB
	diskBytesPerSecond         = 4 * fleet.GiB
	hostMemoryBytesPerSecond   = 16 * fleet.GiB
	linkBytesPerSecond         = 4 * fleet.MiB // tens of Mbit/s between regions
)

// minLoadTime is the minimum duration of a load of any item.
const minLoadTime = 5 * time.Millisecond

// WeightStore is the configuration and the observed condition of the weight
// store.
type WeightStore struct {
	// AdaptersInFlight is the number of concurrent adapter loads, over all
	// engines, that run at full speed; 0 means that of [AdapterBudget].
	AdaptersInFlight int
	// Region is the region of the store. If it is empty, the store is near all
	// servers.
	Region fleet.Region
	// Concurrency is the number of concurrent loads that run at full speed.
	Concurrency int
	// LoadsPerSecond is the maximum rate at which loads may start.
	LoadsPerSecond float64
	// BytesPerSecond is the rate of one load at full speed; 0 means the
	// default.
	BytesPerSecond fleet.Bytes
	// ReportLag is the maximum delay until the end of a load is reported.
	ReportLag time.Duration
	// Startup is the time that loading a base model takes in addition to the
	// transfer.
	Startup time.Duration
	// Slowness is the factor by which loads currently take longer, at least 1.
	Slowness float64
	// Down is set while loads from the store fail.
	Down bool
}

// slownessWeight is the weight of the newest load in the moving average of the
// slowness.
const slownessWeight = 0.3

// downSlowness is the slowness above which a load without any progress
// indicates that the store is down.
const downSlowness = 10

// Observe returns the store with its speed updated by one load from it that
// took the given time. A load that is faster than expected raises the rate at
// full speed.
func (s WeightStore) Observe(size fleet.Bytes, took time.Duration) WeightStore {
	if size <= 0 || took <= 0 {
		return s
	}
	transferTook := max(took-s.Startup, time.Millisecond)
	if transferTook < s.transferTime(size, 1) {
		s.BytesPerSecond = fleet.Bytes(float64(size) / transferTook.Seconds())
	}
	s.Slowness = (1-slownessWeight)*max(1, s.Slowness) + slownessWeight*s.slowness(size, took)
	s.Down = false
	return s
}

// observeOverdue returns the store updated by a load that has been running for
// the given time. Its slowness becomes at least that of the load. It is down if
// the load has made no progress and its slowness exceeds downSlowness.
func (s WeightStore) observeOverdue(held ServerGrant, elapsed time.Duration) WeightStore {
	slowness := s.slowness(held.Size, elapsed)
	if slowness > max(1, s.Slowness) {
		s.Slowness = slowness
	}
	s.Down = s.Down || (held.Progress == 0 && slowness > downSlowness)
	return s
}

// slowness returns the factor by which a load takes longer than at full speed.
// The report lag is not counted, since the end of a load may be observed that
// much later.
func (s WeightStore) slowness(size fleet.Bytes, took time.Duration) float64 {
	expected := max(s.transferTime(size, 1), minLoadTime)
	late := took - s.Startup - expected - s.ReportLag
	return 1 + max(0, late).Seconds()/expected.Seconds()
}

// LoadTime returns the expected duration of a load on a server, which depends
// on the tier that caches the checkpoint there. Waiting for a slot is not
// included.
func (s WeightStore) LoadTime(item fleet.Item, size fleet.Bytes, server *Server) time.Duration {
	startup := minLoadTime
	if !item.IsAdapter() {
		startup = max(minLoadTime, s.Startup)
	}
	switch server.Checkpoints[item.String()] {
	case engine.HostMemory:
		return startup + durationAt(size, hostMemoryBytesPerSecond)
	case engine.LocalDisk:
		return startup + durationAt(size, diskBytesPerSecond)
	default:
	}
	remote := s.transferTime(size, max(1, s.Slowness))
	if s.Region != "" && server.Region != s.Region {
		remote = max(remote, durationAt(size, linkBytesPerSecond))
	}
	return startup + remote
}

// transferTime returns how long the store takes to transfer bytes at a
// slowness.
func (s WeightStore) transferTime(size fleet.Bytes, slowness float64) time.Duration {
	rate := s.BytesPerSecond
	if rate == 0 {
		rate = defaultStoreBytesPerSecond
	}
	return time.Duration(slowness * float64(durationAt(size, rate)))
}

// durationAt returns how long a transfer takes at a rate.
func durationAt(size, bytesPerSecond fleet.Bytes) time.Duration {
	return time.Duration(float64(size) / float64(bytesPerSecond) * float64(time.Second))
}

// readsFromStore reports whether a load on the server would read from the
// weight store.
func readsFromStore(item fleet.Item, server *Server) bool {
	_, cached := server.Checkpoints[item.String()]
	return !cached
}
