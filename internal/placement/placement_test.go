package placement_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/internal/peer/peertest"
	"github.com/guavatrack/guavatrack/internal/placement"
	"github.com/guavatrack/guavatrack/internal/roster"
	"github.com/guavatrack/guavatrack/internal/wait"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

const pool = fleet.PoolID("advisor")

// engines are fake engines with room for two models each.
type engines struct {
	mu       sync.Mutex
	t        *qt.C
	engines  map[fleet.ServerID]*fakeEngine
	outcomes []placement.Outcome // of the next orders, before they are carried out
	orders   []placement.Order
	// down is an engine that can't be reached.
	down fleet.ServerID
}

// given returns the orders that were given.
func (e *engines) given() []placement.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

type fakeEngine struct {
	sequence uint64
	busy     bool
	held     map[fleet.ModelID]map[fleet.AdapterID]bool
	// inUse says that adapters are unloaded late.
	inUse bool
	// late are orders without an answer that are carried out later.
	late []placement.Order
}

const (
	places       = 2
	adapterSlots = 2
	orderTime    = 300 * time.Millisecond
)

func (e *engines) Order(_ context.Context, server *roster.Server, order placement.Order) (placement.Outcome, error) {
	time.Sleep(2 * time.Millisecond)
	if !order.Allowed() {
		return placement.NotSent, errors.New("not allowed")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, order)
	if len(e.outcomes) > 0 {
		outcome := e.outcomes[0]
		e.outcomes = e.outcomes[1:]
		switch outcome {
		case placement.Unknown:
			e.engines[server.ID].late = append(e.engines[server.ID].late, order)
			return outcome, errors.New("no answer")
		case placement.Accepted:
		default:
			return outcome, errors.New("told to")
		}
	}
	return e.carryOut(server.ID, order), nil
}

// carryOut does what an engine does with an order, at most once for each number
// of orders before. The caller holds the lock.
func (e *engines) carryOut(id fleet.ServerID, order placement.Order) placement.Outcome {
	engine := e.engines[id]
	if engine.busy || order.Expect != engine.sequence {
		return placement.Conflict
	}
	engine.sequence++
	model := order.Item.Model
	if order.Item.Adapter != "" {
		return e.adapter(engine, order)
	}
	engine.busy = true
	if order.Load {
		e.t.Check(len(engine.held) < places, qt.IsTrue, qt.Commentf("%s ordered beyond its memory", id))
	}
	time.AfterFunc(orderTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		engine.busy = false
		if order.Load {
			engine.held[model] = make(map[fleet.AdapterID]bool)
		} else {
			delete(engine.held, model)
		}
	})
	return placement.Accepted
}

func (e *engines) adapter(engine *fakeEngine, order placement.Order) placement.Outcome {
	adapters := engine.held[order.Item.Model]
	switch {
	case !order.Load && engine.inUse:
		time.AfterFunc(time.Second, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			delete(adapters, order.Item.Adapter)
		})
		return placement.Accepted
	case !order.Load:
		delete(adapters, order.Item.Adapter)
		return placement.Held
	}
	count := 0
	for _, held := range engine.held {
		count += len(held)
	}
	e.t.Check(count < adapterSlots, qt.IsTrue, qt.Commentf("ordered beyond the places for adapters"))
	adapters[order.Item.Adapter] = true
	return placement.Accepted
}

func (e *engines) Report(_ context.Context, server *roster.Server) (placement.Report, error) {
	time.Sleep(2 * time.Millisecond)
	e.mu.Lock()
	defer e.mu.Unlock()
	if server.ID == e.down {
		return placement.Report{}, errors.New("connection refused")
	}
	engine := e.engines[server.ID]
	report := placement.Report{Sequence: engine.sequence, Engine: roster.Engine{Busy: engine.busy}}
	for model, adapters := range engine.held {
		held := roster.Held{Model: model}
		for adapter := range adapters {
			held.Adapters = append(held.Adapters, adapter)
		}
		report.Engine.Held = append(report.Engine.Held, held)
	}
	for at := range 8 {
		report.Engine.OnDisk = append(report.Engine.OnDisk, model(at))
	}
	return report, nil
}

// lateOrders carries out what was not answered.
func (e *engines) lateOrders() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, engine := range e.engines {
		for _, order := range engine.late {
			e.carryOut(id, order)
		}
		engine.late = nil
	}
}

func model(at int) fleet.ModelID { return fleet.ModelID(fmt.Sprint("m", at)) }

// right is the lease in the hands of the test.
type right struct {
	mu      sync.Mutex
	fencing fleet.FencingNumber
	mine    bool
	holder  fleet.NodeID
	doubts  int
}

func (r *right) Holds() (fleet.FencingNumber, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fencing, r.mine
}

func (r *right) Mine() bool { _, mine := r.Holds(); return mine }

func (r *right) set(fencing fleet.FencingNumber, mine bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fencing, r.mine = fencing, mine
}

func (r *right) Holder() fleet.NodeID { return r.holder }

func (r *right) Suspect() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.doubts++
}

func (r *right) Trust() {}

func (r *right) doubted() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.doubts > 0
}

// site is two nodes, the first of which gives the orders.
type site struct {
	*qt.C
	engines     *engines
	view        atomic.Pointer[roster.View]
	lease       *right
	wires       *peertest.Wires
	directories [2]*placement.Directory
	reporters   [2]*placement.Reporter
}

// newSite has engines that hold models two by two: m0 and m1, m2 and m3, etc.
func newSite(t *testing.T, count int) *site {
	t.Helper()
	c := qt.New(t)
	s := &site{
		C: c, engines: &engines{t: c, engines: make(map[fleet.ServerID]*fakeEngine)},
		lease: &right{fencing: 5, mine: true, holder: "n0"},
		wires: &peertest.Wires{Delay: 2 * time.Millisecond, Refuses: true},
	}
	view := &roster.View{Listed: true, Servers: make(map[fleet.ServerID]*roster.Server)}
	spec := &roster.EngineSpec{
		Slots: 8, Memory: 150, AdapterSlots: adapterSlots, LoadsPerSecond: 10, Models: make(map[fleet.ModelID]*roster.Model),
	}
	for at := range 8 {
		spec.Models[model(at)] = &roster.Model{
			Size: 70, Adapters: 8, AdapterSize: 1, FromStore: 6 * time.Second, FromDisk: 300 * time.Millisecond,
			FromMemory: 300 * time.Millisecond,
		}
	}
	view.Manifest = &roster.Manifest{Pools: map[fleet.PoolID]*roster.Pool{pool: {ID: pool, Engine: spec}}}
	for at := range count {
		id := fleet.ServerID(fmt.Sprint("e", at))
		held := map[fleet.ModelID]map[fleet.AdapterID]bool{model(2 * at): {}, model(2*at + 1): {}}
		s.engines.engines[id] = &fakeEngine{held: held}
		view.Servers[id] = &roster.Server{
			ID: id, Boot: "1", Pool: pool, Slots: 8,
			Engine: &roster.Engine{Held: []roster.Held{{Model: model(2 * at)}, {Model: model(2*at + 1)}}},
		}
	}
	s.view.Store(view)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(func() { cancel(); running.Wait() })
	for at := range s.reporters {
		node := fleet.NodeID(fmt.Sprint("n", at))
		peers := peertest.End{Wires: s.wires, Node: node}
		s.directories[at] = &placement.Directory{View: s.view.Load}
		s.directories[at].Changed(s.view.Load())
		s.reporters[at] = &placement.Reporter{
			Node: node, Directory: s.directories[at], View: s.view.Load, Lease: s.lease, Peers: peers,
		}
		scheduler := &placement.Scheduler{
			Holder: "vm", View: s.view.Load, Lease: &right{}, Engines: s.engines, Peers: peers,
			Node: node, StoreLoads: 4, AdapterLoads: 30,
		}
		if at == 0 {
			scheduler.Lease = s.lease
		}
		placement.Register(peers, scheduler, s.reporters[at])
		running.Go(func() { _ = scheduler.Run(ctx) })
		running.Go(func() { _ = s.reporters[at].Run(ctx) })
	}
	return s
}

// wait has calls of a node wait for an item until it is there.
func (s *site) wait(node int, item fleet.Item, patience time.Duration) bool {
	began := time.Now()
	for time.Since(began) < patience {
		if len(s.directories[node].Replicas(item, pool)) > 0 {
			return true
		}
		s.wake(node, item, began)
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// wake asks for an item that a call has waited for since a time.
func (s *site) wake(node int, item fleet.Item, began time.Time) {
	_, err := s.reporters[node].Wake(context.Background(), dispatch.Want{
		Item: item, Pool: pool, Waiting: 1, Since: began, Objective: began.Add(2 * time.Second),
	})
	s.Assert(err, qt.IsNil)
}

// bubble runs a test in virtual time.
func bubble(t *testing.T, count int, run func(*site)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, count)
		time.Sleep(time.Second)
		run(s)
	})
}

func TestWaitingCallsGetTheirModel(t *testing.T) {
	bubble(t, 2, func(s *site) {
		s.Assert(s.wait(1, fleet.Item{Model: model(5)}, 2*time.Second), qt.IsTrue)
		s.Assert(s.wait(0, fleet.Item{Model: model(6)}, 2*time.Second), qt.IsTrue)
		// The unloaded models are no longer offered.
		offered := 0
		for at := range 4 {
			offered += len(s.directories[1].Replicas(fleet.Item{Model: model(at)}, pool))
		}
		s.Assert(offered, qt.Equals, 2)
	})
}

// TestOrderWithoutAnswerIsCarriedOutOnce loses the answers of orders, which are
// carried out later all the same.
func TestOrderWithoutAnswerIsCarriedOutOnce(t *testing.T) {
	bubble(t, 2, func(s *site) {
		for round := range 6 {
			s.engines.mu.Lock()
			s.engines.outcomes = []placement.Outcome{placement.Unknown, placement.Unknown}
			s.engines.mu.Unlock()
			s.Assert(s.wait(round%2, fleet.Item{Model: model((round*3 + 4) % 8)}, 5*time.Second), qt.IsTrue)
			s.engines.lateOrders()
			time.Sleep(time.Second)
		}
	})
}

func TestRefusedOrdersAreDecidedAnew(t *testing.T) {
	for _, outcome := range []placement.Outcome{
		placement.Conflict, placement.WrongServer, placement.Refused, placement.NotSent, placement.Held,
	} {
		bubble(t, 2, func(s *site) {
			s.engines.outcomes = []placement.Outcome{outcome}
			s.Assert(s.wait(1, fleet.Item{Model: model(5)}, 4*time.Second), qt.IsTrue, qt.Commentf("%s", outcome))
		})
	}
}

// TestAdapterInUseKeepsItsPlace has an engine accept the unload of an adapter
// and carry it out a second later.
func TestAdapterInUseKeepsItsPlace(t *testing.T) {
	bubble(t, 1, func(s *site) {
		s.engines.engines["e0"].inUse = true
		for at := range 4 {
			item := fleet.Item{Model: model(0), Adapter: fleet.AdapterID(fmt.Sprint("a", at))}
			s.Assert(s.wait(at%2, item, 6*time.Second), qt.IsTrue, qt.Commentf("%s", item))
			time.Sleep(600 * time.Millisecond)
		}
	})
}

// TestModelOfALostEngineIsLoadedElsewhere has an engine crash while its entry
// still stands: a node that could not reach it tells the scheduler.
func TestModelOfALostEngineIsLoadedElsewhere(t *testing.T) {
	bubble(t, 2, func(s *site) {
		replica := s.directories[1].Replicas(fleet.Item{Model: model(0)}, pool)[0]
		s.engines.mu.Lock()
		s.engines.down = replica.Server
		s.engines.mu.Unlock()
		s.reporters[1].Lost(&replica, time.Now())
		time.Sleep(100 * time.Millisecond)
		began := time.Now()
		for len(s.directories[1].Replicas(fleet.Item{Model: model(0)}, pool)) < 2 && time.Since(began) < 3*time.Second {
			s.wake(1, fleet.Item{Model: model(0)}, began)
			time.Sleep(50 * time.Millisecond)
		}
		c := s.C
		c.Assert(time.Since(began) < 2*time.Second, qt.IsTrue)
	})
}

func TestNoOrderWithoutTheLease(t *testing.T) {
	bubble(t, 2, func(s *site) {
		s.lease.set(5, false)
		s.Assert(s.wait(0, fleet.Item{Model: model(5)}, 2*time.Second), qt.IsFalse)
		s.Assert(s.engines.given(), qt.HasLen, 0)
		s.Assert(s.lease.doubted(), qt.IsTrue)
		s.lease.set(9, true)
		s.Assert(s.wait(0, fleet.Item{Model: model(5)}, 3*time.Second), qt.IsTrue)
		for _, order := range s.engines.given() {
			s.Assert(order.Fencing, qt.Equals, fleet.FencingNumber(9))
		}
	})
}

// TestModelInUseStays has calls run on all models but one.
func TestModelInUseStays(t *testing.T) {
	bubble(t, 1, func(s *site) {
		replica := s.directories[1].Replicas(fleet.Item{Model: model(0)}, pool)[0]
		s.reporters[1].Entered(&replica, time.Now())
		time.Sleep(500 * time.Millisecond)
		s.Assert(s.wait(0, fleet.Item{Model: model(5)}, 3*time.Second), qt.IsTrue)
		s.Assert(s.directories[0].Replicas(fleet.Item{Model: model(0)}, pool), qt.HasLen, 1)
		s.Assert(s.directories[0].Replicas(fleet.Item{Model: model(1)}, pool), qt.HasLen, 0)
	})
}

// TestRestartedEngineKeepsRoomForLateOrders has an engine start again under its
// name while an order without an answer may still be carried out: its count of
// orders comes to where the late order expects it.
func TestRestartedEngineKeepsRoomForLateOrders(t *testing.T) {
	bubble(t, 1, func(s *site) {
		s.engines.mu.Lock()
		for range 6 {
			s.engines.outcomes = append(s.engines.outcomes, placement.Unknown)
		}
		s.engines.mu.Unlock()
		s.wait(1, fleet.Item{Model: model(5)}, 100*time.Millisecond)
		s.engines.mu.Lock()
		late := s.engines.engines["e0"].late
		s.engines.engines["e0"] = &fakeEngine{held: make(map[fleet.ModelID]map[fleet.AdapterID]bool), late: late}
		s.engines.outcomes = nil
		s.engines.mu.Unlock()
		next := *s.view.Load()
		next.Servers = map[fleet.ServerID]*roster.Server{
			"e0": {ID: "e0", Boot: "2", Pool: pool, Slots: 8, Engine: &roster.Engine{}},
		}
		s.view.Store(&next)
		for _, directory := range s.directories {
			directory.Changed(&next)
		}
		time.Sleep(5 * time.Second)
		s.engines.mu.Lock()
		held := len(s.engines.engines["e0"].held)
		s.engines.mu.Unlock()
		s.Assert(held < places, qt.IsTrue, qt.Commentf("%d held", held))
		s.engines.lateOrders()
		time.Sleep(20 * time.Second)
		s.engines.mu.Lock()
		held = len(s.engines.engines["e0"].held)
		s.engines.mu.Unlock()
		s.Assert(held, qt.Equals, places)
	})
}

// TestDirectoryFallsBackOnEntries has the scheduler fall silent and an engine
// start again.
func TestDirectoryFallsBackOnEntries(t *testing.T) {
	bubble(t, 1, func(s *site) {
		s.Assert(s.wait(1, fleet.Item{Model: model(5)}, 3*time.Second), qt.IsTrue)
		s.wires.Silence("n0", true)
		next := *s.view.Load()
		next.Servers = map[fleet.ServerID]*roster.Server{"e0": {
			ID: "e0", Boot: "2", Pool: pool, Slots: 8, Engine: &roster.Engine{Held: []roster.Held{{Model: model(7)}}},
		}}
		s.view.Store(&next)
		s.directories[1].Changed(s.view.Load())
		s.Assert(s.directories[1].Replicas(fleet.Item{Model: model(5)}, pool), qt.HasLen, 0)
		s.Assert(s.directories[1].Replicas(fleet.Item{Model: model(7)}, pool), qt.HasLen, 1)
	})
}

// TestEntriesChangeWhileOrdersAreUnderWay answers the pattern of engines that
// write their entries anew every second or two; the race detector finds an order
// that reads what the scheduler changes.
func TestEntriesChangeWhileOrdersAreUnderWay(t *testing.T) {
	bubble(t, 1, func(s *site) {
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		onDisk := make([]fleet.ModelID, 8)
		for at := range onDisk {
			onDisk[at] = model(at)
		}
		go func() {
			defer close(ended)
			for wait.For(ctx, 7*time.Millisecond) {
				next := *s.view.Load()
				next.Servers = make(map[fleet.ServerID]*roster.Server)
				for id, server := range s.view.Load().Servers {
					copied, engine := *server, *server.Engine
					engine.OnDisk = onDisk
					copied.Engine = &engine
					next.Servers[id] = &copied
				}
				s.view.Store(&next)
			}
		}()
		defer func() { cancel(); <-ended }()
		for at := range 8 {
			s.Assert(s.wait(0, fleet.Item{Model: model(at)}, 5*time.Second), qt.IsTrue, qt.Commentf("m%d", at))
		}
	})
}
