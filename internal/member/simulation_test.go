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

const tick = time.Second

// simulation runs views in steps of one interval. Messages arrive within the
// step or never.
type simulation struct {
	now             time.Time
	random          *rand.Rand
	ids             []fleet.NodeID
	views           map[fleet.NodeID]*member.View
	stopped, paused map[fleet.NodeID]bool
	lost            func(from, to fleet.NodeID) bool
	// crossings counts messages between regions.
	crossings     int
	regions       map[fleet.NodeID]fleet.Region
	messages      int
	told, buckets int
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
	s.views[id] = member.NewView(info, tick, s.random)
	return id
}

func (s *simulation) running(id fleet.NodeID) bool { return !s.stopped[id] && !s.paused[id] }

// exchange carries one message and its answer.
func (s *simulation) exchange(from, to fleet.NodeID, request member.Message) bool {
	s.messages++
	s.told += len(request.Members)
	s.buckets += boolInt(len(request.Buckets) > 0)
	if s.regions[from] != s.regions[to] {
		s.crossings++
	}
	if !s.running(to) || s.lost(from, to) {
		return false
	}
	answer := s.views[to].Receive(s.now, request)
	s.carryOut(to, s.views[to].Hurry(s.now))
	if s.lost(to, from) {
		return false
	}
	s.views[from].Answered(s.now, to, request, answer)
	s.carryOut(from, s.views[from].Hurry(s.now))
	return true
}

func (s *simulation) carryOut(from fleet.NodeID, actions []member.Action) {
	for _, action := range actions {
		if action.Target != "" {
			s.probe(from, action)
			continue
		}
		if !s.exchange(from, action.To, action.Message) {
			s.carryOut(from, s.views[from].Failed(s.now, action.To, s.now))
		}
	}
}

func (s *simulation) probe(from fleet.NodeID, action member.Action) {
	results := make([]member.Probe, len(action.Via))
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
	s.views[from].Probed(s.now, action.Target, s.now, results)
}

// joinEvery is the number of steps between the reads of the table's records.
const joinEvery = 10

func (s *simulation) step() {
	s.now = s.now.Add(tick)
	for i, id := range s.ids {
		if !s.running(id) {
			continue
		}
		s.carryOut(id, s.views[id].Tick(s.now))
		if s.views[id].Live(s.now); (int(s.now.Unix())+i)%joinEvery == 0 || len(s.views[id].Records()) == 1 {
			s.join(id)
		}
	}
}

// join does what the controller does with the records in the table.
func (s *simulation) join(id fleet.NodeID) {
	var unknown []fleet.NodeID
	for _, other := range s.ids {
		if other != id && !s.stopped[other] && !s.holds(id, other) {
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

// joinAt makes the two exchanges of a join.
func (s *simulation) joinAt(id, other fleet.NodeID) bool {
	for range 2 {
		if !s.exchange(id, other, s.views[id].Join(other)) {
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

// holds reports whether a view has the other node as live, or as cut off.
func (s *simulation) holds(id, other fleet.NodeID) bool {
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

// wrong describes a running node whose live members are not the running nodes.
func (s *simulation) wrong() string {
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

// declaredDead returns the nodes that a running view holds for dead.
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
