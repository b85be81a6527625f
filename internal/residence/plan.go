package residence

import (
	"math"
	"time"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Weights of the plan.
const (
	// UnloadTime is about how long an unload of an unused model takes.
	UnloadTime = 200 * time.Millisecond
	// fillShare is the share of an engine's slots that calls of one model take
	// before another replica is wanted.
	fillShare = 0.5
	// busyRate is the number of calls a second from which on a model is to have
	// two replicas, so that the loss of an engine does not stop them all.
	busyRate = 1.5
	// usedAfter is the idle time from which on a model that calls ran on lately
	// is taken to be unused: until then a call may be under way that is not
	// known here yet.
	usedAfter = 150 * time.Millisecond
	// crossCost is the cost of a replica in another region than its callers, as
	// a time.
	crossCost = 100 * time.Millisecond
	// heavy is the number of calls that wait or will come within gainTime from
	// which on a model goes before those that are asked for now and then.
	heavy    = 4.0
	gainTime = 2 * time.Second
	// recentCost is the cost of unloading a model that has just been used, as a
	// time, where rates of calls are known and where they are not yet.
	recentCost        = 100 * time.Millisecond
	recentCostUnknown = 2 * time.Second
	// keepCost is the cost of unloading a model with one call a second, as a
	// time.
	keepCost = time.Second
	// pressAfter is how long a call waits before a model in use makes room.
	pressAfter = 600 * time.Millisecond
	// spareStoreLoads is the number of loads from the weight store that are left
	// to waiting calls.
	spareStoreLoads = 2
)

// planner is a plan in the making.
type planner struct {
	*State
	orders []Order
	demand map[fleet.ModelID]*Demand
	// ready and coming count the replicas of each model.
	ready, coming map[fleet.ModelID]int
	// load is the number of calls that run on or wait for each model.
	load map[fleet.ModelID]int
	// copies counts the VMs that have a copy of each model.
	copies map[fleet.ModelID]int
	// used lists the engines that have got an order.
	used map[fleet.ServerID]bool
	// largestAdapter is the size of the largest adapter of all models, slots
	// the most calls that an engine runs at once.
	largestAdapter fleet.Bytes
	slots          int
}

// Plan returns the orders to give now, at most one about a model to each
// engine.
func Plan(state State) []Order {
	p := &planner{
		State: &state, demand: make(map[fleet.ModelID]*Demand),
		ready: make(map[fleet.ModelID]int), coming: make(map[fleet.ModelID]int), load: make(map[fleet.ModelID]int),
		copies: make(map[fleet.ModelID]int), used: make(map[fleet.ServerID]bool),
	}
	for _, model := range state.Models {
		p.largestAdapter = max(p.largestAdapter, model.AdapterSize)
	}
	p.count()
	p.finish()
	p.adapters()
	p.wanted()
	p.spare()
	return p.orders
}

// count sums up replicas and calls by model.
func (p *planner) count() {
	for at := range p.Engines {
		engine := &p.Engines[at]
		p.slots = max(p.slots, engine.Slots)
		for _, held := range engine.Held {
			p.load[held.Model] += held.Running
			if !held.Leaving && !engine.Closed {
				p.ready[held.Model]++
			}
		}
		if engine.Loading != "" {
			p.coming[engine.Loading]++
		}
		if engine.Closed {
			continue
		}
		for model, there := range engine.OnDisk {
			if there {
				p.copies[model]++
			}
		}
	}
	for at := range p.Demands {
		demand := &p.Demands[at]
		model := demand.Item.Model
		p.load[model] += demand.Waiting
		sum := p.demand[model]
		if sum == nil {
			copied := *demand
			copied.Item = fleet.Item{Model: model}
			p.demand[model] = &copied
			continue
		}
		sum.add(demand)
	}
}

// add joins the demand for another item of the model.
func (d *Demand) add(other *Demand) {
	takes := time.Duration(0)
	if rate := d.Rate + other.Rate; rate > 0 {
		takes = time.Duration((d.Rate*float64(d.Takes) + other.Rate*float64(other.Takes)) / rate)
	}
	d.Rate, d.Takes = d.Rate+other.Rate, takes
	if other.Waiting == 0 {
		return
	}
	if d.Waiting == 0 {
		sum := *other
		sum.Item, sum.Rate, sum.Takes = d.Item, d.Rate, d.Takes
		*d = sum
		return
	}
	d.Waiting += other.Waiting
	d.Rank = min(d.Rank, other.Rank)
	if other.Since.Before(d.Since) {
		d.Since = other.Since
	}
	if other.Objective.Before(d.Objective) {
		d.Objective = other.Objective
	}
}

// free returns the memory that is left beside the models and all adapters that
// the engine may hold.
func (p *planner) free(e *Engine) fleet.Bytes {
	left := e.Memory - p.largestAdapter*fleet.Bytes(e.AdapterSlots)
	for at := range e.Held {
		left -= p.Models[e.Held[at].Model].Size
	}
	if e.Loading != "" && e.held(e.Loading) == nil {
		left -= p.Models[e.Loading].Size
	}
	return left
}

// target returns how many replicas a model is to have.
func (p *planner) target(model fleet.ModelID) int {
	least := 1
	if known := p.demand[model]; known != nil && known.Rate >= busyRate {
		least = 2
	}
	if p.slots == 0 {
		return least
	}
	return max(least, int(math.Ceil(p.calls(model)/(fillShare*float64(p.slots)))))
}

// calls returns how many calls of a model run at once when none has to wait: by
// those that run and wait, or by the rate at which they come.
func (p *planner) calls(model fleet.ModelID) float64 {
	load := float64(p.load[model])
	if known := p.demand[model]; known != nil {
		load = max(load, known.Rate*known.Takes.Seconds())
	}
	return load
}

// finish has the models loaded that room was made for. Room that is still being
// made counts as a replica that is coming, and room that nobody wants any more
// is free for others.
func (p *planner) finish() {
	for at := range p.Engines {
		engine := &p.Engines[at]
		model := engine.Next
		demand := p.demand[model]
		switch {
		case model == "":
		case demand == nil || demand.Waiting == 0 || engine.Closed:
			engine.Next = ""
		case engine.Busy:
			p.coming[model]++
		case p.free(engine) < p.Models[model].Size, engine.held(model) != nil,
			engine.Tier(model) == WeightStore && p.StoreLoads <= 0:
			engine.Next = ""
		default:
			p.give(choice{engine: engine, tier: engine.Tier(model)}, model, WhyWaiting)
		}
	}
}

// give orders what a choice needs next.
func (p *planner) give(best choice, model fleet.ModelID, why string) {
	p.used[best.engine.ID] = true
	p.coming[model]++
	if best.victim != nil {
		p.ready[best.victim.Model]--
		p.orders = append(p.orders, Order{
			Server: best.engine.ID, Item: fleet.Item{Model: best.victim.Model}, For: model, Why: WhyRoom,
		})
		return
	}
	if best.tier == WeightStore {
		p.StoreLoads--
	}
	p.orders = append(p.orders, Order{
		Server: best.engine.ID, Load: true, Item: fleet.Item{Model: model}, Tier: best.tier, Why: why,
	})
}
