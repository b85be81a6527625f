package grant

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/internal/wait"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// maxReleases is the number of grants that one transaction releases. Each takes
// a write beside that of the server's record.
const maxReleases = table.MaxWrites / 2

// outcome is how a transaction ended.
type outcome int

const (
	// undecided says that the table does not tell.
	undecided outcome = iota
	applied
	conflicted
)

func newToken() table.Token { return table.Token(uuid.NewString()) }

// commit carries out a transaction. A lost answer is settled: the transaction
// is sent again under its token until it succeeds or until one of its records
// has moved on, after which it can't take effect any more. Whether it did
// before is then told by ours, which looks at the first record.
func (c *Controller) commit(
	ctx context.Context, token table.Token, writes []table.Write, ours func(table.Record) bool,
) (outcome, error) {
	lost := false
	var err error
	for attempt := range maxCommitAttempts {
		if attempt > 0 && !wait.For(ctx, c.jitter(pauseAfter(attempt))) {
			break
		}
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err = c.Store.Transact(call, token, writes)
		cancel()
		switch {
		case err == nil:
			return applied, nil
		case errors.Is(err, table.ErrConflict) && !lost:
			return conflicted, err
		case errors.Is(err, table.ErrUnavailable) && !lost:
			c.counters.tableErrors.Inc(1)
			return conflicted, errors.Wrap(ErrTableDown, err.Error())
		}
		lost = true
		c.counters.tableErrors.Inc(1)
		if end := c.settle(ctx, writes, ours); end != undecided {
			c.counters.settled.Inc(1)
			return end, err
		}
	}
	return undecided, errors.Wrap(ErrTableDown, errors.Wrap(err, "outcome unknown").Error())
}

// settle reads back the records of a transaction whose answer was lost.
func (c *Controller) settle(ctx context.Context, writes []table.Write, ours func(table.Record) bool) outcome {
	moved := false
	var first table.Record
	// The first record is read last: if another one has moved on with this very
	// transaction, the first one shows it by then.
	for i, write := range slices.Backward(writes) {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		record, err := c.Store.Get(call, write.Key)
		cancel()
		if err != nil && !errors.Is(err, table.ErrNotFound) {
			return undecided
		}
		if i == 0 {
			first = record
		}
		moved = moved || record.Version != write.Expect
	}
	switch {
	case !moved:
		return undecided
	case ours(first):
		return applied
	default:
		return conflicted
	}
}

// pauseAfter returns the longest pause before an attempt.
func pauseAfter(attempt int) time.Duration {
	const maxDoublings = 6
	return commitPause << min(attempt, maxDoublings)
}

// release removes grants that are proved over. The proof is looked at again
// with the record that the transaction requires to be unchanged.
func (c *Controller) release(ctx context.Context, id fleet.ServerID, action Release) (err error) {
	if err := c.budget.WaitN(ctx, 1); err != nil {
		return err
	}
	unlock, err := c.lockWrites(ctx, id)
	if err != nil {
		return err
	}
	defer unlock()
	var (
		record  ServerRecord
		version table.Version
		ids     []fleet.GrantID
		gone    bool
	)
	c.with(id, func(s *server) {
		record, version, gone = s.machine.record.Clone(), s.machine.version, s.machine.gone
		for i := range s.machine.record.Grants {
			g := &s.machine.record.Grants[i]
			if _, asked := action.Grants[g.ID]; asked && s.machine.proof(g) != "" {
				ids = append(ids, g.ID)
			}
		}
	})
	if len(ids) == 0 {
		return nil
	}
	ids = ids[:min(len(ids), maxReleases)]
	next := Remove(record, ids)
	writes, err := c.releaseWrites(ctx, record, next, version, ids, gone)
	if err != nil {
		return err
	}
	began := time.Now()
	end, err := c.commit(ctx, newToken(), writes, func(table.Record) bool { return false })
	if end != applied {
		return c.reread(ctx, id, err)
	}
	c.counters.released.Inc(int64(len(ids)))
	for _, grant := range ids {
		c.Log.Info("grant released", slog.String("server", string(id)), slog.String("grant", string(grant)),
			slog.String("proof", string(action.Grants[grant])))
	}
	c.step(id, Recorded{Record: next, Version: version + 1, RequestedAt: began})
	return nil
}

// releaseWrites returns the writes that take grants out of the records of their
// server and items. The record of a VM that has ended goes with its last grant.
func (c *Controller) releaseWrites(
	ctx context.Context, old, next ServerRecord, version table.Version, ids []fleet.GrantID, gone bool,
) ([]table.Write, error) {
	first, err := write(ServerKey(old.Server), version, next)
	if err != nil {
		return nil, err
	}
	if gone && len(next.Grants) == 0 {
		first.Body = nil
	}
	writes := []table.Write{first}
	for _, id := range ids {
		g := old.Find(id)
		item, record, err := c.readItem(ctx, g.Item)
		if err != nil {
			return nil, err
		}
		delete(item.Grants, id)
		change, err := write(ItemKey(g.Item), record.Version, item)
		if err != nil {
			return nil, err
		}
		writes = append(writes, change)
	}
	return writes, nil
}

// change rewrites a server's record alone, again after each conflict.
func (c *Controller) change(
	ctx context.Context, id fleet.ServerID, edit func(ServerRecord) (ServerRecord, error),
) (err error) {
	for attempt := range maxCommitAttempts {
		if attempt > 0 && !wait.For(ctx, c.jitter(pauseAfter(attempt))) {
			return ctx.Err()
		}
		end, err := c.tryChange(ctx, id, edit)
		if end != conflicted || errors.Is(err, ErrTableDown) {
			return err
		}
		c.counters.conflicts.Inc(1)
	}
	return errors.Wrap(table.ErrConflict, "give up")
}

// tryChange rewrites a server's record once. An error from before the write
// leaves the outcome undecided.
func (c *Controller) tryChange(
	ctx context.Context, id fleet.ServerID, edit func(ServerRecord) (ServerRecord, error),
) (outcome, error) {
	unlock, err := c.lockWrites(ctx, id)
	if err != nil {
		return undecided, err
	}
	defer unlock()
	began := time.Now()
	record, raw, err := c.readServer(ctx, id)
	if err != nil {
		return undecided, err
	}
	next, err := edit(record)
	if err != nil {
		return undecided, err
	}
	update, err := write(ServerKey(id), raw.Version, next)
	if err != nil {
		return undecided, err
	}
	end, err := c.commit(ctx, newToken(), []table.Write{update}, func(table.Record) bool { return false })
	if end == applied {
		c.step(id, Recorded{Record: next, Version: raw.Version + 1, RequestedAt: began})
	}
	return end, err
}

// adoptGrant changes a grant that another node has left.
func (c *Controller) adoptGrant(
	ctx context.Context, id fleet.ServerID, grant fleet.GrantID, edit func(ServerRecord, Request) (ServerRecord, error),
) error {
	if err := c.budget.WaitN(ctx, 1); err != nil {
		return err
	}
	request := Request{}
	var before Grant
	c.with(id, func(s *server) {
		request.SeenFencing = s.machine.report.Fencing
		if g := s.machine.record.Find(grant); g != nil {
			before = *g
		}
	})
	err := c.change(ctx, id, func(record ServerRecord) (ServerRecord, error) {
		g := record.Find(grant)
		if g == nil || g.State != before.State || g.Fence != before.Fence || len(g.Orders) != len(before.Orders) {
			return record, ErrNoGrant // another node was first
		}
		return edit(record, request)
	})
	if err == nil {
		c.counters.adopted.Inc(1)
		c.step(id, Drained{Grant: grant})
		c.Log.Info("grant adopted", slog.String("server", string(id)), slog.String("grant", string(grant)))
	}
	return err
}

// closed returns what this node knows of the end of a server's orders.
func (c *Controller) closed(id fleet.ServerID) func(Order) time.Time {
	return func(order Order) (at time.Time) {
		c.with(id, func(s *server) { at = s.machine.Closed(order) })
		return at
	}
}

// reread brings a server's record up to date after a write that did not take
// effect as expected, and returns the write's error.
func (c *Controller) reread(ctx context.Context, id fleet.ServerID, cause error) error {
	began := time.Now()
	record, raw, err := c.readServer(ctx, id)
	if err == nil && raw.Version != table.Absent {
		c.step(id, Recorded{Record: record, Version: raw.Version, RequestedAt: began})
	}
	return cause
}

func (c *Controller) readServer(ctx context.Context, id fleet.ServerID) (record ServerRecord, raw table.Record, err error) {
	raw, err = c.read(ctx, ServerKey(id), &record)
	return record, raw, err
}

func (c *Controller) readItem(ctx context.Context, item fleet.Item) (record ItemRecord, raw table.Record, err error) {
	raw, err = c.read(ctx, ItemKey(item), &record)
	if record.Grants == nil {
		record = ItemRecord{Item: item, Grants: make(map[fleet.GrantID]Holding)}
	}
	return record, raw, err
}

// read returns a record, which may be absent.
func (c *Controller) read(ctx context.Context, key table.Key, out any) (table.Record, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	record, err := c.Store.Get(call, key)
	switch {
	case errors.Is(err, table.ErrNotFound):
		return table.Record{Key: key}, nil
	case err != nil:
		c.counters.tableErrors.Inc(1)
		return table.Record{}, errors.Wrap(ErrTableDown, err.Error())
	default:
		return record, decode(record, out)
	}
}
