package ratelimit_test

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/member"
	"github.com/guavatrack/guavatrack/internal/peer/peertest"
	"github.com/guavatrack/guavatrack/internal/ratelimit"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

const (
	limitedServer = fleet.ServerID("s")
	boot          = fleet.BootID("1")
	// callerPatience is how long a request waits for a token.
	callerPatience = 2 * time.Second
	// window, excess and slack are the bound that servers set: in some window they get at
	// most excess times what their limit allows, and slack requests.
	window = 4 * time.Second
	excess = 1.5
	slack  = 5
)

// facts is a store of facts that all nodes share, with a delay.
type facts struct {
	mu    sync.Mutex
	facts map[string]member.Fact
	at    map[string]time.Time
}

// factsDelay is the time until a fact has reached the other nodes.
const factsDelay = 300 * time.Millisecond

// nodeFacts is the store as one node sees it.
type nodeFacts struct {
	*facts
	node fleet.NodeID
}

func (f *nodeFacts) Publish(fact member.Fact, _ time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := string(f.node) + "/" + fact.Key
	fact.Owner, fact.Version = f.node, f.facts.facts[key].Version+1
	f.facts.facts[key], f.at[key] = fact, time.Now()
	return true
}

func (f *nodeFacts) Facts(string) (list []member.Fact) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for key, fact := range f.facts.facts {
		if time.Since(f.at[key]) >= factsDelay {
			list = append(list, fact)
		}
	}
	return list
}

// simulation is a fleet of nodes before one server that names a limit.
type simulation struct {
	*qt.C
	network peertest.Network
	facts   facts
	mu      sync.Mutex
	live    map[fleet.NodeID]bool
	nodes   []*ratelimit.Controller
	ids     []fleet.NodeID
	random  *rand.Rand
	// chosen is the owner among the live nodes, if it has been determined.
	chosen fleet.NodeID
	// limit is what the server names; negative if nothing.
	limit float64
	// arrivals holds when requests arrived since the limit was named, sent is the number
	// of all requests that were sent.
	arrivals []time.Time
	sent     int
}

func newSimulation(t *testing.T, nodes int) *simulation {
	t.Helper()
	s := &simulation{
		C: qt.New(t), live: make(map[fleet.NodeID]bool), random: rand.New(rand.NewPCG(1, uint64(nodes))), limit: -1,
		facts: facts{facts: make(map[string]member.Fact), at: make(map[string]time.Time)},
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for i := range nodes {
		id := fleet.NodeID(fmt.Sprint("n", i))
		s.ids, s.live[id] = append(s.ids, id), true
		node := &ratelimit.Controller{
			Node: id, Owner: func(fleet.ServerID) fleet.NodeID { return s.owner() },
			Peers: peertest.Endpoint{Network: &s.network, Node: id}, Facts: &nodeFacts{&s.facts, id},
		}
		node.Register()
		s.nodes = append(s.nodes, node)
		group.Go(func() { _ = node.Run(ctx) })
		group.Go(func() {
			for ctx.Err() == nil {
				time.Sleep(250 * time.Millisecond)
				node.Receive()
			}
		})
	}
	t.Cleanup(func() { cancel(); group.Wait() })
	return s
}

// owner returns the live node with the highest hash.
func (s *simulation) owner() fleet.NodeID {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.chosen == "" {
		s.chosen = s.chooseOwner()
	}
	return s.chosen
}

func (s *simulation) chooseOwner() (owner fleet.NodeID) {
	var highest uint64
	for _, id := range s.ids {
		hash := fnv.New64a()
		_, _ = io.WriteString(hash, string(id))
		if s.live[id] && (owner == "" || hash.Sum64() > highest) {
			owner, highest = id, hash.Sum64()
		}
	}
	return owner
}

// kill ends a node: it is no longer reachable, and no member a second later.
func (s *simulation) kill(id fleet.NodeID) {
	s.network.SetUnresponsive(id, true)
	time.AfterFunc(time.Second, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.live[id], s.chosen = false, ""
	})
}

// request makes a request at a node: it waits for a token for callerPatience.
func (s *simulation) request(node *ratelimit.Controller) {
	for began := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		if node.Available(limitedServer, boot) > 0 && node.Take(limitedServer, boot) {
			break
		}
		node.Want(limitedServer)
		if time.Since(began) > callerPatience {
			return
		}
	}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, time.Now())
	limit := s.limit
	s.sent++
	s.mu.Unlock()
	time.Sleep(5 * time.Millisecond)
	if limit < 0 {
		node.RecordNoLimit(limitedServer, boot)
	} else {
		node.RecordLimit(limitedServer, boot, limit)
	}
}

// press has requests arrive at random for a while, perSecond of them over the given nodes.
func (s *simulation) press(duration time.Duration, perSecond float64, nodes ...*ratelimit.Controller) {
	var group sync.WaitGroup
	for end := time.Now().Add(duration); time.Now().Before(end); {
		time.Sleep(time.Duration(s.random.ExpFloat64() / perSecond * float64(time.Second)))
		node := nodes[s.random.IntN(len(nodes))]
		group.Go(func() { s.request(node) })
	}
	group.Wait()
}

// name has the server name a limit from now on.
func (s *simulation) name(limit float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit, s.arrivals = limit, nil
}

// mostArrivals returns the largest number of arrivals in one window, of those later than
// from.
func (s *simulation) mostArrivals(from time.Time) (most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := 0
	for i, at := range s.arrivals {
		for s.arrivals[first].Before(from) && first < i || at.Sub(s.arrivals[first]) > window {
			first++
		}
		if !at.Before(from) {
			most = max(most, i-first+1)
		}
	}
	return most
}

func allowed(limit float64) int { return int(excess*window.Seconds()*limit) + slack }

// TestLimitIsKeptAndUsed presses one server with many times its limit, at fleets of several
// sizes, from all nodes and from a single one that is not the owner. In no window does it
// get more than it takes, and it gets most of what it does.
func TestLimitIsKeptAndUsed(t *testing.T) {
	for _, nodes := range []int{1, 6, 7, 295} {
		for _, limit := range []float64{0.5, 1.2, 20} {
			for _, uneven := range []bool{false, true} {
				t.Run(fmt.Sprint(nodes, " nodes, limit ", limit, ", uneven ", uneven), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						s := newSimulation(t, nodes)
						senders := s.nodes
						if uneven {
							senders = s.nodes[:1]
						}
						s.press(2*time.Second, 6*limit+2, senders...)
						s.name(limit)
						named := time.Now()
						s.press(20*time.Second, 6*limit+2, senders...)
						most := s.mostArrivals(named.Add(500 * time.Millisecond))
						used := float64(len(s.arrivals)) / (limit * time.Since(named).Seconds())
						t.Logf("most in %s: %d of %d; share of the limit that is used: %.2f", window, most, allowed(limit), used)
						s.Check(most <= allowed(limit), qt.IsTrue, qt.Commentf("%d", most))
						s.Check(used > 0.7, qt.IsTrue, qt.Commentf("%.2f", used))
					})
				})
			}
		}
	}
}

// TestLimitIsKeptWhenItsOwnerIsLost kills the node that hands out the tokens, again and
// again: the next one hands out none that are used beside those of the one before.
func TestLimitIsKeptWhenItsOwnerIsLost(t *testing.T) {
	const limit = 1.2
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, 7)
		s.press(2*time.Second, 10, s.nodes...)
		s.name(limit)
		named := time.Now()
		for range 4 {
			s.press(5*time.Second, 10, s.nodes...)
			s.kill(s.owner())
		}
		s.press(5*time.Second, 10, s.nodes...)
		most := s.mostArrivals(named.Add(500 * time.Millisecond))
		s.Check(most <= allowed(limit), qt.IsTrue, qt.Commentf("%d", most))
		s.Check(len(s.arrivals) > int(limit*25/2), qt.IsTrue, qt.Commentf("%d", len(s.arrivals)))
	})
}

// TestLimitThatChangesAndEnds lowers a limit, raises it, and withdraws it: nodes that have
// no answer of the server since then follow as well.
func TestLimitThatChangesAndEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, 7)
		s.press(time.Second, 40, s.nodes...)
		for _, limit := range []float64{5, 1, 10} {
			s.name(limit)
			time.Sleep(500 * time.Millisecond)
			s.press(4*time.Second, 40, s.nodes...)
			changed := time.Now()
			s.press(8*time.Second, 40, s.nodes...)
			most := s.mostArrivals(changed)
			s.Check(most <= allowed(limit), qt.IsTrue, qt.Commentf("limit %v: %d", limit, most))
		}
		s.name(-1)
		s.press(2*time.Second, 40, s.nodes...)
		before := s.sent
		s.press(2*time.Second, 40, s.nodes...)
		s.Check(s.sent-before > 60, qt.IsTrue, qt.Commentf("%d", s.sent-before))
		for _, node := range s.nodes {
			s.Check(node.ShareOf(limitedServer, boot), qt.Equals, 0.0)
		}
	})
}

// TestRestartedServerStartsWithoutALimit checks that a limit holds for one run of a server.
func TestRestartedServerStartsWithoutALimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, 2)
		s.nodes[0].RecordLimit(limitedServer, boot, 0.5)
		time.Sleep(time.Second)
		for _, node := range s.nodes {
			s.Check(node.ShareOf(limitedServer, boot), qt.Equals, 0.5)
			s.Check(node.Available(limitedServer, "2") > 1000, qt.IsTrue)
		}
	})
}

// TestServerThatTakesNothingIsAskedNowAndThen checks the lowest limits: a request in ten
// seconds remains, without which nobody would hear that the limit has ended.
func TestServerThatTakesNothingIsAskedNowAndThen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, 6)
		s.press(time.Second, 20, s.nodes...)
		s.name(0)
		time.Sleep(500 * time.Millisecond)
		s.press(30*time.Second, 20, s.nodes...)
		s.Check(s.mostArrivals(time.Now().Add(-25*time.Second)) <= 2, qt.IsTrue)
		s.Check(len(s.arrivals) >= 3, qt.IsTrue, qt.Commentf("%d", len(s.arrivals)))
	})
}
