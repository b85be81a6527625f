package roster_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/roster"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// largeRegionBound is how long after its acknowledgement a manifest may take to be in force
// at every node of a large region.
const largeRegionBound = 4 * time.Second

// newSlowRegion starts a region whose nodes may each be slow and turned away by the store.
func newSlowRegion(t *testing.T, nodes int) *outageRegion {
	t.Helper()
	// Calls that were given up are still handled.
	t.Cleanup(func() { time.Sleep(10 * time.Second) })
	r := newRegion(t, 0, true)
	for i := range nodes {
		node := fleet.NodeID(fmt.Sprint("n", i))
		r.turnedAway[node] = &outage{}
		r.start(node)
	}
	return r
}

// slow sets how long a node takes to send or to handle each message.
func (r *outageRegion) slow(node fleet.NodeID, delay time.Duration) {
	r.network.SetSlow(node, delay)
	r.turnedAway[node].set(false, delay)
}

// TestManifestAtSlowNodesThatTheStoreTurnsAway guards against a node that has an older
// manifest in force for as long as the store turns it away: it has little processor time,
// and each request to another node for the newer one was given up after the same short time.
func TestManifestAtSlowNodesThatTheStoreTurnsAway(t *testing.T) {
	const (
		nodes      = 146
		turnedAway = 0.35
		maxDelay   = 500 * time.Millisecond
	)
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 1))
				r := newSlowRegion(t, nodes)
				time.Sleep(5 * time.Second)
				for _, node := range r.rank() {
					delay := time.Duration(random.Int64N(int64(maxDelay)))
					r.slow(node, delay)
					r.turnedAway[node].set(random.Float64() < turnedAway, delay)
				}
				for range 4 {
					r.deploy()
					time.Sleep(largeRegionBound)
					r.Check(r.late(), qt.HasLen, 0)
				}
			})
		})
	}
}

// TestManifestAtFollowersOfASlowReader guards against a node that takes "nothing new" from a
// reader for the present state of the store: the reader itself has had no answer for seconds.
// The node learns of the manifest by its feed alone.
func TestManifestAtFollowersOfASlowReader(t *testing.T) {
	for delay := 300 * time.Millisecond; delay < 3*time.Second; delay += 300 * time.Millisecond {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				t.Cleanup(func() { time.Sleep(10 * time.Second) })
				r := newOutageRegion(t, 0)
				for i := range 7 {
					node := fleet.NodeID(fmt.Sprint("n", i))
					r.turnedAway[node] = &outage{}
					r.start(node)
				}
				time.Sleep(5 * time.Second)
				for i := range 4 {
					r.turnedAway[fleet.NodeID(fmt.Sprint("n", i))].set(false, delay)
				}
				for range 5 {
					time.Sleep(700 * time.Millisecond)
					r.deploy()
					time.Sleep(inForceBound)
					for _, node := range []fleet.NodeID{"n4", "n5", "n6"} {
						r.Check(r.late(), qt.Not(qt.Contains), node)
					}
				}
			})
		})
	}
}

// TestServerThatLeavesAtANodeThatTheStoreTurnsAway guards against requests to a server that
// leaves: a reader that the store turns away had no other path to the list of servers.
func TestServerThatLeavesAtANodeThatTheStoreTurnsAway(t *testing.T) {
	leavings := map[string]func(r *outageRegion){
		"draining": func(r *outageRegion) {
			leaving := entry("e7", "1")
			leaving.Server.Draining = true
			r.servers.put(leaving)
		},
		"removed": func(r *outageRegion) { r.servers.put(roster.ServerEntry{ID: "e7"}) },
	}
	refusals := map[string]func(*outage){
		"refused":    func(o *outage) { o.set(true, 0) },
		"unanswered": func(o *outage) { o.begin() },
	}
	for how, leave := range leavings {
		for kind, turnAway := range refusals {
			for i := range 7 {
				t.Run(fmt.Sprint(how, "/", kind, "/n", i), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						r := newSlowRegion(t, 7)
						time.Sleep(5 * time.Second)
						node := fleet.NodeID(fmt.Sprint("n", i))
						turnAway(r.turnedAway[node])
						for range 3 {
							time.Sleep(1700 * time.Millisecond)
							r.servers.put(entry("e9", "1"))
						}
						leave(r)
						time.Sleep(inForceBound)
						server := r.nodes[node].View().Servers["e7"]
						r.Check(server == nil || server.Draining, qt.IsTrue)
					})
				})
			}
		}
	}
}

// TestNodeThatStartsWhileTheStoreTurnsItAway guards against a node that knows no servers for
// as long as the store turns it away: each of the others could tell it.
func TestNodeThatStartsWhileTheStoreTurnsItAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newSlowRegion(t, 2)
		time.Sleep(5 * time.Second)
		r.turnedAway["n2"] = &outage{refusing: true}
		r.start("n2")
		time.Sleep(inForceBound)
		r.Check(r.nodes["n2"].View().ServersListed, qt.IsTrue)
		r.Check(r.late(), qt.HasLen, 0)
	})
}
