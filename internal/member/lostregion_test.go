package member_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/member"
	"github.com/guavatrack/guavatrack/internal/standin"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

const (
	// nodeInterval is the interval of the nodes on a platform.
	nodeInterval = 500 * time.Millisecond
	// maxNamed is for how long lost nodes may be named: the longest time for which callers
	// keep an answer of the directory (ttl_max_s).
	maxNamed = 5 * time.Second
)

// controllers are nodes in memory, for use within a synctest bubble.
type controllers struct {
	network *standin.Network
	table   *standin.Table
	nodes   []*member.Controller
	stops   map[fleet.NodeID]context.CancelFunc
	lost    map[string]bool // addresses of nodes without power
	mu      sync.Mutex
	ctx     context.Context // ends with the play
	done    sync.WaitGroup
}

// runControllers runs a function in virtual time with nodes in regions of the given sizes.
func runControllers(t *testing.T, sizes []int, play func(c *qt.C, f *controllers)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &controllers{
			network: standin.NewNetwork(), table: standin.NewTable(), stops: make(map[fleet.NodeID]context.CancelFunc), lost: make(map[string]bool),
		}
		f.network.Delay(func(from, to string) time.Duration {
			if from[:2] == to[:2] {
				return time.Millisecond
			}
			return 8 * time.Millisecond
		})
		f.network.Lose(f.isLost)
		var cancel context.CancelFunc
		f.ctx, cancel = context.WithCancel(t.Context())
		defer f.done.Wait()
		defer cancel()
		for _, region := range regionsOf(sizes...) {
			f.start(region)
		}
		time.Sleep(time.Minute)
		play(qt.New(t), f)
	})
}

func (f *controllers) isLost(from, to string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lost[from] || f.lost[to]
}

// start starts a node in a region.
func (f *controllers) start(region fleet.Region) *member.Controller {
	number := len(f.nodes)
	id := fleet.NodeID(fmt.Sprintf("n%03d", number))
	address := fmt.Sprintf("%s/%s", region, id)
	port := f.network.Port(address)
	node := &member.Controller{
		Self: member.Info{
			Node: id, Place: fleet.Place{Region: region}, PeerAddress: address, CallerAddress: "caller-" + address, StartedAt: time.Now(),
		},
		Peers: port, Store: f.table, Interval: nodeInterval, Rand: rand.New(rand.NewPCG(7, uint64(number))),
	}
	port.Resolve = node.Resolve
	node.Register()
	ctx, cancel := context.WithCancel(f.ctx)
	f.stops[id] = cancel
	f.done.Go(func() { _ = node.Run(ctx) })
	f.nodes = append(f.nodes, node)
	return node
}

// lose takes the power from the nodes that match, for good.
func (f *controllers) lose(matches func(*member.Controller) bool) {
	for _, node := range f.nodes {
		if matches(node) {
			f.stops[node.Self.Node]()
			f.mu.Lock()
			f.lost[node.Self.PeerAddress] = true
			f.mu.Unlock()
		}
	}
}

// wrong describes the first running node whose healthy members are not the running nodes; "" if
// there is none.
func (f *controllers) wrong() string {
	var want []fleet.NodeID
	for _, node := range f.nodes {
		if !f.isLost(node.Self.PeerAddress, "") {
			want = append(want, node.Self.Node)
		}
	}
	for _, node := range f.nodes {
		if !slices.Contains(want, node.Self.Node) {
			continue
		}
		var healthy []fleet.NodeID
		for _, info := range node.Healthy() {
			healthy = append(healthy, info.Node)
		}
		if !slices.Equal(healthy, want) {
			return fmt.Sprintf("%s has %v, want %v", node.Self.Node, healthy, want)
		}
	}
	return ""
}

// untilRight returns the time until no node is wrong, at most a limit.
func (f *controllers) untilRight(limit time.Duration) time.Duration {
	const step = 100 * time.Millisecond
	for waited := time.Duration(0); waited < limit; waited += step {
		if f.wrong() == "" {
			return waited
		}
		time.Sleep(step)
	}
	return limit
}

// staysRight returns what is wrong at some moment of the next time; "" if nothing is.
func (f *controllers) staysRight(span time.Duration) string {
	for until := time.Now().Add(span); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		if wrong := f.wrong(); wrong != "" {
			return wrong
		}
	}
	return ""
}

func inRegions(regions ...fleet.Region) func(*member.Controller) bool {
	return func(node *member.Controller) bool { return slices.Contains(regions, node.Self.Region) }
}

// TestLostRegionIsNamedNoMore guards against callers who are sent to the nodes of a region that
// is lost for good: no node of it was left to declare the others dead. The test of 295 nodes
// runs if GUAVATRACK_LONG is set.
func TestLostRegionIsNamedNoMore(t *testing.T) {
	for _, test := range []struct {
		name  string
		sizes []int
		lost  func(*member.Controller) bool
		away  bool
		long  bool
	}{
		{name: "6 nodes", sizes: []int{4, 2}, lost: inRegions("r1")},
		{name: "90 nodes", sizes: []int{60, 30}, lost: inRegions("r1")},
		{name: "295 nodes", sizes: []int{200, 95}, lost: inRegions("r1"), long: true},
		{name: "two regions of three", sizes: []int{3, 4, 2}, lost: inRegions("r1", "r2")},
		{name: "region of one node", sizes: []int{5, 1}, lost: inRegions("r1")},
		{name: "store away", sizes: []int{4, 2}, lost: inRegions("r1"), away: true},
		{name: "one node left in all", sizes: []int{4, 2}, lost: func(node *member.Controller) bool { return node.Self.Node != "n002" }},
		{name: "one node left of a pair", sizes: []int{4, 2}, lost: func(node *member.Controller) bool { return node.Self.Node != "n005" }},
	} {
		t.Run(test.name, func(t *testing.T) {
			if test.long && os.Getenv("GUAVATRACK_LONG") == "" {
				t.Skip("takes minutes with the race detector; set GUAVATRACK_LONG")
			}
			runControllers(t, test.sizes, func(c *qt.C, f *controllers) {
				c.Assert(f.wrong(), qt.Equals, "")
				f.table.SetFaults(standin.TableFaults{Down: test.away})
				f.lose(test.lost)
				named := f.untilRight(time.Minute)
				c.Logf("lost nodes were named for %s", named)
				c.Assert(named <= maxNamed, qt.IsTrue, qt.Commentf("%s: %s", named, f.wrong()))
				c.Assert(f.staysRight(2*time.Minute), qt.Equals, "")
			})
		})
	}
}

// TestNewNodeDoesNotNameALostRegion guards against a node that starts after the loss of a region
// and names the nodes of it, whose records are still exchanged and stored.
func TestNewNodeDoesNotNameALostRegion(t *testing.T) {
	for _, sizes := range [][]int{{4, 2}, {1, 3}, {3, 3, 3}} {
		runControllers(t, sizes, func(c *qt.C, f *controllers) {
			f.lose(inRegions("r1"))
			time.Sleep(maxNamed)
			c.Assert(f.wrong(), qt.Equals, "")
			for range 3 {
				f.start("r0")
				for range 200 {
					time.Sleep(50 * time.Millisecond)
					for _, info := range slices.Concat(f.nodes[len(f.nodes)-1].Healthy(), f.nodes[0].Healthy()) {
						c.Assert(strings.HasPrefix(info.PeerAddress, "r1"), qt.IsFalse, qt.Commentf("%v", sizes))
					}
				}
				c.Assert(f.wrong(), qt.Equals, "")
			}
		})
	}
}

// TestRegionIsNamedAgainAtOnce guards against a region that stays unnamed after a cut between
// regions has healed, and after one of its nodes is back, or a new one is there, after a loss.
func TestRegionIsNamedAgainAtOnce(t *testing.T) {
	for _, sizes := range [][]int{{4, 2}, {60, 30}} {
		runControllers(t, sizes, func(c *qt.C, f *controllers) {
			f.network.Lose(func(from, to string) bool { return from[:2] != to[:2] })
			time.Sleep(maxNamed)
			for _, info := range f.nodes[0].Healthy() {
				c.Assert(info.Region, qt.Equals, fleet.Region("r0"))
			}
			for _, info := range f.nodes[len(f.nodes)-1].Healthy() {
				c.Assert(info.Region, qt.Equals, fleet.Region("r1"))
			}
			f.network.Lose(f.isLost)
			named := f.untilRight(time.Minute)
			c.Logf("%v: named again %s after the cut", sizes, named)
			c.Assert(named <= maxNamed, qt.IsTrue, qt.Commentf("%s: %s", named, f.wrong()))

			f.lose(inRegions("r1"))
			c.Assert(f.untilRight(time.Minute) <= maxNamed, qt.IsTrue)
			time.Sleep(10 * time.Second)
			started := f.start("r1")
			right := func() bool {
				return slices.ContainsFunc(f.nodes[0].Healthy(), func(info member.Info) bool { return info.Node == started.Self.Node })
			}
			began := time.Now()
			for !right() && time.Since(began) < time.Minute {
				time.Sleep(50 * time.Millisecond)
			}
			c.Logf("%v: a new node is named after %s", sizes, time.Since(began))
			c.Assert(time.Since(began) <= maxNamed, qt.IsTrue)
			c.Logf("%v: only the new node is named after %s more", sizes, f.untilRight(time.Minute))
			c.Assert(f.wrong(), qt.Equals, "")
		})
	}
}
