package grant

import (
	"time"

	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Delays after which a node adopts an order or repeats an action that had no
// effect. They determine when a node acts, never whether a grant has ended.
const (
	// adoptLiveAfter applies to an order of a node that may still be running.
	adoptLiveAfter = 20 * time.Second
	// adoptDeadAfter applies to an order of a node that is considered dead.
	adoptDeadAfter = time.Second
	// adoptAcceptedAfter and adoptUnansweredAfter apply to this node's own orders
	// that the engine accepted or did not answer and that have had no effect yet.
	adoptAcceptedAfter   = 10 * time.Second
	adoptUnansweredAfter = 3 * time.Second
	// uninvolvedDelay is the delay before a node acts in place of the node that
	// is responsible for the grant.
	uninvolvedDelay   = 2 * time.Second
	maxAdoptionJitter = 500 * time.Millisecond
	retryAfter        = time.Second
)

// evaluate returns the actions that are due for all grants.
func (m *Machine) evaluate(now time.Time) []Action {
	var actions []Action
	release := Release{Grants: make(map[fleet.GrantID]Proof)}
	for i := range m.record.Grants {
		g := &m.record.Grants[i]
		proof := m.proof(g)
		switch state := m.grantState(g.ID); {
		case proof != "":
			if m.writeDue(now, state, m.responsible(g)) {
				release.Grants[g.ID] = proof
			}
		case state.held != nil && g.State == Draining:
			actions = append(actions, m.unload(now, g, state)...)
		case state.held == nil:
			actions = append(actions, m.adopt(now, g, state)...)
		}
	}
	if len(release.Grants) > 0 {
		actions = append(actions, release)
	}
	return actions
}

// unload returns an order to unload the item held under a draining grant. The
// node that drained the grant sends it at once, other nodes after
// uninvolvedDelay. The first order carries the fencing number of the load, so
// that it doesn't fence off a later load that is in flight; if it has no effect,
// the following ones carry the highest number.
func (m *Machine) unload(now time.Time, g *Grant, state *grantState) []Action {
	if state.unloadAt.IsZero() && !state.drainedHere {
		state.unloadAt = now.Add(uninvolvedDelay + m.jitter())
	}
	if now.Before(state.unloadAt) || state.held.State == engine.Unloading {
		return nil
	}
	number := g.Newest().Fencing
	if state.unloadAttempts > 0 {
		number = m.record.LastFencing
	}
	state.unloadAttempts++
	state.unloadAt = now.Add(retryAfter)
	return []Action{SendUnload{engine.UnloadOrder{Item: g.Item, Grant: g.ID, Fencing: number}}}
}

// adopt returns the action that is due for a grant that is not held while an
// order under it may still arrive and its sender has not completed it in time.
// An engine that checks fencing numbers is made to refuse the order. If the
// engine ignores them, the grant is only marked as draining and its memory
// stays reserved.
func (m *Machine) adopt(now time.Time, g *Grant, state *grantState) []Action {
	var newest fleet.FencingNumber
	for _, order := range g.Orders {
		known := m.orderState(order.ID)
		if !known.open() {
			continue
		}
		if known.status == withheld {
			m.cancelWithheld(g, order, known)
			return nil
		}
		m.scheduleAdoption(now, g, order, known)
		if !known.adoptionDue(now) {
			return nil
		}
		newest = order.Fencing
	}
	switch {
	case newest == 0:
		return nil
	case m.ChecksFencing && g.Fence > newest:
		if now.Before(state.fenceAt) {
			return nil
		}
		state.fenceAt = now.Add(retryAfter)
		return []Action{SendFence{engine.FenceOrder{Fencing: g.Fence}}}
	case m.ChecksFencing && m.writeDue(now, state, true):
		return []Action{FenceGrant{Grant: g.ID}}
	case !m.ChecksFencing && g.State == Granted && m.writeDue(now, state, true):
		return []Action{DrainGrant{Grant: g.ID}}
	default:
		return nil
	}
}

// scheduleAdoption sets the time at which this node adopts another node's order.
// It is earlier if the sender is considered dead. The jitter makes it unlikely
// that several nodes act at once.
func (m *Machine) scheduleAdoption(now time.Time, g *Grant, order Order, state *orderState) {
	if state.status != sentElsewhere {
		return
	}
	if g.Standing && g.State == Granted && (m.Alive == nil || m.Alive(order.Sender)) {
		state.adoptAt, state.adoptIfDeadAt = now.Add(adoptLiveAfter), time.Time{}
		return
	}
	if state.adoptAt.IsZero() {
		state.adoptAt = now.Add(adoptLiveAfter + m.jitter())
	}
	switch {
	case m.Alive == nil || m.Alive(order.Sender):
		state.adoptIfDeadAt = time.Time{}
	case state.adoptIfDeadAt.IsZero():
		state.adoptIfDeadAt = now.Add(adoptDeadAfter + m.jitter())
	}
}

// cancelWithheld marks an order that this node withholds as refused if its grant
// is draining or the engine has restarted since: it will never be sent.
func (m *Machine) cancelWithheld(g *Grant, order Order, state *orderState) {
	if g.State == Draining || m.report.Boot != "" && m.report.Boot != order.Boot {
		state.status = refused
	}
}

// adoptionDue reports whether this node may adopt an order now.
func (o *orderState) adoptionDue(now time.Time) bool {
	return o.status != inFlight && (!now.Before(o.adoptAt) || !o.adoptIfDeadAt.IsZero() && !now.Before(o.adoptIfDeadAt))
}

// writeDue reports whether this node may attempt a table write for the grant
// now, and if so schedules the next attempt. A node that is not responsible for
// the grant first waits for uninvolvedDelay.
func (m *Machine) writeDue(now time.Time, state *grantState, responsible bool) bool {
	if state.writeAt.IsZero() && !responsible {
		state.writeAt = now.Add(uninvolvedDelay + m.jitter())
	}
	if now.Before(state.writeAt) {
		return false
	}
	state.writeAt = now.Add(retryAfter + m.jitter())
	return true
}

// responsible reports whether this node drained the grant or sent its newest
// order.
func (m *Machine) responsible(g *Grant) bool {
	return m.grantState(g.ID).drainedHere || g.Newest().Sender == m.Node
}

func (m *Machine) jitter() time.Duration {
	return time.Duration(m.Rand.Int64N(int64(maxAdoptionJitter)))
}
