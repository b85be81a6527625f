package residence

import (
	"cmp"
	"math"
	"time"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Times, costs and thresholds of the planner.
const (
	// UnloadTime is the approximate time to unload an unused model.
	UnloadTime = 200 * time.Millisecond
	// targetUtilization is the share of an engine's slots that calls of one
	// model may take before the model needs another replica.
	targetUtilization = 0.5
	// redundancyRate is the number of calls per second from which a model needs
	// two replicas, so that the loss of one engine does not fail all its calls.
	redundancyRate = 1.5
	// minModelIdle is how long a model has to be idle before it counts as
	// unused. Until then a call may be in progress that has not been reported
	// yet.
	minModelIdle = 150 * time.Millisecond
	// crossRegionCost is the cost, as a time, of a replica in another region
	// than its callers.
	crossRegionCost = 100 * time.Millisecond
	// highBenefit is the number of calls waiting now or expected within
	// demandHorizon from which a model is placed before rarely used ones.
	highBenefit = 4.0
	// demandHorizon is how far ahead expected calls count.
	demandHorizon = 2 * time.Second
	// recentUseCost is the cost, as a time, of unloading a model that has just
	// been used, if call rates are settled; recentUseCostUnsettled applies
	// before that.
	recentUseCost          = 100 * time.Millisecond
	recentUseCostUnsettled = 2 * time.Second
	// unloadCostPerRate is the cost, as a time, of unloading a model with one
	// call per second.
	unloadCostPerRate = time.Second
	// preemptAfter is how long a call waits before a model in use may be
	// unloaded for it.
	preemptAfter = 600 * time.Millisecond
	// reservedStoreLoads is the number of loads from the weight store that
	// preloads leave to waiting calls.
	reservedStoreLoads = 2
	// enginesPerStoreReplica is the number of engines for each of which one may load a
	// further replica from the weight store, during which it swaps no models.
	enginesPerStoreReplica = 64
	// storeReplicaOverload is the ratio of the calls of a model to those that its replicas
	// run from which one engine may do so in a fleet of any size.
	storeReplicaOverload = 1.5
)

// planner is the working state of one call of [Plan].
type planner struct {
	*State
	orders []Order
	// demand is the demand for each model, including its adapters.
	demand map[fleet.ModelID]*Demand
	// ready counts the loaded replicas of each model, pending those that are
	// being loaded or that memory is being freed for.
	ready, pending map[fleet.ModelID]int
	// limited counts those of the ready replicas whose engine has named a limit.
	limited map[fleet.ModelID]int
	// calls is the number of calls that run on or wait for each model, without waiting
	// calls of restrictions.
	calls map[fleet.ModelID]int
	// restrictions holds the demand that names a software version, which demand does not
	// contain; nil if there is none.
	restrictions map[restrictionKey]*restriction
	// diskCopies counts the available engines whose VM has a copy of each model
	// on its disk.
	diskCopies map[fleet.ModelID]int
	// holders lists, by their positions, the engines whose VM has a copy of each model.
	holders map[fleet.ModelID][]int
	// ordered is the set of engines that this plan has an order for.
	ordered map[fleet.ServerID]bool
	// storeReplicas is the number of engines that load from the weight store, or make
	// room for that, without those of this plan for models without a replica.
	storeReplicas int
	// largestAdapter is the size of the largest adapter of all models, maxSlots
	// the largest number of calls that an engine runs at once.
	largestAdapter fleet.Bytes
	maxSlots       int
}

// Plan returns the orders to send now, at most one for each engine.
func Plan(state State) []Order {
	p := &planner{
		State: &state, demand: make(map[fleet.ModelID]*Demand),
		ready: make(map[fleet.ModelID]int), pending: make(map[fleet.ModelID]int), limited: make(map[fleet.ModelID]int),
		calls:      make(map[fleet.ModelID]int),
		diskCopies: make(map[fleet.ModelID]int), holders: make(map[fleet.ModelID][]int), ordered: make(map[fleet.ServerID]bool),
	}
	for _, model := range state.Models {
		p.largestAdapter = max(p.largestAdapter, model.AdapterSize)
	}
	p.aggregate()
	p.loadReserved()
	p.planAdapters()
	p.planReplicas()
	p.planPreloads()
	return p.orders
}

// aggregate sums up replicas, copies, calls and demand by model.
func (p *planner) aggregate() {
	for i := range p.Engines {
		engine := &p.Engines[i]
		p.maxSlots = max(p.maxSlots, engine.Slots)
		for _, resident := range engine.ResidentModels {
			p.calls[resident.Model] += resident.Running
			if !resident.Unloading && !engine.Unavailable {
				p.ready[resident.Model]++
				if engine.Limited {
					p.limited[resident.Model]++
				}
			}
		}
		if engine.Loading != "" {
			p.pending[engine.Loading]++
		}
		if next := cmp.Or(engine.Loading, engine.ReservedFor); next != "" && engine.Tier(next) == WeightStore {
			p.storeReplicas++
		}
		if !engine.Unavailable {
			p.countCopies(i, engine)
		}
	}
	for i := range p.Demands {
		demand := &p.Demands[i]
		if demand.Software != "" {
			p.restrict(demand)
			continue
		}
		model := demand.Item.Model
		p.calls[model] += demand.Waiting
		merged := p.demand[model]
		if merged == nil {
			initial := *demand
			initial.Item = fleet.Item{Model: model}
			p.demand[model] = &initial
			continue
		}
		merged.merge(demand)
	}
	p.countRestricted()
}

// countCopies adds the copies of weights on the VM of the engine at a position.
func (p *planner) countCopies(at int, engine *Engine) {
	for model, onDisk := range engine.OnDisk {
		if onDisk {
			p.diskCopies[model]++
			p.holders[model] = append(p.holders[model], at)
		}
	}
	for _, model := range engine.InHostMemory {
		if !engine.OnDisk[model] {
			p.holders[model] = append(p.holders[model], at)
		}
	}
}

// merge adds the demand for another item of the same model.
func (d *Demand) merge(other *Demand) {
	serviceTime := time.Duration(0)
	if rate := d.Rate + other.Rate; rate > 0 {
		serviceTime = time.Duration((d.Rate*float64(d.ServiceTime) + other.Rate*float64(other.ServiceTime)) / rate)
	}
	d.Rate, d.ServiceTime = d.Rate+other.Rate, serviceTime
	if other.Waiting == 0 {
		return
	}
	if d.Waiting == 0 {
		sum := *other
		sum.Item, sum.Software, sum.Rate, sum.ServiceTime = d.Item, d.Software, d.Rate, d.ServiceTime
		*d = sum
		return
	}
	d.Waiting += other.Waiting
	d.Rank = min(d.Rank, other.Rank)
	if other.WaitingSince.Before(d.WaitingSince) {
		d.WaitingSince = other.WaitingSince
	}
	if other.Objective.Before(d.Objective) {
		d.Objective = other.Objective
	}
}

// freeMemory returns the memory that remains after the models of the engine and
// the largest adapter in every adapter slot.
func (p *planner) freeMemory(e *Engine) fleet.Bytes {
	left := e.Memory - p.largestAdapter*fleet.Bytes(e.AdapterSlots)
	for i := range e.ResidentModels {
		left -= p.Models[e.ResidentModels[i].Model].Size
	}
	if e.Loading != "" && e.residentModel(e.Loading) == nil {
		left -= p.Models[e.Loading].Size
	}
	return left
}

// targetReplicas returns the number of replicas that a model needs.
func (p *planner) targetReplicas(model fleet.ModelID) int {
	minReplicas := 1
	if demand := p.demand[model]; demand != nil && demand.Rate >= redundancyRate {
		minReplicas = 2
	}
	if p.maxSlots == 0 {
		return minReplicas
	}
	return max(minReplicas, int(math.Ceil(p.concurrency(model)/(targetUtilization*float64(p.maxSlots)))))
}

// concurrency returns how many calls of a model would run at once if none had
// to wait: the larger of the number that run or wait now and the number that
// the call rate implies (Little's law).
func (p *planner) concurrency(model fleet.ModelID) float64 {
	load := float64(p.calls[model])
	if demand := p.demand[model]; demand != nil {
		load = max(load, demand.Rate*demand.ServiceTime.Seconds())
	}
	return load
}

// loadReserved orders loads of the models that memory was reserved for. A
// reservation whose memory is still being freed counts as a pending replica,
// and one without waiting calls is dropped.
func (p *planner) loadReserved() {
	for i := range p.Engines {
		engine := &p.Engines[i]
		model := engine.ReservedFor
		switch {
		case model == "":
		case engine.Unavailable || !p.waitsAt(engine, model):
			engine.ReservedFor = ""
		case engine.Busy:
			p.addPending(engine, model)
		case p.freeMemory(engine) < p.Models[model].Size, engine.residentModel(model) != nil,
			engine.Tier(model) == WeightStore && p.StoreLoads <= 0:
			engine.ReservedFor = ""
		default:
			p.issue(loadOption{engine: engine, tier: engine.Tier(model)}, model, ReasonWaiting)
		}
	}
}

// issue appends the next order that a load option needs: the unload of its
// victim, or the load.
func (p *planner) issue(option loadOption, model fleet.ModelID, reason string) {
	p.ordered[option.engine.ID] = true
	p.addPending(option.engine, model)
	if option.tier == WeightStore && reason == ReasonReplicate {
		p.storeReplicas++
	}
	if option.victim != nil {
		p.removeReady(option.engine, option.victim.Model)
		p.orders = append(p.orders, Order{
			Server: option.engine.ID, Item: fleet.Item{Model: option.victim.Model}, MakesRoomFor: model, Reason: ReasonMakeRoom,
		})
		return
	}
	if option.tier == WeightStore {
		p.StoreLoads--
	}
	p.orders = append(p.orders, Order{
		Server: option.engine.ID, Load: true, Item: fleet.Item{Model: model}, Tier: option.tier, Reason: reason,
	})
}
