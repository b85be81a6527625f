package caller

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/internal/route"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// slot is the right to have one request under way at one backend server.
type slot struct {
	server  *server
	replica engine.Replica
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
func (s *Server) take(call *Call, now time.Time, press bool) (taken *slot, found bool) {
	replicas := usable(s.Directory.Replicas(call.Item))
	if len(replicas) == 0 {
		return nil, false
	}
	query, cause := s.query(call, replicas, now, press)
	candidates := make([]route.Candidate, len(replicas))
	for at := range replicas {
		candidates[at] = s.servers.get(replicas[at].Server).candidate(now, &replicas[at], call)
	}
	if call.alone {
		quietest(candidates)
	}
	s.markPrefixes(call, candidates, now)
	index, found := route.Pick(query, candidates, s.Rand)
	if !found {
		return nil, false
	}
	return s.takeAt(call, replicas[index], now, cause), true
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
func (s *Server) takeAt(call *Call, replica engine.Replica, now time.Time, cause route.Cause) *slot {
	taken := &slot{server: s.servers.get(replica.Server), replica: replica, call: call, started: now}
	if replica.Region != s.Place.Region {
		taken.cause = cause
	}
	taken.server.enter(now, taken)
	s.prefixes.sent(now, call, replica.Server)
	return taken
}

// release gives a slot back and lets waiting requests of the model run.
func (s *Server) release(taken *slot) {
	taken.server.leave(taken)
	if taken.cause != "" {
		s.crossed(taken)
	}
	if taken.call.lane != nil {
		taken.call.lane.pump(time.Now())
	}
}

func (s *Server) query(
	call *Call, replicas []engine.Replica, now time.Time, press bool,
) (query route.Query, cause route.Cause) {
	query = route.Query{Now: now, Place: s.Place}
	for _, failure := range call.failed {
		query.Avoid = append(query.Avoid, failure.Server)
		query.AvoidDomains = append(query.AvoidDomains, failure.Domain)
	}
	local := false
	for at := range replicas {
		local = local || replicas[at].Region == s.Place.Region
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
	query.Cross = s.linkOpen(now)
	return query, cause
}

// linkOpen reports whether another request may leave the region.
func (s *Server) linkOpen(now time.Time) bool {
	s.link.Lock()
	defer s.link.Unlock()
	return s.link.Open(now)
}

// crossed counts the bytes of a request that left the region.
func (s *Server) crossed(taken *slot) {
	size := fleet.Bytes(taken.bytes.Load())
	if taken.sent.Load() {
		size += fleet.Bytes(len(taken.call.Body))
	}
	s.link.Lock()
	defer s.link.Unlock()
	s.link.Use(time.Now(), taken.cause, size)
	s.meters.crossed[taken.cause].Inc(int64(size))
}

// usable returns the replicas that may get new work.
func usable(replicas []engine.Replica) []engine.Replica {
	ready := make([]engine.Replica, 0, len(replicas))
	for _, replica := range replicas {
		if replica.State == engine.Ready && !replica.Draining {
			ready = append(ready, replica)
		}
	}
	return ready
}
