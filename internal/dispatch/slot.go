package dispatch

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/guavatrack/guavatrack/internal/route"
)

// slot is a reservation for one request on one backend server.
type slot struct {
	server  *serverState
	replica Replica
	call    *Call
	started time.Time
	// number is the position of the slot in the order in which those of the server
	// were taken.
	number uint64
	// firstByte is the time to the first byte of the answer.
	firstByte time.Duration
	// cause is why the request left the region; empty if the server is in the
	// region of the node.
	cause route.Cause
	// fresh is set if the attempt must use a new connection.
	fresh bool
	// sent is set before the first byte is sent to the server.
	sent atomic.Bool
	// generation is that of a crash by the run; see [poison.Controller.Generation]. It is
	// set before sent.
	generation int
	// answeredAt is when the answer began; nil if it hasn't.
	answeredAt atomic.Pointer[time.Time]
	// bytes is the size of the request and of the answer so far.
	bytes atomic.Int64
}

// crashWindow is the time after the beginning of an answer in which the request, or a part
// of its prompt, may have caused a crash, with the time until the crash is noticed.
const crashWindow = time.Second

// recordAnswer records that the answer begins.
func (s *slot) recordAnswer(now time.Time) { s.answeredAt.Store(&now) }

// answered returns when the answer began, a long time ago if it hasn't.
func (s *slot) answered() time.Time {
	if at := s.answeredAt.Load(); at != nil {
		return *at
	}
	return time.Unix(0, 0)
}

// mayHaveBegun reports whether the server may have begun to write the answer just now.
func (s *slot) mayHaveBegun(now time.Time) bool {
	return s.answeredAt.Load() == nil || now.Sub(s.answered()) < crashWindow
}

// takeSlot chooses a replica with a free slot for a call and takes the slot. It
// considers other regions only if the local one has no replica, after a failure,
// or with lateLocally, which is set if the call would miss its deadline in the
// region.
func (d *Dispatcher) takeSlot(call *Call, now time.Time, lateLocally bool) (taken *slot, found bool) {
	replicas := d.replicas(call)
	if len(replicas) == 0 {
		return nil, false
	}
	query, cause := d.routeQuery(call, replicas, now, lateLocally)
	candidates := make([]route.Candidate, len(replicas))
	unanswered := d.maxUnanswered(call.Pool, now)
	for i := range replicas {
		state := d.servers.get(replicas[i].Server)
		candidates[i] = state.candidate(now, &replicas[i], call)
		if unanswered > 0 && state.unanswered() >= unanswered {
			exclude(&candidates[i])
		}
	}
	if call.exclusive {
		restrictToLeastLoaded(candidates)
	}
	d.markPrefixes(call, candidates, now)
	if cause == "" {
		cause = route.CauseFull
	}
	for {
		index, found := route.Pick(query, candidates, d.Rand)
		if !found {
			d.wantTokens(replicas)
			return nil, false
		}
		if taken, found = d.takeSlotAt(call, replicas[index], now, cause); found {
			return taken, true
		}
		exclude(&candidates[index])
	}
}

// restrictToLeastLoaded leaves a free slot only at the servers with the fewest
// requests of all nodes, regardless of their limit. It is used for a call that
// must run exclusively.
func restrictToLeastLoaded(candidates []route.Candidate) {
	least := math.MaxInt
	load := func(c *route.Candidate) int {
		if c.Limit == 0 {
			return math.MaxInt
		}
		return c.InFlight + c.OtherNodesInFlight
	}
	for i := range candidates {
		least = min(least, load(&candidates[i]))
	}
	for i := range candidates {
		if count := load(&candidates[i]); count == least && count < math.MaxInt {
			candidates[i].InFlight, candidates[i].Limit = 0, 1
		} else {
			candidates[i].InFlight = math.MaxInt
		}
	}
}

// takeSlotAt takes a slot at a replica. It reports false if the server has named a limit
// and another call has just taken the last token.
func (d *Dispatcher) takeSlotAt(call *Call, replica Replica, now time.Time, cause route.Cause) (taken *slot, found bool) {
	if !d.RateLimits.Take(replica.Server, replica.Boot) {
		return nil, false
	}
	taken = &slot{server: d.servers.get(replica.Server), replica: replica, call: call, started: now}
	if replica.Region != d.Place.Region {
		taken.cause = cause
	}
	taken.server.addSlot(now, taken)
	if d.slotObserver != nil {
		d.slotObserver.SlotTaken(&taken.replica, now)
	}
	d.prefixes.recordSent(now, call, replica.Server)
	return taken, true
}

// releaseSlot releases a slot and starts waiting requests of the same queue.
func (d *Dispatcher) releaseSlot(taken *slot) {
	taken.server.removeSlot(taken)
	if d.slotObserver != nil {
		d.slotObserver.SlotReleased(&taken.replica, time.Now())
	}
	if taken.cause != "" {
		d.countCrossRegion(taken)
	}
	if taken.call.queue != nil {
		taken.call.queue.startWaiting(time.Now())
	}
}

// routeQuery returns the routing constraints of a call, and the cause for which
// it would leave the region; empty if it must not.
func (d *Dispatcher) routeQuery(
	call *Call, replicas []Replica, now time.Time, lateLocally bool,
) (query route.Query, cause route.Cause) {
	query = route.Query{Now: now, Place: d.Place, AllowOverflow: d.Place.Region != "" && d.linkOpen(now)}
	for _, failure := range call.failedAttempts {
		query.AvoidServers = append(query.AvoidServers, failure.Server)
		query.AvoidDomains = append(query.AvoidDomains, failure.Domain)
	}
	local := false
	for i := range replicas {
		local = local || replicas[i].Region == d.Place.Region
	}
	switch {
	case !local:
		cause = route.CauseNoLocal
	case len(call.failedAttempts) > 0:
		cause = route.CauseRetry
	case lateLocally:
		cause = route.CauseDeadline
	default:
		return query, ""
	}
	query.AllowCrossRegion = d.linkOpen(now)
	return query, cause
}
