package roster

import "time"

// replica is a node's copy of a feed, kept for others to read. The caller locks
// it.
type replica[T any] struct {
	entries map[string]dated[T]
	// at is the revision that the copy shows, floor the one after which all
	// changes are known.
	at, floor Revision
	// listed says that the copy is whole. direct says that the source itself was
	// read last, lost that it could not be.
	listed, direct, lost bool
	// changed is closed at the next change.
	changed chan struct{}
	// prunedAt is when removed entries were last forgotten.
	prunedAt time.Time
}

// dated is an entry with the revision and the time at which it was known.
type dated[T any] struct {
	entry T
	at    Revision
	seen  time.Time
}

// removedLife is how long removed entries are remembered, for nodes that have
// not heard of the removal.
const removedLife = 2 * time.Minute

// keeping says how entries were read.
type keeping int

const (
	// keepList says that the entries are all there are.
	keepList keeping = 1 << iota
	// keepDirect says that they come from the source itself.
	keepDirect
)

func (c *replica[T]) init() {
	c.entries = make(map[string]dated[T])
	c.changed = make(chan struct{})
}

// tell wakes those who wait for a change.
func (c *replica[T]) tell() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// lose notes that the source could not be read.
func (c *replica[T]) lose() {
	if !c.lost {
		c.lost = true
		c.tell()
	}
}

// keep takes in entries that were read.
func (c *replica[T]) keep(now time.Time, entries []T, key func(T) string, at Revision, how keeping) {
	atBefore, directBefore, lostBefore := c.at, c.direct, c.lost
	c.direct, c.lost = how&keepDirect != 0, false
	if how&keepList != 0 {
		// What was removed before the list is not known one by one.
		clear(c.entries)
		c.listed, c.floor, c.at = true, at, at
	}
	c.at = max(c.at, at)
	for _, entry := range entries {
		c.entries[key(entry)] = dated[T]{entry: entry, at: c.at, seen: now}
	}
	if len(entries) > 0 || c.at != atBefore || c.direct != directBefore || lostBefore {
		c.tell()
	}
}

// prune forgets entries that were removed long ago. Nodes that have not heard of
// that must list anew.
func (c *replica[T]) prune(now time.Time, removed func(T) bool) {
	if now.Sub(c.prunedAt) < removedLife {
		return
	}
	c.prunedAt = now
	for key, entry := range c.entries {
		if removed(entry.entry) && now.Sub(entry.seen) > removedLife {
			delete(c.entries, key)
			c.floor = max(c.floor, entry.at)
		}
	}
}

// answer returns what the copy has for a node that asks. It is not ready if waiting
// may bring more.
func (c *replica[T]) answer(asked changesRequest) (answer changesAnswer, entries []T, ready bool) {
	switch {
	case c.lost:
		return changesAnswer{Lost: true}, nil, true
	case asked.List && !c.listed:
		return changesAnswer{NotReading: true}, nil, asked.WaitMs == 0
	case asked.List:
	case !c.direct:
		return changesAnswer{NotReading: true}, nil, true
	case !c.listed || asked.After < c.floor:
		return changesAnswer{Gone: true}, nil, true
	}
	for _, entry := range c.entries {
		if asked.List || entry.at > asked.After {
			entries = append(entries, entry.entry)
		}
	}
	return changesAnswer{At: c.at}, entries, asked.List || len(entries) > 0 || asked.WaitMs == 0
}
