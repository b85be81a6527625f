package dispatch

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/guavatrack/guavatrack/internal/route"
)

// slot is the right to have one request under way at one backend server.
type slot struct {
	server  *server
	replica Replica
	call    *Call
	started time.Time
	// firstByte is the time to the first byte of the answer.
	firstByte time.Duration
	// cause is set if the server stands in another region.
	cause route.Cause
	// fresh asks for a new connection.
	fresh bool
	// sent is set before the first byte goes out.
	sent  atomic.Bool
	bytes atomic.Int64
}

// take chooses a replica with room for a call and takes a slot there. Without
// press it leaves the region only if there is no replica in it or after a
// failure.
func (d *Dispatcher) take(call *Call, now time.Time, press bool) (taken *slot, found bool) {
	replicas := d.replicas(call)
	if len(replicas) == 0 {
		return nil, false
	}
	query, cause := d.query(call, replicas, now, press)
	candidates := make([]route.Candidate, len(replicas))
	for at := range replicas {
		candidates[at] = d.servers.get(replicas[at].Server).candidate(now, &replicas[at], call)
	}
	if call.alone {
		quietest(candidates)
	}
	d.markPrefixes(call, candidates, now)
	index, found := route.Pick(query, candidates, d.Rand)
	if !found {
		return nil, false
	}
	return d.takeAt(call, replicas[index], now, cause), true
}

// quietest leaves room only at the servers with the fewest requests of all
// nodes, whatever their limit, for a call that is to run alone.
func quietest(candidates []route.Candidate) {
	least := math.MaxInt
	load := func(c *route.Candidate) int {
		if c.Limit == 0 {
			return math.MaxInt
		}
		return c.InFlight + c.Others
	}
	for at := range candidates {
		least = min(least, load(&candidates[at]))
	}
	for at := range candidates {
		if found := load(&candidates[at]); found == least && found < math.MaxInt {
			candidates[at].InFlight, candidates[at].Limit = 0, 1
		} else {
			candidates[at].InFlight = math.MaxInt
		}
	}
}

// takeAt takes a slot at a replica.
func (d *Dispatcher) takeAt(call *Call, replica Replica, now time.Time, cause route.Cause) *slot {
	taken := &slot{server: d.servers.get(replica.Server), replica: replica, call: call, started: now}
	if replica.Region != d.Place.Region {
		taken.cause = cause
	}
	taken.server.enter(now, taken)
	if d.occupancy != nil {
		d.occupancy.Entered(&taken.replica, now)
	}
	d.prefixes.sent(now, call, replica.Server)
	return taken
}

// release gives a slot back and lets waiting requests of the model run.
func (d *Dispatcher) release(taken *slot) {
	taken.server.leave(taken)
	if d.occupancy != nil {
		d.occupancy.Left(&taken.replica, time.Now())
	}
	if taken.cause != "" {
		d.crossed(taken)
	}
	if taken.call.lane != nil {
		taken.call.lane.pump(time.Now())
	}
}

// query says what a call needs of a server, and why it would leave the region.
func (d *Dispatcher) query(
	call *Call, replicas []Replica, now time.Time, press bool,
) (query route.Query, cause route.Cause) {
	query = route.Query{Now: now, Place: d.Place}
	for _, failure := range call.failed {
		query.Avoid = append(query.Avoid, failure.Server)
		query.AvoidDomains = append(query.AvoidDomains, failure.Domain)
	}
	local := false
	for at := range replicas {
		local = local || replicas[at].Region == d.Place.Region
	}
	switch {
	case !local:
		cause = route.CauseNoLocal
	case len(call.failed) > 0:
		cause = route.CauseRetry
	case press:
		cause = route.CauseDeadline
	default:
		return query, ""
	}
	query.Cross = d.linkOpen(now)
	return query, cause
}
