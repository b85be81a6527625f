package residence_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/residence"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Software versions of engines.
const (
	older fleet.SoftwareVersion = "1.0"
	newer fleet.SoftwareVersion = "1.1"
)

// newMixedState returns a state like that of newState whose first engine is of the older
// version and whose other engines are of the newer one.
func newMixedState(engines, models int) residence.State {
	state := newState(engines, models)
	for i := range state.Engines {
		state.Engines[i].Software = newer
	}
	state.Engines[0].Software = older
	return state
}

// addRestrictedCalls adds demand of calls for a model that have just begun to wait and
// that only engines of a software version may run.
func addRestrictedCalls(state *residence.State, software fleet.SoftwareVersion, i, count int) {
	addWaitingCalls(state, i, count)
	state.Demands[len(state.Demands)-1].Software = software
}

// ordersFor returns the orders that load a model for calls or make room for it.
func ordersFor(state residence.State, i int) (orders []residence.Order) {
	for _, order := range residence.Plan(state) {
		if order.Reason == residence.ReasonPreload {
			continue
		}
		if order.Load && order.Item.Model == modelID(i) || order.MakesRoomFor == modelID(i) {
			orders = append(orders, order)
		}
	}
	return orders
}

// TestModelIsLoadedAtTheVersionThatCallsNeed guards against calls that wait in vain since
// an engine that may not run them holds, or is about to hold, their model.
func TestModelIsLoadedAtTheVersionThatCallsNeed(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*residence.State)
		want   []residence.Order
	}{{
		name:   "ready at another version",
		change: func(state *residence.State) { addIdleModels(&state.Engines[1], 6) },
		want:   []residence.Order{{Load: true, Tier: residence.LocalDisk, Reason: residence.ReasonWaiting}},
	}, {
		name:   "being loaded at another version",
		change: func(state *residence.State) { state.Engines[1].Busy, state.Engines[1].Loading = true, modelID(6) },
		want:   []residence.Order{{Load: true, Tier: residence.LocalDisk, Reason: residence.ReasonWaiting}},
	}, {
		name:   "engine of the version is full",
		change: func(state *residence.State) { addIdleModels(&state.Engines[0], 0, 1, 2) },
		want:   []residence.Order{{MakesRoomFor: modelID(6), Reason: residence.ReasonMakeRoom}},
	}, {
		name: "no copy at the version",
		change: func(state *residence.State) {
			state.Engines[0].OnDisk = nil
			state.Engines[1].OnDisk[modelID(6)] = true
		},
		want: []residence.Order{{Load: true, Tier: residence.WeightStore, Reason: residence.ReasonWaiting}},
	}, {
		name: "no copy at the version and no load from the store may begin",
		change: func(state *residence.State) {
			state.Engines[0].OnDisk, state.StoreLoads = nil, 0
			state.Engines[1].OnDisk[modelID(6)] = true
		},
	}, {
		name:   "ready at the version",
		change: func(state *residence.State) { addIdleModels(&state.Engines[0], 6) },
	}, {
		name:   "being loaded at the version",
		change: func(state *residence.State) { state.Engines[0].Busy, state.Engines[0].Loading = true, modelID(6) },
	}, {
		name:   "engine of the version is unavailable",
		change: func(state *residence.State) { state.Engines[0].Unavailable = true },
	}} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			state := newMixedState(2, 8)
			state.Engines[0].OnDisk[modelID(6)] = true
			addRestrictedCalls(&state, older, 6, 1)
			test.change(&state)
			orders := ordersFor(state, 6)
			for i := range orders {
				c.Check(orders[i].Server, qt.Equals, serverID(0))
				orders[i].Server, orders[i].Item = "", fleet.Item{}
			}
			c.Assert(orders, qt.DeepEquals, test.want)
		})
	}
}

// TestRoomForCallsOfAVersionIsFilledThere guards against a swap that is given up halfway:
// room that was made for calls of a version is filled at an engine of that version only.
func TestRoomForCallsOfAVersionIsFilledThere(t *testing.T) {
	c := qt.New(t)
	for engine, want := range []fleet.ModelID{modelID(6), modelID(7)} {
		state := newMixedState(2, 8)
		addIdleModels(&state.Engines[0], 0, 1)
		addIdleModels(&state.Engines[1], 2, 3)
		for i := range state.Engines {
			state.Engines[i].OnDisk[modelID(6)], state.Engines[i].OnDisk[modelID(7)] = true, true
		}
		state.Engines[engine].ReservedFor = modelID(6)
		state.Engines[1-engine].Busy = true
		addRestrictedCalls(&state, older, 6, 1)
		addWaitingCalls(&state, 7, 5)
		c.Assert(residence.Plan(state), qt.DeepEquals, []residence.Order{{
			Server: serverID(engine), Load: true, Item: fleet.Item{Model: want}, Tier: residence.LocalDisk,
			Reason: residence.ReasonWaiting,
		}})
	}
}

// TestLastReplicaAtAVersionIsKept guards against the unload of a replica that calls of a
// version wait for or run on, since replicas at another version make it look spare.
func TestLastReplicaAtAVersionIsKept(t *testing.T) {
	for _, test := range []struct {
		name             string
		waiting, running int
		// otherOlder is set if another engine of the older version has a replica.
		otherOlder bool
		want       int
	}{
		{"calls wait", 1, 0, false, 0},
		{"calls run", 0, 3, false, 0},
		{"another engine of the version has a replica", 1, 0, true, 1},
		{"no call waits or runs", 0, 0, false, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			state := newMixedState(4, 8)
			for i := range state.Engines {
				addIdleModels(&state.Engines[i], 0)
				state.Engines[i].Memory = 80 * gigabyte
			}
			state.Engines[0].ResidentModels[0].Running = test.running
			state.Engines[0].OnDisk[modelID(6)] = true
			if test.otherOlder {
				state.Engines[3].Software = older
			}
			addRestrictedCalls(&state, older, 0, test.waiting)
			addWaitingCalls(&state, 6, 1)
			state.Demands[1].WaitingSince = noon.Add(-time.Second)
			c.Assert(ordersFor(state, 6), qt.HasLen, test.want)
		})
	}
}

// TestOneLoadServesCallsOfAVersionAndOthers guards against two swaps for one model: a
// replica at the version that some calls need serves the others as well.
func TestOneLoadServesCallsOfAVersionAndOthers(t *testing.T) {
	for _, late := range []bool{false, true} {
		c := qt.New(t)
		state := newMixedState(2, 8)
		for i := range state.Engines {
			state.Engines[i].OnDisk[modelID(6)] = true
		}
		state.Engines[1].InHostMemory = []fleet.ModelID{modelID(6)}
		addWaitingCalls(&state, 6, 1)
		addRestrictedCalls(&state, older, 6, 1)
		if late {
			state.Demands[1].Objective = noon.Add(-time.Second)
		}
		orders := ordersFor(state, 6)
		c.Assert(orders, qt.HasLen, 1)
		c.Check(orders[0].Server, qt.Equals, serverID(0))
	}
}

// TestCallsThatFillAVersionGetAnotherReplicaThere guards against a crowd of broken streams
// that has to share one replica while other engines of the version have a copy.
func TestCallsThatFillAVersionGetAnotherReplicaThere(t *testing.T) {
	c := qt.New(t)
	state := newMixedState(3, 8)
	state.Engines[2].Software = older
	addIdleModels(&state.Engines[0], 6)
	state.Engines[0].ResidentModels[0].Running = 20
	for i := range state.Engines {
		state.Engines[i].OnDisk[modelID(6)] = true
	}
	addRestrictedCalls(&state, older, 6, 5)
	orders := ordersFor(state, 6)
	c.Assert(orders, qt.HasLen, 1)
	c.Check(orders[0].Server, qt.Equals, serverID(2))
	c.Check(orders[0].Reason, qt.Equals, residence.ReasonReplicate)
}

// TestRestrictedCallsNeedNoReplicaElsewhere guards against replicas at engines that may
// not run the calls that they were loaded for.
func TestRestrictedCallsNeedNoReplicaElsewhere(t *testing.T) {
	c := qt.New(t)
	state := newMixedState(2, 8)
	addIdleModels(&state.Engines[0], 6)
	addIdleModels(&state.Engines[1], 0, 1, 2)
	state.Engines[0].ResidentModels[0].Running = 10
	state.Engines[1].OnDisk[modelID(6)] = true
	addRestrictedCalls(&state, older, 6, 20)
	c.Assert(ordersFor(state, 6), qt.HasLen, 0)
}

// TestAdapterIsLoadedAtTheVersionThatCallsNeed guards against calls for an adapter that
// wait in vain since an engine that may not run them has it.
func TestAdapterIsLoadedAtTheVersionThatCallsNeed(t *testing.T) {
	c := qt.New(t)
	state := newMixedState(2, 2)
	addIdleModels(&state.Engines[0], 0)
	addIdleModels(&state.Engines[1], 0)
	state.Engines[1].ResidentModels[0].Adapters = []residence.ResidentAdapter{{Adapter: "a1"}}
	item := fleet.Item{Model: modelID(0), Adapter: "a1"}
	state.Demands = []residence.Demand{{
		Item: item, Software: older, Waiting: 1, WaitingSince: noon, Objective: noon.Add(time.Second),
	}}
	c.Assert(residence.Plan(state)[0], qt.DeepEquals, residence.Order{
		Server: serverID(0), Load: true, Item: item, Reason: residence.ReasonWaiting,
	})
}

// TestBegunStreamsGetTheirModelFirst guards against the rest of streams that comes after
// all calls that can still meet their objective, and so never in a busy pool.
func TestBegunStreamsGetTheirModelFirst(t *testing.T) {
	c := qt.New(t)
	state := newMixedState(1, 8)
	for _, i := range []int{5, 6} {
		state.Engines[0].OnDisk[modelID(i)] = true
	}
	addWaitingCalls(&state, 5, 20)
	addRestrictedCalls(&state, older, 6, 1)
	begun := &state.Demands[len(state.Demands)-1]
	begun.Objective = state.Now.Add(-time.Second)
	begun.WaitingSince = state.Now.Add(-3 * time.Second)
	c.Check(ordersFor(state, 6), qt.HasLen, 1)
	c.Check(ordersFor(state, 5), qt.HasLen, 0)
}
