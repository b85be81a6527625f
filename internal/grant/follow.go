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

// gonePolls is how many polls of an unlisted server must fail before its VM
// counts as ended. The list alone may be mistaken.
const gonePolls = 3

// pressingPolls is how many times as often a server is polled while this node
// waits for the end of a grant there.
const pressingPolls = 5

// queryPage is the number of server records in one read.
const queryPage = 200

// Run follows the servers until the context ends: it reads the records, polls
// the reports and carries out what the machines ask for.
func (c *Controller) Run(ctx context.Context) error {
	c.init()
	var tasks sync.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { c.refreshLoop(ctx) })
	for {
		c.superviseServers(ctx, &tasks)
		if !wait.For(ctx, c.Poll) {
			return ctx.Err()
		}
	}
}

// superviseServers takes in the VM list, starts to follow new servers and
// stops to follow those that are gone.
func (c *Controller) superviseServers(ctx context.Context, tasks *sync.WaitGroup) {
	vms := make(map[fleet.ServerID]vmlist.VM)
	asOf := c.listAsOf() // before the list, which is then at least as new
	for _, vm := range c.Servers() {
		if c.isEngine(vm) {
			vms[vm.ID] = vm
		}
	}
	for id, vm := range vms {
		relisted := false
		c.with(id, func(s *server) {
			relisted = s.ended
			s.vm, s.listed, s.ended, s.unlistedPolls = vm, true, false, 0
		})
		if relisted {
			c.step(id, Listed{})
		}
	}
	var quarantined, reserved, foreign int64
	c.each(func(s *server) {
		if _, found := vms[s.id]; !found {
			s.listed = false
			s.ended = s.vm.ID != "" || asOf.After(s.machine.record.ListedAsOf)
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

// superviseServer starts or stops the task of one server. The caller holds the
// lock of its shard.
func (c *Controller) superviseServer(ctx context.Context, tasks *sync.WaitGroup, s *server) {
	wanted := (s.listed || len(s.machine.record.Grants) > 0) &&
		(c.Watches == nil || c.Watches(s.id))
	switch {
	case wanted && !s.watched:
		following, cancel := context.WithCancel(ctx)
		s.watched, s.cancel = true, cancel
		tasks.Go(func() { c.follow(following, s.id) })
	case !wanted && s.watched:
		s.watched = false
		s.cancel()
	}
}

// isEngine tells whether a VM belongs to a pool of engines.
func (c *Controller) isEngine(vm vmlist.VM) bool {
	return vm.Memory > 0
}

// follow polls one server and carries out its machine's actions.
func (c *Controller) follow(ctx context.Context, id fleet.ServerID) {
	var actions chan []Action
	c.with(id, func(s *server) { actions = s.actions })
	poll := time.NewTimer(0)
	defer poll.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case todo := <-actions:
			for _, action := range todo {
				c.carryOut(ctx, id, action)
			}
		case <-poll.C:
			c.poll(ctx, id)
			poll.Reset(c.jitter(c.pollPause(id)))
		}
	}
}

// pollPause returns the pause until the next report, which is shorter while
// this node waits for one.
func (c *Controller) pollPause(id fleet.ServerID) time.Duration {
	pause := c.Poll
	c.with(id, func(s *server) {
		if s.machine.pressing() {
			pause /= pressingPolls
		}
	})
	return pause
}

// poll reads one report.
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
		c.missReport(id)
		return
	}
	c.with(id, func(s *server) { s.polledAt, s.unlistedPolls = time.Now(), 0 })
	c.step(id, Reported{Report: report, RequestedAt: requestedAt})
}

// listAsOf returns the time of the VM list; zero if it is not known.
func (c *Controller) listAsOf() time.Time {
	if c.ListAsOf == nil {
		return time.Time{}
	}
	return c.ListAsOf()
}

// missReport counts a failed poll. A VM that the list has ceased to name and
// that does not answer has ended.
func (c *Controller) missReport(id fleet.ServerID) {
	event := Event(Tick{})
	c.with(id, func(s *server) {
		if s.ended {
			s.unlistedPolls++
		}
		if s.unlistedPolls >= gonePolls {
			event = Gone{}
		}
	})
	c.step(id, event)
}

// dial returns the engine of a server, listed or as recorded.
func (c *Controller) dial(id fleet.ServerID) (Engine, bool) {
	address := ""
	c.with(id, func(s *server) {
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

// refreshLoop reads the records again and again. While the table fails the
// pauses grow, so that its return meets no crowd.
func (c *Controller) refreshLoop(ctx context.Context) {
	pause := c.Refresh
	for {
		err := c.refresh(ctx)
		switch {
		case err == nil:
			pause = c.Refresh
		case ctx.Err() == nil:
			if pause == c.Refresh {
				c.Log.Warn("grants can't be read", slog.String("error", err.Error()))
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
			err = errors.Wrap(err, "read grants")
		}
	}()
	span := table.Range{Partition: partition, Prefix: serverPrefix, Limit: queryPage}
	for {
		requestedAt := time.Now()
		call, cancel := context.WithTimeout(ctx, callTimeout)
		records, err := c.Store.Query(call, span)
		cancel()
		if err != nil {
			return err
		}
		for _, record := range records {
			if err := c.takeRecord(record, requestedAt); err != nil {
				return err
			}
		}
		if len(records) < queryPage {
			return nil
		}
		span.After = records[len(records)-1].Key.Sort
	}
}

// takeRecord hands a server's record to its machine.
func (c *Controller) takeRecord(record table.Record, requestedAt time.Time) error {
	var body ServerRecord
	if err := decode(record, &body); err != nil {
		return err
	}
	if c.Watches == nil || c.Watches(body.Server) {
		c.step(body.Server, Recorded{Record: body, Version: record.Version, RequestedAt: requestedAt})
	}
	return nil
}

// carryOut does what a machine asked for.
func (c *Controller) carryOut(ctx context.Context, id fleet.ServerID, action Action) {
	var err error
	switch action := action.(type) {
	case Release:
		err = c.release(ctx, id, action)
	case DrainGrant:
		err = c.adoptGrant(ctx, id, action.Grant, func(record ServerRecord, _ Request) (ServerRecord, error) {
			return Drain(record, action.Grant, c.closed(id))
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

// send gives one order to an engine. Orders to unload and to fence may be
// repeated, so nothing has to be kept of their outcome.
func (c *Controller) send(ctx context.Context, id fleet.ServerID, give func(context.Context, Engine) error) error {
	client, found := c.dial(id)
	if !found {
		return ErrLeaving
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return give(call, client)
}
