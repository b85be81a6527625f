package residence_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/guavatrack/guavatrack/internal/residence"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// drawState draws any state of a small site.
func drawState(t *rapid.T) residence.State {
	state := site(rapid.IntRange(1, 5).Draw(t, "engines"), 8)
	state.StoreLoads = rapid.IntRange(0, 4).Draw(t, "storeLoads")
	for at := range state.Engines {
		engine := &state.Engines[at]
		engine.AdapterSlots = 2
		engine.Closed = rapid.IntRange(0, 5).Draw(t, "closed") == 0
		engine.Busy = rapid.IntRange(0, 3).Draw(t, "busy") == 0
		for _, n := range rapid.SliceOfNDistinct(rapid.IntRange(0, 7), 0, 3, rapid.ID[int]).Draw(t, "held") {
			engine.Held = append(engine.Held, residence.Held{
				Model: model(n), Running: rapid.IntRange(0, 12).Draw(t, "running"),
				Used: noon.Add(-time.Duration(rapid.IntRange(0, 5000).Draw(t, "idle")) * time.Millisecond),
			})
		}
		if len(engine.Held) < 3 && engine.Busy && rapid.Bool().Draw(t, "loading") {
			engine.Loading = model(rapid.IntRange(0, 7).Draw(t, "loads"))
		}
		if rapid.IntRange(0, 4).Draw(t, "reserved") == 0 {
			engine.Next = model(rapid.IntRange(0, 7).Draw(t, "next"))
		}
		for n := range 8 {
			engine.OnDisk[model(n)] = rapid.Bool().Draw(t, "disk")
		}
	}
	for n := range 8 {
		if count := rapid.IntRange(0, 6).Draw(t, "waiting"); count > 3 {
			waits(&state, n, count)
			state.Demands[len(state.Demands)-1].Since = noon.Add(-time.Duration(count) * 300 * time.Millisecond)
		}
	}
	return state
}

// TestPlanKeepsItsBounds checks what must hold of every plan: one order for each
// engine that may get one, no load beyond the memory, no more loads from the
// weight store than allowed, no unload of what calls wait for.
func TestPlanKeepsItsBounds(t *testing.T) {
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
		seen := make(map[fleet.ServerID]bool)
		stores := 0
		for _, order := range residence.Plan(state) {
			engine := engines[order.Server]
			switch {
			case seen[order.Server]:
				t.Fatalf("two orders to %s", order.Server)
			case engine.Closed || engine.Busy:
				t.Fatalf("order to %s", order.Server)
			case order.Load:
				checkLoad(t, &state, &engine, order)
				if order.Tier == residence.WeightStore {
					stores++
				}
			case waiting[order.Item.Model] && readyAt(&state, order.Item.Model) <= 1:
				t.Fatalf("unload of %s, which calls wait for", order.Item.Model)
			}
			seen[order.Server] = true
		}
		if stores > state.StoreLoads {
			t.Fatalf("%d loads from the weight store", stores)
		}
	})
}

func readyAt(state *residence.State, model fleet.ModelID) (count int) {
	for _, engine := range state.Engines {
		for _, held := range engine.Held {
			if held.Model == model && !engine.Closed {
				count++
			}
		}
	}
	return count
}

func checkLoad(t *rapid.T, state *residence.State, engine *residence.Engine, order residence.Order) {
	size := state.Models[order.Item.Model].Size
	for _, held := range engine.Held {
		if held.Model == order.Item.Model {
			t.Fatalf("load of %s, which %s holds", order.Item, engine.ID)
		}
		size += state.Models[held.Model].Size
	}
	if size > engine.Memory {
		t.Fatalf("%s would hold %s of %s", engine.ID, size, engine.Memory)
	}
	if from := fromTier(engine, order.Item.Model); from != order.Tier {
		t.Fatalf("load of %s from %s, which is at %s", order.Item, order.Tier, from)
	}
}

func fromTier(engine *residence.Engine, model fleet.ModelID) residence.Tier {
	if engine.OnDisk[model] {
		return residence.LocalDisk
	}
	return residence.WeightStore
}

// FuzzPlan is the same check for go test -fuzz.
func FuzzPlan(f *testing.F) {
	f.Fuzz(rapid.MakeFuzz(func(t *rapid.T) {
		for _, order := range residence.Plan(drawState(t)) {
			if order.Server == "" {
				t.Fatal(fmt.Sprint("order to nobody: ", order))
			}
		}
	}))
}
