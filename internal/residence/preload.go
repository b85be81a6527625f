package residence

import (
	"slices"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// planPreloads fills memory that no waiting call needs with models that no
// engine holds. It prefers copies on the engine's own VM, with the highest call
// rate first, and loads from the weight store on an engine without such copies.
func (p *planner) planPreloads() {
	candidates := p.modelsWithoutReplica()
	if len(candidates) == 0 {
		return
	}
	smallest := p.Models[candidates[0]].Size
	for _, model := range candidates {
		smallest = min(smallest, p.Models[model].Size)
	}
	for i := range p.Engines {
		engine := &p.Engines[i]
		if engine.Unavailable || engine.Busy || engine.ReservedFor != "" || p.ordered[engine.ID] ||
			p.freeMemory(engine) < smallest {
			continue
		}
		if best, found := p.bestPreload(engine, candidates); found {
			p.issue(best.loadOption, best.model, ReasonPreload)
		}
	}
}

// modelsWithoutReplica returns the models that no engine holds or is about to
// load, sorted.
func (p *planner) modelsWithoutReplica() (models []fleet.ModelID) {
	for model, spec := range p.Models {
		if spec.Size > 0 && p.ready[model]+p.pending[model] == 0 {
			models = append(models, model)
		}
	}
	slices.Sort(models)
	return models
}

// preloadOption is a model to preload and the way to load it.
type preloadOption struct {
	loadOption
	model fleet.ModelID
	value float64
}

// bestPreload returns the most valuable of the given models that fits in the
// free memory of an engine. The value of a model is its call rate plus a random
// number in [0, 1), less 1 for a load from the weight store.
func (p *planner) bestPreload(engine *Engine, candidates []fleet.ModelID) (best preloadOption, found bool) {
	free := p.freeMemory(engine)
	for _, model := range candidates {
		if p.Models[model].Size > free || p.pending[model] > 0 {
			continue
		}
		tier := engine.Tier(model)
		if tier == WeightStore && (p.StoreLoads <= reservedStoreLoads || p.evictsOnlyCopy(engine)) {
			continue
		}
		value := p.Random()
		if demand := p.demand[model]; demand != nil {
			value += demand.Rate
		}
		if tier == WeightStore {
			value--
		}
		if !found || value > best.value {
			best = preloadOption{loadOption: loadOption{engine: engine, tier: tier}, model: model, value: value}
			found = true
		}
	}
	return best, found
}
