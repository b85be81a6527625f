package residence

import (
	"cmp"
	"slices"
	"time"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

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
		tier := engine.Tier(model)
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
