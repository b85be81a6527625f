package origin

import (
	"context"
	"log/slog"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/internal/wait"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

const (
	// maxFindTime bounds the time to find the version of a stream, findRetryPause is the
	// time between two attempts.
	maxFindTime    = 1500 * time.Millisecond
	findRetryPause = 150 * time.Millisecond
	// rewriteTime is the time after the restoration of the store within which nodes have
	// written their records again.
	rewriteTime = 3 * time.Second
)

// errMayBeLost reports that the restoration of the store may have taken the record of a
// stream.
var errMayBeLost = errors.New("the store was restored and may lack the record")

// source says how a version was found.
type source string

const (
	sourceOwn    source = "own stream"
	sourceRecord source = "record"
	sourceBase   source = "base version"
	sourceSingle source = "single version"
	sourcePeer   source = "peer"
	sourceTraces source = "traces"
)

// Find returns the version that began the stream of which a rest is asked for. It fails with
// [ErrUnknown] if that cannot be determined soon.
func (c *Controller) Find(ctx context.Context, rest dispatch.Rest) (software fleet.SoftwareVersion, err error) {
	c.init()
	began := time.Now()
	key := streamKey{pool: rest.Pool, request: dispatch.StreamID(rest.Request, rest.Caller)}
	var from source
	defer func() { c.logFound(ctx, key, software, from, time.Since(began), err) }()
	if rest.Request == "" {
		return c.findUnnamed(rest.Pool, &from)
	}
	if software, found := c.findOwn(key); found {
		from = sourceOwn
		return software, nil
	}
	limit := maxFindTime
	if c.rewriting() {
		limit += rewriteTime
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		if software, from, err = c.findInStore(ctx, key); err == nil {
			return software, nil
		}
		if software, found := c.findByPeer(ctx, key); found {
			from = sourcePeer
			return software, nil
		}
		if errors.Is(err, errMayBeLost) {
			if software, err = c.findByTraces(ctx, rest); err == nil {
				from = sourceTraces
				return software, nil
			}
			if c.sinceEra() >= rewriteTime+maxFindTime && !c.rewriting() {
				return "", errors.Wrapf(ErrUnknown, "%v", err)
			}
		}
		if !wait.For(ctx, findRetryPause) {
			return "", errors.Wrapf(ErrUnknown, "%v", err)
		}
	}
}

// findUnnamed returns the only version of a pool, for a caller that does not name the
// request that began its stream.
func (c *Controller) findUnnamed(pool fleet.PoolID, from *source) (fleet.SoftwareVersion, error) {
	software, mixed := c.listsOthers(pool)
	if mixed || c.listedOthersLately(pool) {
		return "", errors.Wrap(ErrUnknown, "the request names no stream and several versions serve the pool")
	}
	*from = sourceSingle
	return software, nil
}

// listedOthersLately reports whether this node has listed a server of another than the base
// version within the retention time.
func (c *Controller) listedOthersLately(pool fleet.PoolID) bool {
	retention := c.retention()
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.bases[pool]
	return known == nil || known.wasMixed && time.Since(known.othersAt) <= retention
}

// findOwn returns the version of a stream that this node began.
func (c *Controller) findOwn(key streamKey) (software fleet.SoftwareVersion, found bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	stream, found := c.own[key]
	return stream.software, found
}

// findInStore returns the version in the record of a stream, or the base version of the
// pool if there is no record.
func (c *Controller) findInStore(ctx context.Context, key streamKey) (software fleet.SoftwareVersion, from source, err error) {
	record, exists, err := c.readStream(ctx, key.tableKey())
	if err != nil || exists {
		return record.Software, sourceRecord, err
	}
	if !c.absenceProves(ctx, key.pool) {
		return "", "", errMayBeLost
	}
	if software, _, sure := c.baseOf(key.pool, time.Now(), c.maxBaseAge(key.pool)); sure {
		return software, sourceBase, nil
	}
	if err := c.readBases(ctx); err != nil {
		return "", "", err
	}
	if software, known, _ := c.baseOf(key.pool, time.Now(), readTimeout); known {
		return software, sourceBase, nil
	}
	return "", "", errors.New("the pool has no base version")
}

// maxBaseAge returns the age up to which the base version of a pool is used without
// reading it again.
func (c *Controller) maxBaseAge(pool fleet.PoolID) time.Duration {
	if _, mixed := c.listsOthers(pool); mixed {
		return mixedReadInterval
	}
	return singleReadInterval + mixedReadInterval
}

// listsOthers returns the base version of a pool and whether servers of other versions are
// listed, or none at all.
func (c *Controller) listsOthers(pool fleet.PoolID) (software fleet.SoftwareVersion, mixed bool) {
	listed := c.View().ResumableVersions()
	c.recordListed(time.Now(), listed)
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.bases[pool]
	if known == nil || listed[pool] == nil {
		return "", true
	}
	return known.Software, known.mixed
}

// singleVersion returns the base version of a pool if this node has listed no server of
// another one for the retention time.
func (c *Controller) singleVersion(pool fleet.PoolID) (software fleet.SoftwareVersion, single bool) {
	software, mixed := c.listsOthers(pool)
	retention := c.retention()
	c.mu.Lock()
	defer c.mu.Unlock()
	return software, !mixed && time.Since(c.bases[pool].othersAt) > retention
}

// logFound logs and counts the result of a search.
func (c *Controller) logFound(
	ctx context.Context, key streamKey, software fleet.SoftwareVersion, from source, took time.Duration, err error,
) {
	if err != nil {
		c.counts.unknown.Inc(1)
		c.Log.LogAttrs(ctx, slog.LevelWarn, "version of a stream not found", slog.String("resumes", string(dispatch.StreamRequest(key.request))),
			slog.String("pool", string(key.pool)),
			slog.Duration("took", took), slog.Any("error", err))
		return
	}
	c.counts.found.Inc(1)
	c.Log.LogAttrs(ctx, slog.LevelInfo, "version of a stream found", slog.String("resumes", string(dispatch.StreamRequest(key.request))),
		slog.String("pool", string(key.pool)), slog.String("software", string(software)), slog.String("source", string(from)), slog.Duration("took", took))
}
