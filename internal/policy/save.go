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

// Periods of telling other nodes and of saving what was learned.
const (
	tellEvery = 2 * time.Second
	saveEvery = 5 * time.Minute
	saveLimit = 5 * time.Second
)

// patternPartition holds the learned patterns, one record per group of models,
// so that nodes that decide for different models seldom meet on a record.
const (
	patternPartition = "patterns"
	patternGroups    = 64
	maxPatternBody   = 300 << 10 // bytes, below the limit of a record
)

// share tells other nodes what this one saw and saves what it has learned.
func (c *Controller) share(ctx context.Context, now time.Time) {
	if c.Tell != nil && now.Sub(c.toldAt) >= tellEvery {
		c.toldAt = now
		if uses := c.uses(now); len(uses) > 0 {
			c.working.Go(func() { c.Tell(ctx, uses) })
		}
	}
	if c.Store == nil || now.Sub(c.savedAt) < saveEvery {
		return
	}
	c.savedAt = now
	c.working.Go(func() { c.save(ctx) })
}

// patternGroup returns the record in which an item's pattern is kept.
func patternGroup(item fleet.Item) table.Key {
	return table.Key{Partition: patternPartition, Sort: fmt.Sprintf("%02d", hashOf(item.Base())%patternGroups)}
}

// save writes the groups in which patterns have changed. Of items that this
// node does not decide for it keeps what the record has.
func (c *Controller) save(ctx context.Context) {
	groups := make(map[table.Key]map[fleet.Item]*Pattern)
	for i := range c.shards {
		c.shards[i].Lock()
		for item, state := range c.shards[i].items {
			if !state.changed || !c.decides(item) {
				continue
			}
			key := patternGroup(item)
			if groups[key] == nil {
				groups[key] = make(map[fleet.Item]*Pattern)
			}
			pattern := state.pattern
			groups[key][item] = &pattern
			state.changed = false
		}
		c.shards[i].Unlock()
	}
	for key, patterns := range groups {
		if err := c.saveGroup(ctx, key, patterns); err != nil {
			c.markChanged(patterns)
		}
	}
}

// markChanged lets the next save try again.
func (c *Controller) markChanged(patterns map[fleet.Item]*Pattern) {
	for item := range patterns {
		c.with(item, func(s *itemState) { s.changed = true })
	}
}

// saveGroup merges patterns into one record.
func (c *Controller) saveGroup(ctx context.Context, key table.Key, patterns map[fleet.Item]*Pattern) (err error) {
	ctx, cancel := context.WithTimeout(ctx, saveLimit)
	defer cancel()
	record, err := c.Store.Get(ctx, key)
	if err != nil && !errors.Is(err, table.ErrNotFound) {
		return err
	}
	kept, err := ReadPatterns(record.Body)
	if err != nil {
		kept = make(map[fleet.Item]*Pattern) // a malformed record is written anew
	}
	snapshot := c.Snapshot()
	for item := range kept {
		if !snapshot.Serves(item) {
			delete(kept, item)
		}
	}
	for item, pattern := range patterns {
		kept[item] = pattern
	}
	body := AppendPatterns(nil, kept)
	if len(body) > maxPatternBody {
		body = AppendPatterns(nil, patterns)
	}
	write := table.Write{Key: key, Expect: record.Version, Body: body}
	return c.Store.Transact(ctx, table.Token(uuid.NewString()), []table.Write{write})
}

// recall reads what was learned before this node started. Without it the node
// learns anew.
func (c *Controller) recall(ctx context.Context) {
	if c.Store == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, saveLimit)
	defer cancel()
	records, err := c.Store.Query(ctx, table.Range{Partition: patternPartition})
	if err != nil {
		return
	}
	for _, record := range records {
		patterns, err := ReadPatterns(record.Body)
		if err != nil {
			continue
		}
		for item, pattern := range patterns {
			c.with(item, func(s *itemState) {
				if s.pattern.logWeight == 0 {
					s.pattern = *pattern
				}
			})
		}
	}
}
