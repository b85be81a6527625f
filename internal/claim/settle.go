package claim

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/internal/wait"
)

// Timing of the recording of outcomes.
const (
	initialSettleBackoff = 50 * time.Millisecond
	maxSettleBackoff     = 5 * time.Second
	settleTimeout        = 15 * time.Minute
	sweepInterval        = time.Minute
	sweepPageSize        = 100
)

// settle records the outcome of a call in the background. If nothing of the call
// was sent, it deletes the claim.
func (c *Controller) settle(key table.Key, claim Record, result Result) {
	switch {
	case result.Answer != nil:
		stored := *result.Answer
		if len(stored.Body) > maxStoredBody {
			stored.Body, stored.Dropped = nil, true
		}
		claim.State, claim.Answer = Done, &stored
	case result.Sent:
		claim.State = Unknown
	}
	c.settling.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		if err := c.settleWithRetry(ctx, key, claim); err != nil {
			c.unsettled.Inc(1)
			c.Log.Warn("outcome of a claimed call not recorded", slog.String("claim", key.Sort), slog.Any("error", err))
		}
	})
}

// settleWithRetry retries until the outcome is recorded or the context ends,
// with an exponential backoff.
func (c *Controller) settleWithRetry(ctx context.Context, key table.Key, claim Record) error {
	backoff := initialSettleBackoff
	expect := table.Version(1)
	if claim.State == Claimed {
		expect = table.Absent
	}
	for {
		settled, err := c.trySettle(ctx, key, claim, expect)
		if settled {
			return nil
		}
		expect = table.Absent
		if !wait.For(ctx, backoff) {
			return errors.Wrap(err, "settle")
		}
		backoff = min(2*backoff, maxSettleBackoff)
	}
}

// trySettle replaces the claim by its outcome, or deletes it if its state is
// Claimed. If expect is Absent it first reads the record, since an earlier write
// may have taken effect.
func (c *Controller) trySettle(
	ctx context.Context, key table.Key, claim Record, expect table.Version,
) (settled bool, err error) {
	if expect == table.Absent {
		found, version, err := c.get(ctx, key)
		switch {
		case errors.Is(err, table.ErrNotFound):
			return true, nil
		case err != nil:
			return false, err
		case found.Attempt != claim.Attempt, found.State != Claimed:
			return true, nil
		}
		expect = version
	}
	if claim.State == Claimed {
		err = c.writer.write(ctx, table.Write{Key: key, Expect: expect})
	} else {
		err = c.put(ctx, key, expect, claim)
	}
	return err == nil, err
}

// Run periodically deletes expired claims until the context ends.
func (c *Controller) Run(ctx context.Context) error {
	c.once.Do(c.setUp)
	for wait.For(ctx, sweepInterval) {
		c.sweep(ctx)
	}
	return nil
}

// Flush waits until the outcomes of all calls are recorded or the context ends.
func (c *Controller) Flush(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		c.settling.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// sweep deletes the expired claims of one partition. Successive calls cycle
// through the partitions.
func (c *Controller) sweep(ctx context.Context) {
	span := table.Range{
		Partition: partition((c.sweepOffset + c.sweeps) % partitions), Limit: sweepPageSize,
	}
	c.sweeps++
	for found, err := range table.All(ctx, c.Store, span) {
		if err != nil {
			return
		}
		var claim Record
		if json.Unmarshal(found.Body, &claim) != nil || time.Now().Before(claim.ExpiresAt) {
			continue
		}
		if c.writer.write(ctx, table.Write{Key: found.Key, Expect: found.Version}) == nil {
			c.swept.Inc(1)
		}
	}
}
