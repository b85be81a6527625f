package origin

import (
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/internal/wait"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

const (
	writeTimeout = 700 * time.Millisecond
	// writeRetryPause is the time between two attempts to write a record.
	writeRetryPause = 100 * time.Millisecond
)

// enqueue adds a record to those that are to be written.
func (c *Controller) enqueue(record *pendingRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = append(c.pending, record)
	if !c.writing {
		c.writing = true
		c.writers.Go(c.writePending)
	}
}

// writePending writes the pending records, all that came during one transaction with the
// next one, until there are none.
func (c *Controller) writePending() {
	for {
		batch := c.takeBatch(time.Now())
		if batch == nil {
			return
		}
		conflicts, err := c.write(context.Background(), batch)
		if err == nil {
			c.handOver(confirm(batch, conflicts))
			continue
		}
		if errors.Is(err, table.ErrConflict) {
			var written []*pendingRecord
			written, batch = c.settle(batch)
			c.handOver(written)
		}
		if len(batch) > 0 {
			c.putBack(batch)
			wait.For(context.Background(), writeRetryPause)
		}
	}
}

// confirm sends the results of records that were written, but for those with the keys of
// conflicts, and returns the former.
func confirm(batch []*pendingRecord, conflicts []string) (written []*pendingRecord) {
	for _, record := range batch {
		if slices.Contains(conflicts, record.key.Sort) {
			record.done <- errors.New("the request began a stream of another version before, or the store rejects the record")
			continue
		}
		record.done <- nil
		written = append(written, record)
	}
	return written
}

// takeBatch takes the records for one transaction from the pending ones, without those
// for which nobody waits any more. It returns nil if there are none.
func (c *Controller) takeBatch(now time.Time) []*pendingRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = slices.DeleteFunc(c.pending, func(record *pendingRecord) bool {
		expired := now.After(record.expires) || record.again && c.stopping
		if expired {
			record.done <- table.ErrUnavailable
		}
		return expired
	})
	if len(c.pending) == 0 {
		c.writing = false
		return nil
	}
	c.tookAgain = c.takesAgain()
	batch, rest := splitBatch(c.Store, c.pending, c.tookAgain)
	c.pending = rest
	return batch
}

// takesAgain reports whether the next transaction is for records that are written again:
// they take turns with those for which streams wait. The caller holds the lock.
func (c *Controller) takesAgain() bool {
	if c.tookAgain {
		return !slices.ContainsFunc(c.pending, func(record *pendingRecord) bool { return !record.again })
	}
	return slices.ContainsFunc(c.pending, func(record *pendingRecord) bool { return record.again })
}

// splitBatch divides records into those of the next transaction and the others. A
// transaction writes no record twice, and either records that are written again or others. It
// has no more than fit into it at this node's store, since another node that is asked to make
// it may be of a build that does not divide it.
func splitBatch(store table.Store, records []*pendingRecord, again bool) (batch, rest []*pendingRecord) {
	taken := make(map[table.Key]bool)
	var writes []table.Write
	for _, record := range records {
		if len(batch) == maxCallStreams || taken[record.key] || record.again != again {
			rest = append(rest, record)
			continue
		}
		taken[record.key] = true
		batch, writes = append(batch, record), append(writes, newWrite(record.key, record.software))
	}
	size := len(table.FirstBatch(store, writes))
	return batch[:size], slices.Concat(batch[size:], rest)
}

// newWrite returns the write of the record of a stream, which must not exist.
func newWrite(key table.Key, software fleet.SoftwareVersion) table.Write {
	body, err := json.Marshal(streamRecord{Software: software})
	if err != nil {
		panic(err) // A text has a JSON form.
	}
	return table.Write{Key: key, Expect: table.Absent, Body: body}
}

func (c *Controller) putBack(records []*pendingRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = append(records, c.pending...)
}

// write writes records in one transaction, by another node if this one can't. It returns the
// keys of those that name another version than their record and of those that the store
// rejects.
func (c *Controller) write(ctx context.Context, batch []*pendingRecord) (conflicts []string, err error) {
	writes := make([]streamWrite, len(batch))
	for i, record := range batch {
		writes[i] = streamWrite{Key: record.key.Sort, Software: record.software}
	}
	conflicts, err = c.transact(ctx, writes)
	c.recordStoreCall(err)
	if err == nil || errors.Is(err, table.ErrConflict) {
		return conflicts, err
	}
	conflicts, err = c.writeByPeer(ctx, writes, err)
	c.setStuck(err != nil)
	return conflicts, err
}

// streamWrite is the record of a stream that is to be written.
type streamWrite struct {
	// Key is the sort key of the record.
	Key      string                `json:"key"`
	Software fleet.SoftwareVersion `json:"software"`
}

// transact writes records, none of which may exist, in as few transactions as they fit
// into: records of another node may be more than this node's store takes at once. It returns
// the keys of those that the store rejects.
func (c *Controller) transact(ctx context.Context, records []streamWrite) (rejected []string, err error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	writes := make([]table.Write, len(records))
	for i, record := range records {
		writes[i] = newWrite(table.Key{Partition: partition, Sort: record.Key}, record.Software)
	}
	refused, err := table.WriteAll(ctx, c.Store, writes)
	c.logRejected(refused)
	for _, write := range refused {
		rejected = append(rejected, write.Key.Sort)
	}
	return rejected, err
}

// logRejected logs the writes that the store rejects, which are not repeated.
func (c *Controller) logRejected(rejected []table.Write) {
	for _, write := range rejected {
		c.Log.Error("record of a stream rejected by the store", slog.String("key", write.Key.Sort), slog.Int("bytes", len(write.Body)))
	}
}

// maxSettleReads bounds the reads at once of settle.
const maxSettleReads = 16

// settle reads the records of a transaction of which some exist, such as after an answer
// of the store was lost. It sends the results of those. It returns those that were written
// and those that don't exist.
func (c *Controller) settle(batch []*pendingRecord) (written, missing []*pendingRecord) {
	found := make([]recordState, len(batch))
	var group errgroup.Group
	group.SetLimit(maxSettleReads)
	for i, record := range batch {
		group.Go(func() error {
			found[i] = c.settleRecord(record)
			return nil
		})
	}
	_ = group.Wait()
	for i, record := range batch {
		switch found[i] {
		case recordWritten:
			written = append(written, record)
		case recordMissing:
			missing = append(missing, record)
		case recordForeign:
		}
	}
	return written, missing
}

// recordState says whether the store has a record.
type recordState int

const (
	// recordMissing is also the state of a record that could not be read.
	recordMissing recordState = iota
	recordWritten
	// recordForeign is the state of a record that names another version.
	recordForeign
)

// settleRecord reads a record and sends the result, if there is one.
func (c *Controller) settleRecord(record *pendingRecord) recordState {
	found, exists, err := c.readStream(context.Background(), record.key)
	switch {
	case err != nil || !exists:
		return recordMissing
	case found.Software == record.software:
		record.done <- nil
		return recordWritten
	default:
		record.done <- errors.Errorf("the request began a stream of version %q before", found.Software)
		return recordForeign
	}
}

// readStream reads the record of a stream from the store.
func (c *Controller) readStream(ctx context.Context, key table.Key) (body streamRecord, exists bool, err error) {
	read, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	version, err := table.ReadJSON(read, c.Store, key, &body)
	if err == nil || ctx.Err() == nil {
		c.recordStoreCall(err) // A caller that leaves says nothing of the store.
	}
	return body, version != table.Absent, err
}

// recordStoreCall records whether the store could be reached. One that rejects a call or has
// too many of them is.
func (c *Controller) recordStoreCall(err error) {
	now := time.Now()
	failed := !table.Answered(err)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !failed {
		c.recordAnswered(now)
	}
	switch {
	case failed && c.unwritableSince.IsZero():
		c.unwritableSince = now
		c.Log.Warn("records of streams cannot be reached", slog.Any("error", err))
	case !failed && !c.unwritableSince.IsZero():
		c.Log.Info("records of streams reached again", slog.Duration("after", now.Sub(c.unwritableSince)))
		if c.unwritableSince.Before(c.eraSince.Add(rewriteTime)) {
			// The other nodes have not written their records again either.
			c.eraSince = now
		}
		c.unwritableSince = time.Time{}
	}
	c.stuck = c.stuck && (failed || errors.Is(err, table.ErrThrottled))
}

// setStuck records whether records can be written, by this node or another one.
func (c *Controller) setStuck(stuck bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if stuck != c.stuck {
		c.Log.Warn("writing of records of streams", slog.Bool("stuck", stuck))
	}
	c.stuck = stuck
}
