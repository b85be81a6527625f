package standin

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/internal/wait"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// WeightStoreConfig describes a weight store.
type WeightStoreConfig struct {
	// LoadsPerSecond is how many model loads may start each second; 0 means
	// any number.
	LoadsPerSecond float64
	// FullSpeed is how many model loads run at once at Rate each; more share
	// the same bandwidth.
	FullSpeed int
	// Rate is the bytes a second of one load at full speed.
	Rate fleet.Bytes
	// AdapterTime is the time of one adapter load while no more than
	// AdapterSlots are in flight.
	AdapterTime  time.Duration
	AdapterSlots int
}

// WeightStore is the remote store of checkpoints that the engines of a site
// share.
type WeightStore struct {
	config   WeightStoreConfig
	mu       sync.Mutex
	next     time.Time
	models   int
	adapters int
	slowdown float64
	starts   int
}

// NewWeightStore returns a store.
func NewWeightStore(config WeightStoreConfig) *WeightStore {
	return &WeightStore{config: config, slowdown: 1}
}

// SetSlowdown divides the store's bandwidth; below 1 nothing is delivered.
func (s *WeightStore) SetSlowdown(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowdown = factor
}

// Starts returns how many model loads have been started.
func (s *WeightStore) Starts() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.starts
}

// admit waits until a model load may start.
func (s *WeightStore) admit(ctx context.Context) bool {
	s.mu.Lock()
	s.starts++
	now := time.Now()
	if s.next.Before(now) {
		s.next = now
	}
	turn := s.next.Sub(now)
	if s.config.LoadsPerSecond > 0 {
		s.next = s.next.Add(time.Duration(float64(time.Second) / s.config.LoadsPerSecond))
	}
	s.mu.Unlock()
	return wait.For(ctx, turn)
}

func (s *WeightStore) addModels(change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.models += change
}

// rate returns the bytes a second that one running load gets now.
func (s *WeightStore) rate() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.slowdown < 1 {
		return 0
	}
	share := min(1, float64(s.config.FullSpeed)/float64(max(1, s.models)))
	return float64(s.config.Rate) * share / s.slowdown
}

// loadAdapter waits for one adapter load.
func (s *WeightStore) loadAdapter(ctx context.Context) bool {
	s.mu.Lock()
	s.adapters++
	crowding := max(1, float64(s.adapters)/float64(max(1, s.config.AdapterSlots)))
	span := time.Duration(float64(s.config.AdapterTime) * crowding * max(1, s.slowdown))
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.adapters--
		s.mu.Unlock()
	}()
	return wait.For(ctx, span)
}

// checkpoints is a VM's cache of checkpoints: host memory in front of a disk,
// both least recently used.
type checkpoints struct {
	memory, disk checkpointTier
}

type checkpointTier struct {
	capacity, used fleet.Bytes
	// order holds the names, least recently used first.
	order []string
	sizes map[string]fleet.Bytes
}

// put adds a checkpoint and returns those that had to leave.
func (t *checkpointTier) put(name string, size fleet.Bytes) (evicted map[string]fleet.Bytes) {
	t.remove(name)
	evicted = make(map[string]fleet.Bytes)
	for len(t.order) > 0 && t.used+size > t.capacity {
		oldest := t.order[0]
		evicted[oldest] = t.sizes[oldest]
		t.remove(oldest)
	}
	if size <= t.capacity {
		t.order = append(t.order, name)
		t.sizes[name] = size
		t.used += size
	}
	return evicted
}

func (t *checkpointTier) remove(name string) {
	t.used -= t.sizes[name]
	delete(t.sizes, name)
	t.order = slices.DeleteFunc(t.order, func(other string) bool { return other == name })
}

func newCheckpoints(memory, disk fleet.Bytes) *checkpoints {
	return &checkpoints{
		memory: checkpointTier{capacity: memory, sizes: make(map[string]fleet.Bytes)},
		disk:   checkpointTier{capacity: disk, sizes: make(map[string]fleet.Bytes)},
	}
}

// put stores a checkpoint in host memory; what leaves it goes to the disk.
func (c *checkpoints) put(name string, size fleet.Bytes) {
	for evicted, evictedSize := range c.memory.put(name, size) {
		c.disk.put(evicted, evictedSize)
	}
}

// tier returns where a checkpoint is; empty means remote.
func (c *checkpoints) tier(name string) engine.CacheTier {
	if _, found := c.memory.sizes[name]; found {
		return engine.HostMemory
	}
	if _, found := c.disk.sizes[name]; found {
		return engine.LocalDisk
	}
	return ""
}

func (c *checkpoints) list() map[string]engine.CacheTier {
	all := make(map[string]engine.CacheTier)
	for name := range c.disk.sizes {
		all[name] = engine.LocalDisk
	}
	for name := range c.memory.sizes {
		all[name] = engine.HostMemory
	}
	return all
}

// Limits of the time between two steps of a load.
const (
	minLoadStep = 2 * time.Millisecond
	maxLoadStep = 100 * time.Millisecond
	loadSteps   = 50
)

// transfer carries out the byte movement of a load and reports progress. It
// returns false if the engine ended first.
func (e *Engine) transfer(ctx context.Context, copied *held) bool {
	if copied.Item.IsAdapter() {
		return e.config.Store.loadAdapter(ctx)
	}
	name := copied.Item.String()
	e.mu.Lock()
	tier := e.checkpoints.tier(name)
	e.mu.Unlock()
	rate := func() float64 { return float64(e.config.MemoryRate) }
	switch tier {
	case engine.LocalDisk:
		rate = func() float64 { return float64(e.config.DiskRate) }
	case engine.HostMemory:
	default:
		if !e.config.Store.admit(ctx) {
			return false
		}
		e.config.Store.addModels(1)
		defer e.config.Store.addModels(-1)
		rate = e.config.Store.rate
	}
	if !e.move(ctx, copied, rate) {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.checkpoints.put(name, copied.Size)
	return true
}

// move advances a load at the given rate until all bytes are there or the
// engine or the load has ended.
func (e *Engine) move(ctx context.Context, copied *held, rate func() float64) bool {
	moved, total := 0.0, float64(copied.Size)
	for moved < total {
		speed := rate()
		step := maxLoadStep
		if speed > 0 {
			left := time.Duration((total - moved) / speed * float64(time.Second))
			whole := time.Duration(total / speed * float64(time.Second))
			step = min(left, max(minLoadStep, min(maxLoadStep, whole/loadSteps)))
		}
		if !wait.For(ctx, max(step, time.Microsecond)) {
			return false
		}
		moved += speed * step.Seconds()
		if speed > 0 && step < time.Microsecond {
			moved = total
		}
		e.mu.Lock()
		copied.Progress = min(1, moved/total)
		gone := copied.State != engine.Loading
		e.mu.Unlock()
		if gone {
			return false
		}
	}
	return true
}
