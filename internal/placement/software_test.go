package placement

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/internal/residence"
	"github.com/guavatrack/guavatrack/internal/roster"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Software versions of servers.
const (
	older fleet.SoftwareVersion = "1.0"
	newer fleet.SoftwareVersion = "1.1"
)

// newVersionFixture returns a scheduler that gives orders to two engines: s0 of the older
// version, which holds m0, and s1 of the newer one, which holds m1. Both have copies of
// m0, m1 and m2, which are loaded from disk in loadTime.
func newVersionFixture(loadTime time.Duration) *Scheduler {
	s := newUpdateFixture(2, 0)
	s.Lease = heldLease{}
	spec := &roster.EngineSpec{Slots: 8, Memory: 150, Models: make(map[fleet.ModelID]*roster.Model)}
	for i := range 3 {
		spec.Models[fixtureModel(i)] = &roster.Model{Size: 70, FromStore: 20 * loadTime, FromDisk: loadTime, FromMemory: loadTime}
		for _, e := range s.engines {
			e.OnDisk = map[fleet.ModelID]bool{"m0": true, "m1": true, "m2": true}
		}
	}
	view := &roster.View{Manifest: &roster.Manifest{Pools: map[fleet.PoolID]*roster.Pool{"p": {ID: "p", Engine: spec}}}}
	s.View = func() *roster.View { return view }
	s.engines["s0"].server.Software = older
	s.engines["s1"].server.Software = newer
	return s
}

// heldLease is a lease that is held under the fencing number of newUpdateFixture.
type heldLease struct{}

func (heldLease) Holds() (fleet.FencingNumber, bool) { return 1, true }
func (heldLease) IsHolder() bool                     { return true }

// waitingFor is the demand of one call for a model at servers of a version.
func waitingFor(model fleet.ModelID, software fleet.SoftwareVersion) WaitingCalls {
	return WaitingCalls{Pool: "p", Item: fleet.Item{Model: model}, Software: software, Count: 1}
}

// TestNodeReportsWaitingCallsByVersion guards against calls that are forgotten since others
// wait for the same model at servers of another version.
func TestNodeReportsWaitingCallsByVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		r := &Reporter{Node: "n0", View: newVersionFixture(time.Second).View}
		for _, software := range []fleet.SoftwareVersion{older, newer, ""} {
			_, err := r.RequestLoad(t.Context(), dispatch.Demand{
				Item: fleet.Item{Model: "m0"}, Pool: "p", Software: software, Waiting: 1, Since: time.Now(), Objective: time.Now(),
			})
			c.Assert(err, qt.IsNil)
		}
		reported := make(map[fleet.SoftwareVersion]int)
		for _, waiting := range r.buildMessage().Waiting {
			reported[waiting.Software] += waiting.Count
		}
		c.Assert(reported, qt.DeepEquals, map[fleet.SoftwareVersion]int{older: 1, newer: 1, "": 1})
		time.Sleep(2 * wantTTL)
		c.Assert(r.buildMessage().Waiting, qt.HasLen, 0)
	})
}

// TestSchedulerSumsDemandByVersion guards against loads at servers of a version that may
// not run the calls that wait.
func TestSchedulerSumsDemandByVersion(t *testing.T) {
	c := qt.New(t)
	s := newVersionFixture(time.Second)
	for _, node := range []fleet.NodeID{"n0", "n1"} {
		s.handleDemand(demandMessage{From: node, Waiting: []WaitingCalls{waitingFor("m0", older), waitingFor("m0", "")}})
	}
	s.handleDemand(demandMessage{From: "n2", Waiting: []WaitingCalls{waitingFor("m0", newer)}})
	waiting := make(map[fleet.SoftwareVersion]int)
	for _, demand := range s.aggregateDemands(time.Now(), "p") {
		waiting[demand.Software] += demand.Waiting
	}
	c.Assert(waiting, qt.DeepEquals, map[fleet.SoftwareVersion]int{older: 2, newer: 1, "": 2})
}

// TestEnginesArePlannedWithTheirVersion guards against a plan that takes all engines to be
// of one version.
func TestEnginesArePlannedWithTheirVersion(t *testing.T) {
	s := newVersionFixture(time.Second)
	input := s.engines["s1"].planInput(time.Now(), s.View().Engine("p"), nil)
	qt.Assert(t, input.Software, qt.Equals, newer)
}

// TestModelIsExpectedAtTheVersionThatCallsNeed guards against calls that wait for a model
// that is ready only where they may not run, and against their refusal since the estimate
// for other calls is stored in place of theirs.
func TestModelIsExpectedAtTheVersionThatCallsNeed(t *testing.T) {
	const loadTime = time.Second
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newVersionFixture(loadTime)
		s.engines["s1"].OnDisk = nil
		r := &Reporter{Node: "n0", Directory: newDirectoryFixture(0).directory, View: s.View}
		r.init()
		want := map[fleet.SoftwareVersion]time.Duration{
			older: loadTime + residence.UnloadTime, newer: 20 * loadTime, "": loadTime + residence.UnloadTime,
		}
		for software := range want {
			r.applyAnswer(s.handleDemand(demandMessage{From: "n0", Waiting: []WaitingCalls{waitingFor("m2", software)}}))
		}
		for software, readyIn := range want {
			estimate, err := r.RequestLoad(t.Context(), dispatch.Demand{Item: fleet.Item{Model: "m2"}, Pool: "p", Software: software})
			c.Check(err, qt.IsNil)
			c.Check(estimate.ReadyIn, qt.Equals, readyIn, qt.Commentf("%q", software))
		}
	})
}

// TestModelIsNotExpectedAtALeavingServer guards against calls that wait in vain, since
// their model is ready, or soon will be, where no more calls are taken.
func TestModelIsNotExpectedAtALeavingServer(t *testing.T) {
	const loadTime = time.Second
	for _, software := range []fleet.SoftwareVersion{older, ""} {
		c := qt.New(t)
		s := newVersionFixture(loadTime)
		s.engines["s1"].OnDisk = nil
		s.engines["s0"].held = map[fleet.ModelID]*heldModel{"m2": {}}
		c.Check(s.expectedReadyIn(time.Now(), waitingFor("m2", software)), qt.Equals, time.Duration(0))
		s.engines["s0"].server.Draining = true
		c.Check(s.expectedReadyIn(time.Now(), waitingFor("m2", software)), qt.Equals, 20*loadTime, qt.Commentf("%q", software))
	}
}

// TestRoomIsNotFilledForCallsOfAnotherVersion guards against the second half of a swap at an
// engine that may not run the calls that wait.
func TestRoomIsNotFilledForCallsOfAnotherVersion(t *testing.T) {
	for software, want := range map[fleet.SoftwareVersion]bool{older: false, newer: true, "": true} {
		s := newVersionFixture(time.Second)
		s.handleDemand(demandMessage{From: "n0", Waiting: []WaitingCalls{waitingFor("m2", software)}})
		task := s.newTask(s.engines["s1"], residence.Order{
			Server: "s1", Item: fleet.Item{Model: "m1"}, MakesRoomFor: "m2", Reason: residence.ReasonMakeRoom,
		}, residence.Model{})
		_, wanted := task.nextLoad()
		qt.Check(t, wanted, qt.Equals, want, qt.Commentf("%q", software))
	}
}
