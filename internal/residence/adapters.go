package residence

import (
	"time"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// maxAdaptersComing is the number of adapters that are on their way to one
// engine at once.
const maxAdaptersComing = 4

// adapterIdle is how long an adapter has to be unused before it makes room: what
// runs on it is known with a delay.
const adapterIdle = 500 * time.Millisecond

// adapters orders adapters that calls wait for, on engines that hold their
// model.
func (p *planner) adapters() {
	for at := range p.Demands {
		demand := &p.Demands[at]
		if demand.Item.Adapter == "" || demand.Waiting == 0 || p.AdapterLoads <= 0 {
			continue
		}
		p.adapter(demand)
	}
}

// adapter orders one adapter where it takes the least used place.
func (p *planner) adapter(demand *Demand) {
	best := adapterPlace{}
	for at := range p.Engines {
		engine := &p.Engines[at]
		held := engine.held(demand.Item.Model)
		if engine.Closed || held == nil || held.Leaving || p.used[engine.ID] {
			continue
		}
		if held.adapter(demand.Item.Adapter) != nil {
			return
		}
		if engine.AdaptersComing >= maxAdaptersComing || engine.Busy {
			continue
		}
		if place := engine.adapterPlace(p.Now); place.before(best) {
			best = place
		}
	}
	if best.engine == nil {
		return
	}
	p.used[best.engine.ID] = true
	if best.victim != nil {
		p.orders = append(p.orders, Order{
			Server: best.engine.ID, Item: fleet.Item{Model: best.model, Adapter: best.victim.Adapter}, Why: WhyRoom,
		})
		return
	}
	p.AdapterLoads--
	p.orders = append(p.orders, Order{Server: best.engine.ID, Load: true, Item: demand.Item, Why: WhyWaiting})
}

// adapterPlace is a place for an adapter: a free one, or that of a victim.
type adapterPlace struct {
	// engine is nil if there is no place.
	engine *Engine
	model  fleet.ModelID
	victim *HeldAdapter
}

// adapterPlace returns the place that the engine has for another adapter.
func (e *Engine) adapterPlace(now time.Time) adapterPlace {
	if e.adapterCount() < e.AdapterSlots {
		return adapterPlace{engine: e}
	}
	model, victim := e.idleAdapter(now)
	if victim == nil {
		return adapterPlace{}
	}
	return adapterPlace{engine: e, model: model, victim: victim}
}

// before reports whether a place is better than another: a free one on the
// engine with the fewest calls, or else the one of the adapter that has been
// unused longest.
func (p adapterPlace) before(other adapterPlace) bool {
	switch {
	case p.engine == nil || other.engine == nil:
		return p.engine != nil
	case (p.victim == nil) != (other.victim == nil):
		return p.victim == nil
	case p.victim == nil:
		return p.engine.load() < other.engine.load()
	default:
		return p.victim.Used.Before(other.victim.Used)
	}
}

// adapter returns an adapter of the model; nil if it is not there.
func (h *Held) adapter(adapter fleet.AdapterID) *HeldAdapter {
	for at := range h.Adapters {
		if h.Adapters[at].Adapter == adapter {
			return &h.Adapters[at]
		}
	}
	return nil
}

func (e *Engine) adapterCount() (count int) {
	for at := range e.Held {
		count += len(e.Held[at].Adapters)
	}
	return count
}

func (e *Engine) load() (running int) {
	for at := range e.Held {
		running += e.Held[at].Running
	}
	return running
}

// idleAdapter returns the adapter that has been unused longest; nil if all are
// in use or were a moment ago.
func (e *Engine) idleAdapter(now time.Time) (model fleet.ModelID, idle *HeldAdapter) {
	for at := range e.Held {
		for n := range e.Held[at].Adapters {
			adapter := &e.Held[at].Adapters[n]
			if adapter.Running > 0 || adapter.Coming || now.Sub(adapter.Used) < adapterIdle {
				continue
			}
			if idle == nil || adapter.Used.Before(idle.Used) {
				model, idle = e.Held[at].Model, adapter
			}
		}
	}
	return model, idle
}
