package residence_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/residence"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Times of a simulation.
const (
	simStep        = 20 * time.Millisecond
	simServiceTime = 1800 * time.Millisecond
	// simObjective is the time until the start of a call that meets its objective,
	// simDeadline that after which it is given up.
	simObjective = 2 * time.Second
	simDeadline  = 4 * time.Second
	// simRegard is how long demand names a version after the last call has waited.
	simRegard = 10 * time.Second
)

// simulation is a pool of engines that run calls and carry out the orders of the plan.
type simulation struct {
	random *rand.Rand
	now    time.Time
	models map[fleet.ModelID]residence.Model
	// storeTokens is the number of loads from the weight store that may begin.
	storeTokens float64
	engines     []*simEngine
	waiting     []*simCall
	// counts holds the outcomes of calls that any engine may run, and of those that need a
	// version.
	counts map[bool]*simCounts
	// restricted holds when calls last waited for a model at a version.
	restricted map[simWant]time.Time
}

// simCounts are the numbers of calls that started before their deadline and that did not.
type simCounts struct{ served, lost int }

func (n *simCounts) share() float64 { return float64(n.served) / float64(n.served+n.lost) }

type simWant struct {
	model    fleet.ModelID
	software fleet.SoftwareVersion
}

type simCall struct {
	simWant
	arrived time.Time
}

// simEngine is an engine with the ends of the calls that run there.
type simEngine struct {
	residence.Engine
	running map[fleet.ModelID][]time.Time
	// order is the order in progress; nil if none. Its time runs from startedAt.
	order     *residence.Order
	startedAt time.Time
}

// newSimulation returns a pool whose engines, half of each version, have room for three
// models each. Each model has a copy on the disk of some VMs.
func newSimulation(seed uint64, engines, models, copies int) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), now: noon,
		counts:     map[bool]*simCounts{false: {}, true: {}},
		restricted: make(map[simWant]time.Time),
	}
	state := newState(engines, models)
	s.models = state.Models
	for i := range state.Engines {
		e := &simEngine{Engine: state.Engines[i], running: make(map[fleet.ModelID][]time.Time)}
		e.Software = []fleet.SoftwareVersion{older, newer}[i%2]
		s.engines = append(s.engines, e)
	}
	for i := range models {
		for _, at := range s.random.Perm(engines)[:copies] {
			s.engines[at].OnDisk[modelID(i)] = true
		}
	}
	return s
}

// run runs the pool for a time at a rate of calls a second for random models, of which a
// share needs one of the versions.
func (s *simulation) run(duration time.Duration, rate, restricted float64) {
	for end := s.now.Add(duration); s.now.Before(end); s.now = s.now.Add(simStep) {
		if s.random.Float64() < rate*simStep.Seconds() {
			s.waiting = append(s.waiting, s.newCall(s.random.Float64() < restricted))
		}
		for _, e := range s.engines {
			e.advance(s.now, s.models)
		}
		s.startCalls()
		s.plan()
	}
}

// newCall returns a call for a random model, which may need a random version.
func (s *simulation) newCall(restricted bool) *simCall {
	call := &simCall{simWant: simWant{model: modelID(s.random.IntN(len(s.models)))}, arrived: s.now}
	if restricted {
		call.software = []fleet.SoftwareVersion{older, newer}[s.random.IntN(2)]
	}
	return call
}

// advance ends calls and completes the order in progress.
func (e *simEngine) advance(now time.Time, models map[fleet.ModelID]residence.Model) {
	for model, ends := range e.running {
		e.running[model] = slices.DeleteFunc(ends, func(end time.Time) bool { return !now.Before(end) })
	}
	for i := range e.ResidentModels {
		e.ResidentModels[i].Running = len(e.running[e.ResidentModels[i].Model])
	}
	if e.order == nil {
		return
	}
	model := e.order.Item.Model
	if !e.order.Load {
		if len(e.running[model]) > 0 {
			e.startedAt = now
		}
		if now.Sub(e.startedAt) >= residence.UnloadTime {
			e.ResidentModels = slices.DeleteFunc(e.ResidentModels, func(r residence.ResidentModel) bool { return r.Model == model })
			e.order, e.Busy = nil, false
		}
		return
	}
	if now.Sub(e.startedAt) >= models[model].LoadTime(e.order.Tier) {
		e.ResidentModels = append(e.ResidentModels, residence.ResidentModel{Model: model, LastUsed: now})
		e.OnDisk[model] = true
		e.order, e.Busy, e.Loading = nil, false, ""
	}
}

// startCalls starts the waiting calls that an engine can run and gives up late ones.
func (s *simulation) startCalls() {
	s.waiting = slices.DeleteFunc(s.waiting, func(call *simCall) bool {
		counts := s.counts[call.software != ""]
		switch {
		case s.start(call):
			counts.served++
		case s.now.Sub(call.arrived) > simDeadline:
			counts.lost++
		default:
			return false
		}
		return true
	})
}

// start starts a call at an engine that may run it and holds its model.
func (s *simulation) start(call *simCall) bool {
	for _, e := range s.engines {
		for i := range e.ResidentModels {
			resident := &e.ResidentModels[i]
			if resident.Model != call.model || resident.Unloading || call.software != "" && call.software != e.Software ||
				resident.Running >= e.Slots {
				continue
			}
			e.running[call.model] = append(e.running[call.model], s.now.Add(simServiceTime))
			resident.Running, resident.LastUsed = resident.Running+1, s.now
			return true
		}
	}
	return false
}

// plan carries out the orders of a plan.
func (s *simulation) plan() {
	const storeLoadsPerSecond, storeBurst = 1, 2
	s.storeTokens = min(storeBurst, s.storeTokens+storeLoadsPerSecond*simStep.Seconds())
	state := residence.State{
		Now: s.now, Models: s.models, Demands: s.demands(), RatesSettled: true,
		StoreLoads: int(s.storeTokens), Random: s.random.Float64,
	}
	for _, e := range s.engines {
		engine := e.Engine
		engine.ResidentModels = slices.Clone(e.ResidentModels)
		state.Engines = append(state.Engines, engine)
	}
	for _, order := range residence.Plan(state) {
		at := slices.IndexFunc(s.engines, func(e *simEngine) bool { return e.ID == order.Server })
		e := s.engines[at]
		e.order, e.startedAt, e.Busy = &order, s.now, true
		if order.Load {
			e.Loading, e.ReservedFor = order.Item.Model, ""
			if order.Tier == residence.WeightStore {
				s.storeTokens--
			}
			continue
		}
		e.ReservedFor = order.MakesRoomFor
		for i := range e.ResidentModels {
			e.ResidentModels[i].Unloading = e.ResidentModels[i].Unloading || e.ResidentModels[i].Model == order.Item.Model
		}
	}
}

// demands sums up the waiting calls.
func (s *simulation) demands() (demands []residence.Demand) {
	sums := make(map[simWant]*residence.Demand)
	add := func(want simWant) *residence.Demand {
		if sums[want] == nil {
			sums[want] = &residence.Demand{Item: fleet.Item{Model: want.model}, Software: want.software}
		}
		return sums[want]
	}
	for _, call := range s.waiting {
		sum := add(call.simWant)
		if sum.Waiting++; sum.Waiting == 1 {
			sum.WaitingSince, sum.Objective = call.arrived, call.arrived.Add(simObjective)
		}
		if call.software != "" {
			s.restricted[call.simWant] = s.now
		}
	}
	for want, last := range s.restricted {
		if s.now.Sub(last) < simRegard {
			add(want)
		}
	}
	for _, sum := range sums {
		demands = append(demands, *sum)
	}
	return demands
}

// crowd has as many calls that need one of the versions begin to wait at once, as streams
// do that broke in the same moment.
func (s *simulation) crowd(count int) {
	for range count {
		s.waiting = append(s.waiting, s.newCall(true))
	}
}

// TestStreamsGoOnWhileVersionsServeSideBySide answers the pattern of streams that can go on
// only at the version that began them, while their models are swapped all the time: one at
// a time, and many that broke at once. The share of their calls that start in time is at
// least goalShare of that of all other calls.
func TestStreamsGoOnWhileVersionsServeSideBySide(t *testing.T) {
	const (
		engines, models, copies = 18, 90, 4
		callsPerSecond          = 10
		goalShare               = 0.8
	)
	for _, test := range []struct {
		name       string
		restricted float64
		crowd      int
	}{
		{"some at any time", 0.3, 0},
		{"many at once", 0, 40},
	} {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(2) {
				s := newSimulation(seed, engines, models, copies)
				s.run(10*time.Second, callsPerSecond, test.restricted)
				s.crowd(test.crowd)
				s.run(10*time.Second, callsPerSecond, test.restricted)
				found, others := s.counts[true], s.counts[false]
				qt.Check(t, found.share() >= goalShare*others.share(), qt.IsTrue,
					qt.Commentf("seed %d: %+v, others %+v", seed, *found, *others))
			}
		})
	}
}
