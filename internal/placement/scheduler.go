package placement

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/guavatrack/guavatrack/internal/logs"
	"github.com/guavatrack/guavatrack/internal/metric"
	"github.com/guavatrack/guavatrack/internal/residence"
	"github.com/guavatrack/guavatrack/internal/roster"
	"github.com/guavatrack/guavatrack/internal/wait"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Metrics lists the metrics that a [Scheduler] registers.
var Metrics = []metric.Doc{
	{Name: ordersName, Kind: metric.Counter, Help: "orders sent to engines"},
	{Name: ordersLostName, Kind: metric.Counter, Help: "orders to engines without an answer"},
	{Name: ordersDoneName, Kind: metric.Counter, Help: "orders that engines were seen to have carried out"},
	{Name: storeLoadsName, Kind: metric.Counter, Help: "loads of models from the weight store"},
}

const (
	ordersName     = "placement.orders"
	ordersLostName = "placement.ordersLost"
	ordersDoneName = "placement.ordersDone"
	storeLoadsName = "placement.storeLoads"
)

// Right is the right to give orders.
type Right interface {
	// Holds reports whether orders may be given now, and under which number.
	Holds() (fleet.FencingNumber, bool)
	// Mine reports whether this node is the one to give orders, although it may
	// have to wait before it does.
	Mine() bool
}

// Scheduler gives the orders to all engines while this node has the right to.
// Its exported fields are set before Run.
type Scheduler struct {
	// Holder names this VM to engines.
	Holder  string
	View    func() *roster.View
	Lease   Right
	Engines Engines
	Peers   Peers
	// Tell takes in news at this node.
	Tell func(news)
	Node fleet.NodeID
	// StoreLoads is the number of loads from the weight store that run at once
	// at full speed, AdapterLoads that of adapters.
	StoreLoads, AdapterLoads int
	Log                      *slog.Logger
	Metrics                  metrics.Registry

	mu      sync.Mutex
	once    sync.Once
	fencing fleet.FencingNumber
	number  uint64
	// began is when this hold of the lease began.
	began time.Time
	// described are the models of each pool's engines under the manifest.
	manifest  *roster.Manifest
	described map[*roster.EngineSpec]map[fleet.ModelID]residence.Model
	engines   map[fleet.ServerID]*engine
	// late lists the orders without an answer, by engine, which may be carried out
	// later.
	late    map[fleet.ServerID][]lateOrder
	nodes   map[fleet.NodeID]*nodeDemand
	rates   map[indexKey]*rate
	stirred wait.Signal
	running sync.WaitGroup
	counts  counters
	// slack is how much longer than stated loads from each tier take.
	slack [3]time.Duration
	// storeTokens bounds the rate of loads from the weight store.
	storeTokens   float64
	storeTokensAt time.Time
}

type counters struct{ orders, lost, done, storeLoads metrics.Counter }

// Timing of the scheduler.
const (
	// planInterval is the time between two plans if nothing happens,
	// leastPlanInterval that between two if much does, or planPause times what
	// the last plan took, so that plans for many engines leave time for the
	// rest.
	planInterval      = 150 * time.Millisecond
	leastPlanInterval = 5 * time.Millisecond
	planPause         = 30
	// reportLag is how old a report may be.
	reportLag     = 150 * time.Millisecond
	engineTimeout = 500 * time.Millisecond
)

func (s *Scheduler) init() {
	s.once.Do(func() {
		s.engines = make(map[fleet.ServerID]*engine)
		s.late = make(map[fleet.ServerID][]lateOrder)
		s.described = make(map[*roster.EngineSpec]map[fleet.ModelID]residence.Model)
		s.nodes = make(map[fleet.NodeID]*nodeDemand)
		s.rates = make(map[indexKey]*rate)
		s.stirred = wait.NewSignal()
		s.Log = logs.OrDiscard(s.Log)
		s.Metrics = metric.OrNew(s.Metrics)
		s.counts = counters{
			orders:     metrics.GetOrRegisterCounter(ordersName, s.Metrics),
			lost:       metrics.GetOrRegisterCounter(ordersLostName, s.Metrics),
			done:       metrics.GetOrRegisterCounter(ordersDoneName, s.Metrics),
			storeLoads: metrics.GetOrRegisterCounter(storeLoadsName, s.Metrics),
		}
	})
}

// stir has a plan made soon.
func (s *Scheduler) stir() { s.stirred.Give() }

// Run plans and gives orders until the context ends, and waits for the orders
// that are on their way.
func (s *Scheduler) Run(ctx context.Context) error {
	s.mu.Lock()
	s.init()
	s.mu.Unlock()
	defer s.running.Wait()
	for ctx.Err() == nil {
		began := time.Now()
		s.step(ctx)
		pause := max(leastPlanInterval, planPause*time.Since(began))
		if s.stirred.Wait(ctx, planInterval) {
			wait.For(ctx, pause)
		}
	}
	return nil
}

// step makes one plan and gives its orders.
func (s *Scheduler) step(ctx context.Context) {
	if !s.Lease.Mine() {
		return
	}
	fencing, holds := s.Lease.Holds()
	view := s.View()
	if view.Manifest == nil || !view.Listed {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.manifest != view.Manifest {
		s.manifest = view.Manifest
		clear(s.described)
	}
	if fencing != s.fencing {
		s.begin(fencing)
	}
	s.follow(ctx, now, view)
	if !holds {
		return
	}
	uses := s.sumUses(now)
	for _, pool := range view.Manifest.Pools {
		if pool.Engine != nil {
			s.plan(ctx, now, pool, uses)
		}
	}
}

// begin starts a hold of the lease: nothing is known of the engines. The caller
// holds the lock.
func (s *Scheduler) begin(fencing fleet.FencingNumber) {
	s.fencing, s.number, s.began = fencing, 0, time.Now()
	clear(s.engines)
	clear(s.rates)
}

// follow takes in the view and has the reports read that are to be. The caller
// holds the lock.
func (s *Scheduler) follow(ctx context.Context, now time.Time, view *roster.View) {
	for id, e := range s.engines {
		if server := view.Servers[id]; server == nil || server.Boot != e.server.Boot {
			delete(s.engines, id)
		}
	}
	for id, server := range view.Servers {
		pool := view.Manifest.Pools[server.Pool]
		if pool == nil || pool.Engine == nil {
			continue
		}
		e := s.engines[id]
		if e == nil {
			e = newEngine(server)
			s.engines[id] = e
		}
		if e.server != server {
			e.server = server
			if e.open == nil {
				e.copies(server.Engine)
			}
		}
		s.ask(ctx, now, e)
	}
}

// ask has the report of an engine read that is in doubt or whose state is not
// known. The caller holds the lock.
func (s *Scheduler) ask(ctx context.Context, now time.Time, e *engine) {
	server := e.server
	if e.doubted && !e.checking {
		e.checking = true
		s.running.Go(func() { s.check(ctx, e, server) })
	}
	if !e.known && !e.reading && now.After(e.readAt) && now.After(e.closedUntil) {
		e.reading = true
		s.running.Go(func() { s.read(ctx, e, server) })
	}
}

// doubt has the report of an engine read that a node could not reach, so that
// its models are loaded elsewhere if it is gone. The caller holds the lock.
func (s *Scheduler) doubt(now time.Time, server fleet.ServerID) {
	e := s.engines[server]
	if e == nil || !e.known || e.doubted || now.Before(e.closedUntil) {
		return
	}
	e.doubted = true
	s.stir()
}

// report reads the report of an engine.
func (s *Scheduler) report(ctx context.Context, server *roster.Server) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	return s.Engines.Report(ctx, server)
}

// check reads the report of an engine that is in doubt.
func (s *Scheduler) check(running context.Context, e *engine, server *roster.Server) {
	_, err := s.report(running, server)
	s.mu.Lock()
	defer s.mu.Unlock()
	e.doubted, e.checking = false, false
	if err == nil || running.Err() != nil {
		return
	}
	s.Log.Warn("engine lost", slog.String("server", string(server.ID)), slog.Any("error", err))
	e.known, e.closedUntil = false, time.Now().Add(closedTime)
	s.note(e)
	s.stir()
}

// read reads the report of an engine whose state is not known.
func (s *Scheduler) read(ctx context.Context, e *engine, server *roster.Server) {
	report, err := s.report(ctx, server)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	e.reading = false
	if err != nil {
		e.closedUntil = now.Add(closedTime)
		s.Log.Warn("engine's report can't be read", slog.String("server", string(server.ID)), slog.Any("error", err))
		return
	}
	if report.Engine.Busy {
		// An order of an earlier hold of the lease, or one without an answer.
		e.readAt = now.Add(reportLag)
		return
	}
	e.known, e.open, e.sending = true, nil, false
	e.sequence = report.Sequence
	e.holds(&report.Engine, now)
	e.copies(&report.Engine)
	s.note(e)
	s.stir()
}

// note numbers a change of an engine. The caller holds the lock.
func (s *Scheduler) note(e *engine) {
	s.number++
	e.changed = s.number
}

// plan has the residence of a pool decided and gives the orders. The caller
// holds the lock.
func (s *Scheduler) plan(ctx context.Context, now time.Time, pool *roster.Pool, uses map[useKey]*use) {
	state := residence.State{
		Now: now, Models: s.models(pool.Engine), Demands: s.sumDemands(now, pool.ID),
		Settled:    now.Sub(s.began) > settleTime,
		StoreLoads: s.storeLoadsLeft(now, pool.Engine.LoadsPerSecond), AdapterLoads: s.AdapterLoads, Random: rand.Float64,
	}
	for _, e := range s.engines {
		if e.server.Pool != pool.ID {
			continue
		}
		planned := e.plan(now, pool.Engine, uses)
		s.reserve(now, e, &planned, state.Models)
		state.AdapterLoads -= planned.AdaptersComing
		state.Engines = append(state.Engines, planned)
	}
	for _, order := range residence.Plan(state) {
		s.give(ctx, now, s.engines[order.Server], order, state.Models[order.Item.Model])
	}
}

// models describes the models of a pool to package residence, once for each
// manifest, which is not changed after it was read. The caller holds the lock.
func (s *Scheduler) models(spec *roster.EngineSpec) map[fleet.ModelID]residence.Model {
	if found, known := s.described[spec]; known {
		return found
	}
	described := make(map[fleet.ModelID]residence.Model, len(spec.Models))
	for id, model := range spec.Models {
		described[id] = residence.Model{
			Size: model.Size, AdapterSize: model.AdapterSize,
			FromStore: model.FromStore, FromDisk: model.FromDisk, FromMemory: model.FromMemory,
		}
	}
	s.described[spec] = described
	return described
}

// storeBurst is the number of loads from the weight store that may begin at
// once after a pause.
const storeBurst = 2

// storeLoadsLeft returns how many loads from the weight store may begin now.
// The caller holds the lock.
func (s *Scheduler) storeLoadsLeft(now time.Time, perSecond float64) int {
	if s.storeTokensAt.IsZero() {
		s.storeTokens = storeBurst
	}
	s.storeTokens = min(storeBurst, s.storeTokens+perSecond*now.Sub(s.storeTokensAt).Seconds())
	s.storeTokensAt = now
	left := s.StoreLoads
	for _, e := range s.engines {
		if e.open != nil && e.open.Load && e.open.Tier == residence.WeightStore {
			left--
		}
	}
	return min(left, int(s.storeTokens))
}
