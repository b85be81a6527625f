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

// Periods of the controller.
const (
	planEvery   = 500 * time.Millisecond
	planBusy    = 100 * time.Millisecond // while requests wait
	waitingFor  = 5 * time.Second        // a wake is forgotten unless it is repeated
	actionLimit = 20 * time.Second
	shardCount  = 16
	retryPause  = time.Second // after a load that failed
	// defaultReportLag is how late an engine's report may be.
	defaultReportLag = 3 * time.Second
	viewLag          = 5 * time.Second // a recorded grant shows up within this
	kickCapacity     = 1
)

// ErrNotServed says that no deployment allows the item to be served.
var ErrNotServed = errors.New("item not configured")

// Grants carries out what the policy decides. A load is recorded before its
// order is sent, and an unload is over when its memory is proved free.
type Grants interface {
	Load(ctx context.Context, item fleet.Item, server fleet.ServerID) (fleet.GrantID, error)
	Unload(ctx context.Context, grant fleet.GrantID) error
	Replicas(item fleet.Item) []engine.Replica
	Servers() []Server
}

// Estimate tells a waiting request when a replica will be ready.
type Estimate struct {
	ReadyIn time.Duration
	// Progress is the loaded fraction, from 0 to 1.
	Progress float64
}

// Controller carries out the decisions for the items that this node decides.
// For each item one node decides at a time, its first home, so that a burst of
// first requests at many nodes starts one load.
type Controller struct {
	Node     fleet.NodeID
	Grants   Grants
	Snapshot func() *ticket.Snapshot
	// Decides reports whether this node is the first home of a base model. It
	// is asked for base models only: adapters are decided where their base is.
	Decides func(base fleet.Item) bool
	// Forward asks the first home of the item's base model, whose node answers
	// with [Controller.WakeHere].
	Forward func(ctx context.Context, item fleet.Item, deadline time.Time) (Estimate, error)
	// Weights describes the weight store; the zero value uses defaults.
	Weights Store
	Store   table.Store
	// Live returns the number of live nodes; nil means that there is one.
	Live func() int
	// Tell sends what this node saw of items that others decide for to their
	// first homes, which pass it to [Controller.Heard]. Nil if nobody listens.
	Tell    func(ctx context.Context, uses []Used)
	Log     *slog.Logger
	Metrics metrics.Registry

	once     sync.Once
	shards   [shardCount]shard
	kick     chan struct{}
	counters counters
	working  sync.WaitGroup

	// Only Run's goroutine uses these.
	models, adapters shareHolder
	pace             pacer
	toldAt, savedAt  time.Time
	probedAt         time.Time

	// learning guards what is known of all items and of the store. It is taken
	// after the lock of a shard.
	learning   sync.Mutex
	population Population
	store      Store
	started    map[fleet.GrantID]startedLoad
	// recording holds loads whose grant is being recorded. They hold a slot.
	recording map[fleet.Item]startedLoad
}

// shard holds the state of some of the items.
type shard struct {
	sync.Mutex
	items map[fleet.Item]*itemState
}

// itemState is what the node knows of the requests for one item.
type itemState struct {
	// wokenAt is the last time that a waiting request asked for the item.
	wokenAt  time.Time
	since    time.Time
	deadline time.Time
	// active counts requests between arrival and end.
	active int
	// lastBusy is the end of the last request or of the last load, lastEnd that
	// of the last request alone.
	lastBusy, lastEnd time.Time
	// usedFrom is the first arrival since other nodes were told.
	usedFrom time.Time
	pattern  Pattern
	// changed says that the pattern has not been saved.
	changed  bool
	schedule Schedule
	costs    Costs
	planned  bool // schedule is valid for costs and lastBusy
	scale    Scale
	want     int // replicas that scaling aims for
	// loading says that a load is being recorded and ordered.
	loading bool
	// granted is the newest load, which the view of the servers may not show
	// yet at grantedAt.
	granted   fleet.GrantID
	grantedAt time.Time
	retryAt   time.Time
	unloading map[fleet.GrantID]bool
	blocked   string
}

func (c *Controller) init() {
	c.once.Do(func() {
		c.kick = make(chan struct{}, kickCapacity)
		c.Log = logs.OrDiscard(c.Log)
		c.Metrics = metric.OrNew(c.Metrics)
		c.counters = newCounters(c.Metrics)
		c.store = c.Weights
		c.store.ReportLag = cmp.Or(c.Weights.ReportLag, defaultReportLag)
		c.population = *NewPopulation()
		c.started = make(map[fleet.GrantID]startedLoad)
		c.recording = make(map[fleet.Item]startedLoad)
		c.models = shareHolder{Budget: modelBudget(c.Weights), key: table.Key{Partition: budgetPartition, Sort: "models"}}
		c.adapters = shareHolder{
			Budget: adapterBudget(c.Weights), releaseIdle: releaseAdapters,
			key: table.Key{Partition: budgetPartition, Sort: "adapters"},
		}
		for i := range c.shards {
			c.shards[i].items = make(map[fleet.Item]*itemState)
		}
	})
}

// with calls f with the state of an item under the lock of its shard.
func (c *Controller) with(item fleet.Item, f func(*itemState)) {
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

// Wake asks for a replica of an item on behalf of a request that waits until
// the deadline. It returns at once with an estimate and is called again while
// requests wait. Only the first home of the base model decides on a load; other
// nodes forward the call.
func (c *Controller) Wake(ctx context.Context, item fleet.Item, deadline time.Time) (estimate Estimate, err error) {
	c.init()
	if c.Decides == nil || c.Decides(item.Base()) || c.Forward == nil {
		return c.WakeHere(item, deadline)
	}
	if !c.Snapshot().Serves(item) {
		return Estimate{}, errors.Wrap(ErrNotServed, item.String())
	}
	if ready, progress := c.progress(item); ready {
		return Estimate{Progress: progress}, nil
	}
	c.counters.forwarded.Inc(1)
	if estimate, err = c.Forward(ctx, item, deadline); err != nil {
		// The first home may be gone. Deciding here as well is safe: the grants
		// keep the number of replicas.
		c.counters.forwardsFailed.Inc(1)
		return c.WakeHere(item, deadline)
	}
	return estimate, nil
}

// WakeHere is [Controller.Wake] for a call that another node has forwarded. It
// never forwards again, even if the nodes disagree on who decides: the grants
// keep the number of replicas.
func (c *Controller) WakeHere(item fleet.Item, deadline time.Time) (Estimate, error) {
	c.init()
	if !c.Snapshot().Serves(item) {
		return Estimate{}, errors.Wrap(ErrNotServed, item.String())
	}
	now := time.Now()
	if ready, _ := c.progress(item); ready {
		c.with(item, func(s *itemState) {
			s.lastBusy = now
			s.planned = false
		})
		return Estimate{Progress: 1}, nil
	}
	first := false
	c.with(item, func(s *itemState) { first = s.wait(now, deadline) })
	c.counters.wakes.Inc(1)
	if first {
		select {
		case c.kick <- struct{}{}:
		default:
		}
	}
	return c.estimate(item), nil
}

// wait notes a waiting request and returns whether it is the first.
func (s *itemState) wait(now, deadline time.Time) (first bool) {
	first = now.Sub(s.wokenAt) > waitingFor
	if first {
		s.since = now
		s.deadline = deadline
	}
	s.wokenAt = now
	if deadline.Before(s.deadline) {
		s.deadline = deadline
	}
	return first
}

// progress reports whether a replica is ready and, if not, how far the most
// advanced load is.
func (c *Controller) progress(item fleet.Item) (ready bool, progress float64) {
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

// estimate returns when the item will be ready. An adapter waits for its base
// model first.
func (c *Controller) estimate(item fleet.Item) Estimate {
	ready, progress := c.progress(item)
	if ready {
		return Estimate{Progress: 1}
	}
	size := c.Snapshot().Size(item)
	store := c.weights()
	span := store.LoadTime(item, size, &Server{Place: fleet.Place{Region: store.Region}})
	estimate := Estimate{
		ReadyIn:  time.Duration((1 - progress) * float64(span)),
		Progress: progress,
	}
	if item.IsAdapter() {
		base := c.estimate(item.Base())
		estimate.ReadyIn += base.ReadyIn
		estimate.Progress = min(estimate.Progress, base.Progress)
	}
	return estimate
}

// Arrived notes that a request for the item has arrived at this node.
func (c *Controller) Arrived(item fleet.Item, at time.Time) {
	for _, used := range usedBy(item) {
		c.with(used, func(s *itemState) {
			c.arrive(s, at)
			s.active++
			s.usedFrom = since(s.usedFrom, at)
		})
	}
}

// Finished notes that a request for the item has ended at this node.
func (c *Controller) Finished(item fleet.Item, at time.Time) {
	for _, used := range usedBy(item) {
		c.with(used, func(s *itemState) {
			s.active = max(0, s.active-1)
			s.lastBusy = later(s.lastBusy, at)
			s.lastEnd = later(s.lastEnd, at)
			s.planned = false
		})
	}
}

// usedBy returns what a request for the item keeps busy.
func usedBy(item fleet.Item) []fleet.Item {
	if item.IsAdapter() {
		return []fleet.Item{item, item.Base()}
	}
	return []fleet.Item{item}
}

// Run decides and acts until the context ends, then waits for the actions that
// have begun.
func (c *Controller) Run(ctx context.Context) error {
	c.init()
	defer c.working.Wait()
	c.recall(ctx)
	timer := time.NewTimer(planEvery)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-c.kick:
		}
		if c.step(ctx, time.Now()) {
			timer.Reset(planBusy)
		} else {
			timer.Reset(planEvery)
		}
		c.share(ctx, time.Now())
	}
}

func hashOf(item fleet.Item) uint64 { return xxhash.Sum64String(item.String()) }
