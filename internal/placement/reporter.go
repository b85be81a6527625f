package placement

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/internal/logs"
	"github.com/guavatrack/guavatrack/internal/packed"
	"github.com/guavatrack/guavatrack/internal/roster"
	"github.com/guavatrack/guavatrack/internal/wait"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Peers sends calls to other nodes.
type Peers interface {
	Call(ctx context.Context, node fleet.NodeID, method string, in, out any) error
}

// Lease returns the node that holds the scheduler's lease. Suspect reports that
// the holder is unknown or does not answer as the scheduler, ClearSuspicion that
// it does.
type Lease interface {
	Holder() fleet.NodeID
	Suspect()
	ClearSuspicion()
}

// Reporter sends the scheduler the items that this node's calls wait for and
// run on. Its exported fields are set before use.
type Reporter struct {
	Node      fleet.NodeID
	Region    fleet.Region
	Directory *Directory
	View      func() *roster.View
	Lease     Lease
	Peers     Peers
	// CallLocal calls this node's scheduler in place of a peer if this node
	// holds the lease.
	CallLocal func(demandMessage) demandAnswer
	Log       *slog.Logger

	once          sync.Once
	mu            sync.Mutex
	waiting       map[wantKey]wantRecord
	usages        map[usageKey]*usage
	arrivals      map[indexKey]*arrivalCounter
	expectedReady map[wantKey]time.Time
	lostServers   map[fleet.ServerID]bool
	fencing       fleet.FencingNumber
	seenVersion   uint64
	lastSent      time.Time
	reportSignal  wait.Signal
	// schedulerUnreachable is set if the last call to the scheduler failed.
	schedulerUnreachable bool
}

var (
	_ dispatch.Loader       = (*Reporter)(nil)
	_ dispatch.Observer     = (*Reporter)(nil)
	_ dispatch.SlotObserver = (*Reporter)(nil)
)

type usageKey struct {
	server fleet.ServerID
	item   fleet.Item
}

type usage struct {
	count    int
	lastUsed time.Time
}

// arrivalCounter counts the calls for an item since the last message.
type arrivalCounter struct {
	arrived, sent int
	// running is the number of calls at servers, busy the time that calls have
	// occupied servers until at.
	running int
	busy    time.Duration
	at      time.Time
}

// accrueBusyTime adds the time that the running calls have occupied servers
// until now.
func (a *arrivalCounter) accrueBusyTime(now time.Time) {
	if !a.at.IsZero() && now.After(a.at) {
		a.busy += time.Duration(a.running) * now.Sub(a.at)
	}
	a.at = now
}

// arrivalCounter returns the counter of an item and creates it if there is
// none. The caller holds the lock.
func (r *Reporter) arrivalCounter(key indexKey) *arrivalCounter {
	found := r.arrivals[key]
	if found == nil {
		found = &arrivalCounter{}
		r.arrivals[key] = found
	}
	return found
}

// Timing of a [Reporter].
const (
	// wantTTL is how long a want stays valid that is not repeated. Waiting
	// calls repeat theirs several times within it.
	wantTTL = 450 * time.Millisecond
	// reportInterval is the time between two messages if nothing is urgent,
	// minReportInterval that between two urgent ones.
	reportInterval    = 400 * time.Millisecond
	minReportInterval = 15 * time.Millisecond
	reportTimeout     = 400 * time.Millisecond
	// usageRetention is how long the usage of an item is reported after its
	// last call.
	usageRetention = 10 * time.Second
)

func (r *Reporter) init() {
	r.once.Do(func() {
		r.waiting = make(map[wantKey]wantRecord)
		r.usages = make(map[usageKey]*usage)
		r.arrivals = make(map[indexKey]*arrivalCounter)
		r.expectedReady = make(map[wantKey]time.Time)
		r.lostServers = make(map[fleet.ServerID]bool)
		r.reportSignal = wait.NewSignal()
		r.Log = logs.OrDiscard(r.Log)
	})
}

// RequestLoad implements [dispatch.Loader].
func (r *Reporter) RequestLoad(_ context.Context, want dispatch.Demand) (dispatch.Estimate, error) {
	r.init()
	key := wantOf(&want)
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	previous, known := r.waiting[key]
	r.waiting[key] = wantRecord{Demand: want, recordedAt: now}
	if !known || now.Sub(previous.recordedAt) > wantTTL || want.Waiting > previous.Waiting {
		r.triggerReport()
	}
	if readyAt, estimated := r.expectedReady[key]; estimated && readyAt.After(now) {
		return dispatch.Estimate{ReadyIn: readyAt.Sub(now)}, nil
	}
	return dispatch.Estimate{ReadyIn: r.defaultLoadTime(want)}, nil
}

// defaultLoadTime returns the estimate if the scheduler has sent none: the time of a load
// from disk, but none for an adapter of a model that is loaded where the calls may run,
// since adapters load in milliseconds. The caller holds the lock.
func (r *Reporter) defaultLoadTime(want dispatch.Demand) time.Duration {
	model := r.View().Model(want.Pool, want.Item.Model)
	if model == nil || want.Item.Adapter != "" && r.isLoaded(want) {
		return 0
	}
	return model.FromDisk
}

// isLoaded reports whether an engine that may run the calls has their model loaded, with or
// without their adapter.
func (r *Reporter) isLoaded(want dispatch.Demand) bool {
	key := wantOf(&want)
	return slices.ContainsFunc(r.Directory.Replicas(fleet.Item{Model: want.Item.Model}, want.Pool), func(held dispatch.Replica) bool {
		return !held.Draining && key.mayRun(held.Software)
	})
}

// triggerReport has a message sent without waiting for reportInterval.
func (r *Reporter) triggerReport() { r.reportSignal.Notify() }

// Arrived implements [dispatch.Observer].
func (r *Reporter) Arrived(item fleet.Item, pool fleet.PoolID, _ time.Time) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivalCounter(indexKey{pool: pool, item: item}).arrived++
}

// Finished implements [dispatch.Observer].
func (r *Reporter) Finished(fleet.Item, fleet.PoolID, time.Time) {}

// SlotTaken implements [dispatch.SlotObserver].
func (r *Reporter) SlotTaken(replica *dispatch.Replica, at time.Time) {
	r.recordOccupancy(replica, at, 1)
}

// SlotReleased implements [dispatch.SlotObserver].
func (r *Reporter) SlotReleased(replica *dispatch.Replica, at time.Time) {
	r.recordOccupancy(replica, at, -1)
}

// ServerLost implements [dispatch.SlotObserver].
func (r *Reporter) ServerLost(replica *dispatch.Replica, _ time.Time) {
	if replica.Item.Model == "" {
		return
	}
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lostServers[replica.Server] = true
	r.triggerReport()
}

func (r *Reporter) recordOccupancy(replica *dispatch.Replica, at time.Time, delta int) {
	if replica.Item.Model == "" {
		return
	}
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	key := usageKey{server: replica.Server, item: replica.Item}
	entry := r.usages[key]
	if entry == nil {
		entry = &usage{}
		r.usages[key] = entry
	}
	entry.count += delta
	entry.lastUsed = at
	counter := r.arrivalCounter(indexKey{pool: replica.Pool, item: replica.Item})
	counter.accrueBusyTime(at)
	counter.running += delta
	counter.sent += max(0, delta)
}

// Run sends messages until the context ends.
func (r *Reporter) Run(ctx context.Context) error {
	r.init()
	for ctx.Err() == nil {
		r.sendReport(ctx)
		if r.reportSignal.Wait(ctx, reportInterval) {
			wait.For(ctx, minReportInterval-time.Since(r.lastSent))
		}
	}
	return nil
}

// sendReport sends one message and applies the answer.
func (r *Reporter) sendReport(ctx context.Context) {
	holder := r.Lease.Holder()
	if holder == "" {
		r.Lease.Suspect()
		r.dropExpired(time.Now())
		return
	}
	message := r.buildMessage()
	if holder == r.Node {
		r.applyAnswer(r.CallLocal(message))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var answer demandAnswer
	err := r.Peers.Call(ctx, holder, methodDemand, message, &answer)
	if err == nil && !answer.Schedules {
		err = errors.New("the node does not give orders")
	}
	r.recordContact(holder, err)
	if err != nil {
		r.Lease.Suspect()
		return
	}
	r.Lease.ClearSuspicion()
	r.applyAnswer(answer)
}

// recordContact logs when the scheduler becomes unreachable and when it can be
// reached again.
func (r *Reporter) recordContact(holder fleet.NodeID, err error) {
	switch {
	case err != nil && !r.schedulerUnreachable:
		r.Log.Warn("scheduler lost", slog.String("node", string(holder)), slog.Any("error", err))
	case err == nil && r.schedulerUnreachable:
		r.Log.Info("scheduler regained", slog.String("node", string(holder)))
	}
	r.schedulerUnreachable = err != nil
}

// buildMessage returns the current demand and resets the counts of arrivals and
// the list of lost servers.
func (r *Reporter) buildMessage() demandMessage {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropExpiredLocked(now)
	message := demandMessage{From: r.Node, Region: r.Region, Fencing: r.fencing, Seen: r.seenVersion}
	for key, want := range r.waiting {
		message.Waiting = append(message.Waiting, WaitingCalls{
			Pool: key.pool, Item: key.item, Software: key.software, Count: want.Waiting, Rank: want.Rank,
			SinceMs: elapsedMs(now, want.Since), ObjectiveMs: -elapsedMs(now, want.Objective),
		})
	}
	for key, entry := range r.usages {
		message.Uses = append(message.Uses, Usage{
			Server: key.server, Item: key.item, Count: entry.count, IdleMs: elapsedMs(now, entry.lastUsed),
		})
	}
	for key, counter := range r.arrivals {
		counter.accrueBusyTime(now)
		message.Arrivals = append(message.Arrivals, ArrivalCounts{
			Pool: key.pool, Item: key.item, Count: counter.arrived, Sent: counter.sent, BusyMs: counter.busy.Milliseconds(),
		})
		counter.arrived, counter.sent, counter.busy = 0, 0, 0
		if counter.running == 0 {
			delete(r.arrivals, key)
		}
	}
	for server := range r.lostServers {
		message.Lost = append(message.Lost, server)
	}
	clear(r.lostServers)
	r.lastSent = now
	return message
}

func (r *Reporter) dropExpired(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropExpiredLocked(now)
}

// dropExpiredLocked drops wants that were not repeated and usages that ended
// more than usageRetention ago. The caller holds the lock.
func (r *Reporter) dropExpiredLocked(now time.Time) {
	for key, want := range r.waiting {
		if now.Sub(want.recordedAt) > wantTTL {
			delete(r.waiting, key)
			delete(r.expectedReady, key)
		}
	}
	for key, entry := range r.usages {
		if entry.count == 0 && now.Sub(entry.lastUsed) > usageRetention {
			delete(r.usages, key)
		}
	}
}

// applyAnswer stores when items are expected to be ready and applies the
// scheduler's update.
func (r *Reporter) applyAnswer(answer demandAnswer) {
	now := time.Now()
	r.mu.Lock()
	for _, expected := range answer.Ready {
		r.expectedReady[expected.want()] = now.Add(time.Duration(expected.InMs) * time.Millisecond)
	}
	r.mu.Unlock()
	r.applyUpdate(answer.Update)
}

// applyUpdate applies an update from the scheduler. One under an older fencing
// number is ignored.
func (r *Reporter) applyUpdate(update updateMessage) {
	r.mu.Lock()
	if update.Fencing < r.fencing {
		r.mu.Unlock()
		return
	}
	if update.Fencing > r.fencing {
		r.fencing, r.seenVersion = update.Fencing, 0
	}
	shared, err := packed.Decode[engineUpdate](update.Shared)
	loads, loadsErr := packed.Decode[engineLoad](update.Loads)
	if err = errors.Join(err, loadsErr); err != nil {
		r.mu.Unlock()
		r.Log.Warn("failed to read update of the scheduler", slog.Uint64("number", update.Number), slog.Any("error", err))
		return
	}
	r.seenVersion = max(r.seenVersion, update.Number)
	r.mu.Unlock()
	r.Directory.confirm()
	r.Directory.applyUpdate(update.Fencing, append(shared, update.Engines...))
	if update.Number > 0 {
		r.Directory.applyLoads(loads)
	}
}
