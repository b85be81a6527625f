package residence

import (
	"time"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// maxAdapterLoads is the number of adapters that one engine loads at once.
const maxAdapterLoads = 4

// minAdapterIdle is how long an adapter has to be unused before it may be
// unloaded. Reports of the calls that run on an adapter arrive with a delay.
const minAdapterIdle = 500 * time.Millisecond

// planAdapters orders loads of adapters that calls wait for, on engines that
// hold the base model.
func (p *planner) planAdapters() {
	for i := range p.Demands {
		demand := &p.Demands[i]
		if demand.Item.Adapter == "" || demand.Waiting == 0 || p.AdapterLoads <= 0 {
			continue
		}
		p.placeAdapter(demand)
	}
}

// placeAdapter orders a load of one adapter, or the unload that makes room for
// it, on the engine with the best placement.
func (p *planner) placeAdapter(demand *Demand) {
	best := adapterPlacement{}
	for i := range p.Engines {
		engine := &p.Engines[i]
		resident := engine.residentModel(demand.Item.Model)
		if engine.Unavailable || !engine.mayRun(demand) || resident == nil || resident.Unloading || p.ordered[engine.ID] {
			continue
		}
		if resident.adapter(demand.Item.Adapter) != nil {
			return
		}
		if engine.AdaptersLoading >= maxAdapterLoads || engine.Busy {
			continue
		}
		if placement := engine.adapterPlacement(p.Now); placement.betterThan(best) {
			best = placement
		}
	}
	if best.engine == nil {
		return
	}
	p.ordered[best.engine.ID] = true
	if best.victim != nil {
		p.orders = append(p.orders, Order{
			Server: best.engine.ID, Item: fleet.Item{Model: best.model, Adapter: best.victim.Adapter}, Reason: ReasonMakeRoom,
		})
		return
	}
	p.AdapterLoads--
	p.orders = append(p.orders, Order{Server: best.engine.ID, Load: true, Item: demand.Item, Reason: ReasonWaiting})
}

// adapterPlacement is a free adapter slot of an engine, or the slot of a
// victim.
type adapterPlacement struct {
	// engine is nil if there is no slot.
	engine *Engine
	// model is the base model of the victim; victim is nil for a free slot.
	model  fleet.ModelID
	victim *ResidentAdapter
}

// adapterPlacement returns the slot that the engine has for another adapter.
func (e *Engine) adapterPlacement(now time.Time) adapterPlacement {
	if e.adapterCount() < e.AdapterSlots {
		return adapterPlacement{engine: e}
	}
	model, victim := e.idleAdapter(now)
	if victim == nil {
		return adapterPlacement{}
	}
	return adapterPlacement{engine: e, model: model, victim: victim}
}

// betterThan reports whether a placement is better than another: a free slot on
// the engine with the fewest calls, or else the slot of the adapter that has
// been unused for longest.
func (p adapterPlacement) betterThan(other adapterPlacement) bool {
	switch {
	case p.engine == nil || other.engine == nil:
		return p.engine != nil
	case (p.victim == nil) != (other.victim == nil):
		return p.victim == nil
	case p.victim == nil:
		return p.engine.runningCalls() < other.engine.runningCalls()
	default:
		return p.victim.LastUsed.Before(other.victim.LastUsed)
	}
}

// adapter returns the entry of an adapter of the model; nil if the engine does
// not hold it.
func (h *ResidentModel) adapter(adapter fleet.AdapterID) *ResidentAdapter {
	for i := range h.Adapters {
		if h.Adapters[i].Adapter == adapter {
			return &h.Adapters[i]
		}
	}
	return nil
}

// adapterCount returns the number of adapters that are loaded or being loaded.
func (e *Engine) adapterCount() (count int) {
	for i := range e.ResidentModels {
		count += len(e.ResidentModels[i].Adapters)
	}
	return count
}

// runningCalls returns the number of calls in progress on all models.
func (e *Engine) runningCalls() (running int) {
	for i := range e.ResidentModels {
		running += e.ResidentModels[i].Running
	}
	return running
}

// idleAdapter returns the adapter that has been unused for longest, and its
// model. The adapter is nil if all are being loaded, in use, or were used less
// than minAdapterIdle ago.
func (e *Engine) idleAdapter(now time.Time) (model fleet.ModelID, idle *ResidentAdapter) {
	for i := range e.ResidentModels {
		for j := range e.ResidentModels[i].Adapters {
			adapter := &e.ResidentModels[i].Adapters[j]
			if adapter.Running > 0 || adapter.Loading || now.Sub(adapter.LastUsed) < minAdapterIdle {
				continue
			}
			if idle == nil || adapter.LastUsed.Before(idle.LastUsed) {
				model, idle = e.ResidentModels[i].Model, adapter
			}
		}
	}
	return model, idle
}
