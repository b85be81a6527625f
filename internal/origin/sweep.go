package origin

import (
	"context"
	"log/slog"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/internal/wait"
)

const (
	sweepInterval = time.Minute
	sweepTimeout  = 20 * time.Second
)

// keepSweeping removes expired records until the context ends, while this node is the one
// to do it. A sweep may last long.
func (c *Controller) keepSweeping(ctx context.Context) {
	for ctx.Err() == nil {
		if c.Sweeps != nil && c.Sweeps() {
			c.sweep(ctx, time.Now())
		}
		wait.For(ctx, checkInterval)
	}
}

// sweep removes the records of streams that are no longer asked for. The age of a record
// is counted from when this node first listed it.
func (c *Controller) sweep(ctx context.Context, now time.Time) {
	c.mu.Lock()
	due := now.Sub(c.sweptAt) >= sweepInterval
	if due {
		c.sweptAt = now
	}
	c.mu.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	expired, err := c.expiredRecords(ctx, now)
	for len(expired) > 0 && err == nil {
		batch := table.FirstBatch(c.Store, expired)
		var rejected []table.Write
		if rejected, err = table.WriteAll(ctx, c.Store, batch); errors.Is(err, table.ErrConflict) {
			err = nil // Another node has removed some; the rest is removed by the next sweep.
		}
		c.logRejected(rejected)
		expired = expired[len(batch):]
	}
	if err != nil {
		c.Log.Warn("expired records of streams not removed", slog.Any("error", err))
	}
}

// expiredRecords returns the removals of the records that have expired.
func (c *Controller) expiredRecords(ctx context.Context, now time.Time) (removals []table.Write, err error) {
	retention := c.retention()
	listed := make(map[string]time.Time)
	span := table.Range{Partition: partition, Prefix: streamPrefix}
	for record, err := range table.All(ctx, c.Store, span) {
		if err != nil {
			return nil, err
		}
		first := now
		if seen, found := c.firstListed[record.Key.Sort]; found {
			first = seen
		}
		listed[record.Key.Sort] = first
		if now.Sub(first) > retention {
			removals = append(removals, table.Write{Key: record.Key, Expect: record.Version})
		}
	}
	c.firstListed = listed
	return removals, nil
}
