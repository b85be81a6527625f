package dispatch

import (
	"sync"
	"time"

	"github.com/guavatrack/guavatrack/internal/route"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// prefixState is a [route.PrefixLocations] with its lock.
type prefixState struct {
	sync.Mutex
	known route.PrefixLocations
}

// recordSent records that the prefix of a call was sent to a server.
func (p *prefixState) recordSent(now time.Time, call *Call, server fleet.ServerID) {
	if call.Prefix == 0 {
		return
	}
	p.Lock()
	defer p.Unlock()
	p.known.RecordSent(now, call.Prefix, server)
}

// markPrefixes marks the candidates that probably have the call's prefix in
// their cache.
func (d *Dispatcher) markPrefixes(call *Call, candidates []route.Candidate, now time.Time) {
	if call.Prefix == 0 {
		return
	}
	d.prefixes.Lock()
	defer d.prefixes.Unlock()
	for i := range candidates {
		candidates[i].PrefixCached = d.prefixes.known.LikelyCached(now, call.Prefix, candidates[i].Server)
	}
}
