package residence_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/residence"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

var noon = time.Date(2026, 6, 1, 12, 0, 0, 0, time.UTC)

const gigabyte = fleet.Bytes(1e9)

// newState returns a state with empty engines that have room for three of the
// models m0, m1, … each.
func newState(engines, models int) residence.State {
	state := residence.State{
		Now: noon, Models: make(map[fleet.ModelID]residence.Model), StoreLoads: 2, AdapterLoads: 30,
		RatesSettled: true, Random: func() float64 { return 0 },
	}
	for i := range models {
		state.Models[modelID(i)] = residence.Model{
			Size: 70 * gigabyte, AdapterSize: gigabyte / 10,
			FromStore: 6 * time.Second, FromDisk: 800 * time.Millisecond, FromMemory: 600 * time.Millisecond,
		}
	}
	for i := range engines {
		state.Engines = append(state.Engines, residence.Engine{
			ID: serverID(i), Memory: 230 * gigabyte, AdapterSlots: 8, Slots: 32,
			Copies: residence.Copies{OnDisk: make(map[fleet.ModelID]bool), HostMemoryCapacity: 150 * gigabyte},
		})
	}
	return state
}

func modelID(i int) fleet.ModelID { return fleet.ModelID(fmt.Sprint("m", i)) }

func serverID(i int) fleet.ServerID { return fleet.ServerID(fmt.Sprint("e", i)) }

// addIdleModels adds models to an engine that were last used a minute ago.
func addIdleModels(engine *residence.Engine, models ...int) {
	for _, i := range models {
		engine.ResidentModels = append(engine.ResidentModels,
			residence.ResidentModel{Model: modelID(i), LastUsed: noon.Add(-time.Minute)})
	}
}

// addWaitingCalls adds demand of calls for a model that have just begun to
// wait.
func addWaitingCalls(state *residence.State, i, count int) {
	state.Demands = append(state.Demands, residence.Demand{
		Item: fleet.Item{Model: modelID(i)}, Waiting: count, WaitingSince: noon, Objective: noon.Add(2500 * time.Millisecond),
	})
}

// TestLeastRecentlyUsedModelIsUnloaded covers a rarely used model whose weights
// are on the VM of an engine that is full of unused models: the least recently
// used one is unloaded.
func TestLeastRecentlyUsedModelIsUnloaded(t *testing.T) {
	c := qt.New(t)
	state := newState(2, 8)
	addIdleModels(&state.Engines[0], 0, 1, 2)
	addIdleModels(&state.Engines[1], 3, 4, 5)
	state.Engines[1].OnDisk[modelID(6)] = true
	state.Engines[1].ResidentModels[1].LastUsed = noon.Add(-time.Hour)
	addWaitingCalls(&state, 6, 1)
	c.Assert(residence.Plan(state), qt.DeepEquals, []residence.Order{{
		Server: serverID(1), Item: fleet.Item{Model: modelID(4)}, MakesRoomFor: modelID(6), Reason: residence.ReasonMakeRoom,
	}})
}

// Guards against organisations of high priority that wait for loads behind all others, and
// against those of low priority that are overtaken without end. Without organisations the
// ranks must not matter.
func TestLoadsAreOrderedByRankForATime(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		delay, earlier time.Duration
		first          int
	}{
		{0, 100 * time.Millisecond, 6},
		{200 * time.Millisecond, 100 * time.Millisecond, 7},
		{200 * time.Millisecond, time.Second, 6},
	} {
		state := newState(1, 8)
		state.RankDelay = test.delay
		addIdleModels(&state.Engines[0], 0, 1)
		for i := 6; i <= 7; i++ {
			state.Engines[0].OnDisk[modelID(i)] = true
			addWaitingCalls(&state, i, 1)
		}
		state.Demands[0].Rank = 4
		state.Demands[1].Objective = state.Demands[0].Objective.Add(test.earlier)
		orders := residence.Plan(state)
		c.Assert(orders, qt.HasLen, 1)
		c.Check(orders[0].Item.Model, qt.Equals, modelID(test.first), qt.Commentf("%+v", test))
	}
}

// TestReservedMemoryIsFilledAtOnce covers successive swaps: once memory has
// been freed for a model, its load is ordered at once and not only after the
// reservation has expired.
func TestReservedMemoryIsFilledAtOnce(t *testing.T) {
	c := qt.New(t)
	state := newState(1, 8)
	addIdleModels(&state.Engines[0], 3, 5)
	state.Engines[0].ReservedFor = modelID(6)
	state.Engines[0].OnDisk[modelID(6)] = true
	state.Engines[0].OnDisk[modelID(7)] = true
	addWaitingCalls(&state, 7, 5)
	addWaitingCalls(&state, 6, 1)
	c.Assert(residence.Plan(state), qt.DeepEquals, []residence.Order{{
		Server: serverID(0), Load: true, Item: fleet.Item{Model: modelID(6)}, Tier: residence.LocalDisk,
		Reason: residence.ReasonWaiting,
	}})
}

func TestReservationWithoutWaitingCallsIsDropped(t *testing.T) {
	c := qt.New(t)
	state := newState(1, 8)
	addIdleModels(&state.Engines[0], 3, 5)
	state.Engines[0].ReservedFor = modelID(6)
	state.Engines[0].OnDisk[modelID(6)] = true
	state.Engines[0].OnDisk[modelID(7)] = true
	addWaitingCalls(&state, 7, 5)
	orders := residence.Plan(state)
	c.Assert(orders, qt.HasLen, 1)
	c.Assert(orders[0].Item.Model, qt.Equals, modelID(7))
}

// TestModelInUseIsUnloadedOnlyForLongWait covers a rarely used model that waits
// while all loaded ones run calls: no model is unloaded at first, and after a
// long wait only one that runs a single call.
func TestModelInUseIsUnloadedOnlyForLongWait(t *testing.T) {
	c := qt.New(t)
	state := newState(1, 8)
	addIdleModels(&state.Engines[0], 0, 1, 2)
	for i := range state.Engines[0].ResidentModels {
		state.Engines[0].ResidentModels[i].Running = 1 + i
	}
	state.Engines[0].OnDisk[modelID(6)] = true
	addWaitingCalls(&state, 6, 1)
	c.Assert(residence.Plan(state), qt.HasLen, 0)
	state.Demands[0].WaitingSince = noon.Add(-time.Second)
	orders := residence.Plan(state)
	c.Assert(orders, qt.HasLen, 1)
	c.Assert(orders[0].Item.Model, qt.Equals, modelID(0))
}

// TestModelOnDiskIsNotLoadedFromStore covers a model whose only copy is on the
// VM of an engine that is busy for a moment. The weight store is used only once
// that engine is unavailable.
func TestModelOnDiskIsNotLoadedFromStore(t *testing.T) {
	c := qt.New(t)
	state := newState(2, 8)
	state.Engines[0].OnDisk[modelID(6)] = true
	state.Engines[0].Busy = true
	addWaitingCalls(&state, 6, 1)
	for _, order := range residence.Plan(state) {
		c.Check(order.Item.Model, qt.Not(qt.Equals), modelID(6))
	}
	state.Engines[0].Unavailable = true
	orders := residence.Plan(state)
	c.Assert(orders[0].Item.Model, qt.Equals, modelID(6))
	c.Assert(orders[0].Tier, qt.Equals, residence.WeightStore)
}

// TestAttainableObjectiveGoesFirst covers more waiting models than engines that
// can swap: the earliest objective that can still be met goes first.
func TestAttainableObjectiveGoesFirst(t *testing.T) {
	c := qt.New(t)
	state := newState(1, 8)
	for i := range 8 {
		state.Engines[0].OnDisk[modelID(i)] = true
	}
	addIdleModels(&state.Engines[0], 0, 1, 2)
	addWaitingCalls(&state, 5, 1)
	addWaitingCalls(&state, 6, 1)
	addWaitingCalls(&state, 7, 1)
	state.Demands[0].Objective = noon.Add(-time.Second)
	state.Demands[1].Objective = noon.Add(2 * time.Second)
	state.Demands[2].Objective = noon.Add(1500 * time.Millisecond)
	orders := residence.Plan(state)
	c.Assert(orders, qt.HasLen, 1)
	c.Assert(orders[0].MakesRoomFor, qt.Equals, modelID(7))
}

// TestBusyModelGetsAnotherReplica covers demand that moves to a model that only
// one engine holds.
func TestBusyModelGetsAnotherReplica(t *testing.T) {
	c := qt.New(t)
	state := newState(2, 8)
	addIdleModels(&state.Engines[0], 0, 1, 2)
	addIdleModels(&state.Engines[1], 3, 4, 5)
	state.Engines[0].ResidentModels[0].Running = 30
	state.Engines[1].OnDisk[modelID(0)] = true
	addWaitingCalls(&state, 0, 10)
	orders := residence.Plan(state)
	c.Assert(orders, qt.HasLen, 1)
	c.Assert(orders[0].Server, qt.Equals, serverID(1))
	c.Assert(orders[0].MakesRoomFor, qt.Equals, modelID(0))
}

// TestBusyModelHasTwoReplicas guards against the loss of an engine that has the
// only replica of a model with a high call rate.
func TestBusyModelHasTwoReplicas(t *testing.T) {
	c := qt.New(t)
	state := newState(2, 8)
	addIdleModels(&state.Engines[0], 0, 1, 2)
	addIdleModels(&state.Engines[1], 3, 4, 5)
	state.Engines[1].OnDisk[modelID(0)] = true
	state.Demands = []residence.Demand{{Item: fleet.Item{Model: modelID(0)}, Rate: 8}}
	orders := residence.Plan(state)
	c.Assert(orders, qt.HasLen, 1)
	c.Assert(orders[0].MakesRoomFor, qt.Equals, modelID(0))
	state.Demands[0].Rate = 0.2
	c.Assert(residence.Plan(state), qt.HasLen, 0)
}

// TestOnlyCopyIsNotEvictedFromDisk covers full disks, where a load from the
// weight store evicts the oldest copy: the engine is chosen whose eviction
// leaves another copy.
func TestOnlyCopyIsNotEvictedFromDisk(t *testing.T) {
	c := qt.New(t)
	state := newState(3, 8)
	state.Engines[0].DiskVictim, state.Engines[1].DiskVictim = modelID(0), modelID(1)
	state.Engines[0].OnDisk[modelID(0)] = true
	state.Engines[1].OnDisk[modelID(1)], state.Engines[2].OnDisk[modelID(1)] = true, true
	state.Engines[2].Busy = true
	addWaitingCalls(&state, 6, 1)
	orders := residence.Plan(state)
	c.Assert(orders[0].Server, qt.Equals, serverID(1))
	c.Assert(orders[0].Item.Model, qt.Equals, modelID(6))
}

// TestHighDemandGoesFirst covers a busy model that has lost its replicas while
// rarely used models wait as well. No load is fast enough for its objective,
// and that must not put it last.
func TestHighDemandGoesFirst(t *testing.T) {
	c := qt.New(t)
	state := newState(1, 8)
	addIdleModels(&state.Engines[0], 0, 1, 2)
	for i := range 8 {
		state.Engines[0].OnDisk[modelID(i)] = true
	}
	addWaitingCalls(&state, 5, 1)
	addWaitingCalls(&state, 6, 3)
	state.Demands[1].Rate, state.Demands[1].Objective = 10, noon.Add(400*time.Millisecond)
	orders := residence.Plan(state)
	c.Assert(orders, qt.HasLen, 1)
	c.Assert(orders[0].MakesRoomFor, qt.Equals, modelID(6))
}

// TestRefusedCallsCountForReplicas covers a busy model whose replicas are full,
// so that most of its calls are refused and none waits for long.
func TestRefusedCallsCountForReplicas(t *testing.T) {
	c := qt.New(t)
	state := newState(2, 8)
	addIdleModels(&state.Engines[0], 0, 1, 2)
	addIdleModels(&state.Engines[1], 0, 4, 5)
	state.Engines = append(state.Engines, residence.Engine{
		ID: serverID(2), Memory: 230 * gigabyte, Slots: 32,
		Copies: residence.Copies{OnDisk: map[fleet.ModelID]bool{modelID(0): true}},
	})
	state.Demands = []residence.Demand{{Item: fleet.Item{Model: modelID(0)}, Rate: 30, ServiceTime: 1500 * time.Millisecond}}
	orders := residence.Plan(state)
	c.Assert(orders, qt.HasLen, 1)
	c.Assert(orders[0].Server, qt.Equals, serverID(2))
}

// TestUnsettledPlanKeepsRecentlyUsedModel covers a node that has just become
// the scheduler and has not measured call rates yet: it must not unload the
// busy model.
func TestUnsettledPlanKeepsRecentlyUsedModel(t *testing.T) {
	c := qt.New(t)
	state := newState(2, 8)
	state.RatesSettled = false
	addIdleModels(&state.Engines[0], 0, 1, 2)
	addIdleModels(&state.Engines[1], 0, 4, 5)
	for i := range state.Engines {
		state.Engines[i].ResidentModels[0].LastUsed = noon.Add(-300 * time.Millisecond)
		state.Engines[i].OnDisk[modelID(6)] = true
	}
	addWaitingCalls(&state, 6, 1)
	orders := residence.Plan(state)
	c.Assert(orders, qt.HasLen, 1)
	c.Assert(orders[0].Item.Model, qt.Not(qt.Equals), modelID(0))
}

func TestFreeMemoryIsFilledFromLocalDisk(t *testing.T) {
	c := qt.New(t)
	state := newState(1, 8)
	state.Engines[0].OnDisk[modelID(3)] = true
	orders := residence.Plan(state)
	c.Assert(orders, qt.DeepEquals, []residence.Order{{
		Server: serverID(0), Load: true, Item: fleet.Item{Model: modelID(3)}, Tier: residence.LocalDisk,
		Reason: residence.ReasonPreload,
	}})
}

// TestAdapterSwaps covers more adapters than slots: an idle adapter is unloaded
// for one that calls wait for, and one that was used a moment ago is kept.
func TestAdapterSwaps(t *testing.T) {
	c := qt.New(t)
	state := newState(2, 2)
	state.Engines[0].AdapterSlots = 2
	addIdleModels(&state.Engines[0], 0)
	item := fleet.Item{Model: modelID(0), Adapter: "a9"}
	state.Demands = []residence.Demand{{Item: item, Waiting: 1, WaitingSince: noon, Objective: noon.Add(time.Second)}}
	c.Assert(residence.Plan(state)[0], qt.DeepEquals, residence.Order{
		Server: serverID(0), Load: true, Item: item, Reason: residence.ReasonWaiting,
	})
	resident := &state.Engines[0].ResidentModels[0]
	resident.Adapters = []residence.ResidentAdapter{
		{Adapter: "a1", LastUsed: noon.Add(-time.Minute)}, {Adapter: "a2", LastUsed: noon.Add(-time.Hour), Running: 1},
	}
	c.Assert(residence.Plan(state)[0], qt.DeepEquals, residence.Order{
		Server: serverID(0), Item: fleet.Item{Model: modelID(0), Adapter: "a1"}, Reason: residence.ReasonMakeRoom,
	})
	resident.Adapters[0].LastUsed = noon.Add(-100 * time.Millisecond)
	for _, order := range residence.Plan(state) {
		c.Check(order.Item.Adapter, qt.Equals, fleet.AdapterID(""))
	}
}

// TestFullEnginesConsiderNoPreloads guards against plans whose cost grows with
// engines times models when no engine has room.
func TestFullEnginesConsiderNoPreloads(t *testing.T) {
	state := newState(300, 1500)
	for i := range state.Engines {
		addIdleModels(&state.Engines[i], 3*i, 3*i+1, 3*i+2)
	}
	randomCalls := 0
	state.Random = func() float64 { randomCalls++; return 0 }
	qt.Assert(t, residence.Plan(state), qt.HasLen, 0)
	qt.Assert(t, randomCalls, qt.Equals, 0)
}

// TestModelOfALimitedEngineGetsAFurtherReplica covers a model whose only engine has named a
// limit of requests, so that calls wait although it is loaded: it is loaded on the engine
// that has a copy of its weights. While no call waits it is not.
func TestModelOfALimitedEngineGetsAFurtherReplica(t *testing.T) {
	c := qt.New(t)
	state := newState(2, 4)
	addIdleModels(&state.Engines[0], 0)
	state.Engines[0].Limited = true
	state.Engines[1].OnDisk[modelID(0)] = true
	c.Check(residence.Plan(state), qt.HasLen, 0)
	addWaitingCalls(&state, 0, 2)
	orders := residence.Plan(state)
	c.Assert(orders, qt.HasLen, 1)
	c.Check(orders[0].Load, qt.IsTrue)
	c.Check(orders[0].Server, qt.Equals, serverID(1))
	c.Check(orders[0].Item.Model, qt.Equals, modelID(0))
	state.Engines[0].Limited = false
	c.Check(residence.Plan(state), qt.HasLen, 0)
}
