package placement

import (
	"context"
	"log/slog"
	"time"

	"github.com/guavatrack/guavatrack/internal/residence"
	"github.com/guavatrack/guavatrack/internal/wait"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Timing of swaps. They don't wait for reports, which lag: the engine would be
// idle twice in each swap.
const (
	// swapAttempts is the number of attempts to send the load that follows an
	// unload, swapRetryInterval the time between two attempts.
	swapAttempts      = 4
	swapRetryInterval = 40 * time.Millisecond
	// initialLoadSlack is how much longer than stated a load is expected to
	// take at first, loadSlackStep what is added when one was not complete by
	// then.
	initialLoadSlack = 25 * time.Millisecond
	loadSlackStep    = 50 * time.Millisecond
	maxLoadSlack     = 500 * time.Millisecond
)

// loadAfterUnload sends the load that an unload makes room for as soon as the
// engine accepts it, which is when the unload is complete. It returns false if
// the completion of the unload is still to be awaited, because the load is no
// longer wanted or was not accepted in time.
func (t *orderTask) loadAfterUnload(ctx context.Context) bool {
	wait.For(ctx, t.expectedDuration-swapRetryInterval)
	for range swapAttempts {
		next, wanted := t.nextLoad()
		if !wanted || ctx.Err() != nil {
			return false
		}
		outcome, err := next.send(ctx)
		t.counts.orders.Inc(1)
		t.Log.LogAttrs(ctx, slog.LevelInfo, "order answered", slog.String("server", string(t.server.ID)),
			slog.String("item", next.order.Item.String()), slog.Bool("load", true),
			slog.String("outcome", outcome.String()), slog.Any("error", err))
		switch outcome {
		case Accepted:
			next.markReplaced()
			next.awaitCompletion(ctx)
			return true
		case Conflict:
			wait.For(ctx, swapRetryInterval)
		default:
			t.mu.Lock()
			t.invalidateState(time.Now())
			t.mu.Unlock()
			return true
		}
	}
	return false
}

// nextLoad returns the load that follows the unload. wanted is false if no
// calls wait for the model any more, the engine gets no further orders, or the
// weights would come from the weight store.
func (t *orderTask) nextLoad() (next *orderTask, wanted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	e := t.engine
	if t.engines[e.server.ID] != e || e.server.Draining {
		return nil, false
	}
	for _, node := range t.nodes {
		wanted = wanted || now.Sub(node.receivedAt) < waitingTTL && node.waitsFor(t.order.MakesRoomFor, e.server.Software)
	}
	spec := t.View().Engine(e.server.Pool)
	if !wanted || spec == nil || spec.Models[t.order.MakesRoomFor] == nil {
		return nil, false
	}
	models := t.residenceModels(spec)
	tier := e.TierAfterUnload(t.order.MakesRoomFor, t.order.Item.Model, models)
	if tier == residence.WeightStore {
		return nil, false
	}
	order := residence.Order{
		Server: e.server.ID, Load: true, Item: fleet.Item{Model: t.order.MakesRoomFor}, Tier: tier, Reason: residence.ReasonWaiting,
	}
	return t.newTask(e, order, models[t.order.MakesRoomFor]), true
}

// markReplaced records that the load was accepted, which means that the unload
// before it is complete.
func (t *orderTask) markReplaced() {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.engine
	if e.active != nil {
		delete(e.held, e.active.Item.Model)
	}
	e.sequence++
	e.active, e.reservedFor = &activeOrder{Order: t.order, due: time.Now().Add(t.expectedDuration)}, ""
	t.bumpVersion(e)
}

// presumeLoaded waits for the expected duration of a load and notifies the
// waiting nodes of the model before a report shows it. If a later report does
// not show the model, further loads are given more time.
func (t *orderTask) presumeLoaded(ctx context.Context) {
	t.mu.Lock()
	slack := max(initialLoadSlack, t.loadSlack[t.order.Tier])
	t.mu.Unlock()
	wait.For(ctx, t.expectedDuration+slack)
	t.mu.Lock()
	if t.engines[t.server.ID] == t.engine && t.engine.active != nil && t.engine.held[t.order.Item.Model] == nil {
		t.engine.held[t.order.Item.Model] = &heldModel{adapters: make(map[fleet.AdapterID]*heldAdapter), presumed: true}
		t.bumpVersion(t.engine)
	}
	t.mu.Unlock()
	t.notifyWaitingNodes(ctx)
}

// withdrawPresumed removes a model that was presumed loaded too early and
// raises the slack of its tier. The caller holds the lock.
func (t *orderTask) withdrawPresumed(elapsed time.Duration) {
	held := t.engine.held[t.order.Item.Model]
	if !t.order.Load || held == nil || !held.presumed {
		return
	}
	delete(t.engine.held, t.order.Item.Model)
	t.loadSlack[t.order.Tier] = min(maxLoadSlack, max(initialLoadSlack, t.loadSlack[t.order.Tier])+loadSlackStep)
	t.bumpVersion(t.engine)
	t.Log.Info("load takes longer than expected", slog.String("server", string(t.server.ID)),
		slog.String("item", t.order.Item.String()), slog.Duration("after", elapsed), slog.Duration("slack", t.loadSlack[t.order.Tier]))
}
