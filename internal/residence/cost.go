package residence

import "time"

// cheapestLoad returns the option with the lowest cost to load a model on an
// engine, and false if the engine cannot make room for it.
func (p *planner) cheapestLoad(engine *Engine, demand *Demand, tier Tier) (best loadOption, found bool) {
	model := p.Models[demand.Item.Model]
	if model.Size <= 0 {
		return loadOption{}, false
	}
	cost := model.LoadTime(tier)
	if tier == WeightStore && p.evictsOnlyCopy(engine) {
		cost += model.FromStore
	}
	if demand.Region != "" && engine.Region != demand.Region {
		cost += crossRegionCost
	}
	free := p.freeMemory(engine)
	if free >= model.Size {
		return loadOption{engine: engine, tier: tier, cost: cost}, true
	}
	for i := range engine.ResidentModels {
		victim := &engine.ResidentModels[i]
		if free+p.Models[victim.Model].Size < model.Size {
			continue
		}
		evictionCost, allowed := p.unloadCost(engine, victim, demand)
		if !allowed {
			continue
		}
		total := cost + UnloadTime + evictionCost
		if tier == HostMemory {
			tierAfter := engine.TierAfterUnload(demand.Item.Model, victim.Model, p.Models)
			total += model.LoadTime(tierAfter) - model.LoadTime(tier)
		}
		if !found || total < best.cost {
			best, found = loadOption{engine: engine, tier: tier, victim: victim, cost: total}, true
		}
	}
	return best, found
}

// unloadCost returns the cost of unloading a model in favour of a demand, as a
// time, and false if the model must not be unloaded.
func (p *planner) unloadCost(engine *Engine, victim *ResidentModel, demand *Demand) (cost time.Duration, allowed bool) {
	if victim.Unloading || victim.Kept || p.Models[victim.Model].Size <= 0 {
		return 0, false
	}
	needed := p.neededAtVersion(engine, victim.Model)
	if needed != nil && needed.Waiting > 0 {
		return 0, false
	}
	surplus := needed == nil && p.RatesSettled && p.ready[victim.Model] > p.targetReplicas(victim.Model)
	if !p.mayUnload(victim, demand, surplus) {
		return 0, false
	}
	if victimDemand := p.demand[victim.Model]; victimDemand != nil {
		cost = time.Duration(victimDemand.Rate / float64(max(1, p.ready[victim.Model])) * float64(unloadCostPerRate))
	}
	if surplus {
		cost /= 2
	}
	if victim.Running > 0 {
		cost += time.Second
	}
	// Among models with equal call rates the most recently used one stays.
	recency := recentUseCost
	if !p.RatesSettled {
		recency = recentUseCostUnsettled
	}
	idle := p.Now.Sub(victim.LastUsed)
	return cost + time.Duration(float64(recency)/(1+idle.Seconds())), true
}

// mayUnload reports whether a model may be unloaded in favour of a demand. A
// model that calls wait for may only lose a surplus replica. A model in use is
// unloaded only for a demand that has waited for more than preemptAfter, and
// only if it runs a single call or has a surplus replica.
func (p *planner) mayUnload(victim *ResidentModel, demand *Demand, surplus bool) bool {
	victimDemand := p.demand[victim.Model]
	if !surplus && victimDemand != nil && victimDemand.Waiting > 0 {
		return false
	}
	preempts := p.Now.Sub(demand.WaitingSince) > preemptAfter && demand.Waiting > 0
	if !preempts && (victim.Running > 0 || p.Now.Sub(victim.LastUsed) < minModelIdle) {
		return false
	}
	return victim.Running <= 1 || surplus
}
