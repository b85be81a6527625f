package member_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/guavatrack/guavatrack/internal/member"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

const stepInterval = time.Second

// simulation runs views in steps of one interval. A message is delivered within
// its step or lost.
type simulation struct {
	now             time.Time
	random          *rand.Rand
	ids             []fleet.NodeID
	views           map[fleet.NodeID]*member.View
	stopped, paused map[fleet.NodeID]bool
	lost            func(from, to fleet.NodeID) bool
	// crossRegionMessages counts the exchanges begun between regions.
	crossRegionMessages         int
	regions                     map[fleet.NodeID]fleet.Region
	messages                    int
	recordsSent, digestRequests int
}

func newSimulation(seed uint64, regions ...fleet.Region) *simulation {
	s := &simulation{
		now:     time.Unix(1e9, 0),
		random:  rand.New(rand.NewPCG(seed, 1)),
		views:   make(map[fleet.NodeID]*member.View),
		stopped: make(map[fleet.NodeID]bool), paused: make(map[fleet.NodeID]bool),
		regions: make(map[fleet.NodeID]fleet.Region),
		lost:    func(fleet.NodeID, fleet.NodeID) bool { return false },
	}
	for _, region := range regions {
		s.add(region)
	}
	return s
}

func (s *simulation) add(region fleet.Region) fleet.NodeID {
	id := fleet.NodeID(fmt.Sprintf("n%03d", len(s.ids)))
	s.ids = append(s.ids, id)
	s.regions[id] = region
	info := member.Info{Node: id, Place: fleet.Place{Region: region}, PeerAddress: string(id), StartedAt: s.now}
	s.views[id] = member.NewView(info, stepInterval, s.random)
	return id
}

func (s *simulation) running(id fleet.NodeID) bool { return !s.stopped[id] && !s.paused[id] }

// exchange delivers a message and its answer. It reports whether the answer arrived.
func (s *simulation) exchange(from, to fleet.NodeID, request member.Message) bool {
	s.messages++
	s.recordsSent += len(request.Members)
	s.digestRequests += boolInt(len(request.Buckets) > 0)
	if s.regions[from] != s.regions[to] {
		s.crossRegionMessages++
	}
	if !s.running(to) || s.lost(from, to) {
		return false
	}
	answer := s.views[to].Receive(s.now, request)
	s.execute(to, s.views[to].ImmediateActions(s.now))
	if s.lost(to, from) {
		return false
	}
	s.views[from].MergeAnswer(s.now, to, request, answer)
	s.execute(from, s.views[from].ImmediateActions(s.now))
	return true
}

func (s *simulation) execute(from fleet.NodeID, actions []member.Action) {
	for _, action := range actions {
		if action.Target != "" {
			s.probe(from, action)
			continue
		}
		if !s.exchange(from, action.To, action.Message) {
			s.execute(from, s.views[from].HandleFailure(s.now, action.To, s.now))
		}
	}
}

func (s *simulation) probe(from fleet.NodeID, action member.Action) {
	results := make([]member.ProbeResult, len(action.Via))
	reaches := func(a, b fleet.NodeID) bool { return s.running(b) && !s.lost(a, b) && !s.lost(b, a) }
	for i, via := range action.Via {
		switch {
		case !reaches(from, via):
		case reaches(via, action.Target):
			results[i] = member.ProbeReached
		default:
			results[i] = member.ProbeUnreachable
		}
	}
	s.views[from].HandleProbeResults(s.now, action.Target, s.now, results)
}

// joinEvery is the number of steps between two reads of the records in the table.
const joinEvery = 10

func (s *simulation) step() {
	s.now = s.now.Add(stepInterval)
	for i, id := range s.ids {
		if !s.running(id) {
			continue
		}
		s.execute(id, s.views[id].Tick(s.now))
		if s.views[id].Live(s.now); (int(s.now.Unix())+i)%joinEvery == 0 || len(s.views[id].Records()) == 1 {
			s.join(id)
		}
	}
}

// join simulates how the controller joins nodes by their records in the table.
func (s *simulation) join(id fleet.NodeID) {
	var unknown []fleet.NodeID
	for _, other := range s.ids {
		if other != id && !s.stopped[other] && !s.listsAsLive(id, other) {
			unknown = append(unknown, other)
		}
	}
	s.random.Shuffle(len(unknown), func(i, j int) { unknown[i], unknown[j] = unknown[j], unknown[i] })
	slices.SortStableFunc(unknown, func(a, b fleet.NodeID) int {
		return boolInt(s.regions[a] != s.regions[id]) - boolInt(s.regions[b] != s.regions[id])
	})
	joined := 0
	for _, other := range unknown {
		if joined == 2 {
			return
		}
		joined += boolInt(s.joinAt(id, other))
	}
}

// joinAt makes the two exchanges of a join and reports whether both were answered.
func (s *simulation) joinAt(id, other fleet.NodeID) bool {
	for range 2 {
		if !s.exchange(id, other, s.views[id].JoinRequest(other)) {
			return false
		}
	}
	return true
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// listsAsLive reports whether a view has a live record of the other node, whose
// region may be unreachable.
func (s *simulation) listsAsLive(id, other fleet.NodeID) bool {
	for _, record := range s.views[id].Records() {
		if record.Node == other {
			return record.Status == member.Alive || record.Status == member.Suspect
		}
	}
	return false
}

func (s *simulation) steps(count int) {
	for range count {
		s.step()
	}
}

// membershipMismatch describes the first node that has not been stopped and whose
// live members differ from the nodes that have not been stopped. It returns "" if
// there is none.
func (s *simulation) membershipMismatch() string {
	var want []fleet.NodeID
	for _, id := range s.ids {
		if !s.stopped[id] {
			want = append(want, id)
		}
	}
	for _, id := range want {
		var live []fleet.NodeID
		for _, info := range s.views[id].Live(s.now) {
			live = append(live, info.Node)
		}
		if !slices.Equal(live, want) {
			return fmt.Sprintf("%s sees %v, want %v", id, live, want)
		}
	}
	return ""
}

// declaredDead returns the nodes that the view of a running node has as dead.
func (s *simulation) declaredDead() []fleet.NodeID {
	var dead []fleet.NodeID
	for _, id := range s.ids {
		if !s.running(id) {
			continue
		}
		for _, record := range s.views[id].Records() {
			if record.Status == member.Dead && !slices.Contains(dead, record.Node) {
				dead = append(dead, record.Node)
			}
		}
	}
	return dead
}

func regionsOf(counts ...int) []fleet.Region {
	var list []fleet.Region
	for i, count := range counts {
		for range count {
			list = append(list, fleet.Region(fmt.Sprint("r", i)))
		}
	}
	return list
}
