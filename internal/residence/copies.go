package residence

import (
	"slices"
	"time"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Tier is the storage tier that a load reads weights from.
type Tier int

// Storage tiers, fastest first.
const (
	// HostMemory is the host memory of the engine's VM.
	HostMemory Tier = iota
	// LocalDisk is the disk of the engine's VM.
	LocalDisk
	// WeightStore is the remote store of all weights.
	WeightStore
)

// String returns the name of the tier as it is logged.
func (t Tier) String() string {
	return [...]string{"hostMemory", "localDisk", "weightStore"}[t]
}

// LoadTime returns how long a load of the model from a tier takes.
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

// Copies lists the models whose weights are on the VM of an engine.
type Copies struct {
	// InHostMemory lists the copies in host memory, the least recently used
	// first.
	InHostMemory []fleet.ModelID
	OnDisk       map[fleet.ModelID]bool
	// HostMemoryCapacity is the host memory that copies may take; 0 if unknown.
	HostMemoryCapacity fleet.Bytes
}

// Tier returns the fastest tier that a model can be loaded from.
func (c *Copies) Tier(model fleet.ModelID) Tier {
	switch {
	case slices.Contains(c.InHostMemory, model):
		return HostMemory
	default:
		return c.tierBelowMemory(model)
	}
}

// tierBelowMemory returns the tier that a model would be loaded from if it were
// not in host memory.
func (c *Copies) tierBelowMemory(model fleet.ModelID) Tier {
	if c.OnDisk[model] {
		return LocalDisk
	}
	return WeightStore
}

// TierAfterUnload returns the tier that a model would be loaded from after
// another model has been unloaded. The weights of an unloaded model move to
// host memory and evict the least recently used copies.
func (c *Copies) TierAfterUnload(model, unloaded fleet.ModelID, models map[fleet.ModelID]Model) Tier {
	if !slices.Contains(c.InHostMemory, model) {
		return c.tierBelowMemory(model)
	}
	if slices.Contains(c.InHostMemory, unloaded) {
		return HostMemory
	}
	remaining := c.HostMemoryCapacity - models[unloaded].Size
	for _, inMemory := range slices.Backward(c.InHostMemory) {
		if remaining -= models[inMemory].Size; remaining < 0 {
			break
		}
		if inMemory == model {
			return HostMemory
		}
	}
	return c.tierBelowMemory(model)
}
