package residence_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/residence"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

func TestTierAfterUnloadEvictsLeastRecentlyUsedCopy(t *testing.T) {
	models := make(map[fleet.ModelID]residence.Model)
	for i := range 6 {
		models[modelID(i)] = residence.Model{Size: 70 * gigabyte}
	}
	copies := residence.Copies{
		InHostMemory:       []fleet.ModelID{modelID(1), modelID(2)},
		OnDisk:             map[fleet.ModelID]bool{modelID(1): true, modelID(3): true},
		HostMemoryCapacity: 150 * gigabyte,
	}
	for _, test := range []struct {
		name            string
		model, unloaded int
		want            residence.Tier
	}{
		{"least recently used copy is evicted", 1, 5, residence.LocalDisk},
		{"more recently used copy stays", 2, 5, residence.HostMemory},
		{"no eviction for a model already in host memory", 1, 2, residence.HostMemory},
		{"copy on disk only", 3, 5, residence.LocalDisk},
		{"nowhere", 4, 5, residence.WeightStore},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, copies.TierAfterUnload(modelID(test.model), modelID(test.unloaded), models), qt.Equals, test.want)
		})
	}
	copies.HostMemoryCapacity = 250 * gigabyte
	qt.Assert(t, copies.TierAfterUnload(modelID(1), modelID(5), models), qt.Equals, residence.HostMemory)
}

// TestPrefersVictimThatKeepsCopyInHostMemory guards against two alternating
// models that evict each other's copies from host memory. Unloading the one
// that already has a copy there keeps both in host memory.
func TestPrefersVictimThatKeepsCopyInHostMemory(t *testing.T) {
	c := qt.New(t)
	state := newState(1, 8)
	addIdleModels(&state.Engines[0], 0, 1, 2)
	state.Engines[0].InHostMemory = []fleet.ModelID{modelID(6), modelID(2)}
	state.Engines[0].OnDisk[modelID(6)] = true
	addWaitingCalls(&state, 6, 1)
	orders := residence.Plan(state)
	c.Assert(orders, qt.HasLen, 1)
	c.Assert(orders[0].Item.Model, qt.Equals, modelID(2))
}
