package residence_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/residence"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// TestBusyModelOutgrowsItsCopies answers the pattern of demand that moves to a model of
// which few VMs have copies. In a large fleet a further replica comes from the weight
// store; in a small one an engine that swaps no models during the load costs more than
// the replica is worth, unless the calls are one and a half times those that the replicas run.
func TestBusyModelOutgrowsItsCopies(t *testing.T) {
	for _, test := range []struct {
		name          string
		engines       int
		running       int
		rate          float64
		storeLoads    int
		wantFromStore int
	}{
		{"large fleet", 128, 80, 60, 2, 1},
		{"calls fit the replicas", 128, 50, 60, 2, 0},
		{"no load may start", 128, 80, 60, 0, 0},
		{"small fleet", 18, 80, 60, 2, 0},
		{"small fleet, just below one and a half times the slots", 18, 64, 95, 2, 0},
		{"small fleet, one and a half times the slots", 18, 64, 96, 2, 1},
		{"small fleet, far more calls", 18, 64, 600, 2, 1},
		{"small fleet, one and a half times the slots, no load may start", 18, 64, 96, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			state := newState(test.engines, 3*test.engines)
			state.StoreLoads = test.storeLoads
			for i := range state.Engines {
				addIdleModels(&state.Engines[i], 3*i, 3*i+1, 3*i+2)
				for j := range 3 {
					state.Engines[i].OnDisk[modelID(3*i+j)] = true
				}
			}
			for i := range 2 {
				state.Engines[i].OnDisk[modelID(0)] = true
				state.Engines[i].ResidentModels[0] = residence.ResidentModel{
					Model: modelID(0), Running: test.running / 2, LastUsed: noon,
				}
			}
			state.Demands = []residence.Demand{{Item: fleet.Item{Model: modelID(0)}, Rate: test.rate, ServiceTime: time.Second}}
			makesRoom := 0
			for _, order := range residence.Plan(state) {
				if order.MakesRoomFor == modelID(0) {
					makesRoom++
				}
			}
			c.Check(makesRoom, qt.Equals, test.wantFromStore)
		})
	}
}

// TestLoadsOfFurtherReplicasFromTheStoreAreFew keeps engines from swapping models in one
// of enginesPerStoreReplica engines at most.
func TestLoadsOfFurtherReplicasFromTheStoreAreFew(t *testing.T) {
	c := qt.New(t)
	state := newState(128, 400)
	state.StoreLoads = 4
	for i := range state.Engines {
		addIdleModels(&state.Engines[i], 3*i, 3*i+1, 3*i+2)
	}
	for model := range 4 {
		state.Engines[model].ResidentModels[0] = residence.ResidentModel{Model: modelID(390 + model), Running: 80, LastUsed: noon}
		state.Engines[model].OnDisk[modelID(390+model)] = true
		state.Demands = append(state.Demands, residence.Demand{
			Item: fleet.Item{Model: modelID(390 + model)}, Rate: 80, ServiceTime: time.Second,
		})
	}
	state.Engines[100].Loading, state.Engines[100].Busy = modelID(395), true
	c.Check(residence.Plan(state), qt.HasLen, 1)
}

// TestRoomForAFurtherReplicaIsKept answers the pattern of a busy model whose calls never
// wait, because they are sent to replicas that are full: the memory that was freed for a
// further replica must not go to whichever model calls wait for.
func TestRoomForAFurtherReplicaIsKept(t *testing.T) {
	c := qt.New(t)
	for _, rate := range []float64{60, 0.1} {
		state := newState(3, 12)
		addIdleModels(&state.Engines[0], 0, 1, 2)
		addIdleModels(&state.Engines[1], 3, 4)
		addIdleModels(&state.Engines[2], 5, 6, 7)
		state.Engines[1].OnDisk[modelID(0)], state.Engines[1].OnDisk[modelID(9)] = true, true
		state.Engines[1].ReservedFor = modelID(0)
		state.Demands = []residence.Demand{{Item: fleet.Item{Model: modelID(0)}, Rate: rate, ServiceTime: time.Second}}
		addWaitingCalls(&state, 9, 1)
		want := modelID(0)
		if rate < 1 {
			want = modelID(9)
		}
		orders := residence.Plan(state)
		c.Assert(orders, qt.HasLen, 1)
		c.Check(orders[0].Load, qt.IsTrue)
		c.Check(orders[0].Item.Model, qt.Equals, want)
	}
}
