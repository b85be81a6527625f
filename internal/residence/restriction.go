package residence

import (
	"math"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// restriction is the demand of calls for a model that only engines of one software version
// may run, with the replicas at these engines.
type restriction struct {
	Demand
	// ready and pending count the replicas as [planner] does for all versions.
	ready, pending int
	// calls is the number of calls that run at the version or wait for it.
	calls int
}

// restrictionKey identifies a restriction.
type restrictionKey struct {
	model    fleet.ModelID
	software fleet.SoftwareVersion
}

// restrict adds demand that names a software version.
func (p *planner) restrict(demand *Demand) {
	if p.restrictions == nil {
		p.restrictions = make(map[restrictionKey]*restriction)
	}
	key := restrictionKey{model: demand.Item.Model, software: demand.Software}
	found := p.restrictions[key]
	if found != nil {
		found.merge(demand)
	} else {
		found = &restriction{Demand: *demand}
		found.Item = fleet.Item{Model: key.model}
		p.restrictions[key] = found
	}
	found.calls += demand.Waiting
}

// countRestricted counts the replicas and running calls of each restriction.
func (p *planner) countRestricted() {
	if len(p.restrictions) == 0 {
		return
	}
	for i := range p.Engines {
		engine := &p.Engines[i]
		for j := range engine.ResidentModels {
			resident := &engine.ResidentModels[j]
			found := p.restrictionAt(engine, resident.Model)
			if found == nil {
				continue
			}
			found.calls += resident.Running
			if !resident.Unloading && !engine.Unavailable {
				found.ready++
			}
		}
		if found := p.restrictionAt(engine, engine.Loading); found != nil {
			found.pending++
		}
	}
}

// restrictionAt returns the demand for a model that names the version of an engine; nil
// if there is none.
func (p *planner) restrictionAt(engine *Engine, model fleet.ModelID) *restriction {
	return p.restrictions[restrictionKey{model: model, software: engine.Software}]
}

// waitsAt reports whether calls wait for a model that an engine may run.
func (p *planner) waitsAt(engine *Engine, model fleet.ModelID) bool {
	if demand := p.demand[model]; demand != nil && demand.Waiting > 0 {
		return true
	}
	restricted := p.restrictionAt(engine, model)
	return restricted != nil && restricted.Waiting > 0
}

// addPending counts a replica that an engine is about to load.
func (p *planner) addPending(engine *Engine, model fleet.ModelID) {
	p.pending[model]++
	if restricted := p.restrictionAt(engine, model); restricted != nil {
		restricted.pending++
	}
}

// removeReady no longer counts a replica that an engine is about to unload.
func (p *planner) removeReady(engine *Engine, model fleet.ModelID) {
	p.ready[model]--
	if restricted := p.restrictionAt(engine, model); restricted != nil {
		restricted.ready--
	}
}

// pendingFor returns the number of pending replicas that may run the calls of a demand for
// a model.
func (p *planner) pendingFor(demand *Demand) int {
	if demand.Software == "" {
		return p.pending[demand.Item.Model]
	}
	return p.restrictions[restrictionKey{model: demand.Item.Model, software: demand.Software}].pending
}

// neededAtVersion returns the demand for a model at the version of an engine if it needs
// the replica there; nil if not.
func (p *planner) neededAtVersion(engine *Engine, model fleet.ModelID) *restriction {
	restricted := p.restrictionAt(engine, model)
	if restricted == nil || restricted.ready > p.targetAtVersion(restricted) {
		return nil
	}
	return restricted
}

// targetAtVersion returns the number of replicas that a restriction needs.
func (p *planner) targetAtVersion(restricted *restriction) int {
	if p.maxSlots == 0 {
		return 1
	}
	return max(1, int(math.Ceil(float64(restricted.calls)/(targetUtilization*float64(p.maxSlots)))))
}

// restrictedRequests returns the requests for replicas that calls of each restriction wait
// for. Only the rest of a stream names a version: its caller has a part of the answer, which
// is of no use without the rest. A replica of a model that no engine holds serves the other
// calls for it as well, so its request is as urgent as theirs.
func (p *planner) restrictedRequests() (requests []replicaRequest) {
	for _, restricted := range p.restrictions {
		replicas := restricted.ready + restricted.pending
		if restricted.Waiting == 0 || replicas >= p.targetAtVersion(restricted) {
			continue
		}
		demand := restricted.Demand
		request := replicaRequest{
			Demand: &demand, reason: ReasonReplicate, lateness: furtherReplica, pending: restricted.pending,
			class: forOtherCalls,
		}
		if replicas == 0 {
			request.reason, request.lateness, request.class = ReasonWaiting, p.lateness(&demand), forBegunStreams
		}
		others := p.demand[demand.Item.Model]
		if replicas == 0 && others != nil && p.ready[demand.Item.Model]+p.pending[demand.Item.Model] == 0 {
			request.lateness = min(request.lateness, p.lateness(others))
			demand.merge(others)
		}
		request.benefit = expectedCalls(&demand)
		requests = append(requests, request)
	}
	return requests
}
