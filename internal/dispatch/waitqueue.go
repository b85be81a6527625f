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

// Timing of waiting requests.
const (
	// startInterval is the time between two attempts to start waiting requests
	// on slots that were not freed by a request of the same queue, such as those
	// of a replica that became ready. If the directory reports its changes, the
	// time is notifiedStartInterval, since replicas that become ready are known.
	startInterval         = 5 * time.Millisecond
	notifiedStartInterval = 20 * time.Millisecond
	// expireInterval is the time between two checks for waiting requests that
	// can no longer end before their deadline.
	expireInterval = 20 * time.Millisecond
	// loadCheckInterval is the time between two checks whether loads have to be
	// requested again for waiting requests.
	loadCheckInterval = loadRequestInterval / 2
)

// queueShardCount is the number of shards of the wait queues.
const queueShardCount = 32

// queueShards holds the wait queues of a node.
type queueShards struct {
	seed   maphash.Seed
	shards [queueShardCount]queueShard
}

type queueShard struct {
	mu     sync.Mutex
	queues map[queueKey]*waitQueue
}

// queueKey identifies a wait queue: that of a model and its adapters, or that of
// a pool of plain services.
type queueKey struct {
	pool  fleet.PoolID
	model fleet.ModelID
}

func (q *queueShards) setUp() {
	q.seed = maphash.MakeSeed()
	for i := range q.shards {
		q.shards[i].queues = make(map[queueKey]*waitQueue)
	}
}

// queueFor returns the wait queue of a call and creates it if there is none.
func (d *Dispatcher) queueFor(call *Call) *waitQueue {
	key := queueKey{pool: call.Pool, model: call.Item.Model}
	shard := &d.queues.shards[maphash.Comparable(d.queues.seed, key)%queueShardCount]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	queue := shard.queues[key]
	if queue == nil {
		queue = &waitQueue{
			dispatcher: d, pending: admission.Queue{Shares: d.Organisations}, waiters: make(map[admission.Ticket]*waiter), loads: make(map[eligibility]*loadState),
		}
		shard.queues[key] = queue
	}
	return queue
}

// waitQueue holds the requests that wait for a replica of one model or of one of
// its adapters, or for a server of a pool of plain services.
type waitQueue struct {
	dispatcher *Dispatcher

	mu         sync.Mutex
	pending    admission.Queue
	waiters    map[admission.Ticket]*waiter
	loads      map[eligibility]*loadState
	lastTicket admission.Ticket
	// serving is set while serveWaiting runs.
	serving bool
	// requestingLoads is set while loads are requested for waiting requests. That
	// is done in the background, since it may take longer than the interval at
	// which the requests must be served.
	requestingLoads atomic.Bool
	// Times to the first byte of streams and of whole answers.
	streamTimes, wholeTimes retry.QuantileEstimator
}

// waiter is a request in the queue. One result at most is sent to it.
type waiter struct {
	call        *Call
	eligibility eligibility
	request     admission.Request
	result      chan admissionResult
}

// admissionResult is the slot that a waiting request got, or the error with which
// it left the queue.
type admissionResult struct {
	slot *slot
	err  error
}

// acquire waits for a slot at a replica until the context ends. It fails with a refusal
// as soon as the call can no longer end before its deadline.
func (q *waitQueue) acquire(ctx context.Context, call *Call) (*slot, error) {
	q.dispatcher.setShare(call)
	waiting, taken, err := q.admit(call)
	if waiting == nil {
		return taken, q.dispatcher.spreadRetry(call, err)
	}
	q.dispatcher.sharing.addWaiting(call, 1)
	defer q.dispatcher.sharing.addWaiting(call, -1)
	select {
	case result := <-waiting.result:
		return result.slot, q.dispatcher.spreadRetry(call, result.err)
	case <-ctx.Done():
		q.withdraw(waiting)
		return nil, context.Cause(ctx)
	}
}

// admit takes a slot for a call, or adds the call to the queue if there is none
// free, or fails with a refusal. It returns either a slot or a waiter.
func (q *waitQueue) admit(call *Call) (*waiter, *slot, error) {
	if err := q.dispatcher.checkStop(call); err != nil {
		return nil, nil, err
	}
	now := time.Now()
	readyIn, err := q.readyIn(call, now)
	if err != nil {
		q.dispatcher.checkLoadRefusal(call, now, err)
		return nil, nil, err
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.pending.Len() == 0 {
		if taken, found := q.dispatcher.takeSlot(call, now, false); found {
			return nil, taken, nil
		}
	}
	endBy, _ := q.dispatcher.endBy(call)
	q.lastTicket++
	request := admission.Request{
		Ticket: q.lastTicket, Caller: call.Caller, Rank: call.Rank, Item: call.Item, Deadline: endBy,
		StartBy: call.StartBy, Work: q.dispatcher.expectedWork(call, now), Tokens: call.Tokens, Weight: call.share, Surges: call.surges,
	}
	capacity := q.dispatcher.capacity(call, now, readyIn)
	decision := q.pending.Offer(now, request, capacity)
	q.logDecision(call, capacity, decision)
	if decision.Outcome == admission.Late {
		if taken, found := q.dispatcher.takeSlot(call, now, true); found {
			return nil, taken, nil
		}
	}
	switch decision.Outcome {
	case admission.Queued:
	case admission.Late:
		q.dispatcher.meters.refusedLate.Inc(1)
		return nil, nil, q.lateRefusal(call, now, decision.RetryAfter)
	default:
		q.dispatcher.meters.refusedFull.Inc(1)
		return nil, nil, admissionRefusal(decision)
	}
	if displaced, found := q.waiters[decision.Displaced]; found && decision.Displaced != 0 {
		q.recordRefused(displaced, q.dispatcher.meters.refusedFull, "displaced")
		retryAfter := q.roomIn(displaced, now, capacity, q.pending.MeanServiceTime())
		q.resolve(displaced, admissionResult{err: admissionRefusal(admission.Decision{
			Outcome: admission.Full, RetryAfter: retryAfter,
		})})
	}
	waiting := &waiter{
		call: call, eligibility: q.dispatcher.eligibility(call), request: request, result: make(chan admissionResult, 1),
	}
	q.waiters[request.Ticket] = waiting
	if !q.serving {
		q.serving = true
		go q.serveWaiting()
	}
	return waiting, nil, nil
}

// logDecision logs whether a call was queued and, if not, why. The caller holds
// the lock.
func (q *waitQueue) logDecision(call *Call, capacity admission.Capacity, decision admission.Decision) {
	outcome := [...]string{"waits", "would be late", "queue full"}[decision.Outcome]
	attributes := []slog.Attr{
		slog.String("request", string(call.ID)), slog.String("item", call.Item.String()),
		slog.String("outcome", outcome), slog.Int("ahead", q.pending.Len()), slog.Int("slots", capacity.Slots),
		slog.Int("free", capacity.Free), slog.Duration("readyIn", capacity.ReadyIn),
		slog.Duration("left", call.TimeLeft()), slog.Duration("retryAfter", decision.RetryAfter),
	}
	if call.ofOrganisation() {
		attributes = append(attributes, slog.String("organisation", string(call.Caller)),
			slog.Int("class", call.Rank), slog.Float64("share", call.share), slog.Bool("surges", call.surges))
	}
	q.dispatcher.Log.LogAttrs(call.Context, slog.LevelInfo, "request queued", attributes...)
}

// admissionRefusal returns the refusal of a request that was not queued, or that
// lost its place in the queue.
func admissionRefusal(decision admission.Decision) *refusal.Refusal {
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

// resolve removes a waiter and sends it its result. The caller holds the lock.
func (q *waitQueue) resolve(waiting *waiter, result admissionResult) {
	delete(q.waiters, waiting.request.Ticket)
	waiting.result <- result
}

// withdraw removes a waiter whose context has ended. A slot that it was given at
// the same time is released.
func (q *waitQueue) withdraw(waiting *waiter) {
	q.mu.Lock()
	_, isWaiting := q.waiters[waiting.request.Ticket]
	if isWaiting {
		delete(q.waiters, waiting.request.Ticket)
		q.pending.Remove(waiting.request)
	}
	q.mu.Unlock()
	if isWaiting {
		return
	}
	if result := <-waiting.result; result.slot != nil {
		q.dispatcher.releaseSlot(result.slot)
	}
}

// expire refuses the waiting requests that can no longer end before their
// deadline, or before the node cuts them off.
func (q *waitQueue) expire(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.refuseStopping(now)
	capacity := q.bestCapacity(now)
	for _, request := range q.pending.Expire(now, capacity) {
		waiting := q.waiters[request.Ticket]
		q.recordRefused(waiting, q.dispatcher.meters.refusedWaiting, "would be late")
		retryAfter := q.roomIn(waiting, now, capacity, max(q.pending.MeanServiceTime(), capacity.ReadyIn))
		q.resolve(waiting, admissionResult{err: q.lateRefusal(waiting.call, now, retryAfter)})
	}
}

// bestCapacity returns the capacity of the replicas that are ready first among those that
// requests wait for, and of the most slots if several are. The caller holds the lock.
func (q *waitQueue) bestCapacity(now time.Time) (best admission.Capacity) {
	seen := make(map[eligibility]bool)
	for _, waiting := range q.waiters {
		if seen[waiting.eligibility] {
			continue
		}
		seen[waiting.eligibility] = true
		readyIn := time.Duration(0)
		if load := q.loads[waiting.eligibility]; load != nil && load.err == nil {
			readyIn = max(0, load.estimate.ReadyIn-now.Sub(load.requestedAt))
		}
		found := q.dispatcher.capacity(waiting.call, now, readyIn)
		sooner := found.ReadyIn < best.ReadyIn || found.ReadyIn == best.ReadyIn && found.Slots > best.Slots
		if best.Slots == 0 || sooner {
			best = found
		}
	}
	return best
}

// startWaiting starts waiting requests as long as there are free slots.
func (q *waitQueue) startWaiting(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.pending.Len() == 0 {
		return
	}
	full := make(map[eligibility]bool)
	skipped := make(map[admission.Ticket]bool)
	for {
		request, found := q.pending.Next(func(r admission.Request) bool {
			return !skipped[r.Ticket] && !full[q.waiters[r.Ticket].eligibility]
		})
		if !found {
			return
		}
		waiting := q.waiters[request.Ticket]
		taken, found := q.dispatcher.takeSlot(waiting.call, now, false)
		if !found {
			full[waiting.eligibility] = !waiting.call.exclusive
			skipped[request.Ticket] = true
			continue
		}
		q.pending.RemoveStarted(request)
		q.resolve(waiting, admissionResult{slot: taken})
	}
}

// serveWaiting periodically starts waiting requests, refuses those that would be
// late and requests loads for the others, until no request waits.
func (q *waitQueue) serveWaiting() {
	interval, changed := startInterval, func() <-chan struct{} { return nil }
	if directory, ok := q.dispatcher.Directory.(NotifyingDirectory); ok {
		interval, changed = notifiedStartInterval, directory.Changed
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var lastExpiry, lastLoadCheck time.Time
	nextChange := changed()
	for {
		select {
		case <-ticker.C:
		case <-nextChange:
			nextChange = changed()
		}
		now := time.Now()
		q.startWaiting(now)
		q.refuseAbsentVersions()
		if now.Sub(lastExpiry) >= expireInterval {
			lastExpiry = now
			q.expire(now)
		}
		if now.Sub(lastLoadCheck) >= loadCheckInterval && q.requestingLoads.CompareAndSwap(false, true) {
			lastLoadCheck = now
			go func() {
				defer q.requestingLoads.Store(false)
				q.requestLoads()
			}()
		}
		q.mu.Lock()
		if len(q.waiters) == 0 {
			q.serving = false
			q.mu.Unlock()
			return
		}
		q.mu.Unlock()
	}
}

// requestLoads requests the loads of the items that requests wait for, where they may
// run, and refuses the requests whose item will not be ready in time.
func (q *waitQueue) requestLoads() {
	q.mu.Lock()
	grouped := make(map[eligibility][]*waiter)
	for _, waiting := range q.waiters {
		grouped[waiting.eligibility] = append(grouped[waiting.eligibility], waiting)
	}
	q.mu.Unlock()
	for _, waiters := range grouped {
		if !q.dispatcher.canLoad(waiters[0].call) {
			continue
		}
		hasReplicas := len(q.dispatcher.replicas(waiters[0].call)) > 0
		if hasReplicas && !q.dispatcher.LoadWhenFull {
			continue
		}
		state := q.requestLoad(waiters[0].call, time.Now())
		if hasReplicas {
			continue
		}
		for _, waiting := range waiters {
			if _, err := state.readyIn(waiting.call, time.Now()); err != nil {
				q.refuse(waiting, err)
			}
		}
	}
}

// refuse removes a waiter, if it still waits, and fails it with the error.
func (q *waitQueue) refuse(waiting *waiter, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, isWaiting := q.waiters[waiting.request.Ticket]; isWaiting {
		q.dispatcher.checkLoadRefusal(waiting.call, time.Now(), err)
		q.pending.Remove(waiting.request)
		q.resolve(waiting, admissionResult{err: err})
	}
}
