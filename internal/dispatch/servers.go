package dispatch

import (
	"hash/maphash"
	"math"
	"sync"
	"time"

	"github.com/guavatrack/guavatrack/internal/admission"
	"github.com/guavatrack/guavatrack/internal/pace"
	"github.com/guavatrack/guavatrack/internal/poison"
	"github.com/guavatrack/guavatrack/internal/route"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// serverShardCount is the number of shards of the state of backend servers.
const serverShardCount = 32

// serverShards holds the state of each backend server as observed by the node's
// own requests.
type serverShards struct {
	seed   maphash.Seed
	shards [serverShardCount]serverShard
	// timestamps is nil if the directory does not record the time of its reports.
	timestamps TimestampedDirectory
	// loads is nil if the directory counts no calls.
	loads      LoadDirectory
	rateLimits RateLimits
	pace       *paceState
}

type serverShard struct {
	mu      sync.Mutex
	servers map[fleet.ServerID]*serverState
}

// serverState is the state of a backend server as observed by this node.
type serverState struct {
	id fleet.ServerID
	// timestamps is nil if the directory does not record the time of its reports, loads
	// if it counts no calls.
	timestamps TimestampedDirectory
	loads      LoadDirectory
	rateLimits RateLimits
	pace       *paceState

	mu      sync.Mutex
	health  route.Health
	running map[*slot]struct{}
	// slotsTaken is the number of slots that were taken so far.
	slotsTaken uint64
	groups     map[string]*slotGroup
	// tokens is the number of tokens that the node's own calls occupy in the
	// server's key-value cache.
	tokens int
	// absentItems holds the items that the server reported not to hold although
	// the directory lists them.
	absentItems map[fleet.Item]itemAbsence
	// others is the number of calls of other nodes at othersAt, from the load
	// that the server reported with an answer.
	others   int
	othersAt time.Time
	// firstByte is the average time to the first byte, as of firstByteAt.
	firstByte   time.Duration
	firstByteAt time.Time
	// exclusive is the call that runs without others on the server, if any.
	exclusive *Call
	// unreachableUntil is when a server that could not be reached is tried again,
	// unreachableCount how often in a row it was paused for that.
	unreachableUntil time.Time
	unreachableCount int
	// restUntil is until when restBoot, a run of the server's process, wants no requests of
	// this node.
	restUntil time.Time
	restBoot  fleet.BootID
	// leavingBoot is the run of the server's process that reported that it leaves.
	leavingBoot fleet.BootID
	// endedBoot is the latest run of the server's process known to have ended.
	endedBoot fleet.BootID
	// crashRecorded is closed after the end of endedBoot has been recorded against
	// the requests that ran there.
	crashRecorded chan struct{}
	// silent is a run that is silent and takes no connections; nil if there is none.
	// answeredAt is when the server last began an answer, probedAt when it was last probed for
	// an attempt that ended without one.
	silent               *silentRun
	answeredAt, probedAt time.Time
	serverPace
}

// slotGroup bounds the calls of the replicas that share the slots of a server.
type slotGroup struct {
	limit    admission.Limit
	inFlight int
}

func (s *serverShards) setUp() {
	s.seed = maphash.MakeSeed()
	for i := range s.shards {
		s.shards[i].servers = make(map[fleet.ServerID]*serverState)
	}
}

// get returns the state of a backend server and creates it if there is none.
func (s *serverShards) get(id fleet.ServerID) *serverState {
	shard := &s.shards[maphash.String(s.seed, string(id))%serverShardCount]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	state := shard.servers[id]
	if state == nil {
		state = &serverState{
			id: id, timestamps: s.timestamps, loads: s.loads, rateLimits: s.rateLimits, pace: s.pace, running: make(map[*slot]struct{}), groups: make(map[string]*slotGroup),
			absentItems: make(map[fleet.Item]itemAbsence),
		}
		shard.servers[id] = state
	}
	return state
}

// removeIdle removes the state of servers that run no request of this node, except
// of those that want no requests for some time, leave, or have a start window.
func (s *serverShards) removeIdle(now time.Time) {
	for i := range s.shards {
		shard := &s.shards[i]
		shard.mu.Lock()
		for id, state := range shard.servers {
			if state.idle(now) {
				delete(shard.servers, id)
			}
		}
		shard.mu.Unlock()
	}
}

// runningCount returns the number of the node's own requests on the server.
func (s *serverState) runningCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.running)
}

// idle reports whether the state holds nothing that is still needed.
func (s *serverState) idle(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.running) == 0 && !now.Before(s.restUntil) && s.leavingBoot == "" && !s.windowStays(now)
}

// slotGroup returns the slot group of a replica, with its bound updated. The
// caller holds the lock.
func (s *serverState) slotGroup(replica *Replica) *slotGroup {
	shared := s.groups[replica.Group]
	if shared == nil {
		shared = &slotGroup{}
		s.groups[replica.Group] = shared
	}
	shared.limit.Max = max(1, replica.Slots)
	return shared
}

// firstByteDecay is the time constant with which an average time to the first
// byte decays exponentially while no new one is observed.
const firstByteDecay = 10 * time.Second

// exclude has a candidate not be chosen.
func exclude(candidate *route.Candidate) { candidate.Limit, candidate.InFlight = 0, math.MaxInt }

// candidate describes the server to the routing decision. Its limit is 0 if the
// call must not be sent there now.
func (s *serverState) candidate(now time.Time, replica *Replica, call *Call) route.Candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	shared := s.slotGroup(replica)
	others, asOf := max(0, replica.Running+replica.Queued-shared.inFlight), replica.AsOf
	if s.loads != nil {
		if running, at := s.loads.Load(s.id); at.After(asOf) {
			others, asOf = max(0, running-shared.inFlight), at
		}
	}
	if s.othersAt.After(asOf) {
		others, asOf = s.others, s.othersAt
	}
	limit := fixedSlotLimit(now, replica, others, asOf)
	if !replica.FixedSlots {
		shared.limit.RecordLoad(now, replica.AsOf, replica.Running, replica.Queued, shared.inFlight)
		limit = shared.limit.Value()
	}
	candidate := route.Candidate{
		Server: s.id, Place: replica.Place, InFlight: shared.inFlight, Limit: limit,
		OtherNodesInFlight: others, ReportedAt: asOf, Slots: replica.Slots,
		ReadySince: replica.ReadySince, Ejected: s.health.Ejected(now),
	}
	if s.firstByte > 0 {
		decay := math.Exp(-float64(now.Sub(s.firstByteAt)) / float64(firstByteDecay))
		candidate.TimeToFirstByte = time.Duration(float64(s.firstByte) * decay)
	}
	available := !s.unavailable(now, replica, call)
	s.applyPace(now, replica, call, &candidate, available)
	if s.rateLimits.Available(s.id, replica.Boot) == 0 || !available || !s.fitsCache(replica, call) {
		exclude(&candidate)
	}
	return candidate
}

// othersDecay is the time constant with which the reported number of calls of
// other nodes decays exponentially with the age of the report.
const othersDecay = time.Second

// fixedSlotLimit returns how many calls the node may run on a server whose number
// of slots is known: the slots that the other nodes leave, but at least 1.
func fixedSlotLimit(now time.Time, replica *Replica, others int, asOf time.Time) int {
	return max(1, replica.Slots-decayedOthers(now, others, asOf))
}

// decayedOthers returns the reported number of calls of other nodes, decayed; 0 if there was
// no report.
func decayedOthers(now time.Time, others int, asOf time.Time) int {
	if asOf.IsZero() {
		return 0
	}
	return int(math.Exp(-float64(max(0, now.Sub(asOf)))/float64(othersDecay)) * float64(others))
}

// recordLoad records the number of calls of all nodes that the server reported with
// the answer to a call. Calls of this node that took their slot after that call are
// not in the report: it may be received long after it was made.
func (s *serverState) recordLoad(now time.Time, reporter *slot, total int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	own := 0
	for taken := range s.running {
		if taken.number <= reporter.number {
			own++
		}
	}
	s.others, s.othersAt = max(0, total-own), now
}

// unavailable reports whether the call must not be sent to the server now. The
// caller holds the lock.
func (s *serverState) unavailable(now time.Time, replica *Replica, call *Call) bool {
	return s.exclusive != nil && s.exclusive != call || now.Before(s.unreachableUntil) || s.closedToLocked(now, replica.Boot) ||
		replica.Boot != "" && replica.Boot == s.endedBoot || s.lacksItem(now, replica.Item)
}

// lacksItem reports whether the server is assumed not to hold an item, because it
// has declined a call for it. The assumption lasts for a pause and then, if the
// directory records the time of its reports, until it has a newer report of the
// server, but no longer than maxAbsence. The caller holds the lock.
func (s *serverState) lacksItem(now time.Time, item fleet.Item) bool {
	absence, found := s.absentItems[item]
	switch {
	case !found:
		return false
	case now.Before(absence.until):
		return true
	default:
		return s.timestamps != nil && now.Sub(absence.reportedAt) < maxAbsence && !s.timestamps.AsOf(s.id).After(absence.reportedAt)
	}
}

// fitsCache reports whether the call fits into the server's key-value cache in
// addition to the node's other calls. A call larger than the cache is sent to an
// empty one, so that the server refuses it. The caller holds the lock.
func (s *serverState) fitsCache(replica *Replica, call *Call) bool {
	return replica.Tokens == 0 || s.tokens == 0 || s.tokens+call.Tokens <= replica.Tokens
}

// addSlot records a slot as taken.
func (s *serverState) addSlot(now time.Time, taken *slot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slotsTaken++
	taken.number = s.slotsTaken
	s.running[taken] = struct{}{}
	s.window.RecordSent()
	s.health.RecordStart(now)
	if taken.call.exclusive {
		s.exclusive = taken.call
	}
	s.slotGroup(&taken.replica).inFlight++
	s.tokens += taken.call.Tokens
}

// removeSlot records a slot as released.
func (s *serverState) removeSlot(taken *slot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, taken)
	if s.exclusive == taken.call {
		s.exclusive = nil
	}
	s.slotGroup(&taken.replica).inFlight--
	s.tokens -= taken.call.Tokens
}

// firstByteWeight is the weight of a new time to the first byte that is shorter
// than the average.
const firstByteWeight = 0.2

// recordFirstByte updates the average time to the first byte. A longer time has a
// weight of one half, so that the average rises quickly; a shorter one has the
// weight firstByteWeight, so that it falls slowly.
func (s *serverState) recordFirstByte(now time.Time, elapsed time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.firstByteAt = now
	if elapsed > s.firstByte {
		s.firstByte = (s.firstByte + elapsed) / 2
		return
	}
	s.firstByte += time.Duration(firstByteWeight * float64(elapsed-s.firstByte))
}

// recordCrash records the end of a run of the server's process and calls record, once
// for each run, with the requests that may be the cause: those that it had not begun to
// answer, or had just begun to. It returns after record has returned, so that no request
// that ran there is checked for a retry before the crash has been recorded. It reports
// whether that end had not been recorded before.
func (s *serverState) recordCrash(now time.Time, boot fleet.BootID, record func(runs []poison.Run)) (isNew bool) {
	s.mu.Lock()
	if boot != "" && s.endedBoot == boot {
		recorded := s.crashRecorded
		s.mu.Unlock()
		<-recorded
		return false
	}
	s.endedBoot = boot
	recorded := make(chan struct{})
	s.crashRecorded = recorded
	s.health.RecordCrash(now)
	s.recovers = pace.Crashed
	var runs []poison.Run
	for taken := range s.running {
		if taken.replica.Boot == boot && taken.sent.Load() && taken.mayHaveBegun(now) {
			runs = append(runs, poison.Run{Digest: taken.call.Digest, Generation: taken.generation, Parts: taken.call.Parts})
		}
	}
	s.mu.Unlock()
	defer close(recorded)
	record(runs)
	return true
}

// recordSuccess records that a call was answered.
func (s *serverState) recordSuccess(taken *slot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.health.RecordSuccess()
	s.unreachableCount = 0
	delete(s.absentItems, taken.replica.Item)
	shared := s.slotGroup(&taken.replica)
	shared.limit.RecordSuccess(shared.inFlight, taken.firstByte)
}

// Pauses in which a server that cannot be reached is sent no calls: the first
// one, and how often it is doubled at most.
const (
	firstUnreachablePause   = 200 * time.Millisecond
	maxUnreachableDoublings = 4
)

// recordUnreachable records that no connection to the server could be made.
func (s *serverState) recordUnreachable(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.health.RecordFailure(now)
	s.recovers = pace.Unreachable
	if now.Before(s.unreachableUntil) {
		return
	}
	s.unreachableUntil = now.Add(firstUnreachablePause << min(s.unreachableCount, maxUnreachableDoublings))
	s.unreachableCount++
}

// itemAbsence records that a server did not hold an item: when it reported that
// last, until when it is not tried again, and how many times in a row it did.
type itemAbsence struct {
	reportedAt, until time.Time
	count             int
}

// A server that did not hold an item is tried again after firstAbsencePause,
// which is short because the load may just be about to complete. The pause is
// doubled each time, at most maxAbsenceDoublings times.
const (
	firstAbsencePause   = 125 * time.Millisecond
	maxAbsenceDoublings = 3
	// maxAbsence is the time after which a server is tried again even without a
	// newer report.
	maxAbsence = 5 * time.Second
)

// recordAbsent records that the server does not hold the item of a slot.
func (s *serverState) recordAbsent(now time.Time, taken *slot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.health.RecordAbandoned()
	absence := s.absentItems[taken.replica.Item]
	s.absentItems[taken.replica.Item] = itemAbsence{
		reportedAt: now, until: now.Add(firstAbsencePause << min(absence.count, maxAbsenceDoublings)), count: absence.count + 1,
	}
}

// recordFailure records a failure that counts against the health of the server.
func (s *serverState) recordFailure(now time.Time, taken *slot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.window.RecordTrouble(now, taken.started)
	if s.health.RecordFailure(now) {
		s.recovers = pace.Ejected
	}
}

// recordAbandoned records that an attempt ended without evidence for or against
// the health of the server.
func (s *serverState) recordAbandoned() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.health.RecordAbandoned()
}

// recordDeclined records that the server declined a call for lack of capacity, or
// did not answer it before its deadline.
func (s *serverState) recordDeclined(now time.Time, taken *slot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.health.RecordAbandoned()
	s.window.RecordTrouble(now, taken.started)
	s.slotGroup(&taken.replica).limit.RecordDecline(now)
}
