package policy

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Intervals and timeout of sending usage and of saving patterns.
const (
	usageInterval = 2 * time.Second
	saveInterval  = 5 * time.Minute
	saveTimeout   = 5 * time.Second
)

// Saved patterns are stored in one record per group of models, so that nodes
// that decide for different models seldom write the same record.
const (
	patternPartition = "patterns"
	patternGroups    = 64
	maxPatternBody   = 300 << 10 // bytes, below the size limit of a record
)

// sendUsageAndSave sends usage to other nodes and saves patterns when their
// intervals have passed.
func (c *Controller) sendUsageAndSave(ctx context.Context, now time.Time) {
	if c.SendUsage != nil && now.Sub(c.usageSentAt) >= usageInterval {
		c.usageSentAt = now
		if usages := c.takeUsage(now); len(usages) > 0 {
			c.background.Go(func() { c.SendUsage(ctx, usages) })
		}
	}
	if c.Table == nil || now.Sub(c.patternsSavedAt) < saveInterval {
		return
	}
	c.patternsSavedAt = now
	c.background.Go(func() { c.savePatterns(ctx) })
}

// patternKey returns the key of the record that contains an item's pattern.
func patternKey(item fleet.Item) table.Key {
	return table.Key{Partition: patternPartition, Sort: fmt.Sprintf("%02d", hashOf(item.Base())%patternGroups)}
}

// savePatterns writes the groups with unsaved patterns. Patterns of items that
// this node does not decide for stay as they are in the record.
func (c *Controller) savePatterns(ctx context.Context) {
	groups := make(map[table.Key]map[fleet.Item]*Pattern)
	for i := range c.shards {
		c.shards[i].Lock()
		for item, state := range c.shards[i].items {
			if !state.unsaved || !c.isDecider(item) {
				continue
			}
			key := patternKey(item)
			if groups[key] == nil {
				groups[key] = make(map[fleet.Item]*Pattern)
			}
			pattern := state.pattern
			groups[key][item] = &pattern
			state.unsaved = false
		}
		c.shards[i].Unlock()
	}
	for key, patterns := range groups {
		if err := c.saveGroup(ctx, key, patterns); err != nil {
			c.markUnsaved(patterns)
		}
	}
}

// markUnsaved marks patterns as unsaved, so that the next save includes them.
func (c *Controller) markUnsaved(patterns map[fleet.Item]*Pattern) {
	for item := range patterns {
		c.withState(item, func(s *itemState) { s.unsaved = true })
	}
}

// saveGroup merges patterns into one record. It removes items that are no
// longer deployed, and writes only the given patterns if the record would
// become too large.
func (c *Controller) saveGroup(ctx context.Context, key table.Key, patterns map[fleet.Item]*Pattern) (err error) {
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	record, err := c.Table.Get(ctx, key)
	if err != nil && !errors.Is(err, table.ErrNotFound) {
		return err
	}
	merged, err := ReadPatterns(record.Body)
	if err != nil {
		merged = make(map[fleet.Item]*Pattern) // a malformed record is overwritten
	}
	snapshot := c.Snapshot()
	for item := range merged {
		if !snapshot.Serves(item) {
			delete(merged, item)
		}
	}
	for item, pattern := range patterns {
		merged[item] = pattern
	}
	body := AppendPatterns(nil, merged)
	if len(body) > maxPatternBody {
		body = AppendPatterns(nil, patterns)
	}
	write := table.Write{Key: key, Expect: record.Version, Body: body}
	return c.Table.Transact(ctx, table.Token(uuid.NewString()), []table.Write{write})
}

// restorePatterns reads the saved patterns at the start. If that fails, the
// node starts without them.
func (c *Controller) restorePatterns(ctx context.Context) {
	if c.Table == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	records, err := c.Table.Query(ctx, table.Range{Partition: patternPartition})
	if err != nil {
		return
	}
	for _, record := range records {
		patterns, err := ReadPatterns(record.Body)
		if err != nil {
			continue
		}
		for item, pattern := range patterns {
			c.withState(item, func(s *itemState) {
				if s.pattern.logWeight == 0 {
					s.pattern = *pattern
				}
			})
		}
	}
}
