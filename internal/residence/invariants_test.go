package residence_test

import (
	"fmt"
	"slices"
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

// drawMixedState draws a state whose engines are of up to three software versions, with
// adapters and with calls that need a version.
func drawMixedState(t *rapid.T) residence.State {
	state := drawState(t)
	versions := rapid.SampledFrom([]fleet.SoftwareVersion{older, newer, ""})
	for i := range state.Engines {
		engine := &state.Engines[i]
		engine.Software = versions.Draw(t, "software")
		for j := range min(engine.AdapterSlots, len(engine.ResidentModels)) {
			if rapid.Bool().Draw(t, "adapter") {
				engine.ResidentModels[j].Adapters = []residence.ResidentAdapter{{Adapter: "a0", LastUsed: noon.Add(-time.Minute)}}
			}
		}
	}
	for n := range 8 {
		software := rapid.SampledFrom([]fleet.SoftwareVersion{older, newer, "gone"}).Draw(t, "needed")
		if rapid.Bool().Draw(t, "restricted") {
			addRestrictedCalls(&state, software, n, rapid.IntRange(0, 40).Draw(t, "restrictedCalls"))
			state.Demands[len(state.Demands)-1].Item.Adapter = rapid.SampledFrom([]fleet.AdapterID{"", "a0", "a1"}).Draw(t, "item")
		}
	}
	return state
}

// TestPlanKeepsInvariants checks the invariants of plans without calls that need a
// version.
func TestPlanKeepsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkPlan(t, drawState(t)) })
}

// TestPlanForVersionsKeepsInvariants checks the invariants of plans with calls that need
// a version.
func TestPlanForVersionsKeepsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkPlan(t, drawMixedState(t)) })
}

// TestVersionsAloneChangeNoPlan guards against other plans during a replacement of the
// software while no call needs a version.
func TestVersionsAloneChangeNoPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		mixed := drawMixedState(t)
		mixed.Demands = slices.DeleteFunc(mixed.Demands, func(demand residence.Demand) bool { return demand.Software != "" })
		uniform := mixed
		uniform.Engines = slices.Clone(mixed.Engines)
		for i := range uniform.Engines {
			uniform.Engines[i].Software = ""
		}
		if got, want := residence.Plan(mixed), residence.Plan(uniform); !slices.Equal(got, want) {
			t.Fatalf("orders %v, without versions %v", got, want)
		}
	})
}

// checkPlan checks the invariants of every plan: at most one order for each engine, none
// to an unavailable or busy engine, no load beyond the memory or the adapter slots, no
// load at an engine that may not run the waiting calls, no more loads from the weight
// store than allowed, and no unload of the last replica that waiting calls may run on.
func checkPlan(t *rapid.T, state residence.State) {
	engines := make(map[fleet.ServerID]residence.Engine)
	for _, engine := range state.Engines {
		engines[engine.ID] = engine
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
		case order.Item.Adapter != "":
			checkAdapterOrder(t, &engine, order)
		case order.Load:
			checkLoad(t, &state, &engine, order)
			if order.Tier == residence.WeightStore {
				storeLoads++
			}
		default:
			checkUnload(t, &state, &engine, order.Item.Model)
		}
		if order.Load && order.Reason == residence.ReasonWaiting && !waitsAt(&state, &engine, order.Item) {
			t.Fatalf("load of %s at %s of version %q, where no call waits for it", order.Item, engine.ID, engine.Software)
		}
		ordered[order.Server] = true
	}
	if storeLoads > state.StoreLoads {
		t.Fatalf("%d loads from the weight store, more than allowed", storeLoads)
	}
}

// waitsAt reports whether calls that the engine may run wait for an item or, if it is a
// model, for one of its adapters.
func waitsAt(state *residence.State, engine *residence.Engine, item fleet.Item) bool {
	return slices.ContainsFunc(state.Demands, func(demand residence.Demand) bool {
		if item.Adapter == "" {
			demand.Item.Adapter = ""
		}
		return demand.Waiting > 0 && demand.Item == item && (demand.Software == "" || demand.Software == engine.Software)
	})
}

// checkUnload checks that no calls wait for the last replica that they may run on.
func checkUnload(t *rapid.T, state *residence.State, engine *residence.Engine, model fleet.ModelID) {
	for _, demand := range state.Demands {
		if demand.Item.Model != model || demand.Waiting == 0 || demand.Software != "" && demand.Software != engine.Software {
			continue
		}
		if replicaCount(state, model, demand.Software) <= 1 {
			t.Fatalf("unload of the last replica of %s, which calls wait for at version %q", model, demand.Software)
		}
	}
}

// checkAdapterOrder checks that a load of an adapter goes to an engine that holds its model
// and has a free slot, and that an unload is of an adapter without calls.
func checkAdapterOrder(t *rapid.T, engine *residence.Engine, order residence.Order) {
	holdsModel, count := false, 0
	for _, resident := range engine.ResidentModels {
		holdsModel = holdsModel || resident.Model == order.Item.Model
		count += len(resident.Adapters)
		for _, adapter := range resident.Adapters {
			if !order.Load && resident.Model == order.Item.Model && adapter.Adapter == order.Item.Adapter && adapter.Running > 0 {
				t.Fatalf("unload of %s, which is in use at %s", order.Item, engine.ID)
			}
		}
	}
	if order.Load && (!holdsModel || count >= engine.AdapterSlots) {
		t.Fatalf("load of %s at %s with %d of %d adapters", order.Item, engine.ID, count, engine.AdapterSlots)
	}
}

// replicaCount returns the number of replicas of a model on available engines of a
// software version; on all available engines if that is empty.
func replicaCount(state *residence.State, model fleet.ModelID, software fleet.SoftwareVersion) (count int) {
	for _, engine := range state.Engines {
		for _, resident := range engine.ResidentModels {
			if resident.Model == model && !engine.Unavailable && (software == "" || software == engine.Software) {
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
