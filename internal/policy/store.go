package policy

import (
	"time"

	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Default rates of the paths that a checkpoint takes into accelerator memory,
// used until loads have been observed.
const (
	defaultStoreBytesPerSecond = 2 * fleet.GiB
	diskBytesPerSecond         = 4 * fleet.GiB
	hostMemoryBytesPerSecond   = 16 * fleet.GiB
	linkBytesPerSecond         = 4 * fleet.MiB // tens of Mbit/s between regions
)

// minLoad is the least time that a load of any item takes.
const minLoad = 5 * time.Millisecond

// Store is what is known of the weight store.
type Store struct {
	// AdaptersInFlight is the number of adapter loads at once over all engines
	// that run at full speed; 0 means that of [AdapterBudget].
	AdaptersInFlight int
	// Region is where the store stands. Empty means that it is near everywhere.
	Region fleet.Region
	// Concurrency is the number of loads at once that run at full speed.
	Concurrency int
	// LoadsPerSecond is the rate at which loads may start.
	LoadsPerSecond float64
	// BytesPerSecond is the speed of one load at full speed; 0 means the
	// default.
	BytesPerSecond fleet.Bytes
	// ReportLag is how late the end of a load may be seen.
	ReportLag time.Duration
	// Startup is what loading a base model takes besides moving its bytes.
	Startup time.Duration
	// Slowness is the factor by which loads take longer at present, at least 1.
	Slowness float64
	// Down says that loads from the store fail at present.
	Down bool
}

// observedWeight is the share of the newest load in the average slowness.
const observedWeight = 0.3

// downAfter is the slowness from which a load without any progress means that
// the store is down.
const downAfter = 10

// Observe returns the store with its speed updated by one load from it which
// took a time. A load that is faster than expected raises the full speed.
func (s Store) Observe(size fleet.Bytes, took time.Duration) Store {
	if size <= 0 || took <= 0 {
		return s
	}
	moving := max(took-s.Startup, time.Millisecond)
	if moving < s.transfer(size, 1) {
		s.BytesPerSecond = fleet.Bytes(float64(size) / moving.Seconds())
	}
	s.Slowness = (1-observedWeight)*max(1, s.Slowness) + observedWeight*s.slowness(size, took)
	s.Down = false
	return s
}

// overdue returns the store with what a load tells that has been going on for
// a time: it is at least as slow as that, or down if nothing has come at all.
func (s Store) overdue(held Held, going time.Duration) Store {
	slowness := s.slowness(held.Size, going)
	if slowness > max(1, s.Slowness) {
		s.Slowness = slowness
	}
	s.Down = s.Down || (held.Progress == 0 && slowness > downAfter)
	return s
}

// slowness returns the factor by which a load takes longer than at full speed.
// Of a load that is seen to end late, the lag of reports is not counted.
func (s Store) slowness(size fleet.Bytes, took time.Duration) float64 {
	expected := max(s.transfer(size, 1), minLoad)
	late := took - s.Startup - expected - s.ReportLag
	return 1 + max(0, late).Seconds()/expected.Seconds()
}

// LoadTime returns how long a load takes on a server, from where the bytes are.
// It is the time of the transfer; waiting for a slot comes on top.
func (s Store) LoadTime(item fleet.Item, size fleet.Bytes, server *Server) time.Duration {
	startup := minLoad
	if !item.IsAdapter() {
		startup = max(minLoad, s.Startup)
	}
	switch server.Checkpoints[item.String()] {
	case engine.HostMemory:
		return startup + bytesOver(size, hostMemoryBytesPerSecond)
	case engine.LocalDisk:
		return startup + bytesOver(size, diskBytesPerSecond)
	default:
	}
	remote := s.transfer(size, max(1, s.Slowness))
	if s.Region != "" && server.Region != s.Region {
		remote = max(remote, bytesOver(size, linkBytesPerSecond))
	}
	return startup + remote
}

func (s Store) transfer(size fleet.Bytes, slowness float64) time.Duration {
	rate := s.BytesPerSecond
	if rate == 0 {
		rate = defaultStoreBytesPerSecond
	}
	return time.Duration(slowness * float64(bytesOver(size, rate)))
}

func bytesOver(size, bytesPerSecond fleet.Bytes) time.Duration {
	return time.Duration(float64(size) / float64(bytesPerSecond) * float64(time.Second))
}

// remote reports whether a load on the server would read from the store.
func remote(item fleet.Item, server *Server) bool {
	_, cached := server.Checkpoints[item.String()]
	return !cached
}
