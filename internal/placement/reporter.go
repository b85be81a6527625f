package placement

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/internal/logs"
	"github.com/guavatrack/guavatrack/internal/roster"
	"github.com/guavatrack/guavatrack/internal/wait"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Peers carries calls between nodes.
type Peers interface {
	Call(ctx context.Context, node fleet.NodeID, method string, in, out any) error
}

// Lease tells who gives the orders.
type Lease interface {
	Holder() fleet.NodeID
	Suspect()
	Trust()
}

// Reporter tells the scheduler what this node's calls wait for and run on. Its
// exported fields are set before use.
type Reporter struct {
	Node      fleet.NodeID
	Region    fleet.Region
	Directory *Directory
	View      func() *roster.View
	Lease     Lease
	Peers     Peers
	// Local answers in place of a peer if this node gives the orders.
	Local func(demandMessage) demandAnswer
	Log   *slog.Logger

	once     sync.Once
	mu       sync.Mutex
	waiting  map[indexKey]wanted
	uses     map[useKey]*use
	arrivals map[indexKey]*arrivals
	expected map[indexKey]time.Time
	lost     map[fleet.ServerID]bool
	fencing  fleet.FencingNumber
	seen     uint64
	lastSent time.Time
	stirred  wait.Signal
	// failing says that the scheduler did not answer last time.
	failing bool
}

var (
	_ dispatch.Waker     = (*Reporter)(nil)
	_ dispatch.Observer  = (*Reporter)(nil)
	_ dispatch.Occupancy = (*Reporter)(nil)
)

// wanted is what calls wait for, as of a moment.
type wanted struct {
	dispatch.Want
	at time.Time
}

type useKey struct {
	server fleet.ServerID
	item   fleet.Item
}

type use struct {
	count int
	last  time.Time
}

// arrivals counts the calls for an item since the last message.
type arrivals struct {
	came, sent int
	// running is the number of calls at servers, busy the time that they have
	// occupied them until at.
	running int
	busy    time.Duration
	at      time.Time
}

// pass counts the time until now.
func (a *arrivals) pass(now time.Time) {
	if !a.at.IsZero() && now.After(a.at) {
		a.busy += time.Duration(a.running) * now.Sub(a.at)
	}
	a.at = now
}

// of returns the arrivals of an item. The caller holds the lock.
func (r *Reporter) of(key indexKey) *arrivals {
	found := r.arrivals[key]
	if found == nil {
		found = &arrivals{}
		r.arrivals[key] = found
	}
	return found
}

// Timing of a reporter.
const (
	// wantLife is how long a want is believed that is not repeated. Waiting
	// calls repeat theirs several times in it.
	wantLife = 450 * time.Millisecond
	// reportInterval is the time between two messages if nothing is urgent,
	// leastInterval that between two urgent ones.
	reportInterval = 400 * time.Millisecond
	leastInterval  = 15 * time.Millisecond
	reportTimeout  = 400 * time.Millisecond
	// useLife is how long the use of an item is told.
	useLife = 10 * time.Second
)

func (r *Reporter) init() {
	r.once.Do(func() {
		r.waiting = make(map[indexKey]wanted)
		r.uses = make(map[useKey]*use)
		r.arrivals = make(map[indexKey]*arrivals)
		r.expected = make(map[indexKey]time.Time)
		r.lost = make(map[fleet.ServerID]bool)
		r.stirred = wait.NewSignal()
		r.Log = logs.OrDiscard(r.Log)
	})
}

// Wake implements [dispatch.Waker].
func (r *Reporter) Wake(_ context.Context, want dispatch.Want) (dispatch.Estimate, error) {
	r.init()
	key := indexKey{pool: want.Pool, item: want.Item}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	before, known := r.waiting[key]
	r.waiting[key] = wanted{Want: want, at: now}
	if !known || now.Sub(before.at) > wantLife || want.Waiting > before.Waiting {
		r.stir()
	}
	if ready, told := r.expected[key]; told && ready.After(now) {
		return dispatch.Estimate{ReadyIn: ready.Sub(now)}, nil
	}
	return dispatch.Estimate{ReadyIn: r.usual(want)}, nil
}

// usual returns the time of a load of which nothing else is known. The caller
// holds the lock.
func (r *Reporter) usual(want dispatch.Want) time.Duration {
	if model := r.View().Model(want.Pool, want.Item.Model); model != nil {
		return model.FromDisk
	}
	return 0
}

// stir has a message sent soon.
func (r *Reporter) stir() { r.stirred.Give() }

// Arrived implements [dispatch.Observer].
func (r *Reporter) Arrived(item fleet.Item, pool fleet.PoolID, _ time.Time) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.of(indexKey{pool: pool, item: item}).came++
}

// Finished implements [dispatch.Observer].
func (r *Reporter) Finished(fleet.Item, fleet.PoolID, time.Time) {}

// Entered implements [dispatch.Occupancy].
func (r *Reporter) Entered(replica *dispatch.Replica, at time.Time) { r.occupy(replica, at, 1) }

// Left implements [dispatch.Occupancy].
func (r *Reporter) Left(replica *dispatch.Replica, at time.Time) { r.occupy(replica, at, -1) }

// Lost implements [dispatch.Occupancy].
func (r *Reporter) Lost(replica *dispatch.Replica, _ time.Time) {
	if replica.Item.Model == "" {
		return
	}
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost[replica.Server] = true
	r.stir()
}

func (r *Reporter) occupy(replica *dispatch.Replica, at time.Time, change int) {
	if replica.Item.Model == "" {
		return
	}
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	key := useKey{server: replica.Server, item: replica.Item}
	found := r.uses[key]
	if found == nil {
		found = &use{}
		r.uses[key] = found
	}
	found.count += change
	found.last = at
	counted := r.of(indexKey{pool: replica.Pool, item: replica.Item})
	counted.pass(at)
	counted.running += change
	counted.sent += max(0, change)
}

// Run sends messages until the context ends.
func (r *Reporter) Run(ctx context.Context) error {
	r.init()
	for ctx.Err() == nil {
		r.report(ctx)
		if r.stirred.Wait(ctx, reportInterval) {
			wait.For(ctx, leastInterval-time.Since(r.lastSent))
		}
	}
	return nil
}

// report sends one message and takes in the answer.
func (r *Reporter) report(ctx context.Context) {
	holder := r.Lease.Holder()
	if holder == "" {
		r.Lease.Suspect()
		r.forget(time.Now())
		return
	}
	message := r.message()
	if holder == r.Node {
		r.take(r.Local(message))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var answer demandAnswer
	err := r.Peers.Call(ctx, holder, methodDemand, message, &answer)
	if err == nil && !answer.Schedules {
		err = errors.New("the node does not give orders")
	}
	r.noteContact(holder, err)
	if err != nil {
		r.Lease.Suspect()
		return
	}
	r.Lease.Trust()
	r.take(answer)
}

// noteContact logs the loss and the return of the scheduler.
func (r *Reporter) noteContact(holder fleet.NodeID, err error) {
	switch {
	case err != nil && !r.failing:
		r.Log.Warn("scheduler lost", slog.String("node", string(holder)), slog.Any("error", err))
	case err == nil && r.failing:
		r.Log.Info("scheduler regained", slog.String("node", string(holder)))
	}
	r.failing = err != nil
}

// message collects what there is to tell.
func (r *Reporter) message() demandMessage {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forgetOld(now)
	message := demandMessage{From: r.Node, Region: r.Region, Fencing: r.fencing, Seen: r.seen}
	for key, want := range r.waiting {
		message.Waiting = append(message.Waiting, Waiting{
			Pool: key.pool, Item: key.item, Count: want.Waiting, Rank: want.Rank,
			SinceMs: since(now, want.Since), ObjectiveMs: -since(now, want.Objective),
		})
	}
	for key, found := range r.uses {
		message.Uses = append(message.Uses, Use{
			Server: key.server, Item: key.item, Count: found.count, IdleMs: since(now, found.last),
		})
	}
	for key, counted := range r.arrivals {
		counted.pass(now)
		message.Arrivals = append(message.Arrivals, Arrival{
			Pool: key.pool, Item: key.item, Count: counted.came, Sent: counted.sent, BusyMs: counted.busy.Milliseconds(),
		})
		counted.came, counted.sent, counted.busy = 0, 0, 0
		if counted.running == 0 {
			delete(r.arrivals, key)
		}
	}
	for server := range r.lost {
		message.Lost = append(message.Lost, server)
	}
	clear(r.lost)
	r.lastSent = now
	return message
}

func (r *Reporter) forget(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forgetOld(now)
}

// forgetOld drops wants that were not repeated and uses of long ago. The caller
// holds the lock.
func (r *Reporter) forgetOld(now time.Time) {
	for key, want := range r.waiting {
		if now.Sub(want.at) > wantLife {
			delete(r.waiting, key)
			delete(r.expected, key)
		}
	}
	for key, found := range r.uses {
		if found.count == 0 && now.Sub(found.last) > useLife {
			delete(r.uses, key)
		}
	}
}

// take takes in the scheduler's answer.
func (r *Reporter) take(answer demandAnswer) {
	now := time.Now()
	r.mu.Lock()
	for _, expected := range answer.Ready {
		key := indexKey{pool: expected.Pool, item: expected.Item}
		r.expected[key] = now.Add(time.Duration(expected.InMs) * time.Millisecond)
	}
	r.mu.Unlock()
	r.heard(answer.News)
}

// heard takes in news. Those under an older fencing number are ignored.
func (r *Reporter) heard(told news) {
	r.mu.Lock()
	if told.Fencing < r.fencing {
		r.mu.Unlock()
		return
	}
	if told.Fencing > r.fencing {
		r.fencing, r.seen = told.Fencing, 0
	}
	r.seen = max(r.seen, told.Number)
	r.mu.Unlock()
	r.Directory.confirm()
	if len(told.Engines) > 0 {
		r.Directory.tell(told.Engines)
	}
}
