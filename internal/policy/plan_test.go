package policy_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/internal/policy"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/ticket"
)

// drawView draws servers with grants on them. Its value function forbids
// evictions below the minimum number of replicas of a model.
func drawView(t *rapid.T, snapshot *ticket.Snapshot) policy.View {
	view := policy.View{
		Now: time.Unix(1e9, 0), Snapshot: snapshot,
		WeightStore:  policy.WeightStore{Slowness: rapid.Float64Range(0, 20).Draw(t, "slowness")},
		ModelSlots:   rapid.IntRange(0, 4).Draw(t, "modelSlots"),
		AdapterSlots: rapid.IntRange(0, 30).Draw(t, "adapterSlots"),
	}
	ready := make(map[fleet.Item]int)
	for i := range rapid.IntRange(1, 6).Draw(t, "servers") {
		server := testServer(fleet.ServerID(fmt.Sprint("s", i)), rapid.SampledFrom([]fleet.Bytes{20, 40, 80}).Draw(t, "memory")*fleet.GiB)
		server.Leaving = rapid.IntRange(0, 5).Draw(t, "leaving") == 0
		for j := range rapid.IntRange(0, 4).Draw(t, "held") {
			item := fleet.Item{Model: fleet.ModelID(fmt.Sprint("m", rapid.IntRange(0, 7).Draw(t, "model")))}
			if server.Reserved+testSize(item) > server.Memory {
				break
			}
			held := policy.ServerGrant{
				Grant: fleet.GrantID(fmt.Sprintf("g%d-%d", i, j)), Item: item, Size: testSize(item),
				State:    rapid.SampledFrom([]engine.ItemState{engine.Loading, engine.Ready}).Draw(t, "state"),
				Running:  rapid.IntRange(0, 1).Draw(t, "running"),
				Draining: rapid.IntRange(0, 4).Draw(t, "draining") == 0,
			}
			if held.State == engine.Ready && !held.Draining {
				ready[item]++
			}
			server.Reserved += held.Size
			server.Grants = append(server.Grants, held)
		}
		view.Servers = append(view.Servers, server)
	}
	view.EvictionCost = func(_ *policy.Server, held policy.ServerGrant) (float64, bool) {
		return 1, ready[held.Item] > snapshot.Deployments[held.Item.Model].Replicas.Min
	}
	return view
}

func drawSnapshot(t *rapid.T) *ticket.Snapshot {
	snapshot := testSnapshot(8)
	for _, deployment := range snapshot.Deployments {
		deployment.Replicas.Max = rapid.IntRange(1, 3).Draw(t, "max")
		deployment.Replicas.Min = rapid.IntRange(0, deployment.Replicas.Max).Draw(t, "min")
	}
	return snapshot
}

func drawDemands(t *rapid.T) []policy.Demand {
	var demands []policy.Demand
	for i := range 8 {
		if rapid.Bool().Draw(t, "wanted") {
			name := fmt.Sprint("m", i)
			if rapid.Bool().Draw(t, "adapter") {
				name += ":a"
			}
			demands = append(demands, policy.Demand{
				Item: fleet.ParseItem(name), Replicas: rapid.IntRange(1, 4).Draw(t, "want"),
				Urgency: policy.Urgency(rapid.IntRange(0, 2).Draw(t, "urgency")),
			})
		}
	}
	return demands
}

func TestPlanRespectsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		snapshot := drawSnapshot(t)
		view := drawView(t, snapshot)
		actions := policy.Plan(view, drawDemands(t))

		replicas := make(map[fleet.Item]int)
		memory := make(map[fleet.ServerID]fleet.Bytes)
		grants := make(map[fleet.GrantID]policy.ServerGrant)
		for _, server := range view.Servers {
			memory[server.ID] = server.Memory - server.Reserved
			for _, held := range server.Grants {
				replicas[held.Item]++
				grants[held.Grant] = held
			}
		}
		models, adapters := 0, 0
		for _, load := range actions.Loads {
			replicas[load.Item]++
			if decided := snapshot.Deployments[load.Item.Model].Replicas.Max; replicas[load.Item] > decided {
				t.Fatalf("%s: %d replicas, maximum %d", load.Item, replicas[load.Item], decided)
			}
			if memory[load.Server] -= testSize(load.Item); memory[load.Server] < 0 {
				t.Fatalf("%s: memory overcommitted by %s", load.Server, -memory[load.Server])
			}
			if load.Item.IsAdapter() {
				adapters++
			} else {
				models++
			}
		}
		if models > view.ModelSlots || adapters > view.AdapterSlots {
			t.Fatalf("%d model loads and %d adapter loads for %d and %d slots", models, adapters, view.ModelSlots, view.AdapterSlots)
		}
		for _, unload := range actions.Unloads {
			if held := grants[unload.Grant]; held.HasRequests() || held.Draining {
				t.Fatalf("evicted a grant that has requests or is draining: %+v", held)
			}
		}
	})
}

func TestEvictionKeepsMinimumReplicas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		snapshot := drawSnapshot(t)
		view := drawView(t, snapshot)
		ready := make(map[fleet.Item]int)
		for _, server := range view.Servers {
			for _, held := range server.Grants {
				if held.State == engine.Ready && !held.Draining {
					ready[held.Item]++
				}
			}
		}
		for _, unload := range policy.Plan(view, drawDemands(t)).Unloads {
			ready[unload.Item]--
			if minimum := snapshot.Deployments[unload.Item.Model].Replicas.Min; ready[unload.Item] < minimum {
				t.Fatalf("%s: %d replicas left, minimum %d", unload.Item, ready[unload.Item], minimum)
			}
		}
	})
}

func TestWaitingRequestsPrecedePrewarming(t *testing.T) {
	c := qt.New(t)
	view := policy.View{
		Now: time.Unix(1e9, 0), Snapshot: testSnapshot(3), ModelSlots: 1,
		Servers: []policy.Server{testServer("s1", 80*fleet.GiB)},
	}
	actions := policy.Plan(view, []policy.Demand{
		{Item: fleet.ParseItem("m0"), Urgency: policy.Rebalance, Replicas: 1},
		{Item: fleet.ParseItem("m1"), Urgency: policy.Prewarm, Replicas: 1},
		{Item: fleet.ParseItem("m2"), Urgency: policy.Waiting, Replicas: 1},
	})
	c.Assert(actions.Loads, qt.HasLen, 1)
	c.Assert(actions.Loads[0].Item, qt.Equals, fleet.ParseItem("m2"))
}

// TestWaitingItemsAreNotStarved plans repeatedly, with one slot in every other
// round, while new demands arrive. Items whose requests have waited longest
// must not be overtaken indefinitely by newer ones.
func TestWaitingItemsAreNotStarved(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1e9, 0)
	server := testServer("s1", fleet.TiB)
	snapshot := testSnapshot(30)
	waiting := make(map[fleet.Item]time.Time)
	for round := range 60 {
		now := start.Add(time.Duration(round) * time.Second)
		if round < 30 {
			waiting[fleet.ParseItem(fmt.Sprint("m", round))] = now
		}
		demands := make([]policy.Demand, 0, len(waiting))
		for item, since := range waiting {
			demands = append(demands, policy.Demand{
				Item: item, Replicas: 1, Since: since, Deadline: since.Add(time.Minute),
			})
		}
		view := policy.View{Now: now, Snapshot: snapshot, ModelSlots: round % 2, Servers: []policy.Server{server}}
		for _, load := range policy.Plan(view, demands).Loads {
			for item, since := range waiting {
				c.Assert(since.Before(waiting[load.Item]) && item != load.Item, qt.IsFalse)
			}
			delete(waiting, load.Item)
			server.Grants = append(server.Grants, policy.ServerGrant{Item: load.Item, Size: testSize(load.Item), State: engine.Ready})
			server.Reserved += testSize(load.Item)
		}
	}
	c.Assert(waiting, qt.HasLen, 0)
}

func TestSlowStorePrefersCachedCheckpoints(t *testing.T) {
	c := qt.New(t)
	cached := testServer("cached", 20*fleet.GiB)
	cached.Reserved = 16 * fleet.GiB
	cached.Grants = []policy.ServerGrant{{Grant: "g", Item: fleet.ParseItem("m1"), Size: 16 * fleet.GiB, State: engine.Ready}}
	cached.Checkpoints = map[string]engine.CacheTier{"m0": engine.LocalDisk}
	empty := testServer("empty", 80*fleet.GiB)
	place := func(store policy.WeightStore) policy.Placement {
		snapshot := testSnapshot(2)
		query := policy.Query{
			Item: fleet.ParseItem("m0"), Size: 16 * fleet.GiB, Deployment: snapshot.Deployments["m0"],
			EvictionCost: func(*policy.Server, policy.ServerGrant) (float64, bool) { return 0.2, true }, // 20 s of cold start
		}
		placement, found := policy.Place(&query, store, []policy.Server{cached, empty})
		c.Assert(found, qt.IsTrue)
		return placement
	}
	c.Assert(place(policy.WeightStore{}).Server, qt.Equals, fleet.ServerID("empty"))
	c.Assert(place(policy.WeightStore{Slowness: 5}).Evict, qt.DeepEquals, []fleet.GrantID{"g"})
	c.Assert(place(policy.WeightStore{Down: true}).Server, qt.Equals, fleet.ServerID("cached"))
}

// TestAdapterEvictsBaseModelOnFullServer has a server whose memory is
// completely reserved by base models, so that an adapter of one of them has to
// displace another base model.
func TestAdapterEvictsBaseModelOnFullServer(t *testing.T) {
	c := qt.New(t)
	server := testServer("s1", 32*fleet.GiB)
	server.Reserved = 32 * fleet.GiB
	server.Grants = []policy.ServerGrant{
		{Grant: "own", Item: fleet.ParseItem("m0"), Size: 16 * fleet.GiB, State: engine.Ready},
		{Grant: "other", Item: fleet.ParseItem("m1"), Size: 16 * fleet.GiB, State: engine.Ready},
	}
	view := policy.View{
		Now: time.Unix(1e9, 0), Snapshot: testSnapshot(2), AdapterSlots: 1, Servers: []policy.Server{server},
		EvictionCost: func(*policy.Server, policy.ServerGrant) (float64, bool) { return 1, true },
	}
	actions := policy.Plan(view, []policy.Demand{{Item: fleet.ParseItem("m0:a"), Replicas: 1}})
	c.Assert(actions.Unloads, qt.HasLen, 1)
	c.Assert(actions.Unloads[0].Grant, qt.Equals, fleet.GrantID("other"))
}
