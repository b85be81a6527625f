package grant_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/internal/grant"
	"github.com/guavatrack/guavatrack/internal/standin"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

func ready(c *grant.Controller, item fleet.Item) bool {
	replicas := c.Replicas(item)
	return len(replicas) == 1 && replicas[0].State == engine.Ready
}

func reserved(c *grant.Controller) (total fleet.Bytes) {
	for _, view := range c.Views() {
		total += view.Reserved
	}
	return total
}

func TestLoadServeUnloadRelease(t *testing.T) {
	virtual(t, func(t *testing.T) {
		c := qt.New(t)
		s := newSite(t, true, 2, 80*fleet.GiB)
		s.deploy("hop", 10*fleet.GiB, 1)
		node, _ := s.node("a")
		other, _ := s.node("b")
		id, err := node.Load(t.Context(), hop, "s0")
		c.Assert(err, qt.IsNil)
		_, err = other.Load(t.Context(), hop, "s1")
		c.Assert(err, qt.ErrorIs, grant.ErrAtCap)
		c.Assert(err, qt.ErrorMatches, `load hop on s1: replicas at the decided number`)
		eventually(t, "ready at both nodes", func() bool { return ready(node, hop) && ready(other, hop) })
		c.Assert(other.Unload(t.Context(), id), qt.IsNil)
		eventually(t, "released", func() bool { return reserved(node) == 0 && reserved(other) == 0 })
		_, err = other.Load(t.Context(), hop, "s1")
		c.Assert(err, qt.IsNil)
		s.check()
	})
}

func TestMemoryBoundsLoads(t *testing.T) {
	virtual(t, func(t *testing.T) {
		c := qt.New(t)
		s := newSite(t, true, 1, 15*fleet.GiB)
		s.deploy("hop", 10*fleet.GiB, 1)
		s.deploy("bine", 10*fleet.GiB, 1)
		node, _ := s.node("a")
		_, err := node.Load(t.Context(), hop, "s0")
		c.Assert(err, qt.IsNil)
		_, err = node.Load(t.Context(), fleet.Item{Model: "bine"}, "s0")
		c.Assert(err, qt.ErrorIs, grant.ErrNoMemory)
		s.check()
	})
}

func TestLostTableAnswersAreSettled(t *testing.T) {
	for name, faults := range map[string]standin.TableFaults{
		"answer": {LoseAnswers: 1}, "request": {LoseRequests: 1}, "both": {LoseRequests: 2, LoseAnswers: 1},
	} {
		t.Run(name, func(t *testing.T) {
			virtual(t, func(t *testing.T) {
				c := qt.New(t)
				s := newSite(t, true, 1, 80*fleet.GiB)
				s.deploy("hop", 10*fleet.GiB, 1)
				node, _ := s.node("a")
				s.table.SetFaults(faults)
				_, err := node.Load(t.Context(), hop, "s0")
				c.Assert(err, qt.IsNil)
				eventually(t, "ready", func() bool { return ready(node, hop) })
				c.Assert(reserved(node), qt.Equals, 10*fleet.GiB)
				s.check()
			})
		})
	}
}

func TestDeadSendersOrderIsShutOut(t *testing.T) {
	virtual(t, func(t *testing.T) {
		c := qt.New(t)
		s := newSite(t, true, 2, 80*fleet.GiB)
		s.deploy("hop", 10*fleet.GiB, 1)
		dying, stop := s.node("a")
		heir, _ := s.node("b")
		// The order is in the network for an hour when its sender dies.
		s.engines["s0"].SetFaults(standin.EngineFaults{DelayOrders: fleet.Duration(time.Hour)})
		_, err := dying.Load(t.Context(), hop, "s0")
		c.Assert(err, qt.IsNil)
		stop()
		s.change(func() { s.dead["a"] = true })
		took := eventually(t, "released", func() bool {
			_, err := heir.Load(t.Context(), hop, "s1")
			return err == nil
		})
		t.Logf("taken over after %s", took)
		time.Sleep(2 * time.Hour)
		s.check()
		c.Assert(ready(heir, hop), qt.IsTrue)
	})
}

func TestEngineWithoutFencingKeepsTheGrant(t *testing.T) {
	virtual(t, func(t *testing.T) {
		c := qt.New(t)
		s := newSite(t, false, 2, 80*fleet.GiB)
		s.deploy("hop", 10*fleet.GiB, 1)
		dying, stop := s.node("a")
		heir, _ := s.node("b")
		s.engines["s0"].SetFaults(standin.EngineFaults{DelayOrders: fleet.Duration(time.Hour)})
		_, err := dying.Load(t.Context(), hop, "s0")
		c.Assert(err, qt.IsNil)
		stop()
		s.change(func() { s.dead["a"] = true })
		s.engines["s0"].SetFaults(standin.EngineFaults{})
		eventually(t, "quarantined and renewed", func() bool {
			_, err := heir.Load(t.Context(), hop, "s1")
			return err == nil
		})
		eventually(t, "ready", func() bool { return ready(heir, hop) })
		replica := heir.Replicas(hop)[0]
		c.Assert(replica.Server, qt.Equals, fleet.ServerID("s0"))
		c.Assert(heir.Unload(t.Context(), replica.Grant), qt.IsNil)
		time.Sleep(30 * time.Minute)
		// The first order may still arrive, and does.
		c.Assert(reserved(heir), qt.Equals, 10*fleet.GiB)
		_, err = heir.Load(t.Context(), hop, "s1")
		c.Assert(err, qt.IsNil)
		time.Sleep(2 * time.Hour)
		s.check()
	})
}

func TestCrashedEngineIsReleased(t *testing.T) {
	for _, checksFencing := range []bool{true, false} {
		virtual(t, func(t *testing.T) {
			c := qt.New(t)
			s := newSite(t, checksFencing, 1, 80*fleet.GiB)
			s.deploy("hop", 10*fleet.GiB, 1)
			node, _ := s.node("a")
			_, err := node.Load(t.Context(), hop, "s0")
			c.Assert(err, qt.IsNil)
			eventually(t, "ready", func() bool { return ready(node, hop) })
			time.Sleep(3 * time.Second)
			s.engines["s0"].Crash()
			eventually(t, "released", func() bool { return reserved(node) == 0 })
			s.check()
		})
	}
}

func TestEndedVMIsReleased(t *testing.T) {
	virtual(t, func(t *testing.T) {
		c := qt.New(t)
		s := newSite(t, false, 1, 80*fleet.GiB)
		s.deploy("hop", 10*fleet.GiB, 1)
		node, _ := s.node("a")
		s.engines["s0"].SetFaults(standin.EngineFaults{DelayOrders: fleet.Duration(time.Hour)})
		_, err := node.Load(t.Context(), hop, "s0")
		c.Assert(err, qt.IsNil)
		s.change(func() { s.vms = nil })
		time.Sleep(10 * time.Second)
		c.Assert(reserved(node), qt.Equals, 10*fleet.GiB) // it still answers
		s.engines["s0"].Stop()
		eventually(t, "released", func() bool {
			_, err := s.table.Get(t.Context(), grant.ServerKey("s0"))
			return err != nil
		})
	})
}

func TestTableOutageKeepsWhatIsLoaded(t *testing.T) {
	virtual(t, func(t *testing.T) {
		c := qt.New(t)
		s := newSite(t, true, 1, 80*fleet.GiB)
		s.deploy("hop", 10*fleet.GiB, 1)
		s.deploy("bine", 10*fleet.GiB, 1)
		node, _ := s.node("a")
		_, err := node.Load(t.Context(), hop, "s0")
		c.Assert(err, qt.IsNil)
		eventually(t, "ready", func() bool { return ready(node, hop) })
		s.table.SetFaults(standin.TableFaults{Down: true})
		time.Sleep(time.Hour)
		c.Assert(ready(node, hop), qt.IsTrue)
		_, err = node.Load(t.Context(), fleet.Item{Model: "bine"}, "s0")
		c.Assert(err, qt.ErrorIs, grant.ErrTableDown)
		s.table.SetFaults(standin.TableFaults{})
		_, err = node.Load(t.Context(), fleet.Item{Model: "bine"}, "s0")
		c.Assert(err, qt.IsNil)
		s.check()
	})
}
