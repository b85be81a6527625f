package residence

import (
	"slices"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// spare fills room that nobody waits for: with models of the VM's own copies
// that no engine holds, the most asked for first, or, on an engine without such
// copies, from the weight store.
func (p *planner) spare() {
	absent := p.absent()
	if len(absent) == 0 {
		return
	}
	least := p.Models[absent[0]].Size
	for _, model := range absent {
		least = min(least, p.Models[model].Size)
	}
	for at := range p.Engines {
		engine := &p.Engines[at]
		if engine.Closed || engine.Busy || engine.Next != "" || p.used[engine.ID] || p.free(engine) < least {
			continue
		}
		if best, found := p.spareModel(engine, absent); found {
			p.give(best.choice, best.model, WhySpare)
		}
	}
}

// absent returns the models that no engine holds or is about to, in order.
func (p *planner) absent() (models []fleet.ModelID) {
	for model, described := range p.Models {
		if described.Size > 0 && p.ready[model]+p.coming[model] == 0 {
			models = append(models, model)
		}
	}
	slices.Sort(models)
	return models
}

// spareChoice is a model to fill room with.
type spareChoice struct {
	choice
	model fleet.ModelID
	value float64
}

func (p *planner) spareModel(engine *Engine, absent []fleet.ModelID) (best spareChoice, found bool) {
	left := p.free(engine)
	for _, model := range absent {
		if p.Models[model].Size > left || p.coming[model] > 0 {
			continue
		}
		tier := engine.Tier(model)
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
