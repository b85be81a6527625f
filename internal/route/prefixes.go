package route

import (
	"time"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Limits of [PrefixLocations].
const (
	// maxPrefixes is the number of prefixes that are tracked.
	maxPrefixes = 4096
	// prefixTTL is how long an entry is valid after the prefix was last sent to
	// the server.
	prefixTTL = 5 * time.Minute
)

// PrefixLocations tracks which servers are likely to have which prompt prefixes
// in their caches. It records where the node sent a prefix and removes entries
// on the engines' cache events, which are late and have gaps. A wrong entry
// costs time but never yields a wrong answer, so entries survive a gap in the
// events and expire by age.
type PrefixLocations struct {
	// holders maps a prefix to the time of its last request for each server.
	holders map[uint64]map[fleet.ServerID]time.Time
}

// RecordSent records that a request with the prefix was sent to a server.
func (p *PrefixLocations) RecordSent(now time.Time, prefix uint64, server fleet.ServerID) {
	if p.holders == nil {
		p.holders = make(map[uint64]map[fleet.ServerID]time.Time)
	}
	if _, known := p.holders[prefix]; !known && len(p.holders) >= maxPrefixes {
		p.evict(now)
	}
	if p.holders[prefix] == nil {
		p.holders[prefix] = make(map[fleet.ServerID]time.Time)
	}
	p.holders[prefix][server] = now
}

// RecordEvicted records that a server evicted a prefix from its cache at a
// time. The entry is kept if the prefix was sent to the server after that time.
func (p *PrefixLocations) RecordEvicted(at time.Time, prefix uint64, server fleet.ServerID) {
	if sent, known := p.holders[prefix][server]; known && !sent.After(at) {
		delete(p.holders[prefix], server)
	}
}

// RecordRestart removes all entries of a server that has lost its cache.
func (p *PrefixLocations) RecordRestart(server fleet.ServerID) {
	for _, holders := range p.holders {
		delete(holders, server)
	}
}

// LikelyCached reports whether the server is likely to have the prefix in its
// cache.
func (p *PrefixLocations) LikelyCached(now time.Time, prefix uint64, server fleet.ServerID) bool {
	sent, known := p.holders[prefix][server]
	return known && now.Sub(sent) < prefixTTL
}

// evict removes expired entries, and arbitrary further prefixes until there are
// fewer than maxPrefixes.
func (p *PrefixLocations) evict(now time.Time) {
	for prefix, holders := range p.holders {
		for server, sent := range holders {
			if now.Sub(sent) >= prefixTTL {
				delete(holders, server)
			}
		}
		if len(holders) == 0 || len(p.holders) >= maxPrefixes {
			delete(p.holders, prefix)
		}
	}
}
