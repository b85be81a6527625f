package dispatch

import (
	"context"
	"hash/maphash"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/guavatrack/guavatrack/internal/admission"
	"github.com/guavatrack/guavatrack/internal/retry"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/refusal"
)

// Timing of requests that wait.
const (
	// pumpInterval is how often waiting requests look for room that is not
	// their own model's doing, such as a replica that became ready.
	pumpInterval = 5 * time.Millisecond
	// expireInterval is how often waiting requests are looked at for those that
	// cannot end in time.
	expireInterval = 20 * time.Millisecond
)

// laneShardCount is the number of shards of the lanes.
const laneShardCount = 32

type laneShards struct {
	seed   maphash.Seed
	shards [laneShardCount]laneShard
}

type laneShard struct {
	mu    sync.Mutex
	lanes map[laneKey]*lane
}

// laneKey names the calls that wait together: those of a model and its
// adapters, or those of a pool of plain services.
type laneKey struct {
	pool  fleet.PoolID
	model fleet.ModelID
}

func (l *laneShards) setUp() {
	l.seed = maphash.MakeSeed()
	for at := range l.shards {
		l.shards[at].lanes = make(map[laneKey]*lane)
	}
}

// lane returns the lane of a call and makes it if there is none.
func (d *Dispatcher) lane(call *Call) *lane {
	key := laneKey{pool: call.Pool, model: call.Item.Model}
	shard := &d.lanes.shards[maphash.Comparable(d.lanes.seed, key)%laneShardCount]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	found := shard.lanes[key]
	if found == nil {
		found = &lane{
			dispatcher: d, waiters: make(map[admission.Ticket]*waiter), wakes: make(map[fleet.Item]*wake),
		}
		shard.lanes[key] = found
	}
	return found
}

// lane holds the requests that wait for a replica of one model or of one of its
// adapters.
type lane struct {
	dispatcher *Dispatcher

	mu      sync.Mutex
	queue   admission.Queue
	waiters map[admission.Ticket]*waiter
	wakes   map[fleet.Item]*wake
	last    admission.Ticket
	ticking bool
	// waking says that the waker is being called for waiting requests, which
	// may take longer than they can do without attention.
	waking atomic.Bool
	// Times to the first byte of streams and of whole answers.
	streamed, whole retry.Quantiles
}

// waiter is a request in the queue. Its result is sent exactly once.
type waiter struct {
	call    *Call
	request admission.Request
	result  chan admitted
}

type admitted struct {
	slot *slot
	err  error
}

// acquire waits for a slot at a replica. It fails with a refusal as soon as the
// call cannot end before its deadline.
func (l *lane) acquire(call *Call) (*slot, error) {
	waiting, taken, err := l.enter(call)
	if waiting == nil {
		return taken, err
	}
	select {
	case result := <-waiting.result:
		return result.slot, result.err
	case <-call.Context.Done():
		l.leave(waiting)
		return nil, context.Cause(call.Context)
	}
}

func (l *lane) enter(call *Call) (*waiter, *slot, error) {
	now := time.Now()
	readyIn, err := l.readyIn(call, now)
	if err != nil {
		return nil, nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.queue.Len() == 0 {
		if taken, found := l.dispatcher.take(call, now, false); found {
			return nil, taken, nil
		}
	}
	l.last++
	request := admission.Request{
		Ticket: l.last, Caller: call.Caller, Rank: call.Rank, Item: call.Item, Deadline: call.Deadline,
		StartBy: call.StartBy, Work: call.Work,
	}
	capacity := l.dispatcher.capacity(call, now, readyIn)
	decision := l.queue.Offer(now, request, capacity)
	l.logOffer(call, capacity, decision)
	if decision.Outcome == admission.Late {
		if taken, found := l.dispatcher.take(call, now, true); found {
			return nil, taken, nil
		}
	}
	if decision.Outcome != admission.Queued {
		return nil, nil, refuseAdmission(decision)
	}
	if displaced, found := l.waiters[decision.Displaced]; found && decision.Displaced != 0 {
		l.end(displaced, admitted{err: refuseAdmission(admission.Decision{
			Outcome: admission.Full, RetryAfter: l.queue.Service(),
		})})
	}
	waiting := &waiter{call: call, request: request, result: make(chan admitted, 1)}
	l.waiters[request.Ticket] = waiting
	if !l.ticking {
		l.ticking = true
		go l.tick()
	}
	return waiting, nil, nil
}

// logOffer logs that a call waits, or why it may not. The caller holds the lock.
func (l *lane) logOffer(call *Call, capacity admission.Capacity, decision admission.Decision) {
	outcome := [...]string{"waits", "would be late", "queue full"}[decision.Outcome]
	l.dispatcher.Log.LogAttrs(call.Context, slog.LevelInfo, "request queued",
		slog.String("request", string(call.ID)), slog.String("item", call.Item.String()),
		slog.String("outcome", outcome), slog.Int("ahead", l.queue.Len()), slog.Int("slots", capacity.Slots),
		slog.Int("free", capacity.Free), slog.Duration("readyIn", capacity.ReadyIn),
		slog.Duration("left", call.Left()), slog.Duration("retryAfter", decision.RetryAfter))
}

func refuseAdmission(decision admission.Decision) *refusal.Refusal {
	if decision.Outcome == admission.Full {
		return &refusal.Refusal{
			Reason: refusal.Overloaded, Message: "too many requests wait for this model",
			RetryAfter: decision.RetryAfter,
		}
	}
	return &refusal.Refusal{
		Reason: refusal.DeadlineUnreachable, Message: "the answer would come after the deadline",
		RetryAfter: decision.RetryAfter,
	}
}

// end tells a waiter its result. The caller holds the lock.
func (l *lane) end(waiting *waiter, result admitted) {
	delete(l.waiters, waiting.request.Ticket)
	waiting.result <- result
}

// leave takes a waiter out. A slot that it got at the same moment goes back.
func (l *lane) leave(waiting *waiter) {
	l.mu.Lock()
	_, waits := l.waiters[waiting.request.Ticket]
	if waits {
		delete(l.waiters, waiting.request.Ticket)
		l.queue.Remove(waiting.request)
	}
	l.mu.Unlock()
	if waits {
		return
	}
	if result := <-waiting.result; result.slot != nil {
		l.dispatcher.release(result.slot)
	}
}

// expire refuses the waiting requests that cannot end in time any more.
func (l *lane) expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	capacity := admission.Capacity{}
	seen := make(map[fleet.Item]bool)
	for _, waiting := range l.waiters {
		if seen[waiting.call.Item] {
			continue
		}
		seen[waiting.call.Item] = true
		readyIn := time.Duration(0)
		if known := l.wakes[waiting.call.Item]; known != nil && known.err == nil {
			readyIn = max(0, known.estimate.ReadyIn-now.Sub(known.at))
		}
		found := l.dispatcher.capacity(waiting.call, now, readyIn)
		if capacity.Slots == 0 || found.ReadyIn < capacity.ReadyIn {
			capacity = found
		}
	}
	for _, request := range l.queue.Expire(now, capacity) {
		l.end(l.waiters[request.Ticket], admitted{err: refuseAdmission(admission.Decision{
			Outcome: admission.Late, RetryAfter: max(l.queue.Service(), capacity.ReadyIn),
		})})
	}
}

// pump starts waiting requests as long as there is room.
func (l *lane) pump(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.queue.Len() == 0 {
		return
	}
	full := make(map[fleet.Item]bool)
	stuck := make(map[admission.Ticket]bool)
	for {
		request, found := l.queue.Next(func(r admission.Request) bool { return !full[r.Item] && !stuck[r.Ticket] })
		if !found {
			return
		}
		waiting := l.waiters[request.Ticket]
		taken, found := l.dispatcher.take(waiting.call, now, false)
		if !found {
			full[request.Item] = !waiting.call.alone
			stuck[request.Ticket] = true
			continue
		}
		l.queue.Started(request)
		l.end(waiting, admitted{slot: taken})
	}
}

// tick serves the waiting requests until there are none.
func (l *lane) tick() {
	ticker := time.NewTicker(pumpInterval)
	defer ticker.Stop()
	lastExpiry := time.Now()
	for range ticker.C {
		now := time.Now()
		l.pump(now)
		if now.Sub(lastExpiry) >= expireInterval {
			lastExpiry = now
			l.expire(now)
			if l.waking.CompareAndSwap(false, true) {
				go func() {
					defer l.waking.Store(false)
					l.wakeWaiting()
				}()
			}
		}
		l.mu.Lock()
		if len(l.waiters) == 0 {
			l.ticking = false
			l.mu.Unlock()
			return
		}
		l.mu.Unlock()
	}
}

// wakeWaiting asks again for the items that requests wait for, and refuses the
// requests whose item will not be ready in time.
func (l *lane) wakeWaiting() {
	l.mu.Lock()
	byItem := make(map[fleet.Item][]*waiter)
	for _, found := range l.waiters {
		byItem[found.call.Item] = append(byItem[found.call.Item], found)
	}
	l.mu.Unlock()
	for _, waiting := range byItem {
		if !l.dispatcher.loads(waiting[0].call) {
			continue
		}
		full := len(l.dispatcher.replicas(waiting[0].call)) > 0
		if full && !l.dispatcher.WakeFull {
			continue
		}
		state := l.wake(waiting[0].call, time.Now())
		if full {
			continue
		}
		for _, one := range waiting {
			if _, err := state.readyIn(one.call, time.Now()); err != nil {
				l.refuse(one, err)
			}
		}
	}
}

func (l *lane) refuse(waiting *waiter, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, waits := l.waiters[waiting.request.Ticket]; waits {
		l.queue.Remove(waiting.request)
		l.end(waiting, admitted{err: err})
	}
}
