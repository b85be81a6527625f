package placement

import (
	"context"
	"log/slog"
	"time"

	"github.com/guavatrack/guavatrack/internal/residence"
	"github.com/guavatrack/guavatrack/internal/wait"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Timing of swaps. Reports lag, so a swap that waited for them would leave the
// engine idle twice.
const (
	// swapTries is how often the load is sent that follows an unload, swapPause
	// the time between two tries.
	swapTries = 4
	swapPause = 40 * time.Millisecond
	// firstSlack is how much longer than stated a load is taken to last at
	// first, slackStep what is added when one was not done by then.
	firstSlack = 25 * time.Millisecond
	slackStep  = 50 * time.Millisecond
	maxSlack   = 500 * time.Millisecond
)

// swap sends the load that room is made for as soon as the engine takes it,
// which it does once the unload is done. It reports whether the load was
// accepted and has been followed to its end.
func (t *task) swap(ctx context.Context) bool {
	wait.For(ctx, t.takes-swapPause)
	for range swapTries {
		next, wanted := t.following()
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
			next.replace()
			next.await(ctx)
			return true
		case Conflict:
			wait.For(ctx, swapPause)
		default:
			t.mu.Lock()
			t.reread(time.Now())
			t.mu.Unlock()
			return true
		}
	}
	return false
}

// following returns the load that follows the unload, if calls still wait for
// it.
func (t *task) following() (next *task, wanted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	e := t.engine
	if t.engines[e.server.ID] != e || e.server.Draining {
		return nil, false
	}
	for _, node := range t.nodes {
		wanted = wanted || now.Sub(node.at) < waitingLife && node.waitsFor(t.order.For)
	}
	spec := t.View().Engine(e.server.Pool)
	if !wanted || spec == nil || spec.Models[t.order.For] == nil {
		return nil, false
	}
	described := t.models(spec)
	tier := e.TierAfter(t.order.For, t.order.Item.Model, described)
	if tier == residence.WeightStore {
		return nil, false
	}
	order := residence.Order{
		Server: e.server.ID, Load: true, Item: fleet.Item{Model: t.order.For}, Tier: tier, Why: residence.WhyWaiting,
	}
	return t.task(e, order, described[t.order.For]), true
}

// replace notes that the load was accepted, so that the unload before it is
// done.
func (t *task) replace() {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.engine
	if e.open != nil {
		delete(e.held, e.open.Item.Model)
	}
	e.sequence++
	e.open, e.next = &openOrder{Order: t.order, due: time.Now().Add(t.takes)}, ""
	t.note(e)
}

// offer waits for the time that a load is expected to take and tells the nodes
// that wait of the model, before a report shows it. If a report that came later
// does not show it, further loads are given more time.
func (t *task) offer(ctx context.Context) {
	t.mu.Lock()
	slack := max(firstSlack, t.slack[t.order.Tier])
	t.mu.Unlock()
	wait.For(ctx, t.takes+slack)
	t.mu.Lock()
	if t.engines[t.server.ID] == t.engine && t.engine.open != nil && t.engine.held[t.order.Item.Model] == nil {
		t.engine.held[t.order.Item.Model] = &heldModel{adapters: make(map[fleet.AdapterID]*heldAdapter), offered: true}
		t.note(t.engine)
	}
	t.mu.Unlock()
	t.announce(ctx)
}

// retract takes back a model that was offered too early. The caller holds the
// lock.
func (t *task) retract(after time.Duration) {
	held := t.engine.held[t.order.Item.Model]
	if !t.order.Load || held == nil || !held.offered {
		return
	}
	delete(t.engine.held, t.order.Item.Model)
	t.slack[t.order.Tier] = min(maxSlack, max(firstSlack, t.slack[t.order.Tier])+slackStep)
	t.note(t.engine)
	t.Log.Info("load takes longer than expected", slog.String("server", string(t.server.ID)),
		slog.String("item", t.order.Item.String()), slog.Duration("after", after), slog.Duration("slack", t.slack[t.order.Tier]))
}
