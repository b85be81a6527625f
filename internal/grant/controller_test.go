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

func isReady(c *grant.Controller, item fleet.Item) bool {
	replicas := c.Replicas(item)
	return len(replicas) == 1 && replicas[0].State == engine.Ready
}

func totalReserved(c *grant.Controller) (total fleet.Bytes) {
	for _, view := range c.Views() {
		total += view.Reserved
	}
	return total
}

func TestUnloadedGrantIsReleasedAtAllNodes(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		c := qt.New(t)
		s := newCluster(t, true, 2, 80*fleet.GiB)
		s.deploy("hop", 10*fleet.GiB, 1)
		node, _ := s.startNode("a")
		other, _ := s.startNode("b")
		id, err := node.Load(t.Context(), hop, "s0")
		c.Assert(err, qt.IsNil)
		_, err = other.Load(t.Context(), hop, "s1")
		c.Assert(err, qt.ErrorIs, grant.ErrAtCap)
		c.Assert(err, qt.ErrorMatches, `load hop on s1: replicas at the decided number`)
		eventually(t, "ready at both nodes", func() bool { return isReady(node, hop) && isReady(other, hop) })
		c.Assert(other.Unload(t.Context(), id), qt.IsNil)
		eventually(t, "released", func() bool { return totalReserved(node) == 0 && totalReserved(other) == 0 })
		_, err = other.Load(t.Context(), hop, "s1")
		c.Assert(err, qt.IsNil)
		s.checkLedger()
	})
}

func TestLoadBeyondServerMemoryIsRefused(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		c := qt.New(t)
		s := newCluster(t, true, 1, 15*fleet.GiB)
		s.deploy("hop", 10*fleet.GiB, 1)
		s.deploy("bine", 10*fleet.GiB, 1)
		node, _ := s.startNode("a")
		_, err := node.Load(t.Context(), hop, "s0")
		c.Assert(err, qt.IsNil)
		_, err = node.Load(t.Context(), fleet.Item{Model: "bine"}, "s0")
		c.Assert(err, qt.ErrorIs, grant.ErrNoMemory)
		s.checkLedger()
	})
}

func TestLoadSucceedsDespiteLostTableAnswers(t *testing.T) {
	for name, faults := range map[string]standin.TableFaults{
		"answer": {LoseAnswers: 1}, "request": {LoseRequests: 1}, "both": {LoseRequests: 2, LoseAnswers: 1},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				c := qt.New(t)
				s := newCluster(t, true, 1, 80*fleet.GiB)
				s.deploy("hop", 10*fleet.GiB, 1)
				node, _ := s.startNode("a")
				s.table.SetFaults(faults)
				_, err := node.Load(t.Context(), hop, "s0")
				c.Assert(err, qt.IsNil)
				eventually(t, "ready", func() bool { return isReady(node, hop) })
				c.Assert(totalReserved(node), qt.Equals, 10*fleet.GiB)
				s.checkLedger()
			})
		})
	}
}

func TestOrderOfDeadSenderIsFencedOff(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		c := qt.New(t)
		s := newCluster(t, true, 2, 80*fleet.GiB)
		s.deploy("hop", 10*fleet.GiB, 1)
		dying, stop := s.startNode("a")
		successor, _ := s.startNode("b")
		// The network delays the order for an hour; its sender dies meanwhile.
		s.engines["s0"].SetFaults(standin.EngineFaults{DelayOrders: fleet.Duration(time.Hour)})
		_, err := dying.Load(t.Context(), hop, "s0")
		c.Assert(err, qt.IsNil)
		stop()
		s.update(func() { s.dead["a"] = true })
		took := eventually(t, "released", func() bool {
			_, err := successor.Load(t.Context(), hop, "s1")
			return err == nil
		})
		t.Logf("taken over after %s", took)
		time.Sleep(2 * time.Hour)
		s.checkLedger()
		c.Assert(isReady(successor, hop), qt.IsTrue)
	})
}

func TestGrantIsQuarantinedWithoutFencing(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		c := qt.New(t)
		s := newCluster(t, false, 2, 80*fleet.GiB)
		s.deploy("hop", 10*fleet.GiB, 1)
		dying, stop := s.startNode("a")
		successor, _ := s.startNode("b")
		s.engines["s0"].SetFaults(standin.EngineFaults{DelayOrders: fleet.Duration(time.Hour)})
		_, err := dying.Load(t.Context(), hop, "s0")
		c.Assert(err, qt.IsNil)
		stop()
		s.update(func() { s.dead["a"] = true })
		s.engines["s0"].SetFaults(standin.EngineFaults{})
		eventually(t, "quarantined and renewed", func() bool {
			_, err := successor.Load(t.Context(), hop, "s1")
			return err == nil
		})
		eventually(t, "ready", func() bool { return isReady(successor, hop) })
		replica := successor.Replicas(hop)[0]
		c.Assert(replica.Server, qt.Equals, fleet.ServerID("s0"))
		c.Assert(successor.Unload(t.Context(), replica.Grant), qt.IsNil)
		time.Sleep(30 * time.Minute)
		// The memory stays reserved, since the first order may still arrive. It
		// does after one hour.
		c.Assert(totalReserved(successor), qt.Equals, 10*fleet.GiB)
		_, err = successor.Load(t.Context(), hop, "s1")
		c.Assert(err, qt.IsNil)
		time.Sleep(2 * time.Hour)
		s.checkLedger()
	})
}

func TestGrantOfCrashedEngineIsReleased(t *testing.T) {
	for _, checksFencing := range []bool{true, false} {
		inVirtualTime(t, func(t *testing.T) {
			c := qt.New(t)
			s := newCluster(t, checksFencing, 1, 80*fleet.GiB)
			s.deploy("hop", 10*fleet.GiB, 1)
			node, _ := s.startNode("a")
			_, err := node.Load(t.Context(), hop, "s0")
			c.Assert(err, qt.IsNil)
			eventually(t, "ready", func() bool { return isReady(node, hop) })
			time.Sleep(3 * time.Second)
			s.engines["s0"].Crash()
			eventually(t, "released", func() bool { return totalReserved(node) == 0 })
			s.checkLedger()
		})
	}
}

func TestGrantOfEndedVMIsReleased(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		c := qt.New(t)
		s := newCluster(t, false, 1, 80*fleet.GiB)
		s.deploy("hop", 10*fleet.GiB, 1)
		node, _ := s.startNode("a")
		s.engines["s0"].SetFaults(standin.EngineFaults{DelayOrders: fleet.Duration(time.Hour)})
		_, err := node.Load(t.Context(), hop, "s0")
		c.Assert(err, qt.IsNil)
		s.update(func() { s.vms = nil })
		time.Sleep(10 * time.Second)
		c.Assert(totalReserved(node), qt.Equals, 10*fleet.GiB) // the engine still answers
		s.engines["s0"].Stop()
		eventually(t, "released", func() bool {
			_, err := s.table.Get(t.Context(), grant.ServerKey("s0"))
			return err != nil
		})
	})
}

func TestReplicaStaysReadyDuringTableOutage(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		c := qt.New(t)
		s := newCluster(t, true, 1, 80*fleet.GiB)
		s.deploy("hop", 10*fleet.GiB, 1)
		s.deploy("bine", 10*fleet.GiB, 1)
		node, _ := s.startNode("a")
		_, err := node.Load(t.Context(), hop, "s0")
		c.Assert(err, qt.IsNil)
		eventually(t, "ready", func() bool { return isReady(node, hop) })
		s.table.SetFaults(standin.TableFaults{Down: true})
		time.Sleep(time.Hour)
		c.Assert(isReady(node, hop), qt.IsTrue)
		_, err = node.Load(t.Context(), fleet.Item{Model: "bine"}, "s0")
		c.Assert(err, qt.ErrorIs, grant.ErrTableDown)
		s.table.SetFaults(standin.TableFaults{})
		_, err = node.Load(t.Context(), fleet.Item{Model: "bine"}, "s0")
		c.Assert(err, qt.IsNil)
		s.checkLedger()
	})
}
