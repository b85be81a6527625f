package route

import (
	"time"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Bounds of what is remembered of prefix caches.
const (
	maxPrefixes = 4096
	prefixLife  = 5 * time.Minute
)

// Prefixes remembers which servers are likely to hold which prompt prefixes in
// their caches: where the node sent a prefix, corrected by the engines' cache
// events, which are late and have gaps. A wrong belief costs time, never a wrong
// answer, so entries are kept over a gap and expire by age.
type Prefixes struct {
	holders map[uint64]map[fleet.ServerID]time.Time
}

// Sent notes that a request with the prefix was sent to a server.
func (p *Prefixes) Sent(now time.Time, prefix uint64, server fleet.ServerID) {
	if p.holders == nil {
		p.holders = make(map[uint64]map[fleet.ServerID]time.Time)
	}
	if _, known := p.holders[prefix]; !known && len(p.holders) >= maxPrefixes {
		p.forget(now)
	}
	if p.holders[prefix] == nil {
		p.holders[prefix] = make(map[fleet.ServerID]time.Time)
	}
	p.holders[prefix][server] = now
}

// Evicted notes an event that says that a server dropped a prefix at a time. A
// prefix that was sent to the server after that is still believed to be there.
func (p *Prefixes) Evicted(at time.Time, prefix uint64, server fleet.ServerID) {
	if sent, known := p.holders[prefix][server]; known && !sent.After(at) {
		delete(p.holders[prefix], server)
	}
}

// Restarted notes that a server has lost its cache.
func (p *Prefixes) Restarted(server fleet.ServerID) {
	for _, holders := range p.holders {
		delete(holders, server)
	}
}

// Holds reports whether the server is believed to hold the prefix.
func (p *Prefixes) Holds(now time.Time, prefix uint64, server fleet.ServerID) bool {
	sent, known := p.holders[prefix][server]
	return known && now.Sub(sent) < prefixLife
}

// forget drops prefixes that have expired, and others at will until there is
// room.
func (p *Prefixes) forget(now time.Time) {
	for prefix, holders := range p.holders {
		for server, sent := range holders {
			if now.Sub(sent) >= prefixLife {
				delete(holders, server)
			}
		}
		if len(holders) == 0 || len(p.holders) >= maxPrefixes {
			delete(p.holders, prefix)
		}
	}
}
