package grant

import (
	"math/rand/v2"
	"time"

	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// requiredAbsentReports is the number of reports in a row that must not show a
// grant, all of whose orders are closed, before it counts as absent.
const requiredAbsentReports = 2

// sendStatus is the status of an order at the node that sends it.
type sendStatus int

const (
	// sentElsewhere applies to the orders of other nodes and to those that this
	// node sent before it was restarted.
	sentElsewhere sendStatus = iota
	// inFlight means that the order may be sent and has no outcome yet.
	inFlight
	// withheld means that the order is kept under a standing grant and unsent.
	withheld
	accepted
	refused
	unanswered
)

// orderState is a machine's state of one order in addition to the record.
type orderState struct {
	status   sendStatus
	recorded bool
	// closed is the time by the engine's clock after which the order can't
	// arrive; zero while it may.
	closed time.Time
	// adoptAt is the time at which this node adopts the order, adoptIfDeadAt the
	// time at which it does so if the sender is considered dead until then.
	adoptAt, adoptIfDeadAt time.Time
}

// open reports whether the order may still arrive.
func (o *orderState) open() bool { return o.closed.IsZero() && o.status != refused }

// grantState is a machine's state of one grant in addition to the record.
type grantState struct {
	// held is the entry of the grant in the newest report; nil if absent.
	held       *engine.HeldItem
	readySince time.Time
	// arrivedAsOf is the time, by the engine's clock, of the first report that
	// showed the grant held, arrivedAt the time at which it was received. The
	// latter is zero if there is none or closeArrived has evaluated it.
	arrivedAsOf, arrivedAt time.Time
	// absentCount is the number of reports in a row that did not show the grant
	// after all its orders were closed.
	absentCount int
	// drainedHere is set if this node drained the grant.
	drainedHere bool
	// unloadAt, fenceAt and writeAt are the times from which the next unload
	// order, fence order and table write may be attempted.
	unloadAt, fenceAt, writeAt time.Time
	unloadAttempts             int
}

// Machine is the state machine of the grants of one server. It is not safe for
// concurrent use. Node, Server, Alive and Rand must be set before the first
// Step; ChecksFencing may change between steps.
type Machine struct {
	Node   fleet.NodeID
	Server fleet.ServerID
	// ChecksFencing is set if the engine refuses orders with an old fencing
	// number or for another boot.
	ChecksFencing bool
	// Alive reports whether a node may still be running; nil means that none is
	// known to have failed.
	Alive func(fleet.NodeID) bool
	Rand  *rand.Rand

	record      ServerRecord
	version     table.Version
	orders      map[table.Token]*orderState
	grants      map[fleet.GrantID]*grantState
	report      engine.Report
	requestedAt time.Time
	gone        bool
}

// Step applies an event and returns the actions that are due at the time now.
func (m *Machine) Step(now time.Time, event Event) []Action {
	switch event := event.(type) {
	case Recorded:
		m.applyRecord(event)
	case Reported:
		m.applyReport(now, event)
	case Sending:
		m.orderState(event.Order).status = inFlight
	case Reserved:
		m.orderState(event.Order).status = withheld
	case Accepted:
		state := m.orderState(event.Order)
		state.status, state.adoptAt = accepted, now.Add(adoptAcceptedAfter)
	case Refused:
		m.orderState(event.Order).status = refused
	case Unanswered:
		state := m.orderState(event.Order)
		state.status, state.adoptAt = unanswered, now.Add(adoptUnansweredAfter)
	case Unrecorded:
		delete(m.orders, event.Order)
	case Drained:
		m.grantState(event.Grant).drainedHere = true
	case Gone:
		m.gone = true
	case Relisted:
		m.gone = false
	case Tick:
	}
	return m.evaluate(now)
}

// orderState returns the state of an order, which need not be recorded yet. It
// creates the state if there is none.
func (m *Machine) orderState(id table.Token) *orderState {
	if m.orders == nil {
		m.orders = make(map[table.Token]*orderState)
	}
	state, found := m.orders[id]
	if !found {
		state = &orderState{}
		m.orders[id] = state
	}
	return state
}

// grantState returns the state of a grant and creates it if there is none.
func (m *Machine) grantState(id fleet.GrantID) *grantState {
	if m.grants == nil {
		m.grants = make(map[fleet.GrantID]*grantState)
	}
	state, found := m.grants[id]
	if !found {
		state = &grantState{}
		m.grants[id] = state
	}
	return state
}

// applyRecord replaces the record unless the machine's one is newer, and deletes
// the state of grants and orders that are no longer recorded. The state of an
// order that has never been recorded is kept: its write may be in progress.
func (m *Machine) applyRecord(event Recorded) {
	if event.Version < m.version {
		return
	}
	m.record, m.version = event.Record, event.Version
	grants := make(map[fleet.GrantID]*grantState)
	orders := make(map[table.Token]bool)
	for i := range m.record.Grants {
		g := &m.record.Grants[i]
		grants[g.ID] = m.grantState(g.ID)
		for _, order := range g.Orders {
			orders[order.ID] = true
			state := m.orderState(order.ID)
			state.recorded = true
			if state.closed.IsZero() {
				state.closed = order.Closed
			}
		}
		m.closeArrived(g, event.RequestedAt)
	}
	m.grants = grants
	for id, state := range m.orders {
		if state.recorded && !orders[id] {
			delete(m.orders, id)
		}
	}
}

// applyReport updates the state of all grants from a report. It ignores a report
// that was requested before the newest one or that is no newer by the engine's
// clock.
func (m *Machine) applyReport(now time.Time, event Reported) {
	report := event.Report
	if event.RequestedAt.Before(m.requestedAt) ||
		report.Boot == m.report.Boot && !report.AsOf.After(m.report.AsOf) {
		return
	}
	m.report, m.requestedAt = report, event.RequestedAt
	for i := range m.record.Grants {
		m.applyReportTo(now, &m.record.Grants[i])
	}
}

// applyReportTo applies the newest report to one grant.
func (m *Machine) applyReportTo(now time.Time, g *Grant) {
	state := m.grantState(g.ID)
	state.held = nil
	for i := range m.report.Held {
		if m.report.Held[i].Grant == g.ID {
			state.held = &m.report.Held[i]
		}
	}
	if state.held != nil {
		state.absentCount = 0
		if state.arrivedAt.IsZero() {
			state.arrivedAsOf, state.arrivedAt = m.report.AsOf, now
		}
		if state.held.State == engine.Ready && state.readySince.IsZero() {
			state.readySince = now
		}
		return
	}
	m.closeFenced(g)
	closed, allClosed := m.lastClosed(g)
	switch {
	case !allClosed:
		state.absentCount = 0
	case m.report.AsOf.After(closed):
		state.absentCount++
	}
}

// closeFenced closes the orders that the engine refuses from now on because it
// checks fencing numbers and has received a higher one.
func (m *Machine) closeFenced(g *Grant) {
	for _, order := range g.Orders {
		state := m.orderState(order.ID)
		if state.open() && m.ChecksFencing && m.report.Fencing > order.Fencing {
			state.closed = m.report.AsOf
		}
	}
}

// closeArrived closes the order that must have arrived because the grant was
// held, if the record, requested after that report was received, shows no other
// order. If there is a second order, even a closed one, the held copy may result
// from that one.
func (m *Machine) closeArrived(g *Grant, requestedAt time.Time) {
	state := m.grantState(g.ID)
	if state.arrivedAt.IsZero() || !requestedAt.After(state.arrivedAt) {
		return
	}
	if only := m.orderState(g.Orders[0].ID); len(g.Orders) == 1 && only.open() {
		only.closed = state.arrivedAsOf
	}
	state.arrivedAt = time.Time{}
}

// standingGrant returns the standing grant of an item whose order this node
// withholds, or nil. The order is valid only for the boot for which it was
// recorded.
func (m *Machine) standingGrant(item fleet.Item, version fleet.Version) *Grant {
	g := m.record.FindItem(item)
	if g == nil || !g.Standing || g.State != Granted || g.Version != version || m.gone ||
		m.orderState(g.Newest().ID).status != withheld || g.Newest().Boot != m.report.Boot {
		return nil
	}
	return g
}

// lastClosed returns the time, by the engine's clock, at which the last order of
// a grant was closed, and whether all its orders are closed. The time is zero if
// all were refused.
func (m *Machine) lastClosed(g *Grant) (last time.Time, allClosed bool) {
	for _, order := range g.Orders {
		state := m.orderState(order.ID)
		if state.open() {
			return time.Time{}, false
		}
		if state.closed.After(last) {
			last = state.closed
		}
	}
	return last, true
}

// proof returns the proof that a grant has ended, or an empty string if there is
// none.
func (m *Machine) proof(g *Grant) Proof {
	if m.gone {
		return ProofGone
	}
	state := m.grantState(g.ID)
	closed, allClosed := m.lastClosed(g)
	switch {
	case !allClosed || state.held != nil:
		return ""
	case closed.IsZero():
		return ProofRefused
	case state.absentCount >= requiredAbsentReports:
		return ProofAbsent
	default:
		return ""
	}
}

// Quarantined reports whether a grant is draining and not held while an order
// under it may still arrive, which the engine would not refuse.
func (m *Machine) Quarantined(g *Grant) bool {
	if m.ChecksFencing || g.State != Draining || m.grantState(g.ID).held != nil {
		return false
	}
	_, allClosed := m.lastClosed(g)
	return !allClosed
}

// awaitsRelease reports whether this node has drained a grant that is not
// released yet and not quarantined, so that an early report lets it be released
// sooner.
func (m *Machine) awaitsRelease() bool {
	for i := range m.record.Grants {
		g := &m.record.Grants[i]
		if m.grantState(g.ID).drainedHere && !m.Quarantined(g) {
			return true
		}
	}
	return false
}

// ClosedAt returns the time, by the engine's clock, after which an order can't
// arrive; zero while it may.
func (m *Machine) ClosedAt(order Order) time.Time { return m.orderState(order.ID).closed }

// Foreign returns the memory that the engine reports as held without a grant in
// the machine's record.
func (m *Machine) Foreign() fleet.Bytes { return m.foreignTo(&m.record) }

// foreignTo returns the memory that the engine reports as held under no grant of
// the given record.
func (m *Machine) foreignTo(record *ServerRecord) fleet.Bytes {
	var total fleet.Bytes
	for i := range m.report.Held {
		if record.Find(m.report.Held[i].Grant) == nil {
			total += m.report.Held[i].Size
		}
	}
	return total
}
