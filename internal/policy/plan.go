package policy

import (
	"cmp"
	"slices"
	"time"

	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/ticket"
)

// Urgency orders demands for loads.
type Urgency int

// Urgencies, first served first.
const (
	Waiting   Urgency = iota // requests wait for the item
	Prewarm                  // a request is expected soon
	Rebalance                // replicas are to stand elsewhere
)

// String returns the name of the urgency.
func (u Urgency) String() string {
	return [...]string{"waiting", "prewarm", "rebalance"}[u]
}

// Demand asks that an item has a number of replicas.
type Demand struct {
	Item    fleet.Item
	Urgency Urgency
	// Want is the number of replicas, those that are being loaded included. It
	// is cut to the decided number.
	Want int
	// Deadline is when the first waiting request must be answered.
	Deadline time.Time
	// Since is when the demand arose.
	Since  time.Time
	Region fleet.Region
}

// compareDemands orders by urgency, then by deadline, then by age.
func compareDemands(a, b Demand) int {
	return cmp.Or(
		cmp.Compare(a.Urgency, b.Urgency),
		a.Deadline.Compare(b.Deadline),
		a.Since.Compare(b.Since),
		cmp.Compare(a.Item.String(), b.Item.String()),
	)
}

// Load is an order to load an item.
type Load struct {
	Item fleet.Item
	Placement
	Urgency Urgency
}

// Unload is an order to unload what a grant holds.
type Unload struct {
	Item  fleet.Item
	Grant fleet.GrantID
	// Reason says why, for the log.
	Reason string
}

// Actions are the outcome of a plan.
type Actions struct {
	Loads   []Load
	Unloads []Unload
	// Blocked says for which items no load could be started, and why.
	Blocked map[fleet.Item]string
}

// View is what a plan is made from.
type View struct {
	Now      time.Time
	Servers  []Server
	Snapshot *ticket.Snapshot
	Store    Store
	// Slots is the number of further loads from the store that may start now:
	// base models and adapters have budgets of their own.
	ModelSlots   int
	AdapterSlots int
	// Pending lists items for which a load is underway that the servers do not
	// show yet. No other load of them is started.
	Pending map[fleet.Item]bool
	// Value returns what evicting a grant is expected to cost; nil forbids
	// evictions.
	Value func(*Server, Held) (cost float64, allowed bool)
}

// Reasons for which a demand is not met at once.
const (
	blockedUnknown = "not configured"
	blockedPending = "load is being recorded"
	blockedMax     = "all decided replicas are loaded or their memory is not yet free"
	blockedBase    = "base model not ready"
	blockedSlots   = "no slot at the weight store"
	blockedMemory  = "no server with room"
	blockedEvict   = "waiting for memory of evicted items"
)

// Plan decides which loads to start and what to evict for them. Memory that a
// load takes is reserved for the rest of the plan, and memory that an eviction
// will free is not used before the engine has reported it free.
func Plan(view View, demands []Demand) Actions {
	planner := planner{
		View:    view,
		actions: Actions{Blocked: make(map[fleet.Item]string)},
	}
	planner.Servers = cloneServers(view.Servers)
	demands = withBases(demands)
	slices.SortStableFunc(demands, compareDemands)
	for i := range demands {
		if reason := planner.meet(&demands[i]); reason != "" {
			planner.actions.Blocked[demands[i].Item] = reason
		}
	}
	return planner.actions
}

// withBases adds the demand for the base model of each adapter.
func withBases(demands []Demand) []Demand {
	all := slices.Clone(demands)
	for _, demand := range demands {
		if demand.Item.IsAdapter() {
			demand.Item, demand.Want = demand.Item.Base(), 1
			all = append(all, demand)
		}
	}
	return all
}

type planner struct {
	View
	actions Actions
}

// meet starts as many loads as the demand needs and returns why it stopped
// short of that, if it did.
func (p *planner) meet(demand *Demand) (blocked string) {
	if !p.Snapshot.Serves(demand.Item) {
		return blockedUnknown
	}
	if p.Pending[demand.Item] {
		return blockedPending
	}
	deployment := p.Snapshot.Deployments[demand.Item.Model]
	want := min(demand.Want, deployment.Replicas.Max)
	for {
		coming, counted := p.count(demand.Item)
		switch {
		case coming >= want:
			return ""
		case counted >= deployment.Replicas.Max:
			return blockedMax
		}
		if reason := p.loadOne(demand, deployment); reason != "" {
			return reason
		}
	}
}

// count returns the replicas that serve or will, and all that count against
// the decided number.
func (p *planner) count(item fleet.Item) (coming, counted int) {
	for i := range p.Servers {
		for _, held := range p.Servers[i].Held {
			if held.Item != item {
				continue
			}
			counted++
			if !held.Draining && !p.Servers[i].Leaving {
				coming++
			}
		}
	}
	return coming, counted
}

func (p *planner) loadOne(demand *Demand, deployment *ticket.Deployment) (blocked string) {
	item := demand.Item
	if item.IsAdapter() && !p.baseReady(item) {
		return blockedBase
	}
	query := Query{
		Item: item, Size: p.Snapshot.Size(item), Deployment: deployment,
		Region: demand.Region, Value: p.Value,
	}
	placement, found := Place(&query, p.Store, p.Servers)
	if !found {
		return blockedMemory
	}
	if len(placement.Evict) > 0 {
		p.evict(placement.Evict)
		return blockedEvict
	}
	if placement.Remote && !p.takeSlot(item) {
		return blockedSlots
	}
	p.reserve(item, query.Size, placement.Server)
	p.actions.Loads = append(p.actions.Loads, Load{Item: item, Placement: placement, Urgency: demand.Urgency})
	return ""
}

func (p *planner) baseReady(item fleet.Item) bool {
	return slices.ContainsFunc(p.Servers, func(s Server) bool {
		base, held := s.holds(item.Base())
		return held && base.State == engine.Ready
	})
}

func (p *planner) takeSlot(item fleet.Item) bool {
	slots := &p.ModelSlots
	if item.IsAdapter() {
		slots = &p.AdapterSlots
	}
	if *slots <= 0 {
		return false
	}
	*slots--
	return true
}

// reserve enters the load into the planner's copy of the view.
func (p *planner) reserve(item fleet.Item, size fleet.Bytes, id fleet.ServerID) {
	i := slices.IndexFunc(p.Servers, func(s Server) bool { return s.ID == id })
	server := &p.Servers[i]
	server.Reserved += size
	server.Held = append(server.Held, Held{Item: item, Size: size, State: engine.Loading})
}

func (p *planner) evict(grants []fleet.GrantID) {
	for i := range p.Servers {
		for j := range p.Servers[i].Held {
			held := &p.Servers[i].Held[j]
			if slices.Contains(grants, held.Grant) && !held.Draining {
				held.Draining = true
				p.actions.Unloads = append(p.actions.Unloads, Unload{held.Item, held.Grant, reasonEvicted})
			}
		}
	}
}
