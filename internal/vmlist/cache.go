package vmlist

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/guavatrack/guavatrack/internal/metric"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Names of the metrics.
const (
	pollsName        = "vmList.polls"
	pollFailuresName = "vmList.pollFailures"
	vmsName          = "vmList.vms"
	unreadableName   = "vmList.unreadableVMs"
)

// Metrics describes the metrics that the package registers.
var Metrics = []metric.Doc{
	{Name: pollsName, Kind: metric.Counter, Help: "Reads of the VM list."},
	{Name: pollFailuresName, Kind: metric.Counter, Help: "Reads of the VM list that failed."},
	{Name: vmsName, Kind: metric.Gauge, Help: "VMs in the last answer of the VM list."},
	{Name: unreadableName, Kind: metric.Counter, Help: "VMs left out of answers of the VM list because they could not be decoded."},
}

// Lister reads the VM list.
type Lister interface {
	List(ctx context.Context) (List, error)
}

// Cache polls the VM list and holds the newest answer. An answer older than the
// one held is ignored, since the list is served with a varying lag. While the
// list cannot be read, the cache holds its last answer. Set the exported fields
// before calling Run or Poll.
type Cache struct {
	Source Lister
	// Interval is the time between polls; 0 means 2 s.
	Interval time.Duration
	Log      *slog.Logger
	Metrics  metrics.Registry

	mu   sync.RWMutex
	list List
}

// defaultInterval is the time between polls if Cache.Interval is 0.
const defaultInterval = 2 * time.Second

// maxClockLead is beyond the lead of any platform's clock. All later answers would count
// as older than one from further ahead.
const maxClockLead = 24 * time.Hour

// Run polls until the context is done. It logs only the changes between failing
// and successful polls.
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
			c.logTransition(ctx, err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (c *Cache) logTransition(ctx context.Context, err error) {
	switch {
	case c.Log == nil:
	case err != nil:
		c.Log.WarnContext(ctx, "cannot read VM list; using its last answer", "error", err)
	default:
		c.Log.InfoContext(ctx, "VM list can be read again")
	}
}

// Poll reads the list once and updates the cache.
func (c *Cache) Poll(ctx context.Context) error {
	registry := c.Metrics
	if registry == nil {
		registry = metrics.DefaultRegistry
	}
	metrics.GetOrRegisterCounter(pollsName, registry).Inc(1)
	list, err := c.Source.List(ctx)
	if err == nil && time.Until(list.AsOf) > maxClockLead {
		err = errors.Errorf("asOf: must be at most %v ahead, found %v", maxClockLead, list.AsOf)
	}
	if err != nil {
		metrics.GetOrRegisterCounter(pollFailuresName, registry).Inc(1)
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if list.AsOf.Before(c.list.AsOf) {
		return nil
	}
	c.logUnreadable(ctx, list.Unreadable)
	c.list = list
	metrics.GetOrRegisterCounter(unreadableName, registry).Inc(int64(len(list.Unreadable)))
	metrics.GetOrRegisterGauge(vmsName, registry).Update(int64(len(list.VMs)))
	return nil
}

// logUnreadable logs the first of the VMs that are left out of an answer, if there were
// none in the answer before. The caller holds the lock.
func (c *Cache) logUnreadable(ctx context.Context, unreadable []error) {
	if c.Log == nil || len(unreadable) == 0 || len(c.list.Unreadable) > 0 {
		return
	}
	c.Log.WarnContext(ctx, "VM list has VMs that cannot be decoded",
		slog.Int("vms", len(unreadable)), slog.Any("error", unreadable[0]))
}

// VMs returns the VMs of the answer held. The slice must not be modified.
func (c *Cache) VMs() []VM {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.list.VMs
}

// InPool returns the VMs of one pool in the answer held.
func (c *Cache) InPool(pool fleet.PoolID) []VM {
	var found []VM
	for _, vm := range c.VMs() {
		if vm.Pool == pool {
			found = append(found, vm)
		}
	}
	return found
}

// AsOf returns the platform's timestamp of the answer held.
func (c *Cache) AsOf() time.Time {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.list.AsOf
}

var _ Lister = (*Client)(nil)
