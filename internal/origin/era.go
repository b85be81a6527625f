package origin

import (
	"context"
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// The store may be restored from an older copy, which begins a new era. Records of the last
// seconds before it are lost then, until the nodes that wrote or keep them have written them
// again. Only a node that was there before can tell that this has happened: it says so with
// a marker in the store, for the nodes that started later. Where no such node is left, the
// lack of a record proves nothing until no caller asks for such a stream any more.

// checkEra notices that the store was restored from an older copy, which may lack the
// newest records, and has those of this node written again.
func (c *Controller) checkEra(now time.Time) {
	era, retention := c.Era(), c.retention()
	c.mu.Lock()
	era = max(era, c.peerEra)
	if era == c.era {
		c.mu.Unlock()
		return
	}
	knew := c.knows || c.completeEra == c.era || now.Sub(c.eraSince) >= retention
	c.era, c.eraSince, c.before = era, now, slices.Collect(maps.Keys(c.seen))
	c.knows = knew && c.precedesLoss()
	for _, known := range c.bases {
		known.readAt = time.Time{} // The record may have gone back with the store.
	}
	var again []*pendingRecord
	for key, stream := range c.own {
		if stream.recorded {
			again = append(again, newAgain(key, stream, retention))
		}
	}
	again = append(again, c.keptAgain(now)...)
	c.mu.Unlock()
	c.Log.Info("records of streams are written again", slog.Uint64("era", uint64(era)), slog.Int("records", len(again)))
	for _, record := range again {
		c.enqueue(record)
	}
}

// markerPrefix begins the sort key of the marker of an era.
const markerPrefix = "complete/"

func markerKey(era table.Era) table.Key {
	return table.Key{Partition: partition, Sort: markerPrefix + strconv.FormatUint(uint64(era), 10)}
}

// markerReadInterval is the minimum time between two reads of the marker of an era.
const markerReadInterval = time.Second

// recordsComplete reports whether all records of the time before the era are in the store
// again, or of no use any more, as far as this node can tell without a call.
func (c *Controller) recordsComplete() bool {
	now := time.Now()
	c.checkEra(now)
	c.mu.Lock()
	known := c.era == c.completeEra
	c.mu.Unlock()
	if known {
		return true
	}
	retention, alive := c.retention(), c.aliveNodes()
	c.mu.Lock()
	defer c.mu.Unlock()
	since := now.Sub(c.eraSince)
	rewritten := c.knows && c.unwritableSince.IsZero() && since >= rewriteTime && !c.anyWrites(now) && !c.lostMany(alive)
	if !rewritten && since < retention {
		return false
	}
	c.completeEra = c.era
	c.Log.Info("records of streams are complete", slog.Uint64("era", uint64(c.era)), slog.Duration("after", since))
	return true
}

// writesAgain reports whether records of this node are still to be written again. The
// caller holds the lock.
func (c *Controller) writesAgain() bool {
	return c.writing && c.tookAgain || slices.ContainsFunc(c.pending, func(record *pendingRecord) bool { return record.again })
}

// othersWriteAge is how long after another node has said that it writes records again it may
// still do so: the time between two checks, and that of their calls.
const othersWriteAge = 2*checkInterval + peerTimeout

// anyWrites reports whether this node, or one of those that it asked lately, still writes
// records again. The caller holds the lock.
func (c *Controller) anyWrites(now time.Time) bool {
	return c.writesAgain() || now.Sub(c.othersWroteAt) < othersWriteAge
}

// lostFraction is the part of the nodes whose loss, with that of keepers and one more nodes
// at least, is likely to have taken all copies of some records.
const lostFraction = 3

// lostMany reports whether so many nodes are gone since shortly before the era that the
// writers and keepers of some records may be among them. The caller holds the lock.
func (c *Controller) lostMany(alive map[fleet.NodeID]bool) bool {
	lost := 0
	for _, node := range c.before {
		if !alive[node] {
			lost++
		}
	}
	return lost > keepers && lost*lostFraction > len(c.before)+1
}

// aliveNodes returns the other nodes that are alive.
func (c *Controller) aliveNodes() map[fleet.NodeID]bool {
	alive := make(map[fleet.NodeID]bool)
	if c.Nodes != nil {
		for _, node := range c.Nodes() {
			alive[node] = true
		}
	}
	return alive
}

// recordAnswered records that the store has answered, and in which era it did so first. The
// caller holds the lock.
func (c *Controller) recordAnswered(now time.Time) {
	c.reachedAt = now
	if c.firstAnswerAt.IsZero() {
		c.firstEra, c.firstAnswerAt = c.Era(), now
	}
}

// shareCompleteness writes the marker of the era if this node can tell that the records are
// complete and is the one to do it. A node that can't tell reads it once.
func (c *Controller) shareCompleteness(ctx context.Context) {
	complete := c.recordsComplete()
	c.mu.Lock()
	era, unread := c.era, c.markerReadAt.IsZero()
	again := c.writesAgain()
	writes := complete && !again && c.markedEra != era && (c.Sweeps == nil || c.Sweeps())
	c.mu.Unlock()
	switch {
	case era == 0:
	case !complete && unread:
		c.readMarker(ctx)
	case writes:
		c.writeMarker(ctx, era)
	}
}

// writeMarker writes the marker of an era.
func (c *Controller) writeMarker(ctx context.Context, era table.Era) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	err := c.Store.Transact(ctx, "", []table.Write{{Key: markerKey(era), Expect: table.Absent, Body: []byte("{}")}})
	if err != nil && !errors.Is(err, table.ErrConflict) {
		c.Log.Warn("marker of complete records not written", slog.Uint64("era", uint64(era)), slog.Any("error", err))
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.markedEra = era
}

// readMarker reads the marker of the era, unless that was done just now, and reports whether
// the records are complete.
func (c *Controller) readMarker(ctx context.Context) bool {
	now := time.Now()
	c.mu.Lock()
	era, due := c.era, now.Sub(c.markerReadAt) >= markerReadInterval
	if due {
		c.markerReadAt = now
	}
	c.mu.Unlock()
	if !due {
		return false
	}
	var body struct{}
	read, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	version, err := table.ReadJSON(read, c.Store, markerKey(era), &body)
	if err != nil || version == table.Absent {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.era == era {
		c.completeEra, c.markedEra = era, era
	}
	return c.era == era
}

// absenceProves reports whether a stream of a pool without a record was begun by the base
// version.
func (c *Controller) absenceProves(ctx context.Context, pool fleet.PoolID) bool {
	if c.recordsComplete() {
		return true
	}
	if c.rewriting() {
		return false // The other nodes may be able to tell.
	}
	return c.readMarker(ctx) || c.cameBackUnmixed(ctx, pool)
}

// rewriting reports whether the nodes may be writing their records again.
func (c *Controller) rewriting() bool {
	since := c.sinceEra()
	c.mu.Lock()
	defer c.mu.Unlock()
	return since >= 0 && (since < rewriteTime || c.anyWrites(time.Now()))
}

// sinceEra returns the time since this node saw that the store was restored; below 0 if it
// never was.
func (c *Controller) sinceEra() time.Duration {
	now := time.Now()
	c.checkEra(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.era == 0 {
		return -1
	}
	return now.Sub(c.eraSince)
}

// maxCopyAge bounds the age of the copy from which the store is restored.
const maxCopyAge = 15 * time.Second

// precedesLoss reports whether this node was there before all that the store lost with the
// beginning of the era. The caller holds the lock.
func (c *Controller) precedesLoss() bool {
	return !c.firstAnswerAt.IsZero() && c.firstEra < c.era && c.eraSince.Sub(c.firstAnswerAt) >= maxCopyAge
}

// cameBackUnmixed reports whether only the base version has served a pool: no server of
// another one is listed, and the store came back without a record of one. A version that has
// come and gone within the seconds that the store lost is not noticed.
func (c *Controller) cameBackUnmixed(ctx context.Context, pool fleet.PoolID) bool {
	c.mu.Lock()
	era, unmixed := c.era, c.unmixedIn[pool]
	c.mu.Unlock()
	if unmixed == era {
		return true
	}
	software, mixed := c.listsOthers(pool)
	if mixed || c.listsOthersOnRecord(ctx, software) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.era == era {
		c.unmixedIn[pool] = era
	}
	return c.era == era
}

// listsOthersOnRecord reports whether the store has the record of a stream of another version
// than the given one, or can't tell.
func (c *Controller) listsOthersOnRecord(ctx context.Context, software fleet.SoftwareVersion) bool {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	for record, err := range table.All(ctx, c.Store, table.Range{Partition: partition, Prefix: streamPrefix}) {
		var body streamRecord
		if err != nil || json.Unmarshal(record.Body, &body) != nil || body.Software != software {
			return true
		}
	}
	return false
}
