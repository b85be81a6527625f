package grant

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/internal/vmlist"
	"github.com/guavatrack/guavatrack/internal/wait"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// gonePolls is the number of polls in a row of a delisted server that must fail
// before its VM counts as ended. The list alone is not sufficient since it may
// be wrong.
const gonePolls = 3

// fastPollFactor is the factor by which a server is polled more often while this
// node waits for a grant there to end.
const fastPollFactor = 5

// queryPageSize is the maximum number of server records in one read.
const queryPageSize = 200

// Run follows the servers until the context ends: it reads their records, polls
// their reports and executes the actions of their machines.
func (c *Controller) Run(ctx context.Context) error {
	c.init()
	var tasks sync.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { c.refreshLoop(ctx) })
	for {
		c.superviseServers(ctx, &tasks)
		if !wait.For(ctx, c.PollInterval) {
			return ctx.Err()
		}
	}
}

// superviseServers applies the VM list, starts following new servers, stops
// following those that are no longer needed and updates the gauges.
func (c *Controller) superviseServers(ctx context.Context, tasks *sync.WaitGroup) {
	vms := make(map[fleet.ServerID]vmlist.VM)
	asOf := c.listAsOf() // read before the list, so that the list is at least as new
	for _, vm := range c.Servers() {
		if c.isEngine(vm) {
			vms[vm.ID] = vm
		}
	}
	for id, vm := range vms {
		relisted := false
		c.withServer(id, func(s *server) {
			relisted = s.delisted
			s.vm, s.listed, s.delisted, s.delistedPollFailures = vm, true, false, 0
		})
		if relisted {
			c.step(id, Relisted{})
		}
	}
	var quarantined, reserved, foreign int64
	c.forEachServer(func(s *server) {
		if _, found := vms[s.id]; !found {
			s.listed = false
			s.delisted = s.vm.ID != "" || asOf.After(s.machine.record.ListedAsOf)
		}
		c.superviseServer(ctx, tasks, s)
		for i := range s.machine.record.Grants {
			if s.machine.Quarantined(&s.machine.record.Grants[i]) {
				quarantined++
			}
		}
		reserved += int64(s.machine.record.Reserved())
		foreign += int64(s.machine.Foreign())
	})
	c.counters.quarantined.Update(quarantined)
	c.counters.reserved.Update(reserved)
	c.counters.foreign.Update(foreign)
}

// superviseServer starts or stops the goroutine that follows one server. The
// caller holds the lock of the server's shard.
func (c *Controller) superviseServer(ctx context.Context, tasks *sync.WaitGroup, s *server) {
	shouldFollow := (s.listed || len(s.machine.record.Grants) > 0) &&
		(c.Follows == nil || c.Follows(s.id))
	switch {
	case shouldFollow && !s.followed:
		followCtx, cancel := context.WithCancel(ctx)
		s.followed, s.cancel = true, cancel
		tasks.Go(func() { c.follow(followCtx, s.id) })
	case !shouldFollow && s.followed:
		s.followed = false
		s.cancel()
	}
}

// isEngine reports whether a VM belongs to a pool of engines.
func (c *Controller) isEngine(vm vmlist.VM) bool {
	return vm.Memory > 0
}

// follow polls one server and executes its machine's actions.
func (c *Controller) follow(ctx context.Context, id fleet.ServerID) {
	var actions chan []Action
	c.withServer(id, func(s *server) { actions = s.actions })
	poll := time.NewTimer(0)
	defer poll.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case todo := <-actions:
			for _, action := range todo {
				c.execute(ctx, id, action)
			}
		case <-poll.C:
			c.poll(ctx, id)
			poll.Reset(c.jitter(c.pollPause(id)))
		}
	}
}

// pollPause returns the mean pause before the next poll, which is shorter while
// this node waits for a grant on the server to end.
func (c *Controller) pollPause(id fleet.ServerID) time.Duration {
	pause := c.PollInterval
	c.withServer(id, func(s *server) {
		if s.machine.awaitsRelease() {
			pause /= fastPollFactor
		}
	})
	return pause
}

// poll requests a report of a server and passes it to the server's machine.
func (c *Controller) poll(ctx context.Context, id fleet.ServerID) {
	client, found := c.dial(id)
	if !found {
		return
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	requestedAt := time.Now()
	report, err := client.Report(call)
	if ctx.Err() != nil {
		return
	}
	if err != nil || report.Server != id {
		c.counters.pollErrors.Inc(1)
		c.pollFailed(id)
		return
	}
	c.withServer(id, func(s *server) { s.polledAt, s.delistedPollFailures = time.Now(), 0 })
	c.step(id, Reported{Report: report, RequestedAt: requestedAt})
}

// listAsOf returns the time of the VM list, or zero if it is unknown.
func (c *Controller) listAsOf() time.Time {
	if c.ListAsOf == nil {
		return time.Time{}
	}
	return c.ListAsOf()
}

// pollFailed counts a failed poll. A VM that is delisted and does not answer
// gonePolls polls in a row has ended.
func (c *Controller) pollFailed(id fleet.ServerID) {
	event := Event(Tick{})
	c.withServer(id, func(s *server) {
		if s.delisted {
			s.delistedPollFailures++
		}
		if s.delistedPollFailures >= gonePolls {
			event = Gone{}
		}
	})
	c.step(id, event)
}

// dial returns the engine of a server at its address in the VM list or, if it
// has not been listed, in its record.
func (c *Controller) dial(id fleet.ServerID) (Engine, bool) {
	address := ""
	c.withServer(id, func(s *server) {
		address = s.vm.Address
		if address == "" {
			address = s.machine.record.Address
		}
	})
	if address == "" {
		return nil, false
	}
	return c.Dial(address), true
}

// refreshLoop reads the records periodically. While the table fails the pauses
// grow up to maxRefreshPause, so that a table that recovers is not overloaded by
// all nodes at once.
func (c *Controller) refreshLoop(ctx context.Context) {
	pause := c.RefreshInterval
	for {
		err := c.refresh(ctx)
		switch {
		case err == nil:
			pause = c.RefreshInterval
		case ctx.Err() == nil:
			if pause == c.RefreshInterval {
				c.Log.Warn("cannot read grant records, retrying", slog.String("error", err.Error()))
			}
			pause = min(2*pause, maxRefreshPause)
		}
		if !wait.For(ctx, c.jitter(pause)) {
			return
		}
	}
}

// refresh reads all server records.
func (c *Controller) refresh(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			c.counters.tableErrors.Inc(1)
			err = errors.Wrap(err, "read server records")
		}
	}()
	span := table.Range{Partition: partition, Prefix: serverPrefix, Limit: queryPageSize}
	for {
		requestedAt := time.Now()
		call, cancel := context.WithTimeout(ctx, callTimeout)
		records, err := c.Store.Query(call, span)
		cancel()
		if err != nil {
			return err
		}
		for _, record := range records {
			if err := c.applyRecord(record, requestedAt); err != nil {
				return err
			}
		}
		if span.IsLast(len(records)) {
			return nil
		}
		span.After = records[len(records)-1].Key.Sort
	}
}

// applyRecord passes a server's record to its machine.
func (c *Controller) applyRecord(record table.Record, requestedAt time.Time) error {
	var body ServerRecord
	if err := decode(record, &body); err != nil {
		return err
	}
	if c.Follows == nil || c.Follows(body.Server) {
		c.step(body.Server, Recorded{Record: body, Version: record.Version, RequestedAt: requestedAt})
	}
	return nil
}

// execute executes an action of a machine.
func (c *Controller) execute(ctx context.Context, id fleet.ServerID, action Action) {
	var err error
	switch action := action.(type) {
	case Release:
		err = c.release(ctx, id, action)
	case DrainGrant:
		err = c.adoptGrant(ctx, id, action.Grant, func(record ServerRecord, _ Request) (ServerRecord, error) {
			return Drain(record, action.Grant, c.orderClosedAt(id))
		})
	case FenceGrant:
		err = c.adoptGrant(ctx, id, action.Grant, func(record ServerRecord, r Request) (ServerRecord, error) {
			return SetFence(record, action.Grant, r.SeenFencing)
		})
	case SendUnload:
		err = c.send(ctx, id, func(ctx context.Context, e Engine) error { return e.Unload(ctx, action.Order) })
	case SendFence:
		err = c.send(ctx, id, func(ctx context.Context, e Engine) error { return e.Fence(ctx, action.Order) })
	}
	if err != nil && ctx.Err() == nil && !errors.Is(err, engine.ErrFenced) {
		c.Log.Debug("grant action failed", slog.String("server", string(id)), slog.String("error", err.Error()))
	}
}

// send submits one order to an engine. The outcome of unload and fence orders
// need not be recorded, since they may be repeated.
func (c *Controller) send(ctx context.Context, id fleet.ServerID, submit func(context.Context, Engine) error) error {
	client, found := c.dial(id)
	if !found {
		return ErrServerUnavailable
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return submit(call, client)
}
