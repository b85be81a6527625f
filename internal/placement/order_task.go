package placement

import (
	"context"
	"log/slog"
	"time"

	"github.com/guavatrack/guavatrack/internal/residence"
	"github.com/guavatrack/guavatrack/internal/roster"
	"github.com/guavatrack/guavatrack/internal/wait"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Timing of orders.
const (
	// orderTimeout limits one attempt to send an order, orderAttempts the
	// number of attempts while there is no answer.
	orderTimeout  = 400 * time.Millisecond
	orderAttempts = 6
	// engineRetryDelay is the delay before an engine that could not be reached is
	// tried again.
	engineRetryDelay = 500 * time.Millisecond
	// pollInterval is the time between two reads of the report when an order is
	// due.
	pollInterval = 70 * time.Millisecond
	// completionTimeout is how long the completion of an order is awaited.
	completionTimeout = 30 * time.Second
	// adapterLoadTime is how long an adapter takes to be ready.
	adapterLoadTime = 40 * time.Millisecond
	// reservationTime is how long room is kept for the model that it was made
	// for.
	reservationTime = 3 * time.Second
	updateTimeout   = 300 * time.Millisecond
)

// orderTask sends one order and follows it to its completion.
type orderTask struct {
	*Scheduler
	engine *engine
	// server is the engine's roster entry as of the decision: engine.server
	// changes under the lock.
	server           *roster.Server
	order            residence.Order
	fencing          fleet.FencingNumber
	expectedSequence uint64
	// expectedDuration is how long the engine is expected to take.
	expectedDuration time.Duration
}

// newTask returns the task of an order decided for the current state of the
// engine. The caller holds the lock.
func (s *Scheduler) newTask(e *engine, order residence.Order, model residence.Model) *orderTask {
	t := &orderTask{
		Scheduler: s, engine: e, server: e.server, order: order, fencing: s.fencing,
		expectedSequence: e.sequence, expectedDuration: residence.UnloadTime,
	}
	switch {
	case order.Item.Adapter != "":
		t.expectedDuration = adapterLoadTime
	case order.Load:
		t.expectedDuration = model.LoadTime(order.Tier)
	}
	return t
}

// sendOrder starts a goroutine that sends an order. The caller holds the lock.
func (s *Scheduler) sendOrder(ctx context.Context, now time.Time, e *engine, order residence.Order, model residence.Model) {
	t := s.newTask(e, order, model)
	e.orderInFlight = true
	if order.Item.Adapter == "" {
		t.markActive(now)
	}
	s.counts.orders.Inc(1)
	s.Log.Info("order sent", slog.String("server", string(e.server.ID)), slog.Bool("load", order.Load),
		slog.String("item", order.Item.String()), slog.String("tier", order.Tier.String()), slog.String("why", order.Reason),
		slog.String("for", string(order.MakesRoomFor)), slog.Uint64("fencing", uint64(t.fencing)), slog.Uint64("expect", t.expectedSequence))
	s.running.Go(func() { t.run(ctx) })
}

// markActive records that the engine is to execute a model order. The caller
// holds the lock.
func (t *orderTask) markActive(now time.Time) {
	e := t.engine
	e.active = &activeOrder{Order: t.order, due: now.Add(t.expectedDuration + reportLag)}
	if t.order.Load {
		e.reservedFor = ""
		if t.order.Tier == residence.WeightStore {
			t.storeTokens--
			t.counts.storeLoads.Inc(1)
		}
		return
	}
	if t.order.MakesRoomFor != "" {
		e.reservedFor, e.reservedUntil = t.order.MakesRoomFor, now.Add(reservationTime)
	}
	if held := e.held[t.order.Item.Model]; held != nil {
		held.unloading = true
		t.bumpVersion(e)
	}
}

// allowed reports whether the order may still be written to a connection: the
// lease must be held under the order's fencing number.
func (t *orderTask) allowed() bool {
	fencing, holds := t.Lease.Holds()
	return holds && fencing == t.fencing
}

// run sends the order until its outcome is known and awaits its completion. All
// attempts expect the same number of accepted orders, so that the order is
// executed at most once.
func (t *orderTask) run(ctx context.Context) {
	outcome := t.sendUntilAnswered(ctx)
	switch executing := t.applyOutcome(outcome); {
	case executing && t.order.Item.Adapter != "":
		t.notifyAdapterReady(ctx)
	case executing && t.order.MakesRoomFor != "" && t.loadAfterUnload(ctx):
	case executing:
		t.awaitCompletion(ctx)
	}
	t.triggerPlan()
}

// sendUntilAnswered sends the order until there is an answer, within
// orderAttempts and while it is allowed.
func (t *orderTask) sendUntilAnswered(ctx context.Context) (outcome Outcome) {
	began := time.Now()
	outcome = Unknown
	var err error
	for attempt := 0; attempt < orderAttempts && outcome == Unknown && ctx.Err() == nil && t.allowed(); attempt++ {
		outcome, err = t.send(ctx)
		if outcome == Unknown {
			t.counts.lost.Inc(1)
			t.mu.Lock()
			t.recordUnanswered(time.Now(), t.engine, t.expectedSequence)
			t.mu.Unlock()
		}
	}
	level := slog.LevelInfo
	if outcome != Accepted && outcome != InEffect {
		level = slog.LevelWarn
	}
	t.Log.LogAttrs(ctx, level, "order answered", slog.String("server", string(t.server.ID)),
		slog.String("item", t.order.Item.String()), slog.Bool("load", t.order.Load),
		slog.String("outcome", outcome.String()), slog.Duration("took", time.Since(began)), slog.Any("error", err))
	return outcome
}

// applyOutcome records the outcome and reports whether the engine is executing
// the order now, so that its completion is to be awaited.
func (t *orderTask) applyOutcome(outcome Outcome) (executing bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.engine.orderInFlight = false
	isAdapter := t.order.Item.Adapter != ""
	switch {
	case outcome == Accepted && !isAdapter:
		t.engine.sequence++
		return true
	case outcome == Accepted && t.order.Load:
		t.markAdapterLoading()
		return true
	case outcome == InEffect && isAdapter && !t.order.Load:
		t.markAdapterUnloaded()
	case outcome == NotSent:
		t.revert(time.Now())
	default:
		// This includes the accepted unload of an adapter in use: the engine
		// unloads it only when its calls have ended, and its slot stays taken
		// until a report shows that it is gone.
		t.invalidateState(time.Now())
	}
	return false
}

func (t *orderTask) send(ctx context.Context) (Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return t.Engines.Order(ctx, t.server, Order{
		Load: t.order.Load, Item: t.order.Item, ExpectedSequence: t.expectedSequence, Holder: t.Holder, Fencing: t.fencing,
		Allowed: t.allowed,
	})
}

// revert undoes the state changes of an order of which nothing was sent. The
// caller holds the lock.
func (t *orderTask) revert(now time.Time) {
	t.engine.retryAt = now.Add(engineRetryDelay)
	t.engine.reservedFor = ""
	if t.order.Item.Adapter == "" {
		t.engine.active = nil
		if held := t.engine.held[t.order.Item.Model]; held != nil && !t.order.Load {
			held.unloading = false
			t.bumpVersion(t.engine)
		}
	}
}

// invalidateState has the engine's state read again after reportLag, when a
// report shows it. The caller holds the lock.
func (t *orderTask) invalidateState(now time.Time) {
	t.engine.stateKnown, t.engine.active, t.engine.reservedFor = false, nil, ""
	t.engine.readReportAt = now.Add(reportLag)
}

// markAdapterLoading records that an adapter is being loaded. The caller holds
// the lock.
func (t *orderTask) markAdapterLoading() {
	t.engine.sequence++
	if held := t.engine.held[t.order.Item.Model]; held != nil {
		held.adapters[t.order.Item.Adapter] = &heldAdapter{readyAt: time.Now().Add(adapterLoadTime)}
	}
	t.bumpVersion(t.engine)
}

// markAdapterUnloaded records that an adapter has been unloaded. The caller
// holds the lock.
func (t *orderTask) markAdapterUnloaded() {
	t.engine.sequence++
	if held := t.engine.held[t.order.Item.Model]; held != nil {
		delete(held.adapters, t.order.Item.Adapter)
	}
	t.bumpVersion(t.engine)
}

// notifyAdapterReady notifies the waiting nodes once the adapter is ready.
func (t *orderTask) notifyAdapterReady(ctx context.Context) {
	wait.For(ctx, adapterLoadTime)
	t.mu.Lock()
	t.bumpVersion(t.engine)
	t.mu.Unlock()
	t.notifyWaitingNodes(ctx)
}

// awaitCompletion reads the engine's reports until one shows the order as
// complete. After completionTimeout the engine's state is read again.
func (t *orderTask) awaitCompletion(ctx context.Context) {
	began := time.Now()
	deadline := began.Add(completionTimeout)
	if t.order.Load {
		t.presumeLoaded(ctx)
	} else {
		wait.For(ctx, t.expectedDuration)
	}
	wait.For(ctx, reportLag/2)
	for ctx.Err() == nil && time.Now().Before(deadline) {
		if t.checkCompletion(ctx, began) {
			t.counts.done.Inc(1)
			t.notifyWaitingNodes(ctx)
			return
		}
		wait.For(ctx, pollInterval)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.invalidateState(time.Now())
}

// checkCompletion reads a report and reports whether the order needs no further
// checks.
func (t *orderTask) checkCompletion(ctx context.Context, began time.Time) (done bool) {
	report, err := t.readReport(ctx, t.server)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.engines[t.server.ID] != t.engine {
		return true // The engine has ended or another node holds the lease.
	}
	if err != nil {
		t.Log.Warn("failed to read engine report", slog.String("server", string(t.server.ID)), slog.Any("error", err))
		t.engine.retryAt = time.Now().Add(engineRetryDelay)
		return false
	}
	if report.Sequence < t.engine.sequence || report.Engine.Busy {
		if elapsed := time.Since(began); elapsed > t.expectedDuration+reportLag*2 {
			t.withdrawPresumed(elapsed)
		}
		return false
	}
	now := time.Now()
	t.engine.active = nil
	t.engine.setHeld(&report.Engine, now)
	t.engine.setCopies(&report.Engine)
	if report.Sequence > t.engine.sequence && !t.engine.orderInFlight {
		t.engine.sequence = report.Sequence
	}
	t.bumpVersion(t.engine)
	t.Log.Info("order done", slog.String("server", string(t.server.ID)), slog.Bool("load", t.order.Load),
		slog.String("item", t.order.Item.String()), slog.Duration("expected", t.expectedDuration))
	return true
}

// notifyWaitingNodes sends the engine's current state to the nodes whose calls
// wait for the model. Other nodes get it in the answer to their next message.
func (t *orderTask) notifyWaitingNodes(ctx context.Context) {
	t.mu.Lock()
	now := time.Now()
	update := updateMessage{Fencing: t.fencing, Engines: []engineUpdate{t.engine.update(now)}}
	var waiting []fleet.NodeID
	for id, node := range t.nodes {
		if now.Sub(node.receivedAt) < waitingTTL && node.waitsFor(t.order.Item.Model, t.server.Software) {
			waiting = append(waiting, id)
		}
	}
	t.mu.Unlock()
	for _, id := range waiting {
		if id == t.Node {
			t.NotifyLocal(update)
			continue
		}
		t.running.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, updateTimeout)
			defer cancel()
			if err := t.Peers.Call(ctx, id, methodUpdate, update, &struct{}{}); err != nil {
				t.Log.Warn("failed to send update to node", slog.String("node", string(id)), slog.Any("error", err))
			}
		})
	}
}

// waitsFor reports whether calls of the node that servers of a version may run wait for
// the model or one of its adapters.
func (n *nodeDemand) waitsFor(model fleet.ModelID, software fleet.SoftwareVersion) bool {
	for i := range n.Waiting {
		if n.Waiting[i].Item.Model == model && n.Waiting[i].mayRun(software) {
			return true
		}
	}
	return false
}
