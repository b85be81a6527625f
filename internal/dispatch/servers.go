package dispatch

import (
	"hash/maphash"
	"math"
	"sync"
	"time"

	"github.com/guavatrack/guavatrack/internal/admission"
	"github.com/guavatrack/guavatrack/internal/poison"
	"github.com/guavatrack/guavatrack/internal/route"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// serverShardCount is the number of shards of the state of backend servers.
const serverShardCount = 32

// serverShards holds what the node knows of each backend server from its own
// requests.
type serverShards struct {
	seed   maphash.Seed
	shards [serverShardCount]serverShard
	// dated is nil if the directory can't tell how old its word is.
	dated Dated
}

type serverShard struct {
	mu      sync.Mutex
	servers map[fleet.ServerID]*server
}

// server is the node's own view of a backend server.
type server struct {
	id fleet.ServerID
	// dated is nil if the directory can't tell how old its word is.
	dated Dated

	mu      sync.Mutex
	health  route.Health
	running map[*slot]struct{}
	groups  map[string]*group
	// tokens is the room that the node's own calls take in the cache.
	tokens int
	// absent lists items that are taken to be gone although the last report
	// still shows them.
	absent map[fleet.Item]absence
	// others is the number of other nodes' calls at othersAt, from what the
	// server said with an answer.
	others   int
	othersAt time.Time
	// firstByte is the average time to the first byte, as of firstByteAt.
	firstByte   time.Duration
	firstByteAt time.Time
	// exclusive is the call that must run alone, if there is one.
	exclusive *Call
	// closedUntil is when a server that could not be reached is tried again,
	// closings how often in a row it was closed.
	closedUntil time.Time
	closings    int
	// deadBoot is the newest run of the server's process known to have ended.
	deadBoot fleet.BootID
	// blamed is closed when the end of deadBoot has been held against what ran.
	blamed chan struct{}
}

// group bounds the calls that share slots of a server.
type group struct {
	limit    admission.Limit
	inFlight int
}

func (s *serverShards) setUp() {
	s.seed = maphash.MakeSeed()
	for at := range s.shards {
		s.shards[at].servers = make(map[fleet.ServerID]*server)
	}
}

// get returns the state of a backend server and makes it if there is none.
func (s *serverShards) get(id fleet.ServerID) *server {
	shard := &s.shards[maphash.String(s.seed, string(id))%serverShardCount]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	found := shard.servers[id]
	if found == nil {
		found = &server{
			id: id, dated: s.dated, running: make(map[*slot]struct{}), groups: make(map[string]*group),
			absent: make(map[fleet.Item]absence),
		}
		shard.servers[id] = found
	}
	return found
}

// forget drops the state of servers that have no requests.
func (s *serverShards) forget() {
	for at := range s.shards {
		shard := &s.shards[at]
		shard.mu.Lock()
		for id, state := range shard.servers {
			if state.load() == 0 {
				delete(shard.servers, id)
			}
		}
		shard.mu.Unlock()
	}
}

func (s *server) load() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.running)
}

// group returns the bound of a replica. The caller holds the lock.
func (s *server) group(replica *Replica) *group {
	found := s.groups[replica.Group]
	if found == nil {
		found = &group{}
		s.groups[replica.Group] = found
	}
	found.limit.Max = max(1, replica.Slots)
	return found
}

// firstByteLife is the time in which an average that is not renewed loses its
// weight.
const firstByteLife = 10 * time.Second

// candidate describes the server for a choice.
func (s *server) candidate(now time.Time, replica *Replica, call *Call) route.Candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	shared := s.group(replica)
	others, asOf := max(0, replica.Running+replica.Queued-shared.inFlight), replica.AsOf
	if s.othersAt.After(asOf) {
		others, asOf = s.others, s.othersAt
	}
	limit := steadyLimit(now, replica, others, asOf)
	if !replica.Steady {
		shared.limit.Report(now, replica.AsOf, replica.Running, replica.Queued, shared.inFlight)
		limit = shared.limit.Value()
	}
	candidate := route.Candidate{
		Server: s.id, Place: replica.Place, InFlight: shared.inFlight, Limit: limit,
		Others: others, AsOf: asOf,
		ReadySince: replica.ReadySince, Ejected: s.health.Ejected(now),
	}
	if s.firstByte > 0 {
		fade := math.Exp(-float64(now.Sub(s.firstByteAt)) / float64(firstByteLife))
		candidate.FirstByte = time.Duration(float64(s.firstByte) * fade)
	}
	if s.closed(now, replica, call) || !s.hasTokens(replica, call) {
		candidate.Limit, candidate.InFlight = 0, math.MaxInt
	}
	return candidate
}

// othersLife is the time in which what a server said of other nodes' calls loses
// its weight.
const othersLife = time.Second

// steadyLimit returns how many calls the node may have at a server whose slots
// are known: those that the other nodes leave.
func steadyLimit(now time.Time, replica *Replica, others int, asOf time.Time) int {
	if asOf.IsZero() {
		return replica.Slots
	}
	weight := math.Exp(-float64(max(0, now.Sub(asOf))) / float64(othersLife))
	return max(1, replica.Slots-int(weight*float64(others)))
}

// loaded notes what the server says of the calls of all nodes.
func (s *server) loaded(now time.Time, all int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.others, s.othersAt = max(0, all-len(s.running)), now
}

// closed reports whether the server gets no calls for now. The caller holds
// the lock.
func (s *server) closed(now time.Time, replica *Replica, call *Call) bool {
	return s.exclusive != nil && s.exclusive != call || now.Before(s.closedUntil) ||
		replica.Boot != "" && replica.Boot == s.deadBoot || s.lacks(now, replica.Item)
}

// lacks reports whether the server is taken to lack an item that it has turned
// away: for a while, and until the directory has learned anew that the server
// holds it. The caller holds the lock.
func (s *server) lacks(now time.Time, item fleet.Item) bool {
	known, found := s.absent[item]
	switch {
	case !found:
		return false
	case now.Before(known.until):
		return true
	default:
		return s.dated != nil && now.Sub(known.at) < longestAbsence && !s.dated.AsOf(s.id).After(known.at)
	}
}

// hasTokens reports whether the call fits into the server's cache beside the
// node's other calls. A call that is larger than the cache is left to the
// server to refuse. The caller holds the lock.
func (s *server) hasTokens(replica *Replica, call *Call) bool {
	return replica.Tokens == 0 || s.tokens == 0 || s.tokens+call.Tokens <= replica.Tokens
}

// enter takes a slot.
func (s *server) enter(now time.Time, taken *slot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[taken] = struct{}{}
	s.health.Started(now)
	if taken.call.alone {
		s.exclusive = taken.call
	}
	s.group(&taken.replica).inFlight++
	s.tokens += taken.call.Tokens
}

// leave gives a slot back.
func (s *server) leave(taken *slot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, taken)
	if s.exclusive == taken.call {
		s.exclusive = nil
	}
	s.group(&taken.replica).inFlight--
	s.tokens -= taken.call.Tokens
}

const firstByteWeight = 0.2

// observe notes the time to a first byte. A late one counts at once, an early
// one by and by.
func (s *server) observe(now time.Time, span time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.firstByteAt = now
	if span > s.firstByte {
		s.firstByte = (s.firstByte + span) / 2
		return
	}
	s.firstByte += time.Duration(firstByteWeight * float64(span-s.firstByte))
}

// died notes the end of a run of the server's process and calls blame with the
// digests of what ran on it, once for each run. It returns when blame has
// returned, so that nothing that ran there is judged before.
func (s *server) died(now time.Time, boot fleet.BootID, blame func(aboard []poison.Digest)) {
	s.mu.Lock()
	if boot != "" && s.deadBoot == boot {
		blamed := s.blamed
		s.mu.Unlock()
		<-blamed
		return
	}
	s.deadBoot = boot
	blamed := make(chan struct{})
	s.blamed = blamed
	s.health.Lost(now)
	var aboard []poison.Digest
	for taken := range s.running {
		if taken.replica.Boot == boot && taken.sent.Load() {
			aboard = append(aboard, taken.call.Digest)
		}
	}
	s.mu.Unlock()
	defer close(blamed)
	blame(aboard)
}

func (s *server) succeeded(taken *slot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.health.Succeeded()
	s.closings = 0
	delete(s.absent, taken.replica.Item)
	shared := s.group(&taken.replica)
	shared.limit.Succeeded(shared.inFlight, taken.firstByte)
}

// Times for which a server that cannot be reached gets no work.
const (
	firstClosing   = 200 * time.Millisecond
	closingDoubles = 4
)

// unreachable notes that no connection to the server could be made.
func (s *server) unreachable(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.health.Failed(now)
	if now.Before(s.closedUntil) {
		return
	}
	s.closedUntil = now.Add(firstClosing << min(s.closings, closingDoubles))
	s.closings++
}

// absence is an item that a server did not have, so many times in a row.
type absence struct {
	at, until time.Time
	times     int
}

// An item that a server did not have is tried again after firstAbsence, since it
// may just have been a little late, and then after twice as long each time.
const (
	firstAbsence   = 125 * time.Millisecond
	absenceDoubles = 3
	// longestAbsence is when a server is tried again without newer word of it.
	longestAbsence = 5 * time.Second
)

// lacked notes that the server does not hold the item of a slot.
func (s *server) lacked(now time.Time, taken *slot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.health.Abandoned()
	known := s.absent[taken.replica.Item]
	s.absent[taken.replica.Item] = absence{
		at: now, until: now.Add(firstAbsence << min(known.times, absenceDoubles)), times: known.times + 1,
	}
}

func (s *server) failed(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.health.Failed(now)
}

// abandoned notes that an attempt ended without telling anything of the server.
func (s *server) abandoned() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.health.Abandoned()
}

// declined notes that the server had no room.
func (s *server) declined(now time.Time, taken *slot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.health.Abandoned()
	s.group(&taken.replica).limit.Declined(now)
}
