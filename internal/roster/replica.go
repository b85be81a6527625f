package roster

import (
	"time"

	"github.com/guavatrack/guavatrack/internal/packed"
)

// replica is a node's copy of a feed, from which other nodes read. It has no lock
// of its own: the caller serialises access.
type replica[T any] struct {
	entries map[string]storedEntry[T]
	// revision is the revision of the copy, historyStart the one after which all
	// changes are still kept.
	revision, historyStart Revision
	// listed reports whether the copy is complete, direct whether the last read was
	// one of the source itself, sourceLost whether the last read of the source
	// failed.
	listed, direct, sourceLost bool
	// changed is closed at the next change of the copy or of its state.
	changed chan struct{}
	// encoded holds the entries of responses by the revision after which they are,
	// until the next change: many nodes request the same ones. Those of the whole
	// list have the revision 0.
	encoded map[Revision]packed.List
	// prunedAt is when old removals were last deleted.
	prunedAt time.Time
}

// storedEntry is an entry with the revision and the time at which it was read.
type storedEntry[T any] struct {
	entry    T
	revision Revision
	readAt   time.Time
}

// removalRetention is how long removals are kept, for nodes that have not read
// them yet.
const removalRetention = 2 * time.Minute

// readFlags is a set of flags that say how entries were read.
type readFlags int

const (
	// completeList marks entries that are all entries of the feed.
	completeList readFlags = 1 << iota
	// fromSource marks entries that were read from the source itself.
	fromSource
	// sourceFailing marks entries that were read from another node since the source
	// could not be read.
	sourceFailing
)

func (c *replica[T]) init() {
	c.entries = make(map[string]storedEntry[T])
	c.changed = make(chan struct{})
}

// notify wakes the requests that wait for a change.
func (c *replica[T]) notify() {
	c.encoded = nil
	close(c.changed)
	c.changed = make(chan struct{})
}

// markSourceLost records that the source could not be read.
func (c *replica[T]) markSourceLost() {
	if !c.sourceLost {
		c.sourceLost = true
		c.notify()
	}
}

// update updates the copy with entries that were read.
func (c *replica[T]) update(now time.Time, entries []T, key func(T) string, revision Revision, flags readFlags) {
	revisionBefore, directBefore, lostBefore := c.revision, c.direct, c.sourceLost
	c.direct, c.sourceLost = flags&fromSource != 0, flags&sourceFailing != 0
	if flags&completeList != 0 {
		// The list does not say which entries were removed before it.
		clear(c.entries)
		c.listed, c.historyStart, c.revision = true, revision, revision
	}
	c.revision = max(c.revision, revision)
	for _, entry := range entries {
		c.entries[key(entry)] = storedEntry[T]{entry: entry, revision: c.revision, readAt: now}
	}
	if len(entries) > 0 || c.revision != revisionBefore || c.direct != directBefore || lostBefore {
		c.notify()
	}
}

// prune deletes removals that are older than removalRetention. Nodes that have
// not read them must list the feed again.
func (c *replica[T]) prune(now time.Time, removed func(T) bool) {
	if now.Sub(c.prunedAt) < removalRetention {
		return
	}
	c.prunedAt = now
	for key, entry := range c.entries {
		if removed(entry.entry) && now.Sub(entry.readAt) > removalRetention {
			delete(c.entries, key)
			c.historyStart = max(c.historyStart, entry.revision)
		}
	}
}

// respond returns the response to another node's request. ready is false if there
// is nothing to respond with yet and the request allows waiting.
func (c *replica[T]) respond(request changesRequest) (response changesResponse, ready bool, err error) {
	switch {
	case c.sourceLost:
		return changesResponse{Lost: true}, true, nil
	case request.List && !c.listed:
		return changesResponse{NotReading: true}, request.WaitMs == 0, nil
	case request.List:
		request.After = 0
	case !c.direct:
		return changesResponse{NotReading: true}, true, nil
	case !c.listed || request.After < c.historyStart:
		return changesResponse{Gone: true}, true, nil
	case request.After >= c.revision:
		return changesResponse{At: c.revision}, request.WaitMs == 0, nil
	}
	list, err := c.encode(request.After)
	empty := list.Plain == nil && list.Zipped == nil
	return changesResponse{At: c.revision, Packed: list}, request.List || !empty || request.WaitMs == 0, err
}

// encode returns the entries after a revision for a response.
func (c *replica[T]) encode(after Revision) (list packed.List, err error) {
	if list, found := c.encoded[after]; found {
		return list, nil
	}
	var entries []T
	for _, entry := range c.entries {
		if entry.revision > after {
			entries = append(entries, entry.entry)
		}
	}
	if list, err = packed.Encode(entries); err != nil {
		return packed.List{}, err
	}
	if c.encoded == nil {
		c.encoded = make(map[Revision]packed.List)
	}
	c.encoded[after] = list
	return list, nil
}
