package placement

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/packed"
	"github.com/guavatrack/guavatrack/internal/roster"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// newUpdateFixture returns a scheduler in its first term with engines that hold one
// model each, and with nodes that have reported.
func newUpdateFixture(engines, nodes int) *Scheduler {
	s := &Scheduler{}
	s.init()
	s.fencing = 1
	for i := range engines {
		server := &roster.Server{ID: fixtureServer(i), Boot: "b", Pool: "p"}
		e := newEngine(server)
		e.stateKnown = true
		e.held = map[fleet.ModelID]*heldModel{fixtureModel(i): {}}
		s.engines[server.ID] = e
		s.bumpVersion(e)
	}
	for i := range nodes {
		s.nodes[fleet.NodeID(fmt.Sprint("n", i))] = &nodeDemand{}
	}
	return s
}

// TestNodesShareTheUpdatesOfTheScheduler guards against an encoding of the same
// changes for each of hundreds of nodes that report several times a second.
func TestNodesShareTheUpdatesOfTheScheduler(t *testing.T) {
	const answerAllocations = 1
	now := time.Now()
	s := newUpdateFixture(250, 300)
	s.updateFor(now, demandMessage{Fencing: 1, Seen: 100})
	found := testing.AllocsPerRun(10, func() { s.updateFor(now, demandMessage{Fencing: 1, Seen: 100}) })
	qt.Check(t, found <= answerAllocations, qt.IsTrue, qt.Commentf("%v allocations", found))
}

// TestNodeGetsAllChangesAfterThoseItHas lets an engine change while a prepared update
// is being sent, and checks that a node that follows the numbers misses nothing.
func TestNodeGetsAllChangesAfterThoseItHas(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	s := newUpdateFixture(3, 300)
	versions := make(map[fleet.ServerID]uint64)
	seen := uint64(0)
	report := func() {
		update := s.updateFor(now, demandMessage{Fencing: 1, Seen: seen})
		seen = max(seen, update.Number)
		engines, err := packed.Decode[engineUpdate](update.Shared)
		c.Assert(err, qt.IsNil)
		for _, engine := range engines {
			versions[engine.Server] = engine.Version
		}
	}
	report()
	c.Assert(versions, qt.HasLen, 3)
	s.bumpVersion(s.engines["s1"])
	now = now.Add(maxSharedUpdateAge / 2)
	report()
	now = now.Add(maxSharedUpdateAge)
	report()
	c.Assert(versions["s1"], qt.Equals, s.engines["s1"].version)
	c.Assert(seen, qt.Equals, s.version)
}

// TestWaitingNodeGetsTheEngineAtOnce guards against a wait for the next prepared
// update of calls whose model has just been loaded.
func TestWaitingNodeGetsTheEngineAtOnce(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	s := newUpdateFixture(3, 300)
	s.updateFor(now, demandMessage{Fencing: 1, Seen: 3})
	s.engines["s2"].held["new"] = &heldModel{}
	s.bumpVersion(s.engines["s2"])
	update := s.updateFor(now, demandMessage{
		Fencing: 1, Seen: 3, Waiting: []WaitingCalls{{Pool: "p", Item: fleet.Item{Model: "new"}, Count: 1}},
	})
	c.Assert(update.Engines, qt.HasLen, 1)
	c.Assert(update.Engines[0].Server, qt.Equals, fleet.ServerID("s2"))
}

// TestPreparedUpdateDoesNotReplaceNewerState guards against a state that was prepared
// for all nodes before the scheduler notified the node of a load.
func TestPreparedUpdateDoesNotReplaceNewerState(t *testing.T) {
	c := qt.New(t)
	f := newDirectoryFixture(1)
	item := fleet.Item{Model: "new"}
	held := func(version uint64, models ...modelUpdate) []engineUpdate {
		return []engineUpdate{{Server: "s0", Boot: "b", Version: version, Held: models}}
	}
	f.directory.applyUpdate(7, held(5, modelUpdate{Model: "new"}))
	f.directory.applyUpdate(7, held(4))
	c.Assert(f.directory.Replicas(item, "p"), qt.HasLen, 1)
	f.directory.applyUpdate(6, held(9))
	c.Assert(f.directory.Replicas(item, "p"), qt.HasLen, 1)
	f.directory.applyUpdate(8, held(1))
	c.Assert(f.directory.Replicas(item, "p"), qt.HasLen, 0)
}

// TestNodesGetTheLoadsOfBusyEngines lets three nodes report calls on engines and checks
// what another node knows of them.
func TestNodesGetTheLoadsOfBusyEngines(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	s := newUpdateFixture(3, 0)
	for _, e := range s.engines {
		e.server.Slots = 8
	}
	for i := range 3 {
		s.nodes[fleet.NodeID(fmt.Sprint("n", i))] = &nodeDemand{receivedAt: now, demandMessage: demandMessage{
			Uses: []Usage{{Server: "s0", Count: 3}, {Server: "s1", Count: i / 2}},
		}}
	}
	f := newDirectoryFixture(3)
	r := &Reporter{Directory: f.directory}
	r.init()
	update := s.updateFor(now, demandMessage{})
	r.applyUpdate(update)
	running, asOf := f.directory.Load("s0")
	c.Check(running, qt.Equals, 9)
	c.Check(asOf.Before(time.Now()), qt.IsTrue)
	running, asOf = f.directory.Load("s1")
	c.Check(running, qt.Equals, 0)
	c.Check(asOf.IsZero(), qt.IsFalse)
	_, asOf = f.directory.Load("unknown")
	c.Check(asOf.IsZero(), qt.IsTrue)
	// A message about one engine says nothing about the loads.
	r.applyUpdate(updateMessage{Fencing: 1, Engines: update.Engines})
	running, _ = f.directory.Load("s0")
	c.Check(running, qt.Equals, 9)
}
