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

// SchedulerLease is the lease of the scheduler, which allows its holder to give
// orders.
type SchedulerLease interface {
	// Holds reports whether orders may be given now, and under which fencing
	// number.
	Holds() (fleet.FencingNumber, bool)
	// IsHolder reports whether this node has the lease, although it may have to
	// wait before it gives orders.
	IsHolder() bool
}

// Scheduler gives the orders to all engines while this node holds the lease.
// Its exported fields are set before Run.
type Scheduler struct {
	// Holder identifies this VM to engines.
	Holder  string
	View    func() *roster.View
	Lease   SchedulerLease
	Engines EngineClient
	Peers   Peers
	// NotifyLocal applies an update at this node's reporter.
	NotifyLocal func(updateMessage)
	Node        fleet.NodeID
	// Limited reports whether a run of an engine has named a limit of requests. It may be nil.
	Limited func(fleet.ServerID, fleet.BootID) bool
	// Inherited returns what [Scheduler.Note] of the holder before has left; it may be nil.
	Inherited func() string
	// StoreLoads is the number of concurrent loads from the weight store that
	// run at full speed, AdapterLoads that of adapters.
	StoreLoads, AdapterLoads int
	Log                      *slog.Logger
	Metrics                  metrics.Registry

	mu      sync.Mutex
	once    sync.Once
	fencing fleet.FencingNumber
	// version counts the changes of engines in the current term of the lease.
	version uint64
	shared  sharedUpdates
	// termBegan is when the current term of the lease began, startedAt when Run began.
	termBegan, startedAt time.Time
	// kept are the models of each engine that are kept until keptUntil for the callers of
	// broken streams, those with the most calls first.
	kept      map[fleet.ServerID][]fleet.ModelID
	keptUntil time.Time
	// modelsBySpec holds the models of each pool's engines under the manifest.
	manifest     *roster.Manifest
	modelsBySpec map[*roster.EngineSpec]map[fleet.ModelID]residence.Model
	engines      map[fleet.ServerID]*engine
	// unanswered lists, by engine, the orders without an answer that may still
	// be executed.
	unanswered map[fleet.ServerID][]unansweredOrder
	nodes      map[fleet.NodeID]*nodeDemand
	rates      map[indexKey]*trafficRate
	// restricted holds when calls last waited for a want that names a version.
	restricted map[wantKey]time.Time
	planSignal wait.Signal
	running    sync.WaitGroup
	counts     counters
	// loadSlack is how much longer than stated in the manifest loads from each
	// tier take.
	loadSlack [3]time.Duration
	// storeTokens is a token bucket that limits the rate of loads from the
	// weight store.
	storeTokens   float64
	storeTokensAt time.Time
}

type counters struct{ orders, lost, done, storeLoads metrics.Counter }

// Timing of a [Scheduler].
const (
	// planInterval is the time between two plans if nothing triggers one. A
	// triggered plan follows the last one after minPlanInterval or, if that is
	// longer, planPauseFactor times the duration of the last plan, so that
	// plans for many engines leave time for other work.
	planInterval    = 150 * time.Millisecond
	minPlanInterval = 5 * time.Millisecond
	planPauseFactor = 10
	// reportLag is how old a report may be.
	reportLag         = 150 * time.Millisecond
	reportReadTimeout = 500 * time.Millisecond
	// organisationRankDelay is by how much later calls of a less urgent class count as due,
	// for each class, where callers belong to organisations. Over ten classes that is about
	// two loads from a disk.
	organisationRankDelay = 200 * time.Millisecond
	// replacedInPlaceDelay is how long an engine that has come back under its id with another
	// software version gets no orders. It holds no model meanwhile, so that no stream begins
	// there until all nodes list its run, or know that their list is old.
	replacedInPlaceDelay = 5 * time.Second
)

func (s *Scheduler) init() {
	s.once.Do(func() {
		s.engines = make(map[fleet.ServerID]*engine)
		s.unanswered = make(map[fleet.ServerID][]unansweredOrder)
		s.modelsBySpec = make(map[*roster.EngineSpec]map[fleet.ModelID]residence.Model)
		s.nodes = make(map[fleet.NodeID]*nodeDemand)
		s.rates = make(map[indexKey]*trafficRate)
		s.restricted = make(map[wantKey]time.Time)
		s.planSignal = wait.NewSignal()
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

// triggerPlan has a plan made without waiting for planInterval.
func (s *Scheduler) triggerPlan() { s.planSignal.Notify() }

// Run plans and gives orders until the context ends, and waits for the orders
// in flight.
func (s *Scheduler) Run(ctx context.Context) error {
	s.mu.Lock()
	s.init()
	s.startedAt = time.Now()
	s.mu.Unlock()
	defer s.running.Wait()
	for ctx.Err() == nil {
		began := time.Now()
		s.planOnce(ctx)
		pause := max(minPlanInterval, planPauseFactor*time.Since(began))
		if s.planSignal.Wait(ctx, planInterval) {
			wait.For(ctx, pause)
		}
	}
	return nil
}

// planOnce makes one plan for each pool and sends its orders.
func (s *Scheduler) planOnce(ctx context.Context) {
	if !s.Lease.IsHolder() {
		return
	}
	fencing, holds := s.Lease.Holds()
	view := s.View()
	if view.Manifest == nil || !view.ServersListed {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.manifest != view.Manifest {
		s.manifest = view.Manifest
		clear(s.modelsBySpec)
	}
	if fencing != s.fencing {
		s.beginTerm(fencing)
		s.inherit(now, view.Manifest)
	}
	s.syncEngines(ctx, now, view)
	if !holds {
		return
	}
	usages := s.aggregateUsages(now)
	for _, pool := range view.Manifest.Pools {
		if pool.Engine != nil {
			s.planPool(ctx, now, pool, usages)
		}
	}
}

// beginTerm begins a term of the lease without any knowledge of the engines.
// The caller holds the lock.
func (s *Scheduler) beginTerm(fencing fleet.FencingNumber) {
	s.fencing, s.version, s.termBegan = fencing, 0, time.Now()
	clear(s.engines)
	clear(s.rates)
	clear(s.restricted)
}

// syncEngines updates the engines from the view and has the reports read that
// are outstanding. The caller holds the lock.
func (s *Scheduler) syncEngines(ctx context.Context, now time.Time, view *roster.View) {
	var replaced map[fleet.ServerID]fleet.SoftwareVersion
	for id, e := range s.engines {
		server := view.Servers[id]
		if server != nil && server.Boot == e.server.Boot {
			continue
		}
		delete(s.engines, id)
		if server != nil && server.Software != e.server.Software {
			if replaced == nil {
				replaced = make(map[fleet.ServerID]fleet.SoftwareVersion)
			}
			replaced[id] = e.server.Software
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
			e.lateOrderUntil = s.lateOrderUntil(id)
			s.engines[id] = e
			if before, inPlace := replaced[id]; inPlace {
				e.retryAt = now.Add(replacedInPlaceDelay)
				s.Log.Info("engine came back with another software version", slog.String("server", string(id)),
					slog.String("software", string(server.Software)), slog.String("before", string(before)))
			}
		}
		if e.server != server {
			e.server = server
			if e.active == nil {
				e.setCopies(server.Engine)
			}
		}
		s.refreshEngine(ctx, now, e)
	}
}

// refreshEngine has the report of an engine read that is suspect or whose state
// is not known. The caller holds the lock.
func (s *Scheduler) refreshEngine(ctx context.Context, now time.Time, e *engine) {
	server := e.server
	if e.suspect && !e.checkingReport {
		e.checkingReport = true
		s.running.Go(func() { s.checkSuspect(ctx, e, server) })
	}
	if !e.stateKnown && !e.readingReport && now.After(e.readReportAt) && now.After(e.retryAt) {
		e.readingReport = true
		s.running.Go(func() { s.readState(ctx, e, server) })
	}
}

// suspectEngine has the report of an engine read that a node could not reach,
// so that its models are loaded elsewhere if it is gone. The caller holds the
// lock.
func (s *Scheduler) suspectEngine(now time.Time, server fleet.ServerID) {
	e := s.engines[server]
	if e == nil || !e.stateKnown || e.suspect || now.Before(e.retryAt) {
		return
	}
	e.suspect = true
	s.triggerPlan()
}

// readReport reads the report of an engine within reportReadTimeout.
func (s *Scheduler) readReport(ctx context.Context, server *roster.Server) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, reportReadTimeout)
	defer cancel()
	return s.Engines.Report(ctx, server)
}

// checkSuspect reads the report of a suspect engine. If that fails, the
// engine's state is no longer known.
func (s *Scheduler) checkSuspect(ctx context.Context, e *engine, server *roster.Server) {
	_, err := s.readReport(ctx, server)
	s.mu.Lock()
	defer s.mu.Unlock()
	e.suspect, e.checkingReport = false, false
	if err == nil || ctx.Err() != nil {
		return
	}
	s.Log.Warn("engine lost", slog.String("server", string(server.ID)), slog.Any("error", err))
	e.stateKnown, e.retryAt = false, time.Now().Add(engineRetryDelay)
	s.bumpVersion(e)
	s.triggerPlan()
}

// readState reads the report of an engine whose state is not known.
func (s *Scheduler) readState(ctx context.Context, e *engine, server *roster.Server) {
	report, err := s.readReport(ctx, server)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	e.readingReport = false
	if err != nil {
		e.retryAt = now.Add(engineRetryDelay)
		s.Log.Warn("failed to read engine report", slog.String("server", string(server.ID)), slog.Any("error", err))
		return
	}
	if report.Engine.Busy {
		// The engine is executing an order of an earlier term of the lease or
		// one without an answer.
		e.readReportAt = now.Add(reportLag)
		return
	}
	e.stateKnown, e.active, e.orderInFlight = true, nil, false
	e.sequence = report.Sequence
	s.recordEarlierTerm(now, e)
	e.setHeld(&report.Engine, now)
	e.setCopies(&report.Engine)
	s.bumpVersion(e)
	s.triggerPlan()
}

// bumpVersion assigns the next version to an engine that has changed. The
// caller holds the lock.
func (s *Scheduler) bumpVersion(e *engine) {
	s.version++
	e.version = s.version
}

// planPool plans the residence of a pool's models and sends the orders. The
// caller holds the lock.
func (s *Scheduler) planPool(ctx context.Context, now time.Time, pool *roster.Pool, usages map[usageKey]*usage) {
	state := residence.State{
		Now: now, Models: s.residenceModels(pool.Engine), Demands: s.aggregateDemands(now, pool.ID),
		RatesSettled: now.Sub(s.termBegan) > rateSettleTime,
		StoreLoads:   s.availableStoreLoads(now, pool.Engine.LoadsPerSecond), AdapterLoads: s.AdapterLoads, Random: rand.Float64,
	}
	if len(s.manifest.Organisations) > 0 {
		state.RankDelay = organisationRankDelay
	}
	for _, e := range s.engines {
		if e.server.Pool != pool.ID {
			continue
		}
		input := e.planInput(now, pool.Engine, usages)
		input.Limited = s.Limited != nil && s.Limited(e.server.ID, e.server.Boot)
		s.reserveForLateOrders(now, e, &input, state.Models)
		s.markKept(now, &input)
		state.AdapterLoads -= input.AdaptersLoading
		state.Engines = append(state.Engines, input)
	}
	for _, order := range residence.Plan(state) {
		s.sendOrder(ctx, now, s.engines[order.Server], order, state.Models[order.Item.Model])
	}
}

// residenceModels describes the models of a pool to package residence. The
// result is kept for each manifest, which is not changed after it was read. The
// caller holds the lock.
func (s *Scheduler) residenceModels(spec *roster.EngineSpec) map[fleet.ModelID]residence.Model {
	if found, known := s.modelsBySpec[spec]; known {
		return found
	}
	models := make(map[fleet.ModelID]residence.Model, len(spec.Models))
	for id, model := range spec.Models {
		models[id] = residence.Model{
			Size: model.Size, AdapterSize: model.AdapterSize,
			FromStore: model.FromStore, FromDisk: model.FromDisk, FromMemory: model.FromMemory,
		}
	}
	s.modelsBySpec[spec] = models
	return models
}

// storeBurst is the number of loads from the weight store that may begin at
// once after a pause.
const storeBurst = 2

// availableStoreLoads returns how many loads from the weight store may begin
// now. The caller holds the lock.
func (s *Scheduler) availableStoreLoads(now time.Time, perSecond float64) int {
	if s.storeTokensAt.IsZero() {
		s.storeTokens = storeBurst
	}
	s.storeTokens = min(storeBurst, s.storeTokens+perSecond*now.Sub(s.storeTokensAt).Seconds())
	s.storeTokensAt = now
	available := s.StoreLoads
	for _, e := range s.engines {
		if e.active != nil && e.active.Load && e.active.Tier == residence.WeightStore {
			available--
		}
	}
	return min(available, int(s.storeTokens))
}
