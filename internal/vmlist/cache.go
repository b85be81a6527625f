package vmlist

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/guavatrack/guavatrack/internal/metric"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Names of the metrics.
const (
	pollsName        = "vmList.polls"
	pollFailuresName = "vmList.pollFailures"
	vmsName          = "vmList.vms"
)

// Metrics describes the metrics that the package registers.
var Metrics = []metric.Doc{
	{Name: pollsName, Kind: metric.Counter, Help: "Reads of the VM list."},
	{Name: pollFailuresName, Kind: metric.Counter, Help: "Reads of the VM list that failed."},
	{Name: vmsName, Kind: metric.Gauge, Help: "VMs in the last answer of the VM list."},
}

// Lister reads the list.
type Lister interface {
	List(ctx context.Context) (List, error)
}

// Cache polls a list and keeps its last answer. An answer older than the one
// held, as a lagging list gives at times, is ignored. While the list can't be
// read the last answer stays. Set the exported fields before Run.
type Cache struct {
	Source Lister
	// Interval is the time between polls; 0 means 2 s.
	Interval time.Duration
	Log      *slog.Logger
	Metrics  metrics.Registry

	mu   sync.RWMutex
	list List
}

// defaultInterval is the time between polls.
const defaultInterval = 2 * time.Second

// Run polls until the context ends.
func (c *Cache) Run(ctx context.Context) error {
	interval := c.Interval
	if interval == 0 {
		interval = defaultInterval
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	failing := false
	for {
		err := c.Poll(ctx)
		if failed := err != nil; failed != failing && ctx.Err() == nil {
			failing = failed
			c.logChange(ctx, err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (c *Cache) logChange(ctx context.Context, err error) {
	switch {
	case c.Log == nil:
	case err != nil:
		c.Log.WarnContext(ctx, "VM list can't be read", "error", err)
	default:
		c.Log.InfoContext(ctx, "VM list is read again")
	}
}

// Poll reads the list once.
func (c *Cache) Poll(ctx context.Context) error {
	registry := c.Metrics
	if registry == nil {
		registry = metrics.DefaultRegistry
	}
	metrics.GetOrRegisterCounter(pollsName, registry).Inc(1)
	list, err := c.Source.List(ctx)
	if err != nil {
		metrics.GetOrRegisterCounter(pollFailuresName, registry).Inc(1)
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if list.AsOf.Before(c.list.AsOf) {
		return nil
	}
	c.list = list
	metrics.GetOrRegisterGauge(vmsName, registry).Update(int64(len(list.VMs)))
	return nil
}

// VMs returns the VMs of the last answer. The slice must not be changed.
func (c *Cache) VMs() []VM {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.list.VMs
}

// InPool returns the VMs of one pool.
func (c *Cache) InPool(pool fleet.PoolID) []VM {
	var found []VM
	for _, vm := range c.VMs() {
		if vm.Pool == pool {
			found = append(found, vm)
		}
	}
	return found
}

// AsOf returns the time of the last answer.
func (c *Cache) AsOf() time.Time {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.list.AsOf
}

var _ Lister = (*Client)(nil)
