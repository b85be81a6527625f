package placement

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/residence"
	"github.com/guavatrack/guavatrack/internal/roster"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// TestFreshAdapterIsNotUnloadedBeforeItsCallsArrive guards against an adapter that was
// loaded for waiting calls and, as no node has reported one yet, is unloaded at once for
// those of another adapter, so that its calls are answered 421.
func TestFreshAdapterIsNotUnloadedBeforeItsCallsArrive(t *testing.T) {
	for _, reported := range []bool{false, true} {
		for _, test := range []struct {
			// loaded is how long the adapter has been loaded.
			loaded time.Duration
			// orders is the number of orders that make room for the other adapter.
			orders int
		}{{0, 0}, {100 * time.Millisecond, 0}, {400 * time.Millisecond, 0}, {600 * time.Millisecond, 1}, {time.Minute, 1}} {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := newVersionFixture(time.Second)
				e := s.engines["s0"]
				e.held = map[fleet.ModelID]*heldModel{"m0": {adapters: map[fleet.AdapterID]*heldAdapter{"a": {readyAt: time.Now()}}}}
				if reported {
					e.setHeld(&roster.Engine{LoadedModels: []roster.LoadedModel{{Model: "m0", Adapters: []fleet.AdapterID{"a"}}}}, time.Now())
				}
				time.Sleep(test.loaded)
				now := time.Now()
				orders := residence.Plan(residence.State{
					Now: now, Engines: []residence.Engine{e.planInput(now, &roster.EngineSpec{AdapterSlots: 1}, nil)}, AdapterLoads: 1,
					Models:  map[fleet.ModelID]residence.Model{"m0": {}},
					Demands: []residence.Demand{{Item: fleet.Item{Model: "m0", Adapter: "b"}, Waiting: 1}},
				})
				c.Check(orders, qt.HasLen, test.orders, qt.Commentf("after %v, reported %t", test.loaded, reported))
			})
		}
	}
}
