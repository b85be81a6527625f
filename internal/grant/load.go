package grant

import (
	"context"
	"log/slog"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/internal/vmlist"
	"github.com/guavatrack/guavatrack/internal/wait"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// plan is a transaction that records an order, and what follows from it.
type plan struct {
	server  ServerRecord
	version table.Version
	grant   fleet.GrantID
	renewed bool
	writes  []table.Write
}

// Load records a grant and sends the order. It returns once the engine has
// answered or its answer is lost; the replica then shows in [Controller.Replicas].
// A standing grant of the item is used before any other, without the table. If
// the item has its decided replicas but one of them is quarantined, that one is
// put to use again. So the replica may come up on another server.
func (c *Controller) Load(ctx context.Context, item fleet.Item, id fleet.ServerID) (grant fleet.GrantID, err error) {
	c.init()
	defer c.annotate(&err, "load", item, id)
	request, err := c.request(item)
	if err != nil {
		return "", err
	}
	if spare, on := c.takeSpare(request); spare != nil {
		c.counters.spares.Inc(1)
		return spare.grant, c.order(ctx, on, request, spare)
	}
	planned, id, err := c.obtain(ctx, id, request)
	if err != nil {
		return "", err
	}
	return planned.grant, c.order(ctx, id, request, planned)
}

// Reserve records a standing grant, which a later Load of the item at this node
// uses even if the table is down. It counts against both bounds from now on.
// Unload gives it back.
func (c *Controller) Reserve(ctx context.Context, item fleet.Item, id fleet.ServerID) (grant fleet.GrantID, err error) {
	c.init()
	defer c.annotate(&err, "reserve", item, id)
	request, err := c.request(item)
	if err != nil {
		return "", err
	}
	request.Standing = true
	planned, id, err := c.obtain(ctx, id, request)
	if err != nil {
		return "", err
	}
	c.step(id, Reserved{Order: request.Order})
	return planned.grant, nil
}

func (c *Controller) annotate(err *error, what string, item fleet.Item, id fleet.ServerID) {
	if *err != nil {
		c.counters.refused.Inc(1)
		*err = errors.Wrapf(*err, "%s %s on %s", what, item, id)
	}
}

// takeSpare takes an order that this node holds back for the item, which is
// then to be sent. It is taken at most once.
func (c *Controller) takeSpare(r *Request) (taken *plan, on fleet.ServerID) {
	c.each(func(s *server) {
		g := s.machine.spare(r.Item, r.Version)
		if taken != nil || g == nil || !s.listed || s.vm.State != vmlist.Live {
			return
		}
		order := g.Newest()
		s.machine.order(order.ID).word = inFlight
		r.Order, r.Boot, r.Size = order.ID, order.Boot, g.Size
		taken, on = &plan{server: s.machine.record.Clone(), grant: g.ID}, s.id
	})
	return taken, on
}

// obtain records a grant, again after each conflict.
func (c *Controller) obtain(ctx context.Context, id fleet.ServerID, r *Request) (*plan, fleet.ServerID, error) {
	for attempt := range maxCommitAttempts {
		if attempt > 0 && !wait.For(ctx, c.jitter(pauseAfter(attempt))) {
			return nil, id, ctx.Err()
		}
		planned, err := c.tryObtain(ctx, id, r)
		if errors.Is(err, ErrAtCap) && !r.Standing {
			if other, found := c.quarantinedOn(r.Item); found && other != id {
				id = other
				planned, err = c.tryObtain(ctx, id, r)
			}
		}
		if planned != nil || !errors.Is(err, table.ErrConflict) {
			return planned, id, err
		}
		c.counters.conflicts.Inc(1)
	}
	return nil, id, errors.Wrap(table.ErrConflict, "give up")
}

// tryObtain plans and records once. It fails with table.ErrConflict if another
// node was first.
func (c *Controller) tryObtain(ctx context.Context, id fleet.ServerID, r *Request) (*plan, error) {
	unlock, err := c.lockWrites(ctx, id)
	if err != nil {
		return nil, err
	}
	defer unlock()
	planned, err := c.plan(ctx, id, r)
	if err != nil {
		return nil, err
	}
	end, err := c.record(ctx, id, r, planned)
	switch {
	case end == applied:
		return planned, nil
	case errors.Is(err, ErrTableDown):
		return nil, err
	default:
		return nil, errors.Wrap(table.ErrConflict, "record")
	}
}

// request takes the decided numbers from the configuration.
func (c *Controller) request(item fleet.Item) (*Request, error) {
	snapshot := c.Snapshot()
	if snapshot == nil || !snapshot.Serves(item) {
		return nil, ErrNotServed
	}
	deployment := snapshot.Deployments[item.Model]
	return &Request{
		Item: item, Version: deployment.Version, Size: snapshot.Size(item), Sender: c.Node,
		Max: deployment.Replicas.Max, Surge: deployment.Replicas.Surge,
	}, nil
}

// plan reads both records and decides on the next ones.
func (c *Controller) plan(ctx context.Context, id fleet.ServerID, r *Request) (*plan, error) {
	vm, err := c.listed(id)
	if err != nil {
		return nil, err
	}
	if err := c.describe(ctx, id, r); err != nil {
		return nil, err
	}
	record, rawServer, err := c.readServer(ctx, id)
	if err != nil {
		return nil, err
	}
	item, rawItem, err := c.readItem(ctx, r.Item)
	if err != nil {
		return nil, err
	}
	record.Server, record.Pool, record.Address, record.Memory = id, vm.Pool, vm.Address, vm.Memory
	if asOf := c.listAsOf(); asOf.After(record.ListedAsOf) {
		record.ListedAsOf = asOf // after the list, which is then no newer
	}
	c.with(id, func(s *server) { r.Foreign = s.machine.foreignTo(&record) })
	r.Order = newToken()
	p := &plan{version: rawServer.Version, grant: fleet.GrantID(r.Order)}
	if g := record.FindItem(r.Item); g != nil && !r.Standing && c.renewable(id, g) {
		p.grant, p.renewed = g.ID, true
		p.server, item, err = Renew(record, item, g.ID, r)
	} else {
		p.server, item, err = Add(record, item, r)
	}
	if err != nil {
		return nil, err
	}
	p.writes, err = c.loadWrites(ctx, p, item, rawItem)
	return p, err
}

// loadWrites returns the writes of both records and, where there is one, the
// condition that the decision is still the newest.
func (c *Controller) loadWrites(ctx context.Context, p *plan, item ItemRecord, raw table.Record) ([]table.Write, error) {
	first, err := write(ServerKey(p.server.Server), p.version, p.server)
	if err != nil {
		return nil, err
	}
	second, err := write(raw.Key, raw.Version, item)
	if err != nil {
		return nil, err
	}
	if c.Decided == nil {
		return []table.Write{first, second}, nil
	}
	check, err := c.Decided(ctx, item.Item)
	return []table.Write{first, second, check}, err
}

// listed returns the VM of a server that may be given new work.
func (c *Controller) listed(id fleet.ServerID) (vmlist.VM, error) {
	for _, vm := range c.Servers() {
		if vm.ID == id && vm.State == vmlist.Live {
			c.with(id, func(s *server) {
				s.vm, s.listed = vm, true
			})
			return vm, nil
		}
	}
	return vmlist.VM{}, ErrLeaving
}

// describe fills in what the newest report says, and asks for one if there is
// none.
func (c *Controller) describe(ctx context.Context, id fleet.ServerID, r *Request) error {
	read := func(s *server) { r.Boot, r.SeenFencing = s.machine.report.Boot, s.machine.report.Fencing }
	c.with(id, read)
	if r.Boot == "" {
		c.poll(ctx, id)
		c.with(id, read)
	}
	if r.Boot == "" {
		return errors.Wrap(ErrLeaving, "no report")
	}
	return nil
}

// renewable tells whether a grant is quarantined as far as this node knows.
func (c *Controller) renewable(id fleet.ServerID, g *Grant) (quarantined bool) {
	c.with(id, func(s *server) { quarantined = s.machine.Quarantined(g) })
	return quarantined
}

// quarantinedOn returns a server on which a grant of the item is quarantined.
func (c *Controller) quarantinedOn(item fleet.Item) (id fleet.ServerID, found bool) {
	c.each(func(s *server) {
		g := s.machine.record.FindItem(item)
		if g != nil && s.listed && s.vm.State == vmlist.Live && s.machine.Quarantined(g) {
			id, found = s.id, true
		}
	})
	return id, found
}

// record commits a plan. An order whose record remains unknown will never be
// sent; should the record turn up, it is released on this node's word.
func (c *Controller) record(ctx context.Context, id fleet.ServerID, r *Request, p *plan) (outcome, error) {
	c.budget.ReserveN(time.Now(), 1)
	c.step(id, Sending{Order: r.Order})
	began := time.Now()
	end, err := c.commit(ctx, r.Order, p.writes, func(raw table.Record) bool {
		var found ServerRecord
		return decode(raw, &found) == nil && found.FindOrder(r.Order) != nil
	})
	switch end {
	case applied:
		counter := c.counters.recorded
		if p.renewed {
			counter = c.counters.renewed
		}
		counter.Inc(1)
		c.step(id, Recorded{Record: p.server, Version: p.version + 1, RequestedAt: began})
	case conflicted:
		c.step(id, Unrecorded{Order: r.Order})
	case undecided:
		c.step(id, Refused{Order: r.Order})
	}
	return end, err
}

// order sends the load order, once. The caller's context doesn't end the call:
// its outcome has to be learned.
func (c *Controller) order(ctx context.Context, id fleet.ServerID, r *Request, p *plan) error {
	g := p.server.Find(p.grant)
	order := engine.LoadOrder{
		Item: r.Item, Version: r.Version, Size: r.Size, Grant: g.ID,
		Fencing: g.Newest().Fencing, Boot: r.Boot,
	}
	err := c.send(context.WithoutCancel(ctx), id, func(ctx context.Context, e Engine) error {
		return e.Load(ctx, order)
	})
	log := c.Log.With(slog.String("item", r.Item.String()), slog.String("server", string(id)),
		slog.String("grant", string(g.ID)))
	switch {
	case err == nil:
		c.step(id, Accepted{Order: r.Order})
		log.Info("load ordered")
		return nil
	case errors.Is(err, engine.ErrFenced), errors.Is(err, engine.ErrRefused), errors.Is(err, engine.ErrNotSent),
		errors.Is(err, ErrLeaving):
		c.counters.ordersRefused.Inc(1)
		c.step(id, Refused{Order: r.Order})
		log.Warn("load refused", slog.String("error", err.Error()))
		return err
	default:
		c.counters.ordersLost.Inc(1)
		c.step(id, Lost{Order: r.Order})
		log.Warn("load answer lost", slog.String("error", err.Error()))
		return nil
	}
}

// Unload marks a grant as draining and orders it unloaded. The grant is
// released by Run once its end is proved.
func (c *Controller) Unload(ctx context.Context, grant fleet.GrantID) (err error) {
	c.init()
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "unload %s", grant)
		}
	}()
	var id fleet.ServerID
	draining := false
	c.each(func(s *server) {
		if g := s.machine.record.Find(grant); g != nil {
			id, draining = s.id, g.State == Draining
		}
	})
	switch {
	case id == "":
		return ErrNoGrant
	case draining:
		return nil
	}
	c.budget.ReserveN(time.Now(), 1)
	err = c.change(ctx, id, func(record ServerRecord) (ServerRecord, error) {
		return Drain(record, grant, c.closed(id))
	})
	if err == nil {
		c.step(id, Drained{Grant: grant})
	}
	return err
}
