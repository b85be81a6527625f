package grant

import (
	"time"

	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Times after which a node takes over what another has left or repeats what
// had no effect. They decide when a node acts, never whether a grant is over.
const (
	// adoptLiveAfter is for an order of a node that may live.
	adoptLiveAfter = 20 * time.Second
	// adoptDeadAfter is for an order of a node that is thought dead.
	adoptDeadAfter = time.Second
	// adoptAcceptedAfter and adoptLostAfter are for this node's own orders that
	// the engine accepted or never answered and that have no effect yet.
	adoptAcceptedAfter = 10 * time.Second
	adoptLostAfter     = 3 * time.Second
	// helpAfter is for what the node that began it should finish.
	helpAfter      = 2 * time.Second
	takeoverJitter = 500 * time.Millisecond
	retryAfter     = time.Second
)

// evaluate returns what is to be done about every grant.
func (m *Machine) evaluate(now time.Time) []Action {
	var actions []Action
	release := Release{Grants: make(map[fleet.GrantID]Proof)}
	for i := range m.record.Grants {
		g := &m.record.Grants[i]
		proof := m.proof(g)
		switch state := m.grant(g.ID); {
		case proof != "":
			if m.turn(now, state, m.ours(g)) {
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

// unload orders what is held under a draining grant to be unloaded, by the node
// that drained it first. The first order carries the number of the load, so
// that it shuts out no later load that is under way; if it has no effect the
// next one carries the highest.
func (m *Machine) unload(now time.Time, g *Grant, state *grantState) []Action {
	if state.unloadAt.IsZero() && !state.drainedHere {
		state.unloadAt = now.Add(helpAfter + m.jitter())
	}
	if now.Before(state.unloadAt) || state.held.State == engine.Unloading {
		return nil
	}
	number := g.Newest().Fencing
	if state.unloads > 0 {
		number = m.record.LastFencing
	}
	state.unloads++
	state.unloadAt = now.Add(retryAfter)
	return []Action{SendUnload{engine.UnloadOrder{Item: g.Item, Grant: g.ID, Fencing: number}}}
}

// adopt deals with a grant that is not held while an order under it may still
// arrive and its sender has been silent for long. An engine that checks fencing
// numbers is made to refuse the order. Where the engine ignores them the grant
// is only marked as unwanted and stays reserved.
func (m *Machine) adopt(now time.Time, g *Grant, state *grantState) []Action {
	var newest fleet.FencingNumber
	for _, order := range g.Orders {
		known := m.order(order.ID)
		if !known.open() {
			continue
		}
		if known.word == heldBack {
			m.dropSpare(g, order, known)
			return nil
		}
		m.scheduleAdoption(now, g, order, known)
		if !known.adoptable(now) {
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
	case m.ChecksFencing && m.turn(now, state, true):
		return []Action{FenceGrant{Grant: g.ID}}
	case !m.ChecksFencing && g.State == Granted && m.turn(now, state, true):
		return []Action{DrainGrant{Grant: g.ID}}
	default:
		return nil
	}
}

// scheduleAdoption sets when this node takes over an order. The death of its
// sender brings that forward; the jitter lets one of many nodes come first.
func (m *Machine) scheduleAdoption(now time.Time, g *Grant, order Order, state *orderState) {
	if state.word != notOurs {
		return
	}
	if g.Standing && g.State == Granted && (m.Alive == nil || m.Alive(order.Sender)) {
		state.adoptAt, state.deadAt = now.Add(adoptLiveAfter), time.Time{}
		return
	}
	if state.adoptAt.IsZero() {
		state.adoptAt = now.Add(adoptLiveAfter + m.jitter())
	}
	switch {
	case m.Alive == nil || m.Alive(order.Sender):
		state.deadAt = time.Time{}
	case state.deadAt.IsZero():
		state.deadAt = now.Add(adoptDeadAfter + m.jitter())
	}
}

// dropSpare gives up an order that this node holds back if it is wanted no more
// or the engine has been restarted since: it will never be sent.
func (m *Machine) dropSpare(g *Grant, order Order, state *orderState) {
	if g.State == Draining || m.report.Boot != "" && m.report.Boot != order.Boot {
		state.word = refused
	}
}

// adoptable tells whether this node may take over an order.
func (o *orderState) adoptable(now time.Time) bool {
	return o.word != inFlight && (!now.Before(o.adoptAt) || !o.deadAt.IsZero() && !now.Before(o.deadAt))
}

// turn tells whether this node may try a table write for the grant now. A node
// that has no part in the grant waits for those that have.
func (m *Machine) turn(now time.Time, state *grantState, first bool) bool {
	if state.writeAt.IsZero() && !first {
		state.writeAt = now.Add(helpAfter + m.jitter())
	}
	if now.Before(state.writeAt) {
		return false
	}
	state.writeAt = now.Add(retryAfter + m.jitter())
	return true
}

// ours tells whether this node drained the grant or sent its newest order.
func (m *Machine) ours(g *Grant) bool {
	return m.grant(g.ID).drainedHere || g.Newest().Sender == m.Node
}

func (m *Machine) jitter() time.Duration {
	return time.Duration(m.Rand.Int64N(int64(takeoverJitter)))
}
