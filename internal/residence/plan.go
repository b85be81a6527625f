package residence

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Weights of the plan.
const (
	// unloadTime is about how long an unload of an unused model takes.
	unloadTime = 200 * time.Millisecond
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
	// largestAdapter is the size of the largest adapter of all models.
	largestAdapter fleet.Bytes
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
	slots := 0
	for at := range p.Engines {
		slots = max(slots, p.Engines[at].Slots)
	}
	least := 1
	if known := p.demand[model]; known != nil && known.Rate >= busyRate {
		least = 2
	}
	if slots == 0 {
		return least
	}
	return max(least, int(math.Ceil(p.calls(model)/(fillShare*float64(slots)))))
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
			engine.tier(model) == WeightStore && p.StoreLoads <= 0:
			engine.Next = ""
		default:
			p.give(choice{engine: engine, tier: engine.tier(model)}, model, WhyWaiting)
		}
	}
}

// want is a model that is to get another replica.
type want struct {
	*Demand
	why string
	// gain is the number of calls that a replica would help soon.
	gain float64
	late int
}

// wanted orders what calls wait for: first models that many calls would gain
// from, by their number, then those without a replica, those that can be in time
// before the others, and then further replicas.
func (p *planner) wanted() {
	var wants []want
	for model, demand := range p.demand {
		have := p.ready[model] + p.coming[model]
		soon := float64(demand.Waiting) + demand.Rate*gainTime.Seconds()
		switch target := p.target(model); {
		case have == 0 && demand.Waiting > 0:
			wants = append(wants, want{Demand: demand, why: WhyWaiting, gain: soon, late: p.late(demand)})
		case have > 0 && have < target:
			gain := soon * float64(target-have) / float64(target)
			wants = append(wants, want{Demand: demand, why: WhySpread, gain: gain, late: 2})
		}
	}
	slices.SortFunc(wants, func(a, b want) int {
		if a.gain >= heavy || b.gain >= heavy {
			return cmp.Or(cmp.Compare(b.gain, a.gain), cmp.Compare(a.Item.Model, b.Item.Model))
		}
		return cmp.Or(cmp.Compare(a.late, b.late), a.Objective.Compare(b.Objective),
			cmp.Compare(a.Item.Model, b.Item.Model))
	})
	for _, wanted := range wants {
		p.place(wanted.Demand, wanted.why)
	}
}

// late returns 1 if the calls cannot be in time any more, so that those that
// can go first.
func (p *planner) late(demand *Demand) int {
	if p.Now.Add(p.Models[demand.Item.Model].FromDisk).After(demand.Objective) {
		return 1
	}
	return 0
}

// choice is one way to load a model.
type choice struct {
	engine *Engine
	tier   Tier
	// victim is the model to unload first; nil if there is room.
	victim *Held
	cost   time.Duration
}

// place orders a load of a model, or the unload that makes room for it, on the
// engine where that costs least.
func (p *planner) place(demand *Demand, why string) {
	model := demand.Item.Model
	best, found := choice{}, false
	hasCopy := p.hasCopy(model)
	for at := range p.Engines {
		engine := &p.Engines[at]
		if !p.open(engine, model) {
			continue
		}
		tier := engine.tier(model)
		if tier == WeightStore && (hasCopy || p.StoreLoads <= 0 || why == WhySpread) {
			continue
		}
		candidate, fits := p.fit(engine, demand, tier)
		if fits && (!found || candidate.cost < best.cost) {
			best, found = candidate, true
		}
	}
	if found {
		p.give(best, model, why)
	}
}

// open reports whether an engine may get an order to load a model.
func (p *planner) open(engine *Engine, model fleet.ModelID) bool {
	return !engine.Closed && !engine.Busy && (engine.Next == "" || engine.Next == model) && !p.used[engine.ID] &&
		engine.held(model) == nil
}

// hasCopy reports whether the VM of any engine that may be used has the
// weights of a model.
func (p *planner) hasCopy(model fleet.ModelID) bool { return p.copies[model] > 0 }

// loses reports whether a load from the weight store would push the only copy of
// a model off the engine's disk.
func (p *planner) loses(engine *Engine) bool {
	return engine.Evicts != "" && p.copies[engine.Evicts] <= 1
}

// fit returns the cheapest way to load a model on an engine.
func (p *planner) fit(engine *Engine, demand *Demand, tier Tier) (best choice, found bool) {
	model := p.Models[demand.Item.Model]
	if model.Size <= 0 {
		return choice{}, false
	}
	cost := model.loadTime(tier)
	if tier == WeightStore && p.loses(engine) {
		cost += model.FromStore
	}
	if demand.Region != "" && engine.Region != demand.Region {
		cost += crossCost
	}
	left := p.free(engine)
	if left >= model.Size {
		return choice{engine: engine, tier: tier, cost: cost}, true
	}
	for at := range engine.Held {
		victim := &engine.Held[at]
		if left+p.Models[victim.Model].Size < model.Size {
			continue
		}
		price, allowed := p.price(victim, demand)
		if !allowed {
			continue
		}
		total := cost + unloadTime + price
		if !found || total < best.cost {
			best, found = choice{engine: engine, tier: tier, victim: victim, cost: total}, true
		}
	}
	return best, found
}

// price returns what it costs to unload a model for the sake of a demand, and
// false if it must stay.
func (p *planner) price(victim *Held, demand *Demand) (price time.Duration, allowed bool) {
	if victim.Leaving || p.Models[victim.Model].Size <= 0 {
		return 0, false
	}
	surplus := p.Settled && p.ready[victim.Model] > p.target(victim.Model)
	if !p.mayGo(victim, demand, surplus) {
		return 0, false
	}
	if known := p.demand[victim.Model]; known != nil {
		price = time.Duration(known.Rate / float64(max(1, p.ready[victim.Model])) * float64(keepCost))
	}
	if surplus {
		price /= 2
	}
	if victim.Running > 0 {
		price += time.Second
	}
	// Among models that are asked for equally often the one that was used last
	// stays.
	recent := recentCost
	if !p.Settled {
		recent = recentCostUnknown
	}
	idle := p.Now.Sub(victim.Used)
	return price + time.Duration(float64(recent)/(1+idle.Seconds())), true
}

// mayGo reports whether a model may be unloaded for the sake of a demand: not
// while calls wait for it and it has no surplus replica, and one in use only if
// the demand has waited long.
func (p *planner) mayGo(victim *Held, demand *Demand, surplus bool) bool {
	known := p.demand[victim.Model]
	if !surplus && known != nil && known.Waiting > 0 {
		return false
	}
	pressed := p.Now.Sub(demand.Since) > pressAfter && demand.Waiting > 0
	if !pressed && (victim.Running > 0 || p.Now.Sub(victim.Used) < usedAfter) {
		return false
	}
	return victim.Running <= 1 || surplus
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

// spare fills room that nobody waits for: with models of the VM's own copies
// that no engine holds, the most asked for first, or, on an engine without such
// copies, from the weight store.
func (p *planner) spare() {
	for at := range p.Engines {
		engine := &p.Engines[at]
		if engine.Closed || engine.Busy || engine.Next != "" || p.used[engine.ID] {
			continue
		}
		if best, found := p.spareModel(engine); found {
			p.give(best.choice, best.model, WhySpare)
		}
	}
}

// spareChoice is a model to fill room with.
type spareChoice struct {
	choice
	model fleet.ModelID
	value float64
}

func (p *planner) spareModel(engine *Engine) (best spareChoice, found bool) {
	left := p.free(engine)
	for model, described := range p.Models {
		if described.Size <= 0 || described.Size > left || p.ready[model]+p.coming[model] > 0 {
			continue
		}
		tier := engine.tier(model)
		if tier == WeightStore && (p.StoreLoads <= spareStoreLoads || p.loses(engine)) {
			continue
		}
		value := p.Random()
		if known := p.demand[model]; known != nil {
			value += known.Rate
		}
		if tier == WeightStore {
			value--
		}
		if !found || value > best.value {
			best = spareChoice{choice: choice{engine: engine, tier: tier}, model: model, value: value}
			found = true
		}
	}
	return best, found
}
