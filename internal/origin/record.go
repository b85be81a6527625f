package origin

import (
	"context"
	"log/slog"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/internal/poison"
	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// streamRecord is the body of the record of a stream.
type streamRecord struct {
	Software fleet.SoftwareVersion `json:"software"`
}

// tableKey returns the key of the record of a stream. The ID of a request may be longer
// than a key.
func (k streamKey) tableKey() table.Key {
	digest := poison.DigestOf([]byte(k.pool), []byte(k.request))
	return table.Key{Partition: partition, Sort: streamPrefix + string(digest)}
}

// pendingRecord is a record that is to be written.
type pendingRecord struct {
	key      table.Key
	software fleet.SoftwareVersion
	// done receives the result.
	done chan error
	// expires is when nobody waits for the result, or asks for the stream, any more.
	expires time.Time
	// again is set if the record was written before the restoration of the store. No
	// stream waits for it.
	again bool
}

// maxRecordTime bounds the time to write the record of a stream, during which its first event
// is held back.
const maxRecordTime = 2 * time.Second

func newPending(key streamKey, software fleet.SoftwareVersion) *pendingRecord {
	return &pendingRecord{
		key: key.tableKey(), software: software, done: make(chan error, 1), expires: time.Now().Add(maxRecordTime),
	}
}

// newAgain returns the record of a stream that may have been lost with the restoration of
// the store.
func newAgain(key streamKey, stream ownStream, retention time.Duration) *pendingRecord {
	record := newPending(key, stream.software)
	record.expires, record.again = stream.begun.Add(retention), true
	return record
}

// Record records that a request began a stream at a server of a version. It returns once
// every node can find that out, and fails with [ErrNotRecorded] if that is not possible
// soon; the caller must then not receive any event.
func (c *Controller) Record(ctx context.Context, pool fleet.PoolID, request fleet.RequestID, software fleet.SoftwareVersion) (err error) {
	c.init()
	key := streamKey{pool: pool, request: request}
	if c.isBase(pool, software) {
		c.recordBaseStream(key, software)
		c.logBaseStream(ctx, key, software)
		return nil
	}
	began := time.Now()
	defer func() { c.logRecorded(ctx, key, software, time.Since(began), err) }()
	era, record := c.seenEra(), newPending(key, software)
	c.enqueue(record)
	select {
	case err = <-record.done:
	case <-ctx.Done():
		err = context.Cause(ctx)
	}
	if err != nil {
		return errors.Wrapf(ErrNotRecorded, "%v", err)
	}
	stream := ownStream{software: software, begun: time.Now(), recorded: true}
	if c.remember(key, stream) != era {
		c.enqueue(newAgain(key, stream, c.retention()))
	}
	return nil
}

// recordBaseStream remembers a stream that the base version began. It has a record only where
// the lack of one would prove nothing; nobody waits for that.
func (c *Controller) recordBaseStream(key streamKey, software fleet.SoftwareVersion) {
	stream := ownStream{software: software, begun: time.Now()}
	if _, mixed := c.listsOthers(key.pool); mixed && !c.recordsComplete() {
		stream.recorded = true
		c.enqueue(newAgain(key, stream, c.retention()))
	}
	c.remember(key, stream)
}

// logBaseStream logs that a stream was begun by the base version, if servers of another
// version have been listed.
func (c *Controller) logBaseStream(ctx context.Context, key streamKey, software fleet.SoftwareVersion) {
	c.mu.Lock()
	known := c.bases[key.pool]
	if known == nil || !known.wasMixed {
		c.mu.Unlock()
		return
	}
	readAge := time.Since(known.readAt)
	c.mu.Unlock()
	c.Log.LogAttrs(ctx, slog.LevelInfo, "stream begun at the base version", slog.String("request", string(dispatch.StreamRequest(key.request))),
		slog.String("pool", string(key.pool)), slog.String("software", string(software)), slog.Duration("baseAge", readAge))
}

// logRecorded logs and counts the attempt to write the record of a stream.
func (c *Controller) logRecorded(ctx context.Context, key streamKey, software fleet.SoftwareVersion, took time.Duration, err error) {
	attributes := []slog.Attr{
		slog.String("request", string(dispatch.StreamRequest(key.request))), slog.String("pool", string(key.pool)),
		slog.String("software", string(software)), slog.Duration("took", took),
	}
	if err != nil {
		c.counts.notRecorded.Inc(1)
		c.Log.LogAttrs(ctx, slog.LevelWarn, "version of a stream not recorded", append(attributes, slog.Any("error", err))...)
		return
	}
	c.counts.recorded.Inc(1)
	c.Log.LogAttrs(ctx, slog.LevelInfo, "version of a stream recorded", attributes...)
}

// isBase reports whether a version is the base version of a pool, however long ago that
// was read: it is not replaced while servers of it are listed.
func (c *Controller) isBase(pool fleet.PoolID, software fleet.SoftwareVersion) bool {
	known, listed := c.baseState(pool, software)
	if known && !listed {
		c.listsOthers(pool) // Servers of it may have returned since the last check.
		known, listed = c.baseState(pool, software)
	}
	return known && listed
}

// baseState reports whether a version is the base version of a pool, as last read, and
// whether it has been listed all the while since.
func (c *Controller) baseState(pool fleet.PoolID, software fleet.SoftwareVersion) (known, listed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := c.bases[pool]
	if found == nil || found.Software != software {
		return false, false
	}
	return true, found.listedSinceRead(time.Now())
}

// Restriction returns the version to which new streams of a pool must be restricted,
// since those of other versions cannot be recorded now.
func (c *Controller) Restriction(pool fleet.PoolID) (software fleet.SoftwareVersion, restricted bool) {
	c.init()
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.bases[pool]
	if known == nil || !c.stuck {
		return "", false
	}
	return known.Software, true
}
