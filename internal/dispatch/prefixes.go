package dispatch

import (
	"sync"
	"time"

	"github.com/guavatrack/guavatrack/internal/route"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// prefixState guards [route.Prefixes].
type prefixState struct {
	sync.Mutex
	known route.Prefixes
}

func (p *prefixState) sent(now time.Time, call *Call, server fleet.ServerID) {
	if call.Prefix == 0 {
		return
	}
	p.Lock()
	defer p.Unlock()
	p.known.Sent(now, call.Prefix, server)
}

// markPrefixes marks the candidates that are believed to hold the call's
// prefix.
func (d *Dispatcher) markPrefixes(call *Call, candidates []route.Candidate, now time.Time) {
	if call.Prefix == 0 {
		return
	}
	d.prefixes.Lock()
	defer d.prefixes.Unlock()
	for at := range candidates {
		candidates[at].Prefix = d.prefixes.known.Holds(now, call.Prefix, candidates[at].Server)
	}
}
