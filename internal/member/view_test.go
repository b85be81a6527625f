package member_test

import (
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/guavatrack/guavatrack/internal/member"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

func TestEveryNodeListsAllRunningNodes(t *testing.T) {
	for _, counts := range [][]int{{1}, {2}, {7}, {4, 3}, {60, 40}, {1, 1, 1}} {
		s := newSimulation(1, regionsOf(counts...)...)
		s.steps(40)
		qt.Assert(t, s.membershipMismatch(), qt.Equals, "", qt.Commentf("%v", counts))
	}
}

func TestStoppedNodeIsRemovedWithinEightIntervals(t *testing.T) {
	c := qt.New(t)
	for _, counts := range [][]int{{20, 10}, {5, 3}, {2, 1}, {3}, {4}} {
		s := newSimulation(2, regionsOf(counts...)...)
		s.steps(40)
		s.stopped["n001"] = true
		s.steps(8)
		c.Assert(s.membershipMismatch(), qt.Equals, "", qt.Commentf("%v", counts))
	}
}

func TestPartialLinkLossDeclaresNoNodeDead(t *testing.T) {
	tests := map[string]func(from, to fleet.NodeID) bool{
		"both ways": func(from, to fleet.NodeID) bool {
			return from == "n001" && to == "n002" || from == "n002" && to == "n001"
		},
		"one way": func(from, to fleet.NodeID) bool { return from == "n001" && to == "n002" },
		"all answers of half": func(from, to fleet.NodeID) bool {
			return from == "n001" && to >= "n004"
		},
	}
	for name, lost := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := newSimulation(3, regionsOf(8)...)
			s.steps(30)
			s.lost = lost
			s.steps(120)
			c.Assert(s.declaredDead(), qt.HasLen, 0)
			c.Assert(s.membershipMismatch(), qt.Equals, "")
		})
	}
}

func TestNodeThatReceivesNothingSuspectsNoOther(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(4, regionsOf(8)...)
	s.steps(30)
	s.lost = func(_, to fleet.NodeID) bool { return to == "n003" }
	s.steps(60)
	for _, dead := range s.declaredDead() {
		c.Assert(dead, qt.Equals, fleet.NodeID("n003"))
	}
	c.Assert(s.views["n003"].Live(s.now), qt.HasLen, 8)
}

func TestPausedNodeReturnsWithoutSuspectingOthers(t *testing.T) {
	for _, pause := range []int{2, 6, 40} {
		c := qt.New(t)
		s := newSimulation(5, regionsOf(6, 5)...)
		s.steps(30)
		s.paused["n002"] = true
		s.steps(pause)
		s.paused["n002"] = false
		s.steps(20)
		c.Assert(s.membershipMismatch(), qt.Equals, "", qt.Commentf("pause of %d", pause))
	}
}

func TestProcessPauseIsDetected(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(6, regionsOf(3)...)
	s.steps(20)
	began := s.now
	s.paused["n000"] = true
	s.steps(10)
	s.paused["n000"] = false
	s.steps(1)
	c.Assert(s.views["n000"].PausedSince(began), qt.IsTrue)
	c.Assert(s.views["n000"].HandleFailure(s.now, "n001", began), qt.HasLen, 0)
	c.Assert(s.views["n001"].PausedSince(began), qt.IsFalse)
}

func TestUnreachableRegionReconnectsWithoutMessageBurst(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(7, regionsOf(12, 8)...)
	s.steps(40)
	s.crossRegionMessages = 0
	s.steps(100)
	before := s.crossRegionMessages
	s.lost = func(from, to fleet.NodeID) bool { return s.regions[from] != s.regions[to] }
	s.steps(60)
	c.Assert(s.views["n000"].Live(s.now), qt.HasLen, 12)
	c.Assert(s.views["n015"].Live(s.now), qt.HasLen, 8)
	c.Assert(s.views["n015"].RegionUnreachable(s.now, "r0"), qt.IsTrue)
	c.Assert(s.declaredDead(), qt.HasLen, 0)
	s.steps(900)
	s.lost = func(fleet.NodeID, fleet.NodeID) bool { return false }
	s.crossRegionMessages = 0
	s.steps(30)
	c.Assert(s.membershipMismatch(), qt.Equals, "")
	c.Assert(s.crossRegionMessages < before, qt.IsTrue, qt.Commentf("%d messages in 30 s after the return, %d in 100 s before", s.crossRegionMessages, before))
}

func TestNodeStoppedDuringRegionPartitionStaysDead(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(8, regionsOf(6, 5)...)
	s.steps(30)
	s.lost = func(from, to fleet.NodeID) bool { return s.regions[from] != s.regions[to] }
	s.stopped["n001"] = true
	s.steps(900)
	s.lost = func(fleet.NodeID, fleet.NodeID) bool { return false }
	s.steps(40)
	c.Assert(s.membershipMismatch(), qt.Equals, "")
}

func TestSoleNodeOfRegionIsReplaced(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(12, regionsOf(5, 1)...)
	s.steps(30)
	s.stopped["n005"] = true
	s.steps(30)
	c.Assert(s.views["n000"].Live(s.now), qt.HasLen, 5)
	s.add("r1")
	s.steps(60)
	c.Assert(s.membershipMismatch(), qt.Equals, "")
}

func TestOneNodePairExchangesBetweenRegions(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(9, regionsOf(30, 30)...)
	s.steps(60)
	s.crossRegionMessages = 0
	s.steps(100)
	// One exchange per interval from each side.
	c.Assert(s.crossRegionMessages, qt.Equals, 200)
}

func TestCrossRegionFactReachesAllNodesAndExpires(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(10, regionsOf(10, 10)...)
	s.steps(40)
	publish := func(kind string, crossRegion bool) {
		s.views["n003"].Publish(s.now, member.Fact{Kind: kind, Value: json.RawMessage(`1`), CrossRegion: crossRegion}, time.Minute)
	}
	publish("load", false)
	publish("poison", true)
	s.steps(15)
	for _, id := range s.ids {
		c.Assert(s.views[id].Facts(s.now, "poison"), qt.HasLen, 1)
		c.Assert(len(s.views[id].Facts(s.now, "load")) == 1, qt.Equals, s.regions[id] == "r0")
	}
	s.steps(60)
	c.Assert(s.views["n015"].Facts(s.now, "poison"), qt.HasLen, 0)
}

func TestFactsOfAllNodesReachEveryNode(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(13, regionsOf(60)...)
	s.steps(60)
	missing := 0
	for round := range 10 {
		for i, id := range s.ids {
			if i%6 == round%6 {
				s.views[id].Publish(s.now, member.Fact{Kind: "load", Value: json.RawMessage(`1`)}, time.Minute)
			}
		}
		s.steps(1)
	}
	s.steps(15)
	for _, id := range s.ids {
		missing += 60 - len(s.views[id].Facts(s.now, "load"))
	}
	c.Assert(missing, qt.Equals, 0)
}

// TestStartSpreadsWithinTwoSteps lets a node join before it can serve. All nodes
// must list it as starting, and as started within two steps of its announcement.
func TestStartSpreadsWithinTwoSteps(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(12, regionsOf(30, 20)...)
	s.steps(40)
	id := s.add(s.regions["n004"])
	s.views[id] = member.NewView(member.Info{
		Node: id, Place: fleet.Place{Region: s.regions[id]}, PeerAddress: string(id), StartedAt: s.now, Starting: true,
	}, stepInterval, s.random)
	s.joinAt(id, "n004")
	s.steps(5)
	count := func(starting bool) (known int) {
		for _, other := range s.ids {
			for _, info := range s.views[other].Live(s.now) {
				known += boolInt(info.Node == id && info.Starting == starting)
			}
		}
		return known
	}
	c.Assert(count(true), qt.Equals, 51)
	s.views[id].AnnounceStarted()
	s.execute(id, s.views[id].ImmediateActions(s.now))
	s.steps(2)
	c.Assert(count(false), qt.Equals, 51)
}

func TestLeavingAndLeftSpreadWithinFewSteps(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(11, regionsOf(30, 20)...)
	s.steps(40)
	view := s.views["n004"]
	view.AnnounceLeaving(false)
	s.execute("n004", view.ImmediateActions(s.now))
	s.steps(2)
	leaving := 0
	for _, id := range s.ids {
		for _, info := range s.views[id].Live(s.now) {
			leaving += boolInt(info.Node == "n004" && info.Leaving)
		}
	}
	c.Assert(leaving, qt.Equals, 50)
	view.AnnounceLeaving(true)
	s.execute("n004", view.ImmediateActions(s.now))
	s.stopped["n004"] = true
	s.steps(4)
	c.Assert(s.membershipMismatch(), qt.Equals, "")
}

// TestMembershipConvergesAfterFailuresEnd draws partitions, one-way losses, random
// losses, pauses, stops and starts. After the network is restored, all views must
// list exactly the running nodes.
func TestMembershipConvergesAfterFailuresEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sizes := rapid.SliceOfN(rapid.IntRange(1, 6), 1, 3).Draw(t, "sizes")
		s := newSimulation(uint64(rapid.IntRange(0, 1000).Draw(t, "seed")), regionsOf(sizes...)...)
		s.steps(20)
		for range rapid.IntRange(1, 4).Draw(t, "phases") {
			id := func(name string) fleet.NodeID { return rapid.SampledFrom(s.ids).Draw(t, name) }
			switch rapid.SampledFrom([]string{"cut", "oneWay", "pause", "stop", "start", "loss"}).Draw(t, "failure") {
			case "cut":
				partitioned := map[fleet.NodeID]bool{id("apart"): true, id("apart"): true, id("apart"): true}
				s.lost = func(from, to fleet.NodeID) bool { return partitioned[from] != partitioned[to] }
			case "oneWay":
				noInbound := id("deaf")
				s.lost = func(_, to fleet.NodeID) bool { return to == noInbound }
			case "pause":
				s.paused[id("paused")] = true
			case "stop":
				if running := len(s.ids) - len(s.stopped); running > 1 {
					s.stopped[id("stopped")] = true
				}
			case "start":
				s.add(s.regions[id("beside")])
			case "loss":
				s.lost = func(fleet.NodeID, fleet.NodeID) bool { return s.random.IntN(3) == 0 }
			}
			s.steps(rapid.IntRange(1, 40).Draw(t, "steps"))
		}
		clear(s.paused)
		s.lost = func(fleet.NodeID, fleet.NodeID) bool { return false }
		s.steps(90)
		if wrong := s.membershipMismatch(); wrong != "" {
			t.Fatal(wrong)
		}
	})
}
