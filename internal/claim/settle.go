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
	settlePause   = 50 * time.Millisecond
	settleLongest = 5 * time.Second
	settleTimeout = 15 * time.Minute
	sweepInterval = time.Minute
	sweepLimit    = 100
)

// settle has the end of a call recorded in the background. A call of which
// nothing was sent gives its claim back.
func (c *Controller) settle(key table.Key, claim Record, result Result) {
	switch {
	case result.Answer != nil:
		kept := *result.Answer
		if len(kept.Body) > maxKeptAnswer {
			kept.Body, kept.Dropped = nil, true
		}
		claim.State, claim.Answer = Done, &kept
	case result.Sent:
		claim.State = Unknown
	}
	c.settling.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		if err := c.keepSettling(ctx, key, claim); err != nil {
			c.unsettled.Inc(1)
			c.Log.Warn("outcome not recorded", slog.String("claim", key.Sort), slog.Any("error", err))
		}
	})
}

// keepSettling tries until the end is recorded, however often the table fails.
func (c *Controller) keepSettling(ctx context.Context, key table.Key, claim Record) error {
	span := settlePause
	expect := table.Version(1)
	if claim.State == Claimed {
		expect = table.Absent
	}
	for {
		settled, err := c.trySettling(ctx, key, claim, expect)
		if settled {
			return nil
		}
		expect = table.Absent
		if !wait.For(ctx, span) {
			return errors.Wrap(err, "settle")
		}
		span = min(2*span, settleLongest)
	}
}

// trySettling writes the end over the claim. With expect Absent it first reads
// the record, since an earlier try may have taken effect.
func (c *Controller) trySettling(
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

// Run deletes expired claims until the context ends.
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

// sweep deletes the expired claims of one partition, in turn.
func (c *Controller) sweep(ctx context.Context) {
	span := table.Range{
		Partition: partition((c.sweepFirst + c.sweepPartition) % partitions), Limit: sweepLimit,
	}
	c.sweepPartition++
	for {
		records, err := c.Store.Query(ctx, span)
		if err != nil || len(records) == 0 {
			return
		}
		now := time.Now()
		for _, found := range records {
			var claim Record
			if json.Unmarshal(found.Body, &claim) != nil || now.Before(claim.Until) {
				continue
			}
			if c.writer.write(ctx, table.Write{Key: found.Key, Expect: found.Version}) == nil {
				c.swept.Inc(1)
			}
		}
		span.After = records[len(records)-1].Key.Sort
	}
}
