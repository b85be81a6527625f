package residence

import "time"

// fit returns the cheapest way to load a model on an engine.
func (p *planner) fit(engine *Engine, demand *Demand, tier Tier) (best choice, found bool) {
	model := p.Models[demand.Item.Model]
	if model.Size <= 0 {
		return choice{}, false
	}
	cost := model.LoadTime(tier)
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
		total := cost + UnloadTime + price
		if tier == HostMemory {
			after := engine.TierAfter(demand.Item.Model, victim.Model, p.Models)
			total += model.LoadTime(after) - model.LoadTime(tier)
		}
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
