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

// maxReleaseBatch is the maximum number of grants that are released at once.
const maxReleaseBatch = 50

// outcome is the result of a transaction.
type outcome int

const (
	// outcomeUnknown means that the transaction may or may not have been applied.
	outcomeUnknown outcome = iota
	applied
	conflicted
)

func newToken() table.Token { return table.Token(uuid.NewString()) }

// commit executes a transaction. If an answer is lost, the transaction is sent
// again under its token until it succeeds or until the version of one of its
// records has changed, after which it can no longer take effect. Whether it had
// been applied before is then determined by committed, which is given the
// first record.
func (c *Controller) commit(
	ctx context.Context, token table.Token, writes []table.Write, committed func(table.Record) bool,
) (outcome, error) {
	lost := false
	var err error
	for attempt := range maxCommitAttempts {
		if attempt > 0 && !wait.For(ctx, c.jitter(maxBackoff(attempt))) {
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
		case table.NotWritten(err) && !lost:
			c.counters.tableErrors.Inc(1)
			return conflicted, errors.Wrap(ErrTableDown, err.Error())
		}
		lost = true
		c.counters.tableErrors.Inc(1)
		if end := c.resolveOutcome(ctx, writes, committed); end != outcomeUnknown {
			c.counters.settled.Inc(1)
			return end, err
		}
	}
	return outcomeUnknown, errors.Wrap(ErrTableDown, errors.Wrap(err, "outcome unknown").Error())
}

// resolveOutcome determines the outcome of a transaction whose answer was lost
// by reading its records.
func (c *Controller) resolveOutcome(ctx context.Context, writes []table.Write, committed func(table.Record) bool) outcome {
	changed := false
	var first table.Record
	// The first record is read last: if this transaction changed another record
	// that was read before, the first record shows it by then.
	for i, write := range slices.Backward(writes) {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		record, err := c.Store.Get(call, write.Key)
		cancel()
		if err != nil && !errors.Is(err, table.ErrNotFound) {
			return outcomeUnknown
		}
		if i == 0 {
			first = record
		}
		changed = changed || record.Version != write.Expect
	}
	switch {
	case !changed:
		return outcomeUnknown
	case committed(first):
		return applied
	default:
		return conflicted
	}
}

// maxBackoff returns the longest pause before an attempt.
func maxBackoff(attempt int) time.Duration {
	const maxDoublings = 6
	return commitBackoff << min(attempt, maxDoublings)
}

// release removes grants that are proved to have ended. The proof is checked
// again against the version of the record that the transaction expects.
func (c *Controller) release(ctx context.Context, id fleet.ServerID, action Release) (err error) {
	if err := c.writeLimiter.WaitN(ctx, 1); err != nil {
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
	c.withServer(id, func(s *server) {
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
	ids = ids[:min(len(ids), maxReleaseBatch)]
	next := Remove(record, ids)
	writes, err := c.releaseWrites(ctx, record, next, version, ids, gone)
	if err != nil {
		return err
	}
	if fit := c.Store.Fit(writes); fit < len(writes) {
		// The first write is that of the server's record, each other one that of an item.
		ids = ids[:max(fit-1, 1)]
		next = Remove(record, ids)
		if writes, err = c.releaseWrites(ctx, record, next, version, ids, gone); err != nil {
			return err
		}
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

// releaseWrites returns the writes that remove grants from the records of their
// server and items. The record of a VM that has ended is deleted with its last
// grant.
func (c *Controller) releaseWrites(
	ctx context.Context, old, next ServerRecord, version table.Version, ids []fleet.GrantID, gone bool,
) ([]table.Write, error) {
	first, err := newWrite(ServerKey(old.Server), version, next)
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
		change, err := newWrite(ItemKey(g.Item), record.Version, item)
		if err != nil {
			return nil, err
		}
		writes = append(writes, change)
	}
	return writes, nil
}

// updateServer applies edit to a server's record alone and retries after each
// conflict.
func (c *Controller) updateServer(
	ctx context.Context, id fleet.ServerID, edit func(ServerRecord) (ServerRecord, error),
) (err error) {
	for attempt := range maxCommitAttempts {
		if attempt > 0 && !wait.For(ctx, c.jitter(maxBackoff(attempt))) {
			return ctx.Err()
		}
		end, err := c.tryUpdateServer(ctx, id, edit)
		if end != conflicted || errors.Is(err, ErrTableDown) {
			return err
		}
		c.counters.conflicts.Inc(1)
	}
	return errors.Wrap(table.ErrConflict, "give up")
}

// tryUpdateServer applies edit to a server's record once. After an error that
// precedes the write, the outcome is outcomeUnknown, so that it is not retried.
func (c *Controller) tryUpdateServer(
	ctx context.Context, id fleet.ServerID, edit func(ServerRecord) (ServerRecord, error),
) (outcome, error) {
	unlock, err := c.lockWrites(ctx, id)
	if err != nil {
		return outcomeUnknown, err
	}
	defer unlock()
	began := time.Now()
	record, raw, err := c.readServer(ctx, id)
	if err != nil {
		return outcomeUnknown, err
	}
	next, err := edit(record)
	if err != nil {
		return outcomeUnknown, err
	}
	update, err := newWrite(ServerKey(id), raw.Version, next)
	if err != nil {
		return outcomeUnknown, err
	}
	end, err := c.commit(ctx, newToken(), []table.Write{update}, func(table.Record) bool { return false })
	if end == applied {
		c.step(id, Recorded{Record: next, Version: raw.Version + 1, RequestedAt: began})
	}
	return end, err
}

// adoptGrant applies edit to a grant whose order its sender did not complete.
// It fails with ErrNoGrant if another node has changed the grant since this
// node last read it.
func (c *Controller) adoptGrant(
	ctx context.Context, id fleet.ServerID, grant fleet.GrantID, edit func(ServerRecord, Request) (ServerRecord, error),
) error {
	if err := c.writeLimiter.WaitN(ctx, 1); err != nil {
		return err
	}
	request := Request{}
	var before Grant
	c.withServer(id, func(s *server) {
		request.SeenFencing = s.machine.report.Fencing
		if g := s.machine.record.Find(grant); g != nil {
			before = *g
		}
	})
	err := c.updateServer(ctx, id, func(record ServerRecord) (ServerRecord, error) {
		g := record.Find(grant)
		if g == nil || g.State != before.State || g.Fence != before.Fence || len(g.Orders) != len(before.Orders) {
			return record, ErrNoGrant // another node changed the grant first
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

// orderClosedAt returns a function that gives the closing time of a server's
// orders as far as this node has observed it; see [Machine.ClosedAt].
func (c *Controller) orderClosedAt(id fleet.ServerID) func(Order) time.Time {
	return func(order Order) (at time.Time) {
		c.withServer(id, func(s *server) { at = s.machine.ClosedAt(order) })
		return at
	}
}

// reread reads a server's record again after a write that was not applied or
// whose outcome is unknown, and returns cause, the error of the write.
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
		record = ItemRecord{Item: item, Grants: make(map[fleet.GrantID]ItemGrant)}
	}
	return record, raw, err
}

// read returns a record and decodes its body into out. A record that doesn't
// exist has the version [table.Absent] and leaves out unchanged.
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
