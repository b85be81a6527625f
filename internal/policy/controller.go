package policy

import (
	"cmp"
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/internal/logs"
	"github.com/guavatrack/guavatrack/internal/metric"
	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/ticket"
)

// Intervals, timeouts and sizes of the controller.
const (
	planInterval     = 500 * time.Millisecond
	busyPlanInterval = 100 * time.Millisecond // while requests wait
	waitingExpiry    = 5 * time.Second        // a waiting request expires unless the call is repeated
	actionTimeout    = 20 * time.Second
	shardCount       = 16
	retryDelay       = time.Second // after a load that failed
	// defaultReportLag is the assumed maximum delay of an engine's report.
	defaultReportLag    = 3 * time.Second
	maxViewLag          = 5 * time.Second // bounds the delay until the view contains a recorded grant
	planTriggerCapacity = 1
)

// ErrNotDeployed is returned for an item that no deployment includes.
var ErrNotDeployed = errors.New("item not configured")

// Grants executes the decisions. Load records the grant before it sends the
// order, and an unload is complete when its memory is confirmed free.
type Grants interface {
	Load(ctx context.Context, item fleet.Item, server fleet.ServerID) (fleet.GrantID, error)
	Unload(ctx context.Context, grant fleet.GrantID) error
	Replicas(item fleet.Item) []engine.Replica
	Servers() []Server
}

// Estimate is the expected time until a replica is ready for a waiting request.
type Estimate struct {
	ReadyIn time.Duration
	// Progress is the loaded fraction, from 0 to 1.
	Progress float64
}

// Controller makes and executes the decisions for the items that this node is
// responsible for. At any time one node decides for an item, the first home
// node of its base model (see package lookup), so that a burst of first
// requests at many nodes starts one load.
type Controller struct {
	Node     fleet.NodeID
	Grants   Grants
	Snapshot func() *ticket.Snapshot
	// IsDecider reports whether this node is the first home node of a base
	// model. It is called with base models only: the node that decides for a
	// base model also decides for its adapters. If it is nil, this node decides
	// for all items.
	IsDecider func(base fleet.Item) bool
	// Forward sends the call to the first home node of the item's base model,
	// which handles it with [Controller.RequestReplicaLocally].
	Forward func(ctx context.Context, item fleet.Item, deadline time.Time) (Estimate, error)
	// WeightStore configures the weight store; the zero value selects defaults.
	WeightStore WeightStore
	// Table is the table of the budget ledgers and the saved patterns. If it is
	// nil, the node has the whole budget and saves nothing.
	Table table.Store
	// LiveNodes returns the number of live nodes; nil means that there is one.
	LiveNodes func() int
	// SendUsage sends the usage of items that other nodes decide for to their
	// first home nodes, which pass it to [Controller.RecordUsage]. If it is
	// nil, no usage is sent.
	SendUsage func(ctx context.Context, usages []Usage)
	Log       *slog.Logger
	Metrics   metrics.Registry

	once        sync.Once
	shards      [shardCount]shard
	planTrigger chan struct{}
	counters    counters
	background  sync.WaitGroup

	// The following fields are used only by the goroutine of Run.
	modelShare, adapterShare     budgetShare
	modelStarts                  startLimiter
	usageSentAt, patternsSavedAt time.Time
	probedAt                     time.Time

	// learnedMu guards the state shared by all items: population, the observed
	// weight store and the loads in flight. It is locked after the lock of a
	// shard.
	learnedMu     sync.Mutex
	population    Population
	observedStore WeightStore
	startedLoads  map[fleet.GrantID]startedLoad
	// recordingLoads contains loads whose grant is being recorded. Each
	// occupies a slot.
	recordingLoads map[fleet.Item]startedLoad
}

// shard is the state of a part of the items.
type shard struct {
	sync.Mutex
	items map[fleet.Item]*itemState
}

// itemState is the state of one item at this node.
type itemState struct {
	// lastWaiting is the last time at which a waiting request asked for the
	// item.
	lastWaiting  time.Time
	waitingSince time.Time
	deadline     time.Time
	// active is the number of requests that have arrived and not ended.
	active int
	// lastBusy is the last use of the item: the arrival or end of a request, or
	// the end of recording a load. lastRequestEnd is the end of the last
	// request.
	lastBusy, lastRequestEnd time.Time
	// unsentSince is the first arrival whose usage has not been sent.
	unsentSince time.Time
	pattern     Pattern
	// unsaved is set if the pattern has changed since it was saved.
	unsaved        bool
	schedule       Schedule
	costs          Costs
	scheduleValid  bool // schedule is current for costs and lastBusy
	scaling        ScalingState
	targetReplicas int // replicas that scaling aims for
	// startingLoad is set while a load is being recorded and ordered.
	startingLoad bool
	// lastGrant is the grant of the newest load, recorded at grantedAt. The
	// view of the servers may not contain it yet.
	lastGrant     fleet.GrantID
	grantedAt     time.Time
	retryAt       time.Time
	unloading     map[fleet.GrantID]bool
	blockedReason string
}

func (c *Controller) init() {
	c.once.Do(func() {
		c.planTrigger = make(chan struct{}, planTriggerCapacity)
		c.Log = logs.OrDiscard(c.Log)
		c.Metrics = metric.OrNew(c.Metrics)
		c.counters = newCounters(c.Metrics)
		c.observedStore = c.WeightStore
		c.observedStore.ReportLag = cmp.Or(c.WeightStore.ReportLag, defaultReportLag)
		c.population = *NewPopulation()
		c.startedLoads = make(map[fleet.GrantID]startedLoad)
		c.recordingLoads = make(map[fleet.Item]startedLoad)
		c.modelShare = budgetShare{Budget: modelBudget(c.WeightStore), key: table.Key{Partition: budgetPartition, Sort: "models"}}
		c.adapterShare = budgetShare{
			Budget: adapterBudget(c.WeightStore), idleTimeout: adapterShareIdleTimeout,
			key: table.Key{Partition: budgetPartition, Sort: "adapters"},
		}
		for i := range c.shards {
			c.shards[i].items = make(map[fleet.Item]*itemState)
		}
	})
}

// withState calls f with the state of an item while the lock of its shard is
// held. It creates the state if there is none.
func (c *Controller) withState(item fleet.Item, f func(*itemState)) {
	c.init()
	shard := &c.shards[hashOf(item)%shardCount]
	shard.Lock()
	defer shard.Unlock()
	state := shard.items[item]
	if state == nil {
		state = &itemState{unloading: make(map[fleet.GrantID]bool)}
		shard.items[item] = state
	}
	f(state)
}

// RequestReplica requests a replica of an item for a request that waits until
// the deadline. It returns an estimate without waiting for the load and is
// called repeatedly while requests wait. Only the first home node of the base
// model decides on a load; other nodes forward the call.
func (c *Controller) RequestReplica(ctx context.Context, item fleet.Item, deadline time.Time) (estimate Estimate, err error) {
	c.init()
	if c.IsDecider == nil || c.IsDecider(item.Base()) || c.Forward == nil {
		return c.RequestReplicaLocally(item, deadline)
	}
	if !c.Snapshot().Serves(item) {
		return Estimate{}, errors.Wrap(ErrNotDeployed, item.String())
	}
	if ready, progress := c.loadProgress(item); ready {
		return Estimate{Progress: progress}, nil
	}
	c.counters.forwarded.Inc(1)
	if estimate, err = c.Forward(ctx, item, deadline); err != nil {
		// The first home node may be gone. Deciding at two nodes is safe: the
		// grants enforce the number of replicas.
		c.counters.forwardsFailed.Inc(1)
		return c.RequestReplicaLocally(item, deadline)
	}
	return estimate, nil
}

// RequestReplicaLocally is [Controller.RequestReplica] for a call that another
// node has forwarded. It never forwards again, even if the nodes disagree on
// which of them decides: the grants enforce the number of replicas.
func (c *Controller) RequestReplicaLocally(item fleet.Item, deadline time.Time) (Estimate, error) {
	c.init()
	if !c.Snapshot().Serves(item) {
		return Estimate{}, errors.Wrap(ErrNotDeployed, item.String())
	}
	now := time.Now()
	if ready, _ := c.loadProgress(item); ready {
		c.withState(item, func(s *itemState) {
			s.lastBusy = now
			s.scheduleValid = false
		})
		return Estimate{Progress: 1}, nil
	}
	first := false
	c.withState(item, func(s *itemState) { first = s.recordWaiting(now, deadline) })
	c.counters.wakes.Inc(1)
	if first {
		select {
		case c.planTrigger <- struct{}{}:
		default:
		}
	}
	return c.estimate(item), nil
}

// recordWaiting records a waiting request and returns whether it is the first.
func (s *itemState) recordWaiting(now, deadline time.Time) (first bool) {
	first = now.Sub(s.lastWaiting) > waitingExpiry
	if first {
		s.waitingSince = now
		s.deadline = deadline
	}
	s.lastWaiting = now
	if deadline.Before(s.deadline) {
		s.deadline = deadline
	}
	return first
}

// loadProgress reports whether a replica is ready. If none is, it returns the
// progress of the most advanced load.
func (c *Controller) loadProgress(item fleet.Item) (ready bool, progress float64) {
	for _, replica := range c.Grants.Replicas(item) {
		switch {
		case replica.Draining:
		case replica.State == engine.Ready:
			return true, 1
		case replica.State == engine.Loading:
			progress = max(progress, replica.Progress)
		}
	}
	return false, progress
}

// estimate returns when the item is expected to be ready. The time of an
// adapter includes that of its base model, which is loaded first.
func (c *Controller) estimate(item fleet.Item) Estimate {
	ready, progress := c.loadProgress(item)
	if ready {
		return Estimate{Progress: 1}
	}
	size := c.Snapshot().Size(item)
	store := c.currentStore()
	loadTime := store.LoadTime(item, size, &Server{Place: fleet.Place{Region: store.Region}})
	estimate := Estimate{
		ReadyIn:  time.Duration((1 - progress) * float64(loadTime)),
		Progress: progress,
	}
	if item.IsAdapter() {
		base := c.estimate(item.Base())
		estimate.ReadyIn += base.ReadyIn
		estimate.Progress = min(estimate.Progress, base.Progress)
	}
	return estimate
}

// Arrived records that a request for the item has arrived at this node.
func (c *Controller) Arrived(item fleet.Item, at time.Time) {
	for _, used := range itemAndBase(item) {
		c.withState(used, func(s *itemState) {
			c.recordArrival(s, at)
			s.active++
			s.unsentSince = startOrNow(s.unsentSince, at)
		})
	}
}

// Finished records that a request for the item has ended at this node.
func (c *Controller) Finished(item fleet.Item, at time.Time) {
	for _, used := range itemAndBase(item) {
		c.withState(used, func(s *itemState) {
			s.active = max(0, s.active-1)
			s.lastBusy = later(s.lastBusy, at)
			s.lastRequestEnd = later(s.lastRequestEnd, at)
			s.scheduleValid = false
		})
	}
}

// itemAndBase returns the items that a request for the item uses: an adapter is
// used together with its base model.
func itemAndBase(item fleet.Item) []fleet.Item {
	if item.IsAdapter() {
		return []fleet.Item{item, item.Base()}
	}
	return []fleet.Item{item}
}

// Run plans and acts until the context ends, then waits for the actions in
// progress.
func (c *Controller) Run(ctx context.Context) error {
	c.init()
	defer c.background.Wait()
	c.restorePatterns(ctx)
	timer := time.NewTimer(planInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-c.planTrigger:
		}
		if c.reconcile(ctx, time.Now()) {
			timer.Reset(busyPlanInterval)
		} else {
			timer.Reset(planInterval)
		}
		c.sendUsageAndSave(ctx, time.Now())
	}
}

func hashOf(item fleet.Item) uint64 { return xxhash.Sum64String(item.String()) }
