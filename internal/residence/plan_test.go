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

// site is a state with engines of room for three of the models m0, m1, ….
func site(engines, models int) residence.State {
	state := residence.State{
		Now: noon, Models: make(map[fleet.ModelID]residence.Model), StoreLoads: 2, AdapterLoads: 30,
		Settled: true, Random: func() float64 { return 0 },
	}
	for at := range models {
		state.Models[model(at)] = residence.Model{
			Size: 70 * gigabyte, AdapterSize: gigabyte / 10,
			FromStore: 6 * time.Second, FromDisk: 800 * time.Millisecond, FromMemory: 600 * time.Millisecond,
		}
	}
	for at := range engines {
		state.Engines = append(state.Engines, residence.Engine{
			ID: server(at), Memory: 230 * gigabyte, AdapterSlots: 8, Slots: 32,
			Copies: residence.Copies{OnDisk: make(map[fleet.ModelID]bool), HostMemory: 150 * gigabyte},
		})
	}
	return state
}

func model(at int) fleet.ModelID { return fleet.ModelID(fmt.Sprint("m", at)) }

func server(at int) fleet.ServerID { return fleet.ServerID(fmt.Sprint("e", at)) }

// holds puts models that were used long ago on an engine.
func holds(engine *residence.Engine, models ...int) {
	for _, at := range models {
		engine.Held = append(engine.Held, residence.Held{Model: model(at), Used: noon.Add(-time.Minute)})
	}
}

// waits adds calls that have just begun to wait.
func waits(state *residence.State, at, count int) {
	state.Demands = append(state.Demands, residence.Demand{
		Item: fleet.Item{Model: model(at)}, Waiting: count, Since: noon, Objective: noon.Add(2500 * time.Millisecond),
	})
}

// TestUnusedModelMakesRoom answers the pattern of a rarely used model that is on
// the disk of an engine full of unused ones.
func TestUnusedModelMakesRoom(t *testing.T) {
	c := qt.New(t)
	state := site(2, 8)
	holds(&state.Engines[0], 0, 1, 2)
	holds(&state.Engines[1], 3, 4, 5)
	state.Engines[1].OnDisk[model(6)] = true
	state.Engines[1].Held[1].Used = noon.Add(-time.Hour)
	waits(&state, 6, 1)
	c.Assert(residence.Plan(state), qt.DeepEquals, []residence.Order{{
		Server: server(1), Item: fleet.Item{Model: model(4)}, For: model(6), Why: residence.WhyRoom,
	}})
}

// TestRoomThatWasMadeIsFilledAtOnce answers the pattern of swaps that follow
// each other: the load must not wait until the reservation has run out.
func TestRoomThatWasMadeIsFilledAtOnce(t *testing.T) {
	c := qt.New(t)
	state := site(1, 8)
	holds(&state.Engines[0], 3, 5)
	state.Engines[0].Next = model(6)
	state.Engines[0].OnDisk[model(6)] = true
	state.Engines[0].OnDisk[model(7)] = true
	waits(&state, 7, 5)
	waits(&state, 6, 1)
	c.Assert(residence.Plan(state), qt.DeepEquals, []residence.Order{{
		Server: server(0), Load: true, Item: fleet.Item{Model: model(6)}, Tier: residence.LocalDisk,
		Why: residence.WhyWaiting,
	}})
}

func TestRoomThatNobodyWantsAnyMoreGoesToAnother(t *testing.T) {
	c := qt.New(t)
	state := site(1, 8)
	holds(&state.Engines[0], 3, 5)
	state.Engines[0].Next = model(6)
	state.Engines[0].OnDisk[model(6)] = true
	state.Engines[0].OnDisk[model(7)] = true
	waits(&state, 7, 5)
	orders := residence.Plan(state)
	c.Assert(orders, qt.HasLen, 1)
	c.Assert(orders[0].Item.Model, qt.Equals, model(7))
}

// TestModelsInUseStay answers the pattern of a rare model that waits while all
// others run: only one that is used a little makes room, and not at once.
func TestModelsInUseStay(t *testing.T) {
	c := qt.New(t)
	state := site(1, 8)
	holds(&state.Engines[0], 0, 1, 2)
	for at := range state.Engines[0].Held {
		state.Engines[0].Held[at].Running = 1 + at
	}
	state.Engines[0].OnDisk[model(6)] = true
	waits(&state, 6, 1)
	c.Assert(residence.Plan(state), qt.HasLen, 0)
	state.Demands[0].Since = noon.Add(-time.Second)
	orders := residence.Plan(state)
	c.Assert(orders, qt.HasLen, 1)
	c.Assert(orders[0].Item.Model, qt.Equals, model(0))
}

// TestModelOnADiskIsNeverFetchedFromTheStore answers the pattern of a model
// whose only copy is on an engine that is busy for a moment.
func TestModelOnADiskIsNeverFetchedFromTheStore(t *testing.T) {
	c := qt.New(t)
	state := site(2, 8)
	state.Engines[0].OnDisk[model(6)] = true
	state.Engines[0].Busy = true
	waits(&state, 6, 1)
	for _, order := range residence.Plan(state) {
		c.Check(order.Item.Model, qt.Not(qt.Equals), model(6))
	}
	state.Engines[0].Closed = true
	orders := residence.Plan(state)
	c.Assert(orders[0].Item.Model, qt.Equals, model(6))
	c.Assert(orders[0].Tier, qt.Equals, residence.WeightStore)
}

// TestCallsThatCanBeInTimeGoFirst answers the pattern of more waiting models
// than engines that can swap.
func TestCallsThatCanBeInTimeGoFirst(t *testing.T) {
	c := qt.New(t)
	state := site(1, 8)
	for at := range 8 {
		state.Engines[0].OnDisk[model(at)] = true
	}
	holds(&state.Engines[0], 0, 1, 2)
	waits(&state, 5, 1)
	waits(&state, 6, 1)
	waits(&state, 7, 1)
	state.Demands[0].Objective = noon.Add(-time.Second)
	state.Demands[1].Objective = noon.Add(2 * time.Second)
	state.Demands[2].Objective = noon.Add(1500 * time.Millisecond)
	orders := residence.Plan(state)
	c.Assert(orders, qt.HasLen, 1)
	c.Assert(orders[0].For, qt.Equals, model(7))
}

// TestBusyModelGetsMoreReplicas answers the pattern of demand that moves to a
// model that one engine holds.
func TestBusyModelGetsMoreReplicas(t *testing.T) {
	c := qt.New(t)
	state := site(2, 8)
	holds(&state.Engines[0], 0, 1, 2)
	holds(&state.Engines[1], 3, 4, 5)
	state.Engines[0].Held[0].Running = 30
	state.Engines[1].OnDisk[model(0)] = true
	waits(&state, 0, 10)
	orders := residence.Plan(state)
	c.Assert(orders, qt.HasLen, 1)
	c.Assert(orders[0].Server, qt.Equals, server(1))
	c.Assert(orders[0].For, qt.Equals, model(0))
}

// TestBusyModelHasTwoReplicas answers the pattern of an engine that is lost with
// the only replica of a model that many call.
func TestBusyModelHasTwoReplicas(t *testing.T) {
	c := qt.New(t)
	state := site(2, 8)
	holds(&state.Engines[0], 0, 1, 2)
	holds(&state.Engines[1], 3, 4, 5)
	state.Engines[1].OnDisk[model(0)] = true
	state.Demands = []residence.Demand{{Item: fleet.Item{Model: model(0)}, Rate: 8}}
	orders := residence.Plan(state)
	c.Assert(orders, qt.HasLen, 1)
	c.Assert(orders[0].For, qt.Equals, model(0))
	state.Demands[0].Rate = 0.2
	c.Assert(residence.Plan(state), qt.HasLen, 0)
}

// TestOnlyCopiesStayOnTheirDisks answers the pattern of full disks: a load from
// the weight store pushes the oldest copy off one of them.
func TestOnlyCopiesStayOnTheirDisks(t *testing.T) {
	c := qt.New(t)
	state := site(3, 8)
	state.Engines[0].Evicts, state.Engines[1].Evicts = model(0), model(1)
	state.Engines[0].OnDisk[model(0)] = true
	state.Engines[1].OnDisk[model(1)], state.Engines[2].OnDisk[model(1)] = true, true
	state.Engines[2].Busy = true
	waits(&state, 6, 1)
	orders := residence.Plan(state)
	c.Assert(orders[0].Server, qt.Equals, server(1))
	c.Assert(orders[0].Item.Model, qt.Equals, model(6))
}

// TestManyCallsGoBeforeFew answers the pattern of a busy model that has lost its
// replicas while rarely used ones wait as well: its objective is too short for
// any load, which must not put it last.
func TestManyCallsGoBeforeFew(t *testing.T) {
	c := qt.New(t)
	state := site(1, 8)
	holds(&state.Engines[0], 0, 1, 2)
	for at := range 8 {
		state.Engines[0].OnDisk[model(at)] = true
	}
	waits(&state, 5, 1)
	waits(&state, 6, 3)
	state.Demands[1].Rate, state.Demands[1].Objective = 10, noon.Add(400*time.Millisecond)
	orders := residence.Plan(state)
	c.Assert(orders, qt.HasLen, 1)
	c.Assert(orders[0].For, qt.Equals, model(6))
}

// TestRefusedCallsCountForReplicas answers the pattern of a busy model whose only
// replica is full, so that most of its calls are refused and none waits long.
func TestRefusedCallsCountForReplicas(t *testing.T) {
	c := qt.New(t)
	state := site(2, 8)
	holds(&state.Engines[0], 0, 1, 2)
	holds(&state.Engines[1], 0, 4, 5)
	state.Engines = append(state.Engines, residence.Engine{
		ID: server(2), Memory: 230 * gigabyte, Slots: 32,
		Copies: residence.Copies{OnDisk: map[fleet.ModelID]bool{model(0): true}},
	})
	state.Demands = []residence.Demand{{Item: fleet.Item{Model: model(0)}, Rate: 30, Takes: 1500 * time.Millisecond}}
	orders := residence.Plan(state)
	c.Assert(orders, qt.HasLen, 1)
	c.Assert(orders[0].Server, qt.Equals, server(2))
}

// TestNewSchedulerUnloadsNoBusyModel answers the pattern of a node that has just
// taken over and knows no rates of calls.
func TestNewSchedulerUnloadsNoBusyModel(t *testing.T) {
	c := qt.New(t)
	state := site(2, 8)
	state.Settled = false
	holds(&state.Engines[0], 0, 1, 2)
	holds(&state.Engines[1], 0, 4, 5)
	for at := range state.Engines {
		state.Engines[at].Held[0].Used = noon.Add(-300 * time.Millisecond)
		state.Engines[at].OnDisk[model(6)] = true
	}
	waits(&state, 6, 1)
	orders := residence.Plan(state)
	c.Assert(orders, qt.HasLen, 1)
	c.Assert(orders[0].Item.Model, qt.Not(qt.Equals), model(0))
}

func TestEmptyRoomIsFilledFromTheOwnDisk(t *testing.T) {
	c := qt.New(t)
	state := site(1, 8)
	state.Engines[0].OnDisk[model(3)] = true
	orders := residence.Plan(state)
	c.Assert(orders, qt.DeepEquals, []residence.Order{{
		Server: server(0), Load: true, Item: fleet.Item{Model: model(3)}, Tier: residence.LocalDisk, Why: residence.WhySpare,
	}})
}

// TestAdapters answers the pattern of adapters that take turns on few places.
func TestAdapters(t *testing.T) {
	c := qt.New(t)
	state := site(2, 2)
	state.Engines[0].AdapterSlots = 2
	holds(&state.Engines[0], 0)
	wanted := fleet.Item{Model: model(0), Adapter: "a9"}
	state.Demands = []residence.Demand{{Item: wanted, Waiting: 1, Since: noon, Objective: noon.Add(time.Second)}}
	c.Assert(residence.Plan(state)[0], qt.DeepEquals, residence.Order{
		Server: server(0), Load: true, Item: wanted, Why: residence.WhyWaiting,
	})
	held := &state.Engines[0].Held[0]
	held.Adapters = []residence.HeldAdapter{
		{Adapter: "a1", Used: noon.Add(-time.Minute)}, {Adapter: "a2", Used: noon.Add(-time.Hour), Running: 1},
	}
	c.Assert(residence.Plan(state)[0], qt.DeepEquals, residence.Order{
		Server: server(0), Item: fleet.Item{Model: model(0), Adapter: "a1"}, Why: residence.WhyRoom,
	})
	held.Adapters[0].Used = noon.Add(-100 * time.Millisecond)
	for _, order := range residence.Plan(state) {
		c.Check(order.Item.Adapter, qt.Equals, fleet.AdapterID(""))
	}
}

// TestPlanOfFullEnginesLooksAtNoSpareModel answers the pattern of many engines
// without room: what a plan costs must not grow with engines times models.
func TestPlanOfFullEnginesLooksAtNoSpareModel(t *testing.T) {
	state := site(300, 1500)
	for at := range state.Engines {
		holds(&state.Engines[at], 3*at, 3*at+1, 3*at+2)
	}
	looks := 0
	state.Random = func() float64 { looks++; return 0 }
	qt.Assert(t, residence.Plan(state), qt.HasLen, 0)
	qt.Assert(t, looks, qt.Equals, 0)
}
