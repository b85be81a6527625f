package grant_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/grant"
	"github.com/guavatrack/guavatrack/internal/standin"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

func TestStandingGrantServesAWakeUpInAnOutage(t *testing.T) {
	virtual(t, func(t *testing.T) {
		c := qt.New(t)
		s := newSite(t, true, 2, 80*fleet.GiB)
		s.deploy("hop", 10*fleet.GiB, 1)
		node, _ := s.node("a")
		other, _ := s.node("b")
		_, err := node.Reserve(t.Context(), hop, "s0")
		c.Assert(err, qt.IsNil)
		time.Sleep(10 * time.Minute)
		_, err = other.Load(t.Context(), hop, "s1")
		c.Assert(err, qt.ErrorIs, grant.ErrAtCap)
		s.table.SetFaults(standin.TableFaults{Down: true})
		time.Sleep(30 * time.Minute)
		id, err := node.Load(t.Context(), hop, "s1")
		c.Assert(err, qt.IsNil)
		eventually(t, "ready", func() bool { return ready(node, hop) })
		c.Assert(node.Replicas(hop)[0].Server, qt.Equals, fleet.ServerID("s0"))
		_, err = node.Load(t.Context(), hop, "s1")
		c.Assert(err, qt.ErrorIs, grant.ErrTableDown)
		s.table.SetFaults(standin.TableFaults{})
		c.Assert(node.Unload(t.Context(), id), qt.IsNil)
		eventually(t, "released", func() bool { return reserved(node) == 0 && reserved(other) == 0 })
		s.check()
	})
}

func TestStandingGrantIsGivenBack(t *testing.T) {
	for name, end := range map[string]func(*site, *grant.Controller, func(), fleet.GrantID){
		"unload":  func(_ *site, _ *grant.Controller, _ func(), _ fleet.GrantID) {},
		"restart": func(s *site, _ *grant.Controller, _ func(), _ fleet.GrantID) { s.engines["s0"].Crash() },
		"death": func(s *site, _ *grant.Controller, stop func(), _ fleet.GrantID) {
			stop()
			s.change(func() { s.dead["a"] = true })
		},
	} {
		t.Run(name, func(t *testing.T) {
			virtual(t, func(t *testing.T) {
				c := qt.New(t)
				s := newSite(t, true, 1, 80*fleet.GiB)
				s.deploy("hop", 10*fleet.GiB, 1)
				node, stop := s.node("a")
				other, _ := s.node("b")
				id, err := node.Reserve(t.Context(), hop, "s0")
				c.Assert(err, qt.IsNil)
				time.Sleep(10 * time.Second)
				end(s, node, stop, id)
				if name == "unload" {
					c.Assert(other.Unload(t.Context(), id), qt.IsNil)
				}
				eventually(t, "released", func() bool { return reserved(other) == 0 })
				s.check()
			})
		})
	}
}
