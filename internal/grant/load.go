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

// loadPlan is a transaction that records a load order, with the resulting record
// of the server.
type loadPlan struct {
	server  ServerRecord
	version table.Version
	grant   fleet.GrantID
	renewed bool
	writes  []table.Write
}

// Load records a grant and sends the load order. It returns once the engine has
// answered or the call has failed without an answer, which is no error; the
// replica appears in [Controller.Replicas] once the engine reports it. A
// standing grant of the item that this node reserved is used first, without
// access to the table. If the item is at its decided number of replicas but one
// of its grants is quarantined, that grant is renewed. In both cases the replica
// may be loaded on a server other than the given one.
func (c *Controller) Load(ctx context.Context, item fleet.Item, id fleet.ServerID) (grant fleet.GrantID, err error) {
	c.init()
	defer c.countAndWrap(&err, "load", item, id)
	request, err := c.newRequest(item)
	if err != nil {
		return "", err
	}
	if standing, serverID := c.useStandingGrant(request); standing != nil {
		c.counters.spares.Inc(1)
		return standing.grant, c.sendLoad(ctx, serverID, request, standing)
	}
	planned, id, err := c.obtainGrant(ctx, id, request)
	if err != nil {
		return "", err
	}
	return planned.grant, c.sendLoad(ctx, id, request, planned)
}

// Reserve records a standing grant, which a later Load of the item at this node
// uses even if the table is down. It counts against the memory and the number of
// replicas from now on. Unload releases it.
func (c *Controller) Reserve(ctx context.Context, item fleet.Item, id fleet.ServerID) (grant fleet.GrantID, err error) {
	c.init()
	defer c.countAndWrap(&err, "reserve", item, id)
	request, err := c.newRequest(item)
	if err != nil {
		return "", err
	}
	request.Standing = true
	planned, id, err := c.obtainGrant(ctx, id, request)
	if err != nil {
		return "", err
	}
	c.step(id, Reserved{Order: request.Order})
	return planned.grant, nil
}

// countAndWrap counts a failed Load or Reserve and adds the operation, item and
// server to its error.
func (c *Controller) countAndWrap(err *error, operation string, item fleet.Item, id fleet.ServerID) {
	if *err != nil {
		c.counters.refused.Inc(1)
		*err = errors.Wrapf(*err, "%s %s on %s", operation, item, id)
	}
}

// useStandingGrant returns a plan for an order that this node withholds for the
// item, or nil if there is none. The order is marked as in flight, so that it is
// returned at most once; the caller must send it.
func (c *Controller) useStandingGrant(r *Request) (used *loadPlan, serverID fleet.ServerID) {
	c.forEachServer(func(s *server) {
		g := s.machine.standingGrant(r.Item, r.Version)
		if used != nil || g == nil || !s.listed || s.vm.State != vmlist.Live {
			return
		}
		order := g.Newest()
		s.machine.orderState(order.ID).status = inFlight
		r.Order, r.Boot, r.Size = order.ID, order.Boot, g.Size
		used, serverID = &loadPlan{server: s.machine.record.Clone(), grant: g.ID}, s.id
	})
	return used, serverID
}

// obtainGrant records a grant and retries after each conflict.
func (c *Controller) obtainGrant(ctx context.Context, id fleet.ServerID, r *Request) (*loadPlan, fleet.ServerID, error) {
	for attempt := range maxCommitAttempts {
		if attempt > 0 && !wait.For(ctx, c.jitter(maxBackoff(attempt))) {
			return nil, id, ctx.Err()
		}
		planned, err := c.tryObtainGrant(ctx, id, r)
		if errors.Is(err, ErrAtCap) && !r.Standing {
			if other, found := c.findQuarantined(r.Item); found && other != id {
				id = other
				planned, err = c.tryObtainGrant(ctx, id, r)
			}
		}
		if planned != nil || !errors.Is(err, table.ErrConflict) {
			return planned, id, err
		}
		c.counters.conflicts.Inc(1)
	}
	return nil, id, errors.Wrap(table.ErrConflict, "give up")
}

// tryObtainGrant plans and records a grant once. It fails with table.ErrConflict
// if another node has changed one of the records.
func (c *Controller) tryObtainGrant(ctx context.Context, id fleet.ServerID, r *Request) (*loadPlan, error) {
	unlock, err := c.lockWrites(ctx, id)
	if err != nil {
		return nil, err
	}
	defer unlock()
	planned, err := c.planLoad(ctx, id, r)
	if err != nil {
		return nil, err
	}
	end, err := c.commitPlan(ctx, id, r, planned)
	switch {
	case end == applied:
		return planned, nil
	case errors.Is(err, ErrTableDown):
		return nil, err
	default:
		return nil, errors.Wrap(table.ErrConflict, "record")
	}
}

// newRequest returns a request with the version, size and replica numbers of the
// item's deployment.
func (c *Controller) newRequest(item fleet.Item) (*Request, error) {
	snapshot := c.Snapshot()
	if snapshot == nil || !snapshot.Serves(item) {
		return nil, ErrNotDeployed
	}
	deployment := snapshot.Deployments[item.Model]
	return &Request{
		Item: item, Version: deployment.Version, Size: snapshot.Size(item), Sender: c.Node,
		Max: deployment.Replicas.Max, Surge: deployment.Replicas.Surge,
	}, nil
}

// planLoad reads both records and returns the transaction that adds or renews a
// grant.
func (c *Controller) planLoad(ctx context.Context, id fleet.ServerID, r *Request) (*loadPlan, error) {
	vm, err := c.liveVM(id)
	if err != nil {
		return nil, err
	}
	if err := c.setReported(ctx, id, r); err != nil {
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
		record.ListedAsOf = asOf // read after the list, which is therefore no newer
	}
	c.withServer(id, func(s *server) { r.Foreign = s.machine.foreignTo(&record) })
	r.Order = newToken()
	p := &loadPlan{version: rawServer.Version, grant: fleet.GrantID(r.Order)}
	if g := record.FindItem(r.Item); g != nil && !r.Standing && c.isQuarantined(id, g) {
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

// loadWrites returns the writes of both records and, if DeploymentCondition is
// set, the condition that the deployment of the item is still the newest.
func (c *Controller) loadWrites(ctx context.Context, p *loadPlan, item ItemRecord, raw table.Record) ([]table.Write, error) {
	first, err := newWrite(ServerKey(p.server.Server), p.version, p.server)
	if err != nil {
		return nil, err
	}
	second, err := newWrite(raw.Key, raw.Version, item)
	if err != nil {
		return nil, err
	}
	if c.DeploymentCondition == nil {
		return []table.Write{first, second}, nil
	}
	check, err := c.DeploymentCondition(ctx, item.Item)
	return []table.Write{first, second, check}, err
}

// liveVM returns the VM of a server that is listed and may be given new work.
func (c *Controller) liveVM(id fleet.ServerID) (vmlist.VM, error) {
	for _, vm := range c.Servers() {
		if vm.ID == id && vm.State == vmlist.Live {
			c.withServer(id, func(s *server) {
				s.vm, s.listed = vm, true
			})
			return vm, nil
		}
	}
	return vmlist.VM{}, ErrServerUnavailable
}

// setReported sets the fields of the request that come from the server's newest
// report. It polls the server if there is none yet.
func (c *Controller) setReported(ctx context.Context, id fleet.ServerID, r *Request) error {
	read := func(s *server) { r.Boot, r.SeenFencing = s.machine.report.Boot, s.machine.report.Fencing }
	c.withServer(id, read)
	if r.Boot == "" {
		c.poll(ctx, id)
		c.withServer(id, read)
	}
	if r.Boot == "" {
		return errors.Wrap(ErrServerUnavailable, "no report")
	}
	return nil
}

// isQuarantined reports whether a grant is quarantined according to this node's
// state of the server.
func (c *Controller) isQuarantined(id fleet.ServerID, g *Grant) (quarantined bool) {
	c.withServer(id, func(s *server) { quarantined = s.machine.Quarantined(g) })
	return quarantined
}

// findQuarantined returns a live server on which a grant of the item is
// quarantined.
func (c *Controller) findQuarantined(item fleet.Item) (id fleet.ServerID, found bool) {
	c.forEachServer(func(s *server) {
		g := s.machine.record.FindItem(item)
		if g != nil && s.listed && s.vm.State == vmlist.Live && s.machine.Quarantined(g) {
			id, found = s.id, true
		}
	})
	return id, found
}

// commitPlan commits the transaction of a plan. If its outcome remains unknown
// the order is never sent and counts as refused, so that the grant is released
// with ProofRefused should it turn out to be recorded.
func (c *Controller) commitPlan(ctx context.Context, id fleet.ServerID, r *Request, p *loadPlan) (outcome, error) {
	c.writeLimiter.ReserveN(time.Now(), 1)
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
	case outcomeUnknown:
		c.step(id, Refused{Order: r.Order})
	}
	return end, err
}

// sendLoad sends the load order, once. The call doesn't end with the caller's
// context, since its outcome must be observed.
func (c *Controller) sendLoad(ctx context.Context, id fleet.ServerID, r *Request, p *loadPlan) error {
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
		log.Info("load order accepted")
		return nil
	case errors.Is(err, engine.ErrFenced), errors.Is(err, engine.ErrRefused), errors.Is(err, engine.ErrNotSent),
		errors.Is(err, ErrServerUnavailable):
		c.counters.ordersRefused.Inc(1)
		c.step(id, Refused{Order: r.Order})
		log.Warn("load order refused", slog.String("error", err.Error()))
		return err
	default:
		c.counters.ordersLost.Inc(1)
		c.step(id, Unanswered{Order: r.Order})
		log.Warn("load order unanswered, may still take effect", slog.String("error", err.Error()))
		return nil
	}
}

// Unload marks a grant as draining, upon which Run sends the unload order and
// releases the grant once it is proved to have ended.
func (c *Controller) Unload(ctx context.Context, grant fleet.GrantID) (err error) {
	c.init()
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "unload %s", grant)
		}
	}()
	var id fleet.ServerID
	draining := false
	c.forEachServer(func(s *server) {
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
	c.writeLimiter.ReserveN(time.Now(), 1)
	err = c.updateServer(ctx, id, func(record ServerRecord) (ServerRecord, error) {
		return Drain(record, grant, c.orderClosedAt(id))
	})
	if err == nil {
		c.step(id, Drained{Grant: grant})
	}
	return err
}
