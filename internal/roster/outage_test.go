package roster_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/peer/peertest"
	"github.com/guavatrack/guavatrack/internal/roster"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// inForceBound is how long after its acknowledgement, or after the end of an outage of
// the store, a manifest may take to be in force at every node.
const inForceBound = 2500 * time.Millisecond

// outage is the state of a store that can fall silent: a call that is sent or waits for
// its response meanwhile gets none, also after the silence has ended.
type outage struct {
	mu     sync.Mutex
	silent bool
	// lost counts the silences that have begun.
	lost int
	// compacted is the number of changes whose history is gone.
	compacted roster.Revision
}

func (o *outage) begin() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.silent = true
	o.lost++
}

func (o *outage) end() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.silent = false
}

func (o *outage) state() (silent bool, lost int, compacted roster.Revision) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.silent, o.lost, o.compacted
}

// probe makes a small read of the store.
func (o *outage) probe(ctx context.Context) error {
	silent, lost, _ := o.state()
	time.Sleep(storeLatency)
	return o.respond(ctx, silent, lost)
}

// respond delivers a response of a call that was sent in the given state, or waits for
// the end of the context if it is lost.
func (o *outage) respond(ctx context.Context, sentSilent bool, sentLost int) error {
	if silent, lost, _ := o.state(); !sentSilent && !silent && lost == sentLost {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

// storeFeed is a node's feed of a store that can fall silent and forget its history.
type storeFeed[T any] struct {
	*sharedFeed[T]
	outage *outage
}

func (f *storeFeed[T]) List(ctx context.Context) ([]T, roster.Revision, error) {
	silent, lost, _ := f.outage.state()
	time.Sleep(storeLatency)
	if err := f.outage.respond(ctx, silent, lost); err != nil {
		return nil, 0, err
	}
	return f.sharedFeed.List(ctx)
}

// storeLatency is the time that the store takes to respond.
const storeLatency = 4 * time.Millisecond

func (f *storeFeed[T]) Follow(ctx context.Context, after roster.Revision, wait time.Duration) ([]T, roster.Revision, error) {
	silent, lost, compacted := f.outage.state()
	time.Sleep(storeLatency)
	if after < compacted {
		if err := f.outage.respond(ctx, silent, lost); err != nil {
			return nil, 0, err
		}
		return nil, 0, roster.ErrCompacted
	}
	entries, revision, err := f.sharedFeed.Follow(ctx, after, wait)
	if err == nil {
		err = f.outage.respond(ctx, silent, lost)
	}
	return entries, revision, err
}

// outageRegion is a region of nodes that share their feeds of one store.
type outageRegion struct {
	*qt.C
	network   peertest.Network
	outage    outage
	servers   sharedFeed[roster.ServerEntry]
	manifests sharedFeed[*roster.Manifest]
	mu        sync.Mutex
	ranked    []fleet.NodeID
	nodes     map[fleet.NodeID]*roster.Controller
	stops     map[fleet.NodeID]func()
	version   uint64
}

func newOutageRegion(t *testing.T, nodes int) *outageRegion {
	t.Helper()
	r := &outageRegion{
		C: qt.New(t), nodes: make(map[fleet.NodeID]*roster.Controller), stops: make(map[fleet.NodeID]func()),
	}
	r.deploy()
	r.servers.put(manyEntries(20, "1")...)
	for i := range nodes {
		r.start(fleet.NodeID(fmt.Sprint("n", i)))
	}
	t.Cleanup(func() {
		for _, stop := range r.stops {
			stop()
		}
	})
	return r
}

// deploy writes the next manifest.
func (r *outageRegion) deploy() {
	r.version++
	r.manifests.put(&roster.Manifest{Version: r.version})
}

// rank returns the nodes that have ever been started: the others are not yet known to
// have been killed.
func (r *outageRegion) rank() []fleet.NodeID {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]fleet.NodeID(nil), r.ranked...)
}

// start runs a node. It reads the store by a feed of its own.
func (r *outageRegion) start(node fleet.NodeID) {
	r.mu.Lock()
	r.ranked = append(r.ranked, node)
	r.mu.Unlock()
	endpoint := peertest.Endpoint{Network: &r.network, Node: node}
	servers := &roster.Relay[roster.ServerEntry]{
		Name: "servers", Source: r.serverSource(),
		Key:       func(entry roster.ServerEntry) string { return string(entry.ID) },
		IsRemoval: func(entry roster.ServerEntry) bool { return entry.Server == nil },
		Node:      node, Ranked: r.rank, Peers: endpoint,
	}
	manifests := &roster.Relay[*roster.Manifest]{
		Name: "manifest", Source: r.manifestSource(),
		Key:       func(*roster.Manifest) string { return "" },
		IsRemoval: func(*roster.Manifest) bool { return false },
		Node:      node, Ranked: r.rank, Peers: endpoint,
	}
	servers.Register()
	manifests.Register()
	controller := &roster.Controller{Servers: servers, Manifests: manifests}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = controller.Run(ctx)
	}()
	r.nodes[node], r.stops[node] = controller, func() { cancel(); <-done }
}

func (r *outageRegion) serverSource() roster.Feed[roster.ServerEntry] {
	return &roster.Guard[roster.ServerEntry]{Source: &storeFeed[roster.ServerEntry]{&r.servers, &r.outage}, Probe: r.outage.probe}
}

func (r *outageRegion) manifestSource() roster.Feed[*roster.Manifest] {
	return &roster.Guard[*roster.Manifest]{Source: &storeFeed[*roster.Manifest]{&r.manifests, &r.outage}, Probe: r.outage.probe}
}

// kill stops a node and starts another one in its place, which is a node of its own. The
// others still rank the killed one.
func (r *outageRegion) kill(node, next fleet.NodeID) {
	r.stops[node]()
	delete(r.nodes, node)
	delete(r.stops, node)
	r.network.SetUnresponsive(node, true)
	r.start(next)
}

// late returns the nodes that do not have the newest manifest in force.
func (r *outageRegion) late() (nodes []fleet.NodeID) {
	for node, controller := range r.nodes {
		if manifest := controller.View().Manifest; manifest == nil || manifest.Version < r.version {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// TestManifestAfterAnOutageWithCompaction guards against a manifest that is not in force
// because the response to a list was lost: the store drops its history, the nodes list
// again, and the store is silent at that moment.
func TestManifestAfterAnOutageWithCompaction(t *testing.T) {
	for offset := time.Duration(0); offset < 2400*time.Millisecond; offset += 300 * time.Millisecond {
		t.Run(offset.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newOutageRegion(t, 6)
				time.Sleep(5 * time.Second)
				r.outage.mu.Lock()
				_, r.outage.compacted = r.manifests.after(0)
				r.outage.compacted++
				r.outage.mu.Unlock()
				r.deploy()
				time.Sleep(offset)
				r.outage.begin()
				time.Sleep(2500 * time.Millisecond)
				r.outage.end()
				r.deploy()
				time.Sleep(inForceBound)
				r.Check(r.late(), qt.HasLen, 0)
			})
		})
	}
}

// TestManifestAtNodesThatStartInAnOutage guards against nodes that know no manifest for
// long after the store has returned: the response to their first list was lost.
func TestManifestAtNodesThatStartInAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newOutageRegion(t, 6)
		time.Sleep(5 * time.Second)
		r.outage.begin()
		time.Sleep(2 * time.Second)
		for i := range 4 {
			r.kill(fleet.NodeID(fmt.Sprint("n", i)), fleet.NodeID(fmt.Sprint("m", i)))
		}
		time.Sleep(5 * time.Second)
		r.outage.end()
		r.deploy()
		time.Sleep(inForceBound)
		r.Check(r.late(), qt.HasLen, 0)
	})
}

// TestManifestAtANodeWhoseReadersWereKilled guards against a node that pauses for longer
// the longer an outage lasts, while the nodes from which it reads were killed: it had an
// older manifest in force seconds after the store had returned.
func TestManifestAtANodeWhoseReadersWereKilled(t *testing.T) {
	for _, length := range []time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second, 12 * time.Second, 30 * time.Second} {
		t.Run(length.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newOutageRegion(t, 7)
				time.Sleep(5 * time.Second)
				r.outage.begin()
				time.Sleep(time.Second)
				for i := range 4 {
					r.kill(fleet.NodeID(fmt.Sprint("n", i)), fleet.NodeID(fmt.Sprint("m", i)))
				}
				time.Sleep(length)
				r.outage.end()
				r.deploy()
				time.Sleep(inForceBound)
				r.Check(r.late(), qt.HasLen, 0)
			})
		})
	}
}

// TestDrainingServerAfterAnOutage guards against requests to a server that leaves: after
// an outage the list of servers was read again up to 6 s later, since the response that
// the node waited for had been lost.
func TestDrainingServerAfterAnOutage(t *testing.T) {
	for _, length := range []time.Duration{3 * time.Second, 5 * time.Second, 7 * time.Second, 9 * time.Second, 13 * time.Second} {
		t.Run(length.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newOutageRegion(t, 6)
				time.Sleep(5 * time.Second)
				r.outage.begin()
				time.Sleep(length)
				r.outage.end()
				leaving := entry("e7", "1")
				leaving.Server.Draining = true
				r.servers.put(leaving)
				time.Sleep(inForceBound)
				for node, controller := range r.nodes {
					r.Check(controller.View().Servers["e7"].Draining, qt.IsTrue, qt.Commentf("%s", node))
				}
			})
		})
	}
}

// TestFollowersOfAReaderThatGetsNoResponse guards against a reader that answers "nothing
// new" for as long as it gets no response itself: its list hangs, while the other nodes
// could read the store.
func TestFollowersOfAReaderThatGetsNoResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newOutageRegion(t, 7)
		time.Sleep(5 * time.Second)
		r.outage.mu.Lock()
		_, r.outage.compacted = r.manifests.after(0)
		r.outage.compacted++
		r.outage.mu.Unlock()
		r.deploy()
		time.Sleep(1900 * time.Millisecond)
		for range 10 {
			// Each response that is under way is lost again and again.
			r.outage.begin()
			r.outage.end()
			time.Sleep(50 * time.Millisecond)
		}
		r.deploy()
		time.Sleep(inForceBound)
		r.Check(r.late(), qt.HasLen, 0)
	})
}
