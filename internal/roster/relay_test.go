package roster_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/peer/peertest"
	"github.com/guavatrack/guavatrack/internal/roster"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// countedFeed counts a node's reads of a feed, and fails them while cut is set.
type countedFeed[T any] struct {
	roster.Feed[T]
	reads *atomic.Int64
	cut   *atomic.Bool
	// failures counts the reads that failed.
	failures *atomic.Int64
}

func (f *countedFeed[T]) List(ctx context.Context) ([]T, roster.Revision, error) {
	f.reads.Add(1)
	if f.cut.Load() {
		f.failures.Add(1)
		return nil, 0, errDown
	}
	return f.Feed.List(ctx)
}

func (f *countedFeed[T]) Follow(ctx context.Context, after roster.Revision, wait time.Duration) ([]T, roster.Revision, error) {
	if f.cut.Load() {
		f.failures.Add(1)
		return nil, 0, errDown
	}
	entries, revision, err := f.Feed.Follow(ctx, after, wait)
	f.reads.Add(1)
	return entries, revision, err
}

// relayRegion is a region of nodes that share their feeds.
type relayRegion struct {
	network   peertest.Network
	servers   sharedFeed[roster.ServerEntry]
	manifests sharedFeed[*roster.Manifest]
	ranked    []fleet.NodeID
	nodes     map[fleet.NodeID]*roster.Controller
	reads     map[fleet.NodeID]*atomic.Int64
	cuts      map[fleet.NodeID]*atomic.Bool
	failures  atomic.Int64
}

// startRelayRegion starts nodes. Without order all nodes rank the nodes in the
// same order; with it, the order function returns the ranking that each node
// uses.
func startRelayRegion(t *testing.T, nodes int, order ...func(all []fleet.NodeID, own int) []fleet.NodeID) *relayRegion {
	t.Helper()
	r := &relayRegion{
		nodes: make(map[fleet.NodeID]*roster.Controller), reads: make(map[fleet.NodeID]*atomic.Int64),
		cuts: make(map[fleet.NodeID]*atomic.Bool),
	}
	for i := range nodes {
		r.ranked = append(r.ranked, fleet.NodeID(fmt.Sprint("n", i)))
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for i, node := range r.ranked {
		ranked := r.ranked
		if len(order) > 0 {
			ranked = order[0](r.ranked, i)
		}
		controller := r.controller(node, func() []fleet.NodeID { return ranked })
		group.Go(func() { _ = controller.Run(ctx) })
	}
	t.Cleanup(func() { cancel(); group.Wait() })
	return r
}

func (r *relayRegion) controller(node fleet.NodeID, ranked func() []fleet.NodeID) *roster.Controller {
	r.reads[node], r.cuts[node] = &atomic.Int64{}, &atomic.Bool{}
	servers := &roster.Relay[roster.ServerEntry]{
		Name: "servers", Source: &countedFeed[roster.ServerEntry]{&r.servers, r.reads[node], r.cuts[node], &r.failures},
		Key:       func(entry roster.ServerEntry) string { return string(entry.ID) },
		IsRemoval: func(entry roster.ServerEntry) bool { return entry.Server == nil },
		Node:      node, Ranked: ranked, Peers: peertest.Endpoint{Network: &r.network, Node: node},
	}
	manifests := &roster.Relay[*roster.Manifest]{
		Name: "manifest", Source: &countedFeed[*roster.Manifest]{&r.manifests, r.reads[node], r.cuts[node], &r.failures},
		Key:       func(*roster.Manifest) string { return "" },
		IsRemoval: func(*roster.Manifest) bool { return false }, Format: roster.ManifestFormat,
		Node: node, Ranked: ranked, Peers: peertest.Endpoint{Network: &r.network, Node: node},
	}
	servers.Register()
	manifests.Register()
	r.nodes[node] = &roster.Controller{Servers: servers, Manifests: manifests}
	return r.nodes[node]
}

// publish writes servers and the first manifest to the store.
func (r *relayRegion) publish(servers int) {
	r.servers.put(manyEntries(servers, "1")...)
	r.manifests.put(&roster.Manifest{Version: 1})
}

// hasSecondManifest reports whether the second manifest is in force.
func hasSecondManifest(view *roster.View) bool { return view.Manifest.Version == 2 }

// allViews reports whether the views of all nodes meet a condition, apart from
// the nodes left out.
func (r *relayRegion) allViews(matches func(*roster.View) bool, without ...fleet.NodeID) bool {
	for node, controller := range r.nodes {
		if !slices.Contains(without, node) && !matches(controller.View()) {
			return false
		}
	}
	return true
}

func manyEntries(count int, boot string) (entries []roster.ServerEntry) {
	for i := range count {
		entries = append(entries, entry(fmt.Sprint("e", i), boot))
	}
	return entries
}

func hasServers(count int) func(*roster.View) bool {
	return func(view *roster.View) bool { return len(view.Servers) == count }
}

// TestOnlyReadersOfARegionReadTheStore guards against a saturated region link:
// without readers, all nodes of a region read a long list over it.
func TestOnlyReadersOfARegionReadTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		r := startRelayRegion(t, 33)
		r.servers.put(manyEntries(1000, "1")...)
		r.manifests.put(&roster.Manifest{Version: 1, Pools: map[fleet.PoolID]*roster.Pool{"p": {ID: "p"}}})
		time.Sleep(4 * time.Second)
		c.Assert(r.allViews(hasServers(1000)), qt.IsTrue)
		for _, reads := range r.reads {
			reads.Store(0)
		}
		r.servers.put(roster.ServerEntry{ID: "e7"}, entry("e8", "2"))
		r.manifests.put(&roster.Manifest{Version: 2})
		time.Sleep(8 * time.Second)
		c.Check(r.allViews(hasServers(999)), qt.IsTrue)
		c.Check(r.allViews(func(view *roster.View) bool { return view.Servers["e8"].Boot == "2" }), qt.IsTrue)
		c.Check(r.allViews(hasSecondManifest), qt.IsTrue)
		time.Sleep(20 * time.Second)
		readerCount := 0
		for _, reads := range r.reads {
			if reads.Load() > 0 {
				readerCount++
			}
		}
		c.Check(readerCount, qt.Equals, 4)
	})
}

// TestNodeReadsTheStoreIfItsReadersFail checks that nodes whose readers all fail
// read the store themselves, within the time in which a manifest must be in
// force.
func TestNodeReadsTheStoreIfItsReadersFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		r := startRelayRegion(t, 12)
		r.publish(20)
		time.Sleep(5 * time.Second)
		for _, node := range r.ranked[:4] {
			r.network.SetUnresponsive(node, true)
		}
		r.manifests.put(&roster.Manifest{Version: 2})
		r.servers.put(roster.ServerEntry{ID: "e7"})
		time.Sleep(2500 * time.Millisecond)
		c.Check(r.allViews(hasSecondManifest, r.ranked[:4]...), qt.IsTrue)
		time.Sleep(time.Second)
		c.Check(r.allViews(hasServers(19), r.ranked[:4]...), qt.IsTrue)
	})
}

// TestNodeReadsTheStoreIfItsReadersLostIt checks that nodes still read changes if
// the readers can't reach the store but the nodes themselves can.
func TestNodeReadsTheStoreIfItsReadersLostIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		r := startRelayRegion(t, 12)
		r.publish(20)
		time.Sleep(5 * time.Second)
		for _, node := range r.ranked[:4] {
			r.cuts[node].Store(true)
		}
		time.Sleep(3 * time.Second)
		r.manifests.put(&roster.Manifest{Version: 2})
		time.Sleep(2 * time.Second)
		for _, node := range r.ranked[4:] {
			c.Check(r.nodes[node].View().Manifest.Version, qt.Equals, uint64(2))
		}
	})
}

// TestOutageOfTheStoreIsTriedByFewReads guards against a fleet that all reads a store
// that is down, as often as its readers do, and checks that the nodes still notice its
// end within the time in which a manifest must be in force.
func TestOutageOfTheStoreIsTriedByFewReads(t *testing.T) {
	const (
		outage = 8 * time.Second
		// Four readers try both feeds about five times a second, the others both feeds at
		// a pause that doubles from half a second.
		maxReaderReads   = 4 * 2 * 8 * 8
		maxFollowerReads = 28 * 2 * 6
	)
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		r := startRelayRegion(t, 32)
		r.publish(20)
		time.Sleep(5 * time.Second)
		for _, cut := range r.cuts {
			cut.Store(true)
		}
		time.Sleep(outage)
		failures := r.failures.Load()
		t.Logf("%d failed reads by 32 nodes in %v", failures, outage)
		c.Check(failures <= maxReaderReads+maxFollowerReads, qt.IsTrue, qt.Commentf("%d", failures))
		for _, cut := range r.cuts {
			cut.Store(false)
		}
		r.manifests.put(&roster.Manifest{Version: 2})
		time.Sleep(2 * time.Second)
		c.Check(r.allViews(hasSecondManifest), qt.IsTrue)
	})
}

// TestNodesThatDisagreeOnReadersReadChanges guards against nodes of which none
// reads the store: each ranks another one as the only reader.
func TestNodesThatDisagreeOnReadersReadChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		r := startRelayRegion(t, 12, func(all []fleet.NodeID, own int) []fleet.NodeID {
			next := all[(own+1)%len(all)]
			return []fleet.NodeID{next, next, next, next, all[own]}
		})
		r.publish(20)
		time.Sleep(6 * time.Second)
		r.manifests.put(&roster.Manifest{Version: 2})
		time.Sleep(2 * time.Second)
		c.Check(r.allViews(hasSecondManifest), qt.IsTrue)
	})
}

// TestOldRemovalsAreDeleted checks that readers delete old removals: servers
// are added and removed under new names for a long time, and a node that was
// disconnected meanwhile lists the feed again and keeps none of them.
func TestOldRemovalsAreDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		r := startRelayRegion(t, 6)
		r.publish(5)
		time.Sleep(5 * time.Second)
		last := r.ranked[5]
		r.network.SetUnresponsive(last, true)
		r.cuts[last].Store(true)
		time.Sleep(3 * time.Second)
		r.servers.put(roster.ServerEntry{ID: "e1"})
		for i := range 300 {
			id := fmt.Sprint("short", i)
			r.servers.put(entry(id, "1"))
			time.Sleep(500 * time.Millisecond)
			r.servers.put(roster.ServerEntry{ID: fleet.ServerID(id)})
			time.Sleep(500 * time.Millisecond)
		}
		c.Check(r.nodes[last].View().Servers["e1"], qt.IsNotNil)
		r.network.SetUnresponsive(last, false)
		time.Sleep(8 * time.Second)
		c.Check(r.nodes[last].View().Servers, qt.HasLen, 4)
	})
}

// TestDrainingReachesAllNodesWhileManyEntriesChange answers the pattern of hundreds of
// engines whose models change all the time: a server that begins to drain is known at
// every node of the region well within the 4 s after which no request may reach it.
func TestDrainingReachesAllNodesWhileManyEntriesChange(t *testing.T) {
	const (
		servers = 256
		bound   = 2500 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		r := startRelayRegion(t, 30)
		r.servers.put(manyEntries(servers, "1")...)
		time.Sleep(5 * time.Second)
		for step := range 60 {
			// Each entry changes about once a second.
			r.servers.put(manyEntries(servers, fmt.Sprint("1", step))[step%4*servers/4 : (step%4+1)*servers/4]...)
			time.Sleep(250 * time.Millisecond)
		}
		leaving := manyEntries(1, "1")[0]
		draining := *leaving.Server
		draining.Draining = true
		leaving.Server = &draining
		r.servers.put(leaving)
		began := time.Now()
		known := func() int {
			count := 0
			for _, node := range r.nodes {
				if server := node.View().Servers[draining.ID]; server != nil && server.Draining {
					count++
				}
			}
			return count
		}
		for step := 0; known() < len(r.nodes) && time.Since(began) < 10*time.Second; step++ {
			r.servers.put(manyEntries(servers, fmt.Sprint("2", step))[servers/2:]...)
			time.Sleep(250 * time.Millisecond)
		}
		c.Check(time.Since(began) <= bound, qt.IsTrue, qt.Commentf("%s", time.Since(began)))
	})
}
