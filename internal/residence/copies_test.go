package residence_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/residence"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

func TestUnloadedModelPushesTheOldestCopyOut(t *testing.T) {
	models := make(map[fleet.ModelID]residence.Model)
	for at := range 6 {
		models[model(at)] = residence.Model{Size: 70 * gigabyte}
	}
	copies := residence.Copies{
		InMemory:   []fleet.ModelID{model(1), model(2)},
		OnDisk:     map[fleet.ModelID]bool{model(1): true, model(3): true},
		HostMemory: 150 * gigabyte,
	}
	for _, test := range []struct {
		name            string
		model, unloaded int
		want            residence.Tier
	}{
		{"the oldest copy goes", 1, 5, residence.LocalDisk},
		{"the newer copy stays", 2, 5, residence.HostMemory},
		{"no copy moves for a model that has one", 1, 2, residence.HostMemory},
		{"on disk only", 3, 5, residence.LocalDisk},
		{"nowhere", 4, 5, residence.WeightStore},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, copies.TierAfter(model(test.model), model(test.unloaded), models), qt.Equals, test.want)
		})
	}
	copies.HostMemory = 250 * gigabyte
	qt.Assert(t, copies.TierAfter(model(1), model(5), models), qt.Equals, residence.HostMemory)
}

// TestVictimWhoseUnloadKeepsTheCopyIsTaken answers the pattern of two models that
// are wanted in turn: unloading the other of the two keeps both in host memory.
func TestVictimWhoseUnloadKeepsTheCopyIsTaken(t *testing.T) {
	c := qt.New(t)
	state := site(1, 8)
	holds(&state.Engines[0], 0, 1, 2)
	state.Engines[0].InMemory = []fleet.ModelID{model(6), model(2)}
	state.Engines[0].OnDisk[model(6)] = true
	waits(&state, 6, 1)
	orders := residence.Plan(state)
	c.Assert(orders, qt.HasLen, 1)
	c.Assert(orders[0].Item.Model, qt.Equals, model(2))
}
