package residence

import (
	"slices"
	"time"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Tier says where the weights of a load come from.
type Tier int

// Tiers, fastest first.
const (
	HostMemory Tier = iota
	LocalDisk
	WeightStore
)

// String returns the name of the tier in logs.
func (t Tier) String() string {
	return [...]string{"hostMemory", "localDisk", "weightStore"}[t]
}

// LoadTime returns the time of a load from a tier.
func (m Model) LoadTime(tier Tier) time.Duration {
	switch tier {
	case HostMemory:
		return m.FromMemory
	case LocalDisk:
		return m.FromDisk
	default:
		return m.FromStore
	}
}

// Copies are the weights that the VM of an engine has copies of.
type Copies struct {
	// InMemory lists those in host memory, the least recently used first.
	InMemory []fleet.ModelID
	OnDisk   map[fleet.ModelID]bool
	// HostMemory is the room for copies in host memory; 0 if unknown.
	HostMemory fleet.Bytes
}

// Tier returns where a model would be loaded from.
func (c *Copies) Tier(model fleet.ModelID) Tier {
	switch {
	case slices.Contains(c.InMemory, model):
		return HostMemory
	default:
		return c.below(model)
	}
}

// below returns where a model would be loaded from if it were not in host
// memory.
func (c *Copies) below(model fleet.ModelID) Tier {
	if c.OnDisk[model] {
		return LocalDisk
	}
	return WeightStore
}

// TierAfter returns where a model would be loaded from once another has been
// unloaded. The weights of an unloaded model go to host memory and push the
// least recently used copies out.
func (c *Copies) TierAfter(model, unloaded fleet.ModelID, models map[fleet.ModelID]Model) Tier {
	if !slices.Contains(c.InMemory, model) {
		return c.below(model)
	}
	if slices.Contains(c.InMemory, unloaded) {
		return HostMemory
	}
	left := c.HostMemory - models[unloaded].Size
	for _, copied := range slices.Backward(c.InMemory) {
		if left -= models[copied].Size; left < 0 {
			break
		}
		if copied == model {
			return HostMemory
		}
	}
	return c.below(model)
}
