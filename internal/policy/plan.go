package policy

import (
	"cmp"
	"slices"
	"time"

	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/ticket"
)

// Urgency is the priority class of a demand.
type Urgency int

// Urgencies, most urgent first.
const (
	Waiting   Urgency = iota // requests wait for the item
	Prewarm                  // a request is expected soon
	Rebalance                // replicas are to be moved to other servers
)

// String returns the name of the urgency.
func (u Urgency) String() string {
	return [...]string{"waiting", "prewarm", "rebalance"}[u]
}

// Demand requests that an item has a number of replicas.
type Demand struct {
	Item    fleet.Item
	Urgency Urgency
	// Replicas is the number of replicas, including those being loaded. It is
	// limited by the maximum of the deployment.
	Replicas int
	// Deadline is the earliest deadline of the waiting requests.
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

// Load is a decision to load an item.
type Load struct {
	Item fleet.Item
	Placement
	Urgency Urgency
}

// Unload is a decision to unload the item of a grant.
type Unload struct {
	Item  fleet.Item
	Grant fleet.GrantID
	// Reason is written to the log.
	Reason string
}

// Actions is the result of a plan.
type Actions struct {
	Loads   []Load
	Unloads []Unload
	// Blocked contains the items for which no load could be started, with the
	// reason.
	Blocked map[fleet.Item]string
}

// View is the input of a plan.
type View struct {
	Now         time.Time
	Servers     []Server
	Snapshot    *ticket.Snapshot
	WeightStore WeightStore
	// ModelSlots and AdapterSlots are the numbers of further loads from the
	// weight store that may start now. Base models and adapters have separate
	// budgets.
	ModelSlots   int
	AdapterSlots int
	// Pending contains items with a load underway that the servers do not show
	// yet. No other load of them is started.
	Pending map[fleet.Item]bool
	// EvictionCost returns the expected cost of evicting a grant and whether it
	// may be evicted; nil forbids evictions.
	EvictionCost func(*Server, ServerGrant) (cost float64, allowed bool)
}

// Reasons why a demand is not satisfied at once.
const (
	blockedNotConfigured = "not configured"
	blockedPending       = "load is being recorded"
	blockedMax           = "all decided replicas are loaded or their memory is not yet free"
	blockedBase          = "base model not ready"
	blockedSlots         = "no slot at the weight store"
	blockedMemory        = "no server with room"
	blockedEvict         = "waiting for memory of evicted items"
)

// Plan decides which loads to start and what to evict for them. Memory of a
// load is reserved for the rest of the plan. Memory of an eviction is not used
// before the engine has reported it free.
func Plan(view View, demands []Demand) Actions {
	planner := planner{
		View:    view,
		actions: Actions{Blocked: make(map[fleet.Item]string)},
	}
	planner.Servers = cloneServers(view.Servers)
	demands = withBaseModels(demands)
	slices.SortStableFunc(demands, compareDemands)
	for i := range demands {
		if reason := planner.satisfy(&demands[i]); reason != "" {
			planner.actions.Blocked[demands[i].Item] = reason
		}
	}
	return planner.actions
}

// withBaseModels adds a demand for the base model of each adapter.
func withBaseModels(demands []Demand) []Demand {
	all := slices.Clone(demands)
	for _, demand := range demands {
		if demand.Item.IsAdapter() {
			demand.Item, demand.Replicas = demand.Item.Base(), 1
			all = append(all, demand)
		}
	}
	return all
}

// planner holds a copy of the view while a plan is made.
type planner struct {
	View
	actions Actions
}

// satisfy starts as many loads as the demand needs. It returns the reason if it
// could not start all of them.
func (p *planner) satisfy(demand *Demand) (blocked string) {
	if !p.Snapshot.Serves(demand.Item) {
		return blockedNotConfigured
	}
	if p.Pending[demand.Item] {
		return blockedPending
	}
	deployment := p.Snapshot.Deployments[demand.Item.Model]
	want := min(demand.Replicas, deployment.Replicas.Max)
	for {
		usable, total := p.countReplicas(demand.Item)
		switch {
		case usable >= want:
			return ""
		case total >= deployment.Replicas.Max:
			return blockedMax
		}
		if reason := p.planLoad(demand, deployment); reason != "" {
			return reason
		}
	}
}

// countReplicas returns the number of replicas that serve or will serve, and
// the number that counts against the maximum of the deployment, which includes
// those being unloaded.
func (p *planner) countReplicas(item fleet.Item) (usable, total int) {
	for i := range p.Servers {
		for _, held := range p.Servers[i].Grants {
			if held.Item != item {
				continue
			}
			total++
			if !held.Draining && !p.Servers[i].Leaving {
				usable++
			}
		}
	}
	return usable, total
}

// planLoad starts one load, or the evictions that it needs, and returns why the
// load could not start.
func (p *planner) planLoad(demand *Demand, deployment *ticket.Deployment) (blocked string) {
	item := demand.Item
	if item.IsAdapter() && !p.baseReady(item) {
		return blockedBase
	}
	query := Query{
		Item: item, Size: p.Snapshot.Size(item), Deployment: deployment,
		Region: demand.Region, EvictionCost: p.EvictionCost,
	}
	placement, found := Place(&query, p.WeightStore, p.Servers)
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

// baseReady reports whether a server has a ready replica of the item's base
// model.
func (p *planner) baseReady(item fleet.Item) bool {
	return slices.ContainsFunc(p.Servers, func(s Server) bool {
		base, held := s.grantOf(item.Base())
		return held && base.State == engine.Ready
	})
}

// takeSlot takes a slot for a load from the weight store and reports whether
// one was free.
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

// reserve adds the load to the planner's copy of the view.
func (p *planner) reserve(item fleet.Item, size fleet.Bytes, id fleet.ServerID) {
	i := slices.IndexFunc(p.Servers, func(s Server) bool { return s.ID == id })
	server := &p.Servers[i]
	server.Reserved += size
	server.Grants = append(server.Grants, ServerGrant{Item: item, Size: size, State: engine.Loading})
}

// evict marks the grants as draining and adds their unloads to the actions.
func (p *planner) evict(grants []fleet.GrantID) {
	for i := range p.Servers {
		for j := range p.Servers[i].Grants {
			held := &p.Servers[i].Grants[j]
			if slices.Contains(grants, held.Grant) && !held.Draining {
				held.Draining = true
				p.actions.Unloads = append(p.actions.Unloads, Unload{held.Item, held.Grant, reasonEvicted})
			}
		}
	}
}
