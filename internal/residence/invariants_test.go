package residence_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/guavatrack/guavatrack/internal/residence"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// drawState draws an arbitrary state of a small pool.
func drawState(t *rapid.T) residence.State {
	state := newState(rapid.IntRange(1, 5).Draw(t, "engines"), 8)
	state.StoreLoads = rapid.IntRange(0, 4).Draw(t, "storeLoads")
	for i := range state.Engines {
		engine := &state.Engines[i]
		engine.AdapterSlots = 2
		engine.Unavailable = rapid.IntRange(0, 5).Draw(t, "closed") == 0
		engine.Busy = rapid.IntRange(0, 3).Draw(t, "busy") == 0
		for _, n := range rapid.SliceOfNDistinct(rapid.IntRange(0, 7), 0, 3, rapid.ID[int]).Draw(t, "held") {
			engine.ResidentModels = append(engine.ResidentModels, residence.ResidentModel{
				Model: modelID(n), Running: rapid.IntRange(0, 12).Draw(t, "running"),
				LastUsed: noon.Add(-time.Duration(rapid.IntRange(0, 5000).Draw(t, "idle")) * time.Millisecond),
			})
		}
		if len(engine.ResidentModels) < 3 && engine.Busy && rapid.Bool().Draw(t, "loading") {
			engine.Loading = modelID(rapid.IntRange(0, 7).Draw(t, "loads"))
		}
		if rapid.IntRange(0, 4).Draw(t, "reserved") == 0 {
			engine.ReservedFor = modelID(rapid.IntRange(0, 7).Draw(t, "next"))
		}
		for n := range 8 {
			engine.OnDisk[modelID(n)] = rapid.Bool().Draw(t, "disk")
		}
	}
	for n := range 8 {
		if count := rapid.IntRange(0, 6).Draw(t, "waiting"); count > 3 {
			addWaitingCalls(&state, n, count)
			state.Demands[len(state.Demands)-1].WaitingSince = noon.Add(-time.Duration(count) * 300 * time.Millisecond)
		}
	}
	return state
}

// TestPlanKeepsInvariants checks the invariants of every plan: at most one
// order for each engine, none to an unavailable or busy engine, no load beyond
// the memory, no more loads from the weight store than allowed, and no unload
// of the last replica of a model that calls wait for.
func TestPlanKeepsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := drawState(t)
		engines := make(map[fleet.ServerID]residence.Engine)
		for _, engine := range state.Engines {
			engines[engine.ID] = engine
		}
		waiting := make(map[fleet.ModelID]bool)
		for _, demand := range state.Demands {
			waiting[demand.Item.Model] = demand.Waiting > 0
		}
		ordered := make(map[fleet.ServerID]bool)
		storeLoads := 0
		for _, order := range residence.Plan(state) {
			engine := engines[order.Server]
			switch {
			case ordered[order.Server]:
				t.Fatalf("two orders to %s", order.Server)
			case engine.Unavailable || engine.Busy:
				t.Fatalf("order to unavailable or busy engine %s", order.Server)
			case order.Load:
				checkLoad(t, &state, &engine, order)
				if order.Tier == residence.WeightStore {
					storeLoads++
				}
			case waiting[order.Item.Model] && replicaCount(&state, order.Item.Model) <= 1:
				t.Fatalf("unload of the last replica of %s, which calls wait for", order.Item.Model)
			}
			ordered[order.Server] = true
		}
		if storeLoads > state.StoreLoads {
			t.Fatalf("%d loads from the weight store, more than allowed", storeLoads)
		}
	})
}

// replicaCount returns the number of replicas of a model on available
// engines.
func replicaCount(state *residence.State, model fleet.ModelID) (count int) {
	for _, engine := range state.Engines {
		for _, resident := range engine.ResidentModels {
			if resident.Model == model && !engine.Unavailable {
				count++
			}
		}
	}
	return count
}

// checkLoad checks that a load is of a model that the engine does not hold,
// fits its memory, and reads from the right tier.
func checkLoad(t *rapid.T, state *residence.State, engine *residence.Engine, order residence.Order) {
	size := state.Models[order.Item.Model].Size
	for _, resident := range engine.ResidentModels {
		if resident.Model == order.Item.Model {
			t.Fatalf("load of %s, which %s already holds", order.Item, engine.ID)
		}
		size += state.Models[resident.Model].Size
	}
	if size > engine.Memory {
		t.Fatalf("%s would hold models of %s in %s of memory", engine.ID, size, engine.Memory)
	}
	if want := expectedTier(engine, order.Item.Model); want != order.Tier {
		t.Fatalf("load of %s from %s, fastest tier is %s", order.Item, order.Tier, want)
	}
}

// expectedTier returns the tier of a load on an engine without copies in host
// memory.
func expectedTier(engine *residence.Engine, model fleet.ModelID) residence.Tier {
	if engine.OnDisk[model] {
		return residence.LocalDisk
	}
	return residence.WeightStore
}

// FuzzPlan checks under go test -fuzz that every order names an engine.
func FuzzPlan(f *testing.F) {
	f.Fuzz(rapid.MakeFuzz(func(t *rapid.T) {
		for _, order := range residence.Plan(drawState(t)) {
			if order.Server == "" {
				t.Fatal(fmt.Sprint("order without an engine: ", order))
			}
		}
	}))
}
