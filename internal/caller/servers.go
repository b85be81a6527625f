package caller

import (
	"hash/maphash"
	"math"
	"sync"
	"time"

	"github.com/guavatrack/guavatrack/internal/admission"
	"github.com/guavatrack/guavatrack/internal/engine"
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
}

type serverShard struct {
	mu      sync.Mutex
	servers map[fleet.ServerID]*server
}

// server is the node's own view of a backend server.
type server struct {
	id fleet.ServerID

	mu      sync.Mutex
	health  route.Health
	running map[*slot]struct{}
	models  map[fleet.ModelID]*modelSlots
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

// modelSlots bounds the requests of one model and its adapters.
type modelSlots struct {
	limit    admission.Limit
	inFlight int
	// absent says until when an item is taken to be gone although the last
	// report still shows it.
	absent map[fleet.Item]time.Time
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
			id: id, running: make(map[*slot]struct{}), models: make(map[fleet.ModelID]*modelSlots),
		}
		shard.servers[id] = found
	}
	return found
}

// forget drops the state of servers that have no requests.
func (s *serverShards) forget(listed func(fleet.ServerID) bool) {
	for at := range s.shards {
		shard := &s.shards[at]
		shard.mu.Lock()
		for id, state := range shard.servers {
			if state.load() == 0 && !listed(id) {
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

// slots returns the bound of a model. The caller holds the lock.
func (s *server) slots(model fleet.ModelID, concurrency int) *modelSlots {
	found := s.models[model]
	if found == nil {
		found = &modelSlots{}
		s.models[model] = found
	}
	found.limit.Max = max(1, concurrency)
	return found
}

// firstByteLife is the time in which an average that is not renewed loses its
// weight.
const firstByteLife = 10 * time.Second

// candidate describes the server for a choice.
func (s *server) candidate(now time.Time, replica *engine.Replica, call *Call) route.Candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	slots := s.slots(replica.Item.Model, call.Deployment.Concurrency)
	slots.limit.Report(now, replica.AsOf, replica.Running, replica.Queued, slots.inFlight)
	candidate := route.Candidate{
		Server: s.id, Place: replica.Place, InFlight: slots.inFlight, Limit: slots.limit.Value(),
		Others: max(0, replica.Running+replica.Queued-slots.inFlight), AsOf: replica.AsOf,
		ReadySince: replica.ReadySince, Ejected: s.health.Ejected(now),
	}
	if s.firstByte > 0 {
		fade := math.Exp(-float64(now.Sub(s.firstByteAt)) / float64(firstByteLife))
		candidate.FirstByte = time.Duration(float64(s.firstByte) * fade)
	}
	switch {
	case s.exclusive != nil && s.exclusive != call, now.Before(s.closedUntil),
		replica.Boot != "" && replica.Boot == s.deadBoot, now.Before(slots.absent[replica.Item]):
		candidate.Limit, candidate.InFlight = 0, math.MaxInt
	}
	return candidate
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
	if taken.replica.Item.Model != "" {
		s.slots(taken.replica.Item.Model, taken.call.Deployment.Concurrency).inFlight++
	}
}

// leave gives a slot back.
func (s *server) leave(taken *slot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, taken)
	if s.exclusive == taken.call {
		s.exclusive = nil
	}
	if model := taken.replica.Item.Model; model != "" {
		s.slots(model, taken.call.Deployment.Concurrency).inFlight--
	}
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
			aboard = append(aboard, taken.call.digest)
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
	if model := taken.replica.Item.Model; model != "" {
		slots := s.slots(model, taken.call.Deployment.Concurrency)
		slots.limit.Succeeded(slots.inFlight, taken.firstByte)
	}
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

// absentLife is how long an item that a server did not have is taken to be gone.
const absentLife = time.Second

// lacked notes that the server does not hold the item of a slot.
func (s *server) lacked(now time.Time, taken *slot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.health.Abandoned()
	slots := s.slots(taken.replica.Item.Model, taken.call.Deployment.Concurrency)
	if slots.absent == nil {
		slots.absent = make(map[fleet.Item]time.Time)
	}
	slots.absent[taken.replica.Item] = now.Add(absentLife)
}

func (s *server) failed(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.health.Failed(now)
}

// declined notes that the server had no room.
func (s *server) declined(now time.Time, taken *slot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.health.Abandoned()
	s.slots(taken.replica.Item.Model, taken.call.Deployment.Concurrency).limit.Declined(now)
}

// serviceCandidate describes the server of a plain service for a choice.
func (s *server) serviceCandidate(now time.Time, place fleet.Place) route.Candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	candidate := route.Candidate{
		Server: s.id, Place: place, InFlight: len(s.running), Limit: serviceLimit, Ejected: s.health.Ejected(now),
	}
	if s.exclusive != nil || now.Before(s.closedUntil) {
		candidate.Limit, candidate.InFlight = 0, math.MaxInt
	}
	return candidate
}
