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
	// orderTimeout bounds one try of an order, orderTries how often one without
	// an answer is sent.
	orderTimeout = 400 * time.Millisecond
	orderTries   = 6
	// closedTime is how long an engine that could not be reached is left alone.
	closedTime = 500 * time.Millisecond
	// pollInterval is the time between two looks at an order that is due.
	pollInterval = 70 * time.Millisecond
	// openLimit is how long an order is looked after.
	openLimit = 30 * time.Second
	// adapterTime is how long an adapter takes to be ready.
	adapterTime = 40 * time.Millisecond
	// nextTime is how long room is kept for the model that it was made for.
	nextTime    = 3 * time.Second
	newsTimeout = 300 * time.Millisecond
)

// task is an order on its way.
type task struct {
	*Scheduler
	engine *engine
	// server is the engine's entry when the order was decided: engine.server
	// changes under the lock.
	server  *roster.Server
	order   residence.Order
	fencing fleet.FencingNumber
	expect  uint64
	// takes is how long the engine is expected to take.
	takes time.Duration
}

// task returns the task of an order decided for the engine as it is now. The
// caller holds the lock.
func (s *Scheduler) task(e *engine, order residence.Order, model residence.Model) *task {
	t := &task{
		Scheduler: s, engine: e, server: e.server, order: order, fencing: s.fencing, expect: e.sequence, takes: residence.UnloadTime,
	}
	switch {
	case order.Item.Adapter != "":
		t.takes = adapterTime
	case order.Load:
		t.takes = model.LoadTime(order.Tier)
	}
	return t
}

// give sends an order in the background. The caller holds the lock.
func (s *Scheduler) give(ctx context.Context, now time.Time, e *engine, order residence.Order, model residence.Model) {
	t := s.task(e, order, model)
	e.sending = true
	if order.Item.Adapter == "" {
		t.open(now)
	}
	s.counts.orders.Inc(1)
	s.Log.Info("order sent", slog.String("server", string(e.server.ID)), slog.Bool("load", order.Load),
		slog.String("item", order.Item.String()), slog.String("tier", order.Tier.String()), slog.String("why", order.Why),
		slog.String("for", string(order.For)), slog.Uint64("fencing", uint64(t.fencing)), slog.Uint64("expect", t.expect))
	s.running.Go(func() { t.run(ctx) })
}

// open notes that the engine is to carry out an order about a model. The caller
// holds the lock.
func (t *task) open(now time.Time) {
	e := t.engine
	e.open = &openOrder{Order: t.order, due: now.Add(t.takes + reportLag)}
	if t.order.Load {
		e.next = ""
		if t.order.Tier == residence.WeightStore {
			t.storeTokens--
			t.counts.storeLoads.Inc(1)
		}
		return
	}
	if t.order.For != "" {
		e.next, e.nextUntil = t.order.For, now.Add(nextTime)
	}
	if held := e.held[t.order.Item.Model]; held != nil {
		held.leaving = true
		t.note(e)
	}
}

// allowed reports whether the order may still be written to a connection.
func (t *task) allowed() bool {
	fencing, holds := t.Lease.Holds()
	return holds && fencing == t.fencing
}

// run sends the order until its outcome is known and follows it to its end.
// Sent again it expects the same number of accepted orders, so that it is
// carried out once at most.
func (t *task) run(ctx context.Context) {
	outcome := t.insist(ctx)
	switch follow := t.settle(outcome); {
	case follow && t.order.Item.Adapter != "":
		t.announceAdapter(ctx)
	case follow && t.order.For != "" && t.swap(ctx):
	case follow:
		t.await(ctx)
	}
	t.stir()
}

// insist sends the order until there is an answer.
func (t *task) insist(ctx context.Context) (outcome Outcome) {
	began := time.Now()
	outcome = Unknown
	var err error
	for try := 0; try < orderTries && outcome == Unknown && ctx.Err() == nil && t.allowed(); try++ {
		outcome, err = t.send(ctx)
		if outcome == Unknown {
			t.counts.lost.Inc(1)
			t.mu.Lock()
			t.unanswered(time.Now(), t.engine)
			t.mu.Unlock()
		}
	}
	level := slog.LevelInfo
	if outcome != Accepted && outcome != Held {
		level = slog.LevelWarn
	}
	t.Log.LogAttrs(ctx, level, "order answered", slog.String("server", string(t.server.ID)),
		slog.String("item", t.order.Item.String()), slog.Bool("load", t.order.Load),
		slog.String("outcome", outcome.String()), slog.Duration("took", time.Since(began)), slog.Any("error", err))
	return outcome
}

// settle takes in the outcome and reports whether the engine carries the order
// out now, so that its end is to be awaited.
func (t *task) settle(outcome Outcome) (follow bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.engine.sending = false
	adapter := t.order.Item.Adapter != ""
	switch {
	case outcome == Accepted && !adapter:
		t.engine.sequence++
		return true
	case outcome == Accepted && t.order.Load:
		t.adapterComes()
		return true
	case outcome == Held && adapter && !t.order.Load:
		t.adapterGone()
	case outcome == NotSent:
		t.undo(time.Now())
	default:
		// Among these is the accepted unload of an adapter in use: it goes only
		// when its calls have ended, and until a report shows that it is gone
		// its place is taken.
		t.reread(time.Now())
	}
	return false
}

func (t *task) send(ctx context.Context) (Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return t.Engines.Order(ctx, t.server, Order{
		Load: t.order.Load, Item: t.order.Item, Expect: t.expect, Holder: t.Holder, Fencing: t.fencing,
		Allowed: t.allowed,
	})
}

// undo takes back an order of which nothing was sent. The caller holds the
// lock.
func (t *task) undo(now time.Time) {
	t.engine.closedUntil = now.Add(closedTime)
	t.engine.next = ""
	if t.order.Item.Adapter == "" {
		t.engine.open = nil
		if held := t.engine.held[t.order.Item.Model]; held != nil && !t.order.Load {
			held.leaving = false
			t.note(t.engine)
		}
	}
}

// reread has the state of the engine read anew, once a report shows it. The
// caller holds the lock.
func (t *task) reread(now time.Time) {
	t.engine.known, t.engine.open, t.engine.next = false, nil, ""
	t.engine.readAt = now.Add(reportLag)
}

// adapterComes takes in that an adapter is being loaded. The caller holds the
// lock.
func (t *task) adapterComes() {
	t.engine.sequence++
	if held := t.engine.held[t.order.Item.Model]; held != nil {
		held.adapters[t.order.Item.Adapter] = &heldAdapter{readyAt: time.Now().Add(adapterTime)}
	}
	t.note(t.engine)
}

// adapterGone takes in that an adapter has been unloaded. The caller holds the
// lock.
func (t *task) adapterGone() {
	t.engine.sequence++
	if held := t.engine.held[t.order.Item.Model]; held != nil {
		delete(held.adapters, t.order.Item.Adapter)
	}
	t.note(t.engine)
}

// announceAdapter tells the nodes that wait once an adapter is ready.
func (t *task) announceAdapter(ctx context.Context) {
	wait.For(ctx, adapterTime)
	t.mu.Lock()
	t.note(t.engine)
	t.mu.Unlock()
	t.announce(ctx)
}

// await looks at the engine's reports until the order has been carried out.
func (t *task) await(ctx context.Context) {
	began := time.Now()
	end := began.Add(openLimit)
	if t.order.Load {
		t.offer(ctx)
	} else {
		wait.For(ctx, t.takes)
	}
	wait.For(ctx, reportLag/2)
	for ctx.Err() == nil && time.Now().Before(end) {
		if t.look(ctx, began) {
			t.counts.done.Inc(1)
			t.announce(ctx)
			return
		}
		wait.For(ctx, pollInterval)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reread(time.Now())
}

// look reads a report and reports whether the order is over.
func (t *task) look(ctx context.Context, began time.Time) (over bool) {
	report, err := t.report(ctx, t.server)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.engines[t.server.ID] != t.engine {
		return true // The engine has ended or the lease is another's.
	}
	if err != nil {
		t.Log.Warn("engine's report can't be read", slog.String("server", string(t.server.ID)), slog.Any("error", err))
		t.engine.closedUntil = time.Now().Add(closedTime)
		return false
	}
	if report.Sequence < t.engine.sequence || report.Engine.Busy {
		if after := time.Since(began); after > t.takes+reportLag*2 {
			t.retract(after)
		}
		return false
	}
	now := time.Now()
	t.engine.open = nil
	t.engine.holds(&report.Engine, now)
	t.engine.copies(&report.Engine)
	if report.Sequence > t.engine.sequence && !t.engine.sending {
		t.engine.sequence = report.Sequence
	}
	t.note(t.engine)
	t.Log.Info("order done", slog.String("server", string(t.server.ID)), slog.Bool("load", t.order.Load),
		slog.String("item", t.order.Item.String()), slog.Duration("expected", t.takes))
	return true
}

// announce tells the nodes whose calls wait for the model what the engine holds
// now. The others learn it with their next message.
func (t *task) announce(ctx context.Context) {
	t.mu.Lock()
	now := time.Now()
	told := news{Fencing: t.fencing, Engines: []engineNews{t.engine.news(now)}}
	var waiting []fleet.NodeID
	for id, node := range t.nodes {
		if now.Sub(node.at) < waitingLife && node.waitsFor(t.order.Item.Model) {
			waiting = append(waiting, id)
		}
	}
	t.mu.Unlock()
	for _, id := range waiting {
		if id == t.Node {
			t.Tell(told)
			continue
		}
		t.running.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, newsTimeout)
			defer cancel()
			if err := t.Peers.Call(ctx, id, methodNews, told, &struct{}{}); err != nil {
				t.Log.Warn("node not told", slog.String("node", string(id)), slog.Any("error", err))
			}
		})
	}
}

// waitsFor reports whether calls of the node wait for the model or an adapter
// of it.
func (n *nodeDemand) waitsFor(model fleet.ModelID) bool {
	for at := range n.Waiting {
		if n.Waiting[at].Item.Model == model {
			return true
		}
	}
	return false
}
