package origin

import (
	"cmp"
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// base is the base version of a pool, as this node last read it.
type base struct {
	baseRecord
	version table.Version
	// era is the era of the store before that read.
	era    table.Era
	readAt time.Time
	// listedAt is when a server of the base version was last listed. othersAt is when one
	// of another version was, or when this node began to watch the pool.
	listedAt, othersAt time.Time
	// returnedAt is when servers of the base version were listed again after so long that
	// another node may have replaced it; zero if never.
	returnedAt time.Time
	// mixed is set if servers of another version are listed, wasMixed once they were.
	mixed, wasMixed bool
}

// baseRecord is the body of the record of a pool's base version.
type baseRecord struct {
	Software fleet.SoftwareVersion `json:"software"`
	// Replacements counts the base versions of the pool before this one. It tells which of
	// two is the later one after the store was restored from an older copy.
	Replacements uint64 `json:"replacements,omitempty"`
}

// Places of the records in the store.
const (
	partition    = "streams"
	basePrefix   = "base/"
	streamPrefix = "begun/"
)

func baseKey(pool fleet.PoolID) table.Key {
	return table.Key{Partition: partition, Sort: basePrefix + string(pool)}
}

const (
	// mixedReadInterval is the time between two reads of the base versions while servers
	// of several versions are listed, singleReadInterval that while a single one is.
	mixedReadInterval  = 5 * time.Second
	singleReadInterval = time.Minute
	readTimeout        = 700 * time.Millisecond
	// returnMargin is the time after the return of the base version within which another
	// node that does not list its servers yet may replace it.
	returnMargin = 2 * mixedReadInterval
)

// checkBases reads, creates and replaces the base versions as necessary.
func (c *Controller) checkBases(ctx context.Context, now time.Time) {
	listed := c.View().ResumableVersions()
	c.recordListed(now, listed)
	if !c.mustRead(now, listed) {
		return
	}
	if err := c.readBases(ctx); err != nil {
		c.Log.Warn("base versions not read", slog.Any("error", err))
		return
	}
	for pool, versions := range listed {
		if err := c.updateBase(ctx, now, pool, versions); err != nil && !errors.Is(err, table.ErrConflict) {
			c.Log.Warn("base version not written", slog.String("pool", string(pool)), slog.Any("error", err))
		}
	}
}

// recordListed records which pools list servers of their base version and of others.
func (c *Controller) recordListed(now time.Time, listed map[fleet.PoolID]map[fleet.SoftwareVersion]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for pool, versions := range listed {
		known := c.bases[pool]
		if known == nil {
			continue
		}
		_, listsBase := versions[known.Software]
		known.mixed = !listsBase || len(versions) > 1
		if listsBase {
			if known.longUnlisted(now) {
				known.returnedAt = now
			}
			known.listedAt = now
		}
		if known.mixed {
			known.othersAt, known.wasMixed = now, true
		}
	}
}

// mustRead reports whether the base versions must be read now.
func (c *Controller) mustRead(now time.Time, listed map[fleet.PoolID]map[fleet.SoftwareVersion]int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(listed) > 0 && !c.unwritableSince.IsZero() {
		return true
	}
	for pool := range listed {
		known := c.bases[pool]
		if known == nil || now.Sub(known.readAt) >= known.readInterval() {
			return true
		}
	}
	return false
}

// readInterval returns the time between two reads of the base version.
func (b *base) readInterval() time.Duration {
	if b.mixed || b.readBeforeReturn() {
		return mixedReadInterval
	}
	return singleReadInterval
}

// longUnlisted reports whether no server of the base version has been listed for so long
// that another node may have replaced it.
func (b *base) longUnlisted(now time.Time) bool {
	return now.Sub(b.listedAt) > minRetention/2
}

// readBeforeReturn reports whether the base version may have been replaced, since it was
// read, when its servers returned.
func (b *base) readBeforeReturn() bool {
	return !b.returnedAt.IsZero() && b.readAt.Before(b.returnedAt.Add(returnMargin))
}

// listedSinceRead reports whether servers of the base version were listed all the while since
// it was read, so that no other node has replaced it.
func (b *base) listedSinceRead(now time.Time) bool {
	return !b.longUnlisted(now) && !b.readBeforeReturn()
}

// readBases reads the base versions of all pools from the store.
func (c *Controller) readBases(parent context.Context) error {
	ctx, cancel := context.WithTimeout(parent, readTimeout)
	defer cancel()
	now, era := time.Now(), c.Era()
	found := make(map[fleet.PoolID]bool)
	for record, err := range table.All(ctx, c.Store, table.Range{Partition: partition, Prefix: basePrefix}) {
		if err != nil {
			if parent.Err() == nil {
				c.recordStoreCall(err)
			}
			return err
		}
		pool := fleet.PoolID(strings.TrimPrefix(record.Key.Sort, basePrefix))
		found[pool] = true
		var body baseRecord
		if err := json.Unmarshal(record.Body, &body); err != nil {
			// The other pools don't depend on it.
			c.Log.Warn("base version not read", slog.String("pool", string(pool)), slog.Any("error", err))
			c.repairBase(ctx, pool, record.Version)
			continue
		}
		if c.replacedSince(pool, body) {
			c.repairBase(ctx, pool, record.Version)
			continue
		}
		c.setBase(now, era, pool, body, record.Version)
	}
	c.recordStoreCall(nil)
	for _, pool := range c.lostBases(found) {
		c.repairBase(ctx, pool, table.Absent)
	}
	return nil
}

// replacedSince reports whether this node has read a later base version than the one that a
// restoration of the store has brought back. Without a restoration the lower count is that
// of a node of an earlier release, which does not count and has replaced the version.
func (c *Controller) replacedSince(pool fleet.PoolID, read baseRecord) bool {
	era := c.Era()
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.bases[pool]
	return known != nil && known.era != era && known.Replacements > read.Replacements
}

// lostBases returns the pools whose base version this node has read and the store has lost.
func (c *Controller) lostBases(found map[fleet.PoolID]bool) (lost []fleet.PoolID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for pool := range c.bases {
		if !found[pool] {
			lost = append(lost, pool)
		}
	}
	slices.Sort(lost)
	return lost
}

// repairBase writes the base version of a pool again, over a record of another writer or an
// older one, or in place of one that was lost. A node that has not read it before leaves that to the
// others.
func (c *Controller) repairBase(ctx context.Context, pool fleet.PoolID, version table.Version) {
	c.mu.Lock()
	known := c.bases[pool]
	c.mu.Unlock()
	if known == nil {
		return
	}
	if err := c.writeBase(ctx, pool, known.baseRecord, version); err != nil {
		c.Log.Warn("base version not written", slog.String("pool", string(pool)), slog.Any("error", err))
	}
}

// writeBase writes the base version of a pool if its record has a version.
func (c *Controller) writeBase(ctx context.Context, pool fleet.PoolID, record baseRecord, expect table.Version) error {
	body, err := json.Marshal(record)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return c.Store.Transact(ctx, "", []table.Write{{Key: baseKey(pool), Expect: expect, Body: body}})
}

// setBase records the base version of a pool as read at a time, in an era or after it.
func (c *Controller) setBase(now time.Time, era table.Era, pool fleet.PoolID, body baseRecord, version table.Version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.bases[pool]
	if known == nil || known.baseRecord != body {
		known = &base{baseRecord: body, listedAt: now, othersAt: now}
		c.bases[pool] = known
		c.Log.Info("base version of a pool", slog.String("pool", string(pool)), slog.String("software", string(body.Software)))
	}
	known.version, known.era, known.readAt = version, era, now
}

// updateBase creates the base version of a pool that has none, or replaces one of which
// no server has been listed for the retention time.
func (c *Controller) updateBase(
	ctx context.Context, now time.Time, pool fleet.PoolID, versions map[fleet.SoftwareVersion]int,
) error {
	c.mu.Lock()
	known, expect := c.bases[pool], table.Absent
	replacement := baseRecord{Software: mostListed(versions)}
	if known != nil {
		expect, replacement.Replacements = known.version, known.Replacements+1
	}
	mayReturn := known == nil && c.era > 0 && now.Sub(c.eraSince) < rewriteTime
	c.mu.Unlock()
	if mayReturn {
		return nil // The nodes that have read a base version write it again.
	}
	if known != nil && (versions[known.Software] > 0 || now.Sub(known.listedAt) <= c.retention()) {
		return nil
	}
	if err := c.writeBase(ctx, pool, replacement, expect); err != nil {
		return err
	}
	return c.readBases(ctx)
}

// mostListed returns the version of the most servers.
func mostListed(versions map[fleet.SoftwareVersion]int) fleet.SoftwareVersion {
	names := make([]fleet.SoftwareVersion, 0, len(versions))
	for software := range versions {
		names = append(names, software)
	}
	return slices.MinFunc(names, func(a, b fleet.SoftwareVersion) int {
		return cmp.Or(cmp.Compare(versions[b], versions[a]), cmp.Compare(a, b))
	})
}

// baseOf returns the base version of a pool, if it was read within maxAge. It is sure unless
// another node may have replaced it since.
func (c *Controller) baseOf(pool fleet.PoolID, now time.Time, maxAge time.Duration) (software fleet.SoftwareVersion, known, sure bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := c.bases[pool]
	if found == nil || now.Sub(found.readAt) > maxAge {
		return "", false, false
	}
	return found.Software, true, found.listedSinceRead(now)
}
