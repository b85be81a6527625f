package grant_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/internal/grant"
	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// machineDriver steps a machine, one second per event, and collects its releases.
type machineDriver struct {
	machine  grant.Machine
	now      time.Time
	version  table.Version
	released map[fleet.GrantID]grant.Proof
}

func newMachineDriver(checksFencing bool) *machineDriver {
	return &machineDriver{
		machine: grant.Machine{Node: "n", Server: "s", ChecksFencing: checksFencing, Rand: rand.New(rand.NewPCG(1, 1))},
		now:     time.Unix(1000, 0), released: make(map[fleet.GrantID]grant.Proof),
	}
}

func (s *machineDriver) step(event grant.Event) {
	s.now = s.now.Add(time.Second)
	for _, action := range s.machine.Step(s.now, event) {
		if release, found := action.(grant.Release); found {
			for id, proof := range release.Grants {
				s.released[id] = proof
			}
		}
	}
}

func (s *machineDriver) record(state grant.State, orders ...grant.Order) {
	s.version++
	requestedAt := s.now.Add(time.Millisecond)
	s.step(grant.Recorded{Version: s.version, RequestedAt: requestedAt, Record: grant.ServerRecord{
		Server: "s", LastFencing: 9,
		Grants: []grant.Grant{{ID: "g", Item: hop, State: state, Orders: orders}},
	}})
}

func (s *machineDriver) report(fencing fleet.FencingNumber, held ...fleet.GrantID) {
	report := engine.Report{Server: "s", Boot: "b", Fencing: fencing, AsOf: s.now}
	for _, id := range held {
		report.Held = append(report.Held, engine.HeldItem{Item: hop, Grant: id, State: engine.Ready})
	}
	s.step(grant.Reported{Report: report, RequestedAt: s.now})
}

func (s *machineDriver) reportAbsentForAnHour(fencing fleet.FencingNumber) {
	for range 3600 {
		s.report(fencing)
	}
}

var (
	orderA = grant.Order{ID: "a", Fencing: 1, Boot: "b", Sender: "dead"}
	orderB = grant.Order{ID: "b", Fencing: 2, Boot: "b", Sender: "dead"}
)

// Guards against a fault that the model checker found: when a renewed grant was
// held because of its first order, the second order was closed as arrived.
func TestSecondOrderStaysOpenWhileFirstIsHeld(t *testing.T) {
	c := qt.New(t)
	s := newMachineDriver(false)
	s.record(grant.Granted, orderA)
	s.report(0, "g")
	s.record(grant.Granted, orderA)
	s.record(grant.Granted, orderA, orderB)
	s.report(0, "g")
	s.record(grant.Draining, orderA, orderB)
	s.reportAbsentForAnHour(0)
	c.Assert(s.released, qt.HasLen, 0)
}

func TestAbsenceDoesNotReleaseGrantWithOpenOrder(t *testing.T) {
	for _, checksFencing := range []bool{true, false} {
		c := qt.New(t)
		s := newMachineDriver(checksFencing)
		s.record(grant.Granted, orderA)
		s.reportAbsentForAnHour(0)
		c.Assert(s.released, qt.HasLen, 0)
	}
}

func TestGrantAbsentAfterHigherFencingNumberIsReleased(t *testing.T) {
	c := qt.New(t)
	s := newMachineDriver(true)
	s.record(grant.Draining, orderA)
	s.report(5)
	s.report(5)
	c.Assert(s.released, qt.HasLen, 0)
	for range 5 {
		s.report(5)
	}
	c.Assert(s.released, qt.DeepEquals, map[fleet.GrantID]grant.Proof{"g": grant.ProofAbsent})
}

func TestHigherNumberClosesNoOrderWithoutFencing(t *testing.T) {
	c := qt.New(t)
	s := newMachineDriver(false)
	s.record(grant.Draining, orderA)
	s.reportAbsentForAnHour(5)
	c.Assert(s.released, qt.HasLen, 0)
}

func TestGrantHeldThenAbsentIsReleased(t *testing.T) {
	c := qt.New(t)
	s := newMachineDriver(false)
	s.record(grant.Granted, orderA)
	s.report(0, "g")
	s.record(grant.Draining, orderA)
	for range 6 {
		s.report(0)
	}
	c.Assert(s.released, qt.DeepEquals, map[fleet.GrantID]grant.Proof{"g": grant.ProofAbsent})
}

func TestRelistedServerKeepsGrants(t *testing.T) {
	c := qt.New(t)
	s := newMachineDriver(false)
	s.step(grant.Gone{})
	s.step(grant.Relisted{})
	s.record(grant.Granted, orderA)
	s.reportAbsentForAnHour(0)
	c.Assert(s.released, qt.HasLen, 0)
}

func TestOutdatedReportIsIgnored(t *testing.T) {
	c := qt.New(t)
	s := newMachineDriver(true)
	s.record(grant.Draining, orderA)
	late := grant.Reported{RequestedAt: s.now, Report: engine.Report{Boot: "b", Fencing: 5, AsOf: s.now}}
	s.report(1, "g")
	s.step(late)
	s.report(1, "g")
	c.Assert(s.released, qt.HasLen, 0)
}

func TestGrantOfRefusedOrderIsReleasedAtOnce(t *testing.T) {
	c := qt.New(t)
	s := newMachineDriver(false)
	s.machine.Node = "dead"
	s.step(grant.Sending{Order: "a"})
	s.record(grant.Granted, orderA)
	s.step(grant.Refused{Order: "a"})
	c.Assert(s.released, qt.DeepEquals, map[fleet.GrantID]grant.Proof{"g": grant.ProofRefused})
}
