package grant

import (
	"math/rand/v2"
	"time"

	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// absentReports is how many successive reports must miss a grant, none of
// whose orders can still arrive.
const absentReports = 2

// word is what the sender of an order knows of it.
type word int

const (
	notOurs word = iota
	inFlight
	heldBack
	accepted
	refused
	lost
)

// orderState is what a machine knows of one order beside the record.
type orderState struct {
	word     word
	recorded bool
	// closed is the engine's clock after which the order can't arrive.
	closed time.Time
	// adoptAt is when this node takes the order over, deadAt when it does so
	// if the sender is thought dead until then.
	adoptAt, deadAt time.Time
}

// open tells whether the order may still arrive.
func (o *orderState) open() bool { return o.closed.IsZero() && o.word != refused }

// grantState is what a machine knows of one grant beside the record.
type grantState struct {
	// held is the engine's latest word; nil if the grant is absent.
	held       *engine.HeldItem
	readySince time.Time
	// arrivedAsOf is the engine's clock of the first report that showed the
	// grant held, arrivedAt when it came.
	arrivedAsOf, arrivedAt time.Time
	absent                 int
	// drainedHere says that this node drained the grant.
	drainedHere bool
	// unloadAt, fenceAt and writeAt are when the next order to unload, order
	// to fence and table write may be tried.
	unloadAt, fenceAt, writeAt time.Time
	unloads                    int
}

// Machine follows the grants of one server. It is not safe for concurrent use
// and its exported fields are set before the first Step.
type Machine struct {
	Node   fleet.NodeID
	Server fleet.ServerID
	// ChecksFencing says that the engine refuses orders with an old fencing
	// number or for another boot.
	ChecksFencing bool
	// Alive tells whether a node may live; nil means that none is known to be
	// dead.
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

// Step takes in an event and returns what is to be done now.
func (m *Machine) Step(now time.Time, event Event) []Action {
	switch event := event.(type) {
	case Recorded:
		m.takeRecord(event)
	case Reported:
		m.takeReport(now, event)
	case Sending:
		m.order(event.Order).word = inFlight
	case Reserved:
		m.order(event.Order).word = heldBack
	case Accepted:
		state := m.order(event.Order)
		state.word, state.adoptAt = accepted, now.Add(adoptAcceptedAfter)
	case Refused:
		m.order(event.Order).word = refused
	case Lost:
		state := m.order(event.Order)
		state.word, state.adoptAt = lost, now.Add(adoptLostAfter)
	case Unrecorded:
		delete(m.orders, event.Order)
	case Drained:
		m.grant(event.Grant).drainedHere = true
	case Gone:
		m.gone = true
	case Listed:
		m.gone = false
	case Tick:
	}
	return m.evaluate(now)
}

// order returns the state of an order, which need not be recorded yet.
func (m *Machine) order(id table.Token) *orderState {
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

func (m *Machine) grant(id fleet.GrantID) *grantState {
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

// takeRecord adopts a record and forgets what it has lost. An order of this
// node that is not recorded yet is kept: its write may be under way.
func (m *Machine) takeRecord(event Recorded) {
	if event.Version < m.version {
		return
	}
	m.record, m.version = event.Record, event.Version
	grants := make(map[fleet.GrantID]*grantState)
	orders := make(map[table.Token]bool)
	for i := range m.record.Grants {
		g := &m.record.Grants[i]
		grants[g.ID] = m.grant(g.ID)
		for _, order := range g.Orders {
			orders[order.ID] = true
			state := m.order(order.ID)
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

// takeReport brings the grants up to date. A report that a later one has
// overtaken is ignored, and so is one that brings nothing new.
func (m *Machine) takeReport(now time.Time, event Reported) {
	report := event.Report
	if event.RequestedAt.Before(m.requestedAt) ||
		report.Boot == m.report.Boot && !report.AsOf.After(m.report.AsOf) {
		return
	}
	m.report, m.requestedAt = report, event.RequestedAt
	for i := range m.record.Grants {
		m.observe(now, &m.record.Grants[i])
	}
}

// observe applies the newest report to one grant.
func (m *Machine) observe(now time.Time, g *Grant) {
	state := m.grant(g.ID)
	state.held = nil
	for i := range m.report.Held {
		if m.report.Held[i].Grant == g.ID {
			state.held = &m.report.Held[i]
		}
	}
	if state.held != nil {
		state.absent = 0
		if state.arrivedAt.IsZero() {
			state.arrivedAsOf, state.arrivedAt = m.report.AsOf, now
		}
		if state.held.State == engine.Ready && state.readySince.IsZero() {
			state.readySince = now
		}
		return
	}
	m.closeFenced(g)
	closed, all := m.closedAt(g)
	switch {
	case !all:
		state.absent = 0
	case m.report.AsOf.After(closed):
		state.absent++
	}
}

// closeFenced closes the orders that an engine which checks fencing numbers
// refuses from now on.
func (m *Machine) closeFenced(g *Grant) {
	for _, order := range g.Orders {
		state := m.order(order.ID)
		if state.open() && m.ChecksFencing && m.report.Fencing > order.Fencing {
			state.closed = m.report.AsOf
		}
	}
}

// closeArrived closes the order that must have arrived because the grant was
// held, if the record, read later than that, shows no other order. With a
// second order, even one that is closed, the held copy may be the other's.
func (m *Machine) closeArrived(g *Grant, requestedAt time.Time) {
	state := m.grant(g.ID)
	if state.arrivedAt.IsZero() || !requestedAt.After(state.arrivedAt) {
		return
	}
	if only := m.order(g.Orders[0].ID); len(g.Orders) == 1 && only.open() {
		only.closed = state.arrivedAsOf
	}
	state.arrivedAt = time.Time{}
}

// spare returns the standing grant of an item whose order this node holds back,
// or nil. The order stays bound to the boot for which it was recorded.
func (m *Machine) spare(item fleet.Item, version fleet.Version) *Grant {
	g := m.record.FindItem(item)
	if g == nil || !g.Standing || g.State != Granted || g.Version != version || m.gone ||
		m.order(g.Newest().ID).word != heldBack || g.Newest().Boot != m.report.Boot {
		return nil
	}
	return g
}

// closedAt returns when the last order of a grant was closed by the engine's
// clock, and whether all are.
func (m *Machine) closedAt(g *Grant) (last time.Time, all bool) {
	for _, order := range g.Orders {
		state := m.order(order.ID)
		if state.open() {
			return time.Time{}, false
		}
		if state.closed.After(last) {
			last = state.closed
		}
	}
	return last, true
}

// proof returns why a grant is over; empty if it is not known to be.
func (m *Machine) proof(g *Grant) Proof {
	if m.gone {
		return ProofGone
	}
	state := m.grant(g.ID)
	closed, all := m.closedAt(g)
	switch {
	case !all || state.held != nil:
		return ""
	case closed.IsZero():
		return ProofRefused
	case state.absent >= absentReports:
		return ProofAbsent
	default:
		return ""
	}
}

// Quarantined tells whether a grant is unwanted and not held while an order
// under it may still arrive and can't be shut out.
func (m *Machine) Quarantined(g *Grant) bool {
	if m.ChecksFencing || g.State != Draining || m.grant(g.ID).held != nil {
		return false
	}
	_, all := m.closedAt(g)
	return !all
}

// pressing tells whether this node waits for the end of a grant that it drained,
// so that the next report is worth having early.
func (m *Machine) pressing() bool {
	for i := range m.record.Grants {
		g := &m.record.Grants[i]
		if m.grant(g.ID).drainedHere && !m.Quarantined(g) {
			return true
		}
	}
	return false
}

// Closed returns the engine's clock after which an order can't arrive; zero
// while it may.
func (m *Machine) Closed(order Order) time.Time { return m.order(order.ID).closed }

// Foreign returns the memory that the engine reports held without a grant.
func (m *Machine) Foreign() fleet.Bytes { return m.foreignTo(&m.record) }

// foreignTo returns the memory that the engine reports held and that no grant
// of the record accounts for.
func (m *Machine) foreignTo(record *ServerRecord) fleet.Bytes {
	var total fleet.Bytes
	for i := range m.report.Held {
		if record.Find(m.report.Held[i].Grant) == nil {
			total += m.report.Held[i].Size
		}
	}
	return total
}
