package placement_test

import (
	"cmp"
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

// fakeEngines implements [placement.EngineClient] by engines with room for two
// models each.
type fakeEngines struct {
	mu           sync.Mutex
	t            *qt.C
	engines      map[fleet.ServerID]*fakeEngine
	nextOutcomes []placement.Outcome // of the next orders; all but Accepted prevent their execution
	orders       []placement.Order
	// unreachable is an engine whose report can't be read.
	unreachable fleet.ServerID
}

// sentOrders returns the orders sent so far.
func (e *fakeEngines) sentOrders() []placement.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

type fakeEngine struct {
	sequence uint64
	busy     bool
	held     map[fleet.ModelID]map[fleet.AdapterID]bool
	// loadDuration is how long a load of a model takes; 0 means orderDuration.
	loadDuration time.Duration
	// adaptersInUse delays the unload of adapters.
	adaptersInUse bool
	// unanswered lists the orders without an answer that are executed later.
	unanswered []placement.Order
}

const (
	modelSlots    = 2
	adapterSlots  = 2
	orderDuration = 300 * time.Millisecond
)

func (e *fakeEngines) Order(_ context.Context, server *roster.Server, order placement.Order) (placement.Outcome, error) {
	time.Sleep(2 * time.Millisecond)
	if !order.Allowed() {
		return placement.NotSent, errors.New("not allowed")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, order)
	if len(e.nextOutcomes) > 0 {
		outcome := e.nextOutcomes[0]
		e.nextOutcomes = e.nextOutcomes[1:]
		switch outcome {
		case placement.Unknown:
			e.engines[server.ID].unanswered = append(e.engines[server.ID].unanswered, order)
			return outcome, errors.New("no answer")
		case placement.Accepted:
		default:
			return outcome, errors.New("outcome set by test")
		}
	}
	return e.execute(server.ID, order), nil
}

// execute executes an order as an engine does, at most once for each number of
// accepted orders. The caller holds the lock.
func (e *fakeEngines) execute(id fleet.ServerID, order placement.Order) placement.Outcome {
	engine := e.engines[id]
	if engine.busy || order.ExpectedSequence != engine.sequence {
		return placement.Conflict
	}
	engine.sequence++
	model := order.Item.Model
	if order.Item.Adapter != "" {
		return e.executeAdapterOrder(engine, order)
	}
	engine.busy = true
	if order.Load {
		e.t.Check(len(engine.held) < modelSlots, qt.IsTrue, qt.Commentf("%s ordered beyond its memory", id))
	}
	duration := orderDuration
	if order.Load {
		duration = cmp.Or(engine.loadDuration, orderDuration)
	}
	time.AfterFunc(duration, func() {
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

func (e *fakeEngines) executeAdapterOrder(engine *fakeEngine, order placement.Order) placement.Outcome {
	adapters := engine.held[order.Item.Model]
	switch {
	case !order.Load && engine.adaptersInUse:
		time.AfterFunc(time.Second, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			delete(adapters, order.Item.Adapter)
		})
		return placement.Accepted
	case !order.Load:
		delete(adapters, order.Item.Adapter)
		return placement.InEffect
	}
	count := 0
	for _, held := range engine.held {
		count += len(held)
	}
	e.t.Check(count < adapterSlots, qt.IsTrue, qt.Commentf("ordered beyond its adapter slots"))
	adapters[order.Item.Adapter] = true
	return placement.Accepted
}

func (e *fakeEngines) Report(_ context.Context, server *roster.Server) (placement.Report, error) {
	time.Sleep(2 * time.Millisecond)
	e.mu.Lock()
	defer e.mu.Unlock()
	if server.ID == e.unreachable {
		return placement.Report{}, errors.New("connection refused")
	}
	engine := e.engines[server.ID]
	report := placement.Report{Sequence: engine.sequence, Engine: roster.Engine{Busy: engine.busy}}
	for model, adapters := range engine.held {
		held := roster.LoadedModel{Model: model}
		for adapter := range adapters {
			held.Adapters = append(held.Adapters, adapter)
		}
		report.Engine.LoadedModels = append(report.Engine.LoadedModels, held)
	}
	for i := range 8 {
		report.Engine.OnDisk = append(report.Engine.OnDisk, model(i))
	}
	return report, nil
}

// executeUnanswered executes the orders that had no answer.
func (e *fakeEngines) executeUnanswered() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, engine := range e.engines {
		for _, order := range engine.unanswered {
			e.execute(id, order)
		}
		engine.unanswered = nil
	}
}

func model(i int) fleet.ModelID { return fleet.ModelID(fmt.Sprint("m", i)) }

// fakeLease is a lease whose state the test sets.
type fakeLease struct {
	mu         sync.Mutex
	fencing    fleet.FencingNumber
	mine       bool
	holder     fleet.NodeID
	suspicions int
}

func (l *fakeLease) Holds() (fleet.FencingNumber, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fencing, l.mine
}

func (l *fakeLease) IsHolder() bool { _, mine := l.Holds(); return mine }

func (l *fakeLease) set(fencing fleet.FencingNumber, mine bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fencing, l.mine = fencing, mine
}

func (l *fakeLease) Holder() fleet.NodeID { return l.holder }

func (l *fakeLease) Suspect() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.suspicions++
}

func (l *fakeLease) ClearSuspicion() {}

func (l *fakeLease) suspected() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.suspicions > 0
}

// cluster has two nodes, the first of which runs the scheduler.
type cluster struct {
	*qt.C
	engines     *fakeEngines
	view        atomic.Pointer[roster.View]
	lease       *fakeLease
	network     *peertest.Network
	directories [2]*placement.Directory
	reporters   [2]*placement.Reporter
	scheduler   *placement.Scheduler
	// note is what the holder before has left to the scheduler.
	note atomic.Pointer[string]
}

// newCluster returns a cluster with engines that hold two models each: m0 and
// m1, m2 and m3, etc.
func newCluster(t *testing.T, engineCount int) *cluster {
	t.Helper()
	c := qt.New(t)
	s := &cluster{
		C: c, engines: &fakeEngines{t: c, engines: make(map[fleet.ServerID]*fakeEngine)},
		lease:   &fakeLease{fencing: 5, mine: true, holder: "n0"},
		network: &peertest.Network{Delay: 2 * time.Millisecond, FailFast: true},
	}
	view := &roster.View{ServersListed: true, Servers: make(map[fleet.ServerID]*roster.Server)}
	spec := &roster.EngineSpec{
		Slots: 8, Memory: 150, AdapterSlots: adapterSlots, LoadsPerSecond: 10, Models: make(map[fleet.ModelID]*roster.Model),
	}
	for i := range 8 {
		spec.Models[model(i)] = &roster.Model{
			Size: 70, Adapters: 8, AdapterSize: 1, FromStore: 6 * time.Second, FromDisk: 300 * time.Millisecond,
			FromMemory: 300 * time.Millisecond,
		}
	}
	view.Manifest = &roster.Manifest{Pools: map[fleet.PoolID]*roster.Pool{pool: {ID: pool, Engine: spec}}}
	for i := range engineCount {
		id := fleet.ServerID(fmt.Sprint("e", i))
		held := map[fleet.ModelID]map[fleet.AdapterID]bool{model(2 * i): {}, model(2*i + 1): {}}
		s.engines.engines[id] = &fakeEngine{held: held}
		view.Servers[id] = &roster.Server{
			ID: id, Boot: "1", Pool: pool, Slots: 8,
			Engine: &roster.Engine{LoadedModels: []roster.LoadedModel{{Model: model(2 * i)}, {Model: model(2*i + 1)}}},
		}
	}
	s.view.Store(view)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(func() { cancel(); running.Wait() })
	for i := range s.reporters {
		node := fleet.NodeID(fmt.Sprint("n", i))
		peers := peertest.Endpoint{Network: s.network, Node: node}
		s.directories[i] = &placement.Directory{View: s.view.Load}
		s.directories[i].UpdateView(s.view.Load())
		s.reporters[i] = &placement.Reporter{
			Node: node, Directory: s.directories[i], View: s.view.Load, Lease: s.lease, Peers: peers,
		}
		scheduler := &placement.Scheduler{
			Holder: "vm", View: s.view.Load, Lease: &fakeLease{}, Engines: s.engines, Peers: peers,
			Node: node, StoreLoads: 4, AdapterLoads: 30,
		}
		if i == 0 {
			scheduler.Lease, s.scheduler = s.lease, scheduler
			scheduler.Inherited = func() string {
				if note := s.note.Load(); note != nil {
					return *note
				}
				return ""
			}
		}
		placement.Register(peers, scheduler, s.reporters[i])
		running.Go(func() { _ = scheduler.Run(ctx) })
		running.Go(func() { _ = s.reporters[i].Run(ctx) })
	}
	return s
}

// awaitReplica has a call of a node wait for an item, and reports whether a
// replica of it was ready within the timeout.
func (s *cluster) awaitReplica(node int, item fleet.Item, timeout time.Duration) bool {
	began := time.Now()
	for time.Since(began) < timeout {
		if len(s.directories[node].Replicas(item, pool)) > 0 {
			return true
		}
		s.wake(node, item, began)
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// wake requests an item that a call has waited for since the given time.
func (s *cluster) wake(node int, item fleet.Item, since time.Time) {
	_, err := s.reporters[node].RequestLoad(context.Background(), dispatch.Demand{
		Item: item, Pool: pool, Waiting: 1, Since: since, Objective: since.Add(2 * time.Second),
	})
	s.Assert(err, qt.IsNil)
}

// withCluster runs a test on a cluster in virtual time.
func withCluster(t *testing.T, engineCount int, run func(*cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, engineCount)
		time.Sleep(time.Second)
		run(s)
	})
}

func TestModelIsLoadedForWaitingCalls(t *testing.T) {
	withCluster(t, 2, func(s *cluster) {
		s.Assert(s.awaitReplica(1, fleet.Item{Model: model(5)}, 2*time.Second), qt.IsTrue)
		s.Assert(s.awaitReplica(0, fleet.Item{Model: model(6)}, 2*time.Second), qt.IsTrue)
		// The unloaded models are no longer offered.
		offered := 0
		for i := range 4 {
			offered += len(s.directories[1].Replicas(fleet.Item{Model: model(i)}, pool))
		}
		s.Assert(offered, qt.Equals, 2)
	})
}

// TestUnansweredOrderIsExecutedOnce loses the answers of orders that the engine
// executes later.
func TestUnansweredOrderIsExecutedOnce(t *testing.T) {
	withCluster(t, 2, func(s *cluster) {
		for round := range 6 {
			s.engines.mu.Lock()
			s.engines.nextOutcomes = []placement.Outcome{placement.Unknown, placement.Unknown}
			s.engines.mu.Unlock()
			s.Assert(s.awaitReplica(round%2, fleet.Item{Model: model((round*3 + 4) % 8)}, 5*time.Second), qt.IsTrue)
			s.engines.executeUnanswered()
			time.Sleep(time.Second)
		}
	})
}

func TestPlanIsRepeatedAfterFailedOrder(t *testing.T) {
	for _, outcome := range []placement.Outcome{
		placement.Conflict, placement.WrongServer, placement.Refused, placement.NotSent, placement.InEffect,
	} {
		withCluster(t, 2, func(s *cluster) {
			s.engines.nextOutcomes = []placement.Outcome{outcome}
			s.Assert(s.awaitReplica(1, fleet.Item{Model: model(5)}, 4*time.Second), qt.IsTrue, qt.Commentf("%s", outcome))
		})
	}
}

// TestAdapterInUseKeepsItsSlot has an engine accept the unload of an adapter
// and execute it a second later.
func TestAdapterInUseKeepsItsSlot(t *testing.T) {
	withCluster(t, 1, func(s *cluster) {
		s.engines.engines["e0"].adaptersInUse = true
		for i := range 4 {
			item := fleet.Item{Model: model(0), Adapter: fleet.AdapterID(fmt.Sprint("a", i))}
			s.Assert(s.awaitReplica(i%2, item, 6*time.Second), qt.IsTrue, qt.Commentf("%s", item))
			time.Sleep(600 * time.Millisecond)
		}
	})
}

// TestModelOfLostEngineIsLoadedElsewhere has an engine crash that still has an
// entry in the roster: a node that could not reach it reports that to the
// scheduler.
func TestModelOfLostEngineIsLoadedElsewhere(t *testing.T) {
	withCluster(t, 2, func(s *cluster) {
		replica := s.directories[1].Replicas(fleet.Item{Model: model(0)}, pool)[0]
		s.engines.mu.Lock()
		s.engines.unreachable = replica.Server
		s.engines.mu.Unlock()
		s.reporters[1].ServerLost(&replica, time.Now())
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

func TestNoOrdersWithoutLease(t *testing.T) {
	withCluster(t, 2, func(s *cluster) {
		s.lease.set(5, false)
		s.Assert(s.awaitReplica(0, fleet.Item{Model: model(5)}, 2*time.Second), qt.IsFalse)
		s.Assert(s.engines.sentOrders(), qt.HasLen, 0)
		s.Assert(s.lease.suspected(), qt.IsTrue)
		s.lease.set(9, true)
		s.Assert(s.awaitReplica(0, fleet.Item{Model: model(5)}, 3*time.Second), qt.IsTrue)
		for _, order := range s.engines.sentOrders() {
			s.Assert(order.Fencing, qt.Equals, fleet.FencingNumber(9))
		}
	})
}

// TestModelInUseIsNotUnloaded has a call run on one of the two models: only the
// other one may make room.
func TestModelInUseIsNotUnloaded(t *testing.T) {
	withCluster(t, 1, func(s *cluster) {
		replica := s.directories[1].Replicas(fleet.Item{Model: model(0)}, pool)[0]
		s.reporters[1].SlotTaken(&replica, time.Now())
		time.Sleep(500 * time.Millisecond)
		s.Assert(s.awaitReplica(0, fleet.Item{Model: model(5)}, 3*time.Second), qt.IsTrue)
		s.Assert(s.directories[0].Replicas(fleet.Item{Model: model(0)}, pool), qt.HasLen, 1)
		s.Assert(s.directories[0].Replicas(fleet.Item{Model: model(1)}, pool), qt.HasLen, 0)
	})
}

// TestRestartedEngineReservesRoomForUnansweredOrders restarts an engine under
// its ID while an order without an answer may still be executed: the new count
// of accepted orders reaches the one that the late order expects.
func TestRestartedEngineReservesRoomForUnansweredOrders(t *testing.T) {
	withCluster(t, 1, func(s *cluster) {
		s.engines.mu.Lock()
		for range 6 {
			s.engines.nextOutcomes = append(s.engines.nextOutcomes, placement.Unknown)
		}
		s.engines.mu.Unlock()
		s.awaitReplica(1, fleet.Item{Model: model(5)}, 100*time.Millisecond)
		s.engines.mu.Lock()
		unanswered := s.engines.engines["e0"].unanswered
		s.engines.engines["e0"] = &fakeEngine{held: make(map[fleet.ModelID]map[fleet.AdapterID]bool), unanswered: unanswered}
		s.engines.nextOutcomes = nil
		s.engines.mu.Unlock()
		next := *s.view.Load()
		next.Servers = map[fleet.ServerID]*roster.Server{
			"e0": {ID: "e0", Boot: "2", Pool: pool, Slots: 8, Engine: &roster.Engine{}},
		}
		s.view.Store(&next)
		for _, directory := range s.directories {
			directory.UpdateView(&next)
		}
		time.Sleep(5 * time.Second)
		s.engines.mu.Lock()
		held := len(s.engines.engines["e0"].held)
		s.engines.mu.Unlock()
		s.Assert(held < modelSlots, qt.IsTrue, qt.Commentf("%d held", held))
		s.engines.executeUnanswered()
		time.Sleep(20 * time.Second)
		s.engines.mu.Lock()
		held = len(s.engines.engines["e0"].held)
		s.engines.mu.Unlock()
		s.Assert(held, qt.Equals, modelSlots)
	})
}

// TestDirectoryFallsBackToRosterEntries has the scheduler become unreachable
// and an engine restart.
func TestDirectoryFallsBackToRosterEntries(t *testing.T) {
	withCluster(t, 1, func(s *cluster) {
		s.Assert(s.awaitReplica(1, fleet.Item{Model: model(5)}, 3*time.Second), qt.IsTrue)
		s.network.SetUnresponsive("n0", true)
		next := *s.view.Load()
		next.Servers = map[fleet.ServerID]*roster.Server{"e0": {
			ID: "e0", Boot: "2", Pool: pool, Slots: 8, Engine: &roster.Engine{LoadedModels: []roster.LoadedModel{{Model: model(7)}}},
		}}
		s.view.Store(&next)
		s.directories[1].UpdateView(s.view.Load())
		s.Assert(s.directories[1].Replicas(fleet.Item{Model: model(5)}, pool), qt.HasLen, 0)
		s.Assert(s.directories[1].Replicas(fleet.Item{Model: model(7)}, pool), qt.HasLen, 1)
	})
}

// TestRosterEntriesChangeDuringOrders replaces the roster entries while orders
// are executed, as engines write theirs anew every second or two. The race
// detector finds an order that reads what the scheduler changes.
func TestRosterEntriesChangeDuringOrders(t *testing.T) {
	withCluster(t, 1, func(s *cluster) {
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		onDisk := make([]fleet.ModelID, 8)
		for i := range onDisk {
			onDisk[i] = model(i)
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
		for i := range 8 {
			s.Assert(s.awaitReplica(0, fleet.Item{Model: model(i)}, 5*time.Second), qt.IsTrue, qt.Commentf("m%d", i))
		}
	})
}
