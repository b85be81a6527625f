package residence

import (
	"cmp"
	"slices"
	"time"
)

// replicaRequest is a request for another replica of a model.
type replicaRequest struct {
	*Demand
	reason string
	// benefit is the number of calls waiting now or expected within
	// demandHorizon that another replica would serve.
	benefit float64
	// lateness is 0 if a load can still meet the objective, 1 if it cannot,
	// and furtherReplica if a replica is ready or pending.
	lateness int
	// pending is the number of pending replicas that may run its calls.
	pending int
	// class orders the requests before all else.
	class requestClass
}

// requestClass is the class of a request for a replica; the lowest is placed first.
type requestClass int

const (
	// forBegunStreams is a first replica for the rest of streams.
	forBegunStreams requestClass = iota
	forOtherCalls
)

// furtherReplica is the lateness of a request for a further replica.
const furtherReplica = 2

// expectedCalls returns the number of calls that wait now or are expected within
// demandHorizon.
func expectedCalls(demand *Demand) float64 {
	return float64(demand.Waiting) + demand.Rate*demandHorizon.Seconds()
}

// planReplicas places replicas for waiting calls: first models without a replica at the
// version that has begun the streams of the calls, then models with a benefit
// of at least highBenefit, the largest first, then models without a replica,
// with those that can still meet their objective before the others, and then
// further replicas.
func (p *planner) planReplicas() {
	requests := p.restrictedRequests()
	for model, demand := range p.demand {
		replicas := p.ready[model] + p.pending[model]
		if demand.Waiting > 0 {
			replicas = max(0, replicas-p.limited[model])
		}
		expected := expectedCalls(demand)
		switch target := p.targetReplicas(model); {
		case replicas == 0 && demand.Waiting > 0:
			requests = append(requests,
				replicaRequest{Demand: demand, reason: ReasonWaiting, benefit: expected, lateness: p.lateness(demand), class: forOtherCalls})
		case replicas > 0 && replicas < target:
			benefit := expected * float64(target-replicas) / float64(target)
			requests = append(requests, replicaRequest{
				Demand: demand, reason: ReasonReplicate, benefit: benefit, lateness: furtherReplica, pending: p.pending[model],
				class: forOtherCalls,
			})
		}
	}
	slices.SortFunc(requests, func(a, b replicaRequest) int {
		if a.class != b.class {
			return cmp.Compare(a.class, b.class)
		}
		if a.benefit >= highBenefit || b.benefit >= highBenefit {
			return cmp.Or(cmp.Compare(b.benefit, a.benefit), compareCalls(a.Demand, b.Demand))
		}
		return cmp.Or(cmp.Compare(a.lateness, b.lateness), p.rankedObjective(a.Demand).Compare(p.rankedObjective(b.Demand)),
			compareCalls(a.Demand, b.Demand))
	})
	for _, request := range requests {
		// A replica for an earlier request may run the calls of this one.
		if p.pendingFor(request.Demand) == request.pending {
			p.placeReplica(request.Demand, request.reason)
		}
	}
}

// rankedObjective returns the objective of a demand by which it is ordered. Less urgent
// demands count as due later, so that more urgent ones overtake them but not without end.
func (p *planner) rankedObjective(demand *Demand) time.Time {
	return demand.Objective.Add(time.Duration(demand.Rank) * p.RankDelay)
}

// compareCalls orders demands by model; calls that need a version go first, since their
// replica serves the others too.
func compareCalls(a, b *Demand) int {
	return cmp.Or(cmp.Compare(a.Item.Model, b.Item.Model), cmp.Compare(b.Software, a.Software))
}

// lateness returns 1 if even a load from the disk would miss the objective of
// the demand, and 0 otherwise, so that demands that can be met sort first.
func (p *planner) lateness(demand *Demand) int {
	if p.Now.Add(p.Models[demand.Item.Model].FromDisk).After(demand.Objective) {
		return 1
	}
	return 0
}

// loadOption is one way to load a model.
type loadOption struct {
	engine *Engine
	tier   Tier
	// victim is the model to unload first; nil if there is room.
	victim *ResidentModel
	// cost is the estimated time of the load plus penalties.
	cost time.Duration
}

// placeReplica orders a load of a model, or the unload that makes room for it,
// on the engine with the lowest cost that may run the calls. A model is loaded from the
// weight store only if none of these engines has a copy, and for a further replica only if
// its calls outgrow the engines that have one.
func (p *planner) placeReplica(demand *Demand, reason string) {
	model := demand.Item.Model
	best, found := loadOption{}, false
	consider := func(engine *Engine) {
		if !p.canLoad(engine, demand) {
			return
		}
		candidate, fits := p.cheapestLoad(engine, demand, engine.Tier(model))
		if fits && (!found || candidate.cost < best.cost) {
			best, found = candidate, true
		}
	}
	needsStore := !p.hasCopy(demand) && reason != ReasonReplicate
	if !needsStore || p.StoreLoads <= 0 {
		for _, at := range p.holders[model] {
			consider(&p.Engines[at])
		}
		needsStore = !found && reason == ReasonReplicate && p.outgrowsCopies(demand)
	}
	if needsStore && p.StoreLoads > 0 {
		for i := range p.Engines {
			consider(&p.Engines[i])
		}
	}
	if found {
		p.issue(best, model, reason)
	}
}

// outgrowsCopies reports whether a further replica of a model may be loaded from the
// weight store: its calls fill all replicas that it has or is about to get, and few
// engines are kept from other loads by that. One engine may always be if the calls are
// storeReplicaOverload times those that the replicas run: the rest is refused until demand
// falls. Calls that need a version have no such load.
func (p *planner) outgrowsCopies(demand *Demand) bool {
	model := demand.Item.Model
	calls, run := p.concurrency(model), float64((p.ready[model]+p.pending[model])*p.maxSlots)
	most := len(p.Engines) / enginesPerStoreReplica
	if calls >= storeReplicaOverload*run {
		most = max(1, most)
	}
	return demand.Software == "" && calls >= run && p.storeReplicas < most
}

// canLoad reports whether an engine may get an order to load a model for its calls.
func (p *planner) canLoad(engine *Engine, demand *Demand) bool {
	model := demand.Item.Model
	return engine.mayRun(demand) && !engine.Unavailable && !engine.Busy &&
		(engine.ReservedFor == "" || engine.ReservedFor == model) &&
		!p.ordered[engine.ID] && engine.residentModel(model) == nil
}

// mayRun reports whether the engine may run the calls of a demand.
func (e *Engine) mayRun(demand *Demand) bool {
	return demand.Software == "" || e.Software == demand.Software
}

// hasCopy reports whether the VM of any available engine that may run the calls of a
// demand has the weights of its model on its disk.
func (p *planner) hasCopy(demand *Demand) bool {
	model := demand.Item.Model
	if demand.Software == "" {
		return p.diskCopies[model] > 0
	}
	return slices.ContainsFunc(p.holders[model], func(at int) bool {
		return p.Engines[at].mayRun(demand) && p.Engines[at].OnDisk[model]
	})
}

// evictsOnlyCopy reports whether a load from the weight store would evict the
// only copy of a model from the engine's disk.
func (p *planner) evictsOnlyCopy(engine *Engine) bool {
	return engine.DiskVictim != "" && p.diskCopies[engine.DiskVictim] <= 1
}
