package grant_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/grant"
	"github.com/guavatrack/guavatrack/internal/standin"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

func TestStandingGrantIsLoadedDuringTableOutage(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		c := qt.New(t)
		s := newCluster(t, true, 2, 80*fleet.GiB)
		s.deploy("hop", 10*fleet.GiB, 1)
		node, _ := s.startNode("a")
		other, _ := s.startNode("b")
		_, err := node.Reserve(t.Context(), hop, "s0")
		c.Assert(err, qt.IsNil)
		time.Sleep(10 * time.Minute)
		_, err = other.Load(t.Context(), hop, "s1")
		c.Assert(err, qt.ErrorIs, grant.ErrAtCap)
		s.table.SetFaults(standin.TableFaults{Down: true})
		time.Sleep(30 * time.Minute)
		id, err := node.Load(t.Context(), hop, "s1")
		c.Assert(err, qt.IsNil)
		eventually(t, "ready", func() bool { return isReady(node, hop) })
		c.Assert(node.Replicas(hop)[0].Server, qt.Equals, fleet.ServerID("s0"))
		_, err = node.Load(t.Context(), hop, "s1")
		c.Assert(err, qt.ErrorIs, grant.ErrTableDown)
		s.table.SetFaults(standin.TableFaults{})
		c.Assert(node.Unload(t.Context(), id), qt.IsNil)
		eventually(t, "released", func() bool { return totalReserved(node) == 0 && totalReserved(other) == 0 })
		s.checkLedger()
	})
}

func TestStandingGrantIsReleased(t *testing.T) {
	for name, end := range map[string]func(*cluster, *grant.Controller, func(), fleet.GrantID){
		"unload":  func(_ *cluster, _ *grant.Controller, _ func(), _ fleet.GrantID) {},
		"restart": func(s *cluster, _ *grant.Controller, _ func(), _ fleet.GrantID) { s.engines["s0"].Crash() },
		"death": func(s *cluster, _ *grant.Controller, stop func(), _ fleet.GrantID) {
			stop()
			s.update(func() { s.dead["a"] = true })
		},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				c := qt.New(t)
				s := newCluster(t, true, 1, 80*fleet.GiB)
				s.deploy("hop", 10*fleet.GiB, 1)
				node, stop := s.startNode("a")
				other, _ := s.startNode("b")
				id, err := node.Reserve(t.Context(), hop, "s0")
				c.Assert(err, qt.IsNil)
				time.Sleep(10 * time.Second)
				end(s, node, stop, id)
				if name == "unload" {
					c.Assert(other.Unload(t.Context(), id), qt.IsNil)
				}
				eventually(t, "released", func() bool { return totalReserved(other) == 0 })
				s.checkLedger()
			})
		})
	}
}
