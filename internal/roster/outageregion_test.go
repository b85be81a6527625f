package roster_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/peer"
	"github.com/guavatrack/guavatrack/internal/peer/peertest"
	"github.com/guavatrack/guavatrack/internal/roster"
	"github.com/guavatrack/guavatrack/internal/wait"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// outage is the state of a store that can fall silent: a call that is sent or waits for
// its response meanwhile gets none, also after the silence has ended.
type outage struct {
	mu     sync.Mutex
	silent bool
	// lost counts the silences that have begun.
	lost int
	// compacted is the number of changes whose history is gone.
	compacted roster.Revision
	// refusing has each call refused at once.
	refusing bool
	// delay is added to each response: the node takes so long to handle it.
	delay time.Duration
}

// set changes the state of the store as one node sees it.
func (o *outage) set(refusing bool, delay time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.refusing, o.delay = refusing, delay
}

// pass waits for the node's delay, and fails if the store refuses the call.
func (o *outage) pass(ctx context.Context) error {
	o.mu.Lock()
	refusing, delay := o.refusing, o.delay
	o.mu.Unlock()
	if !wait.For(ctx, delay) {
		return ctx.Err()
	}
	if refusing {
		return errDown
	}
	return nil
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
		return o.pass(ctx)
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
	if err := f.outage.pass(ctx); err != nil {
		return nil, 0, err
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
	// stamps has the nodes exchange the versions that they have in force.
	stamps bool
	// turnedAway holds the nodes that get no response from the store.
	turnedAway map[fleet.NodeID]*outage
	// older holds the nodes of a build that does not know organisations.
	older map[fleet.NodeID]bool
	// manifest, if set, changes each manifest before it is deployed.
	manifest func(next *roster.Manifest)
	// onManifest, if set, is called with each manifest that comes into force at a node.
	onManifest func(node fleet.NodeID, manifest *roster.Manifest)
}

// newOutageRegion starts a region whose nodes learn of the manifest by their own feeds
// alone.
func newOutageRegion(t *testing.T, nodes int) *outageRegion { return newRegion(t, nodes, false) }

// newStampedRegion starts a region whose nodes also learn of the manifest from each other.
func newStampedRegion(t *testing.T, nodes int) *outageRegion { return newRegion(t, nodes, true) }

func newRegion(t *testing.T, nodes int, stamps bool) *outageRegion {
	t.Helper()
	r := &outageRegion{
		C: qt.New(t), nodes: make(map[fleet.NodeID]*roster.Controller), stops: make(map[fleet.NodeID]func()), stamps: stamps,
		turnedAway: make(map[fleet.NodeID]*outage),
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
	next := &roster.Manifest{Version: r.version}
	if r.manifest != nil {
		r.manifest(next)
	}
	r.manifests.put(next)
}

// compact has the store drop its history, the next manifest included.
func (r *outageRegion) compact() {
	_, revision := r.manifests.after(0)
	r.outage.mu.Lock()
	r.outage.compacted = revision + 1
	r.outage.mu.Unlock()
	r.deploy()
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
	endpoint := r.endpoint(node)
	servers := &roster.Relay[roster.ServerEntry]{
		Name: "servers", Source: r.serverSource(node),
		Key:       func(entry roster.ServerEntry) string { return string(entry.ID) },
		IsRemoval: func(entry roster.ServerEntry) bool { return entry.Server == nil },
		Node:      node, Ranked: r.rank, Peers: endpoint, MaxAge: 2400 * time.Millisecond,
	}
	manifests := &roster.Relay[*roster.Manifest]{
		Name: "manifest", Source: r.manifestSource(node),
		Key:       func(*roster.Manifest) string { return "" },
		IsRemoval: func(*roster.Manifest) bool { return false }, Format: roster.ManifestFormat,
		Node: node, Ranked: r.rank, Peers: endpoint, MaxAge: 2 * time.Second,
	}
	servers.Register()
	manifests.Register()
	controller := &roster.Controller{Servers: servers, Manifests: manifests}
	if r.older[node] {
		manifests.Format = 0
	}
	if r.onManifest != nil {
		controller.OnChange = func(view *roster.View) {
			if view.Manifest != nil {
				r.onManifest(node, view.Manifest)
			}
		}
	}
	members := &stampExchange{region: r, node: node, peers: endpoint}
	members.manifests = &roster.ManifestExchange{Roster: controller, Peers: endpoint, Announce: members.announce}
	members.manifests.Register()
	endpoint.Handle(exchangeMethod, peer.Typed(members.receive))
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = controller.Run(ctx) })
	if r.stamps {
		group.Go(func() { _ = members.manifests.Run(ctx) })
		group.Go(func() { members.run(ctx) })
	}
	r.nodes[node], r.stops[node] = controller, func() { cancel(); group.Wait() }
}

// stampExchange exchanges stamps as members do: with one of eight neighbours in each
// interval, in turn, and with three at once when the node announces something. Each node has
// neighbours of its own.
type stampExchange struct {
	region    *outageRegion
	node      fleet.NodeID
	peers     roster.Peers
	manifests *roster.ManifestExchange
	next      int
	due       atomic.Bool
}

const (
	exchangeMethod   = "exchange"
	exchangeInterval = 500 * time.Millisecond
	announceFanout   = 3
	neighbourCycles  = 8
)

type stampMessage struct {
	From  fleet.NodeID    `json:"from"`
	Stamp json.RawMessage `json:"stamp"`
}

func (e *stampExchange) announce() { e.due.Store(true) }

func (e *stampExchange) receive(ctx context.Context, message stampMessage) (stampMessage, error) {
	e.manifests.ReceiveStamp(ctx, message.From, message.Stamp)
	return stampMessage{From: e.node, Stamp: e.manifests.Stamp()}, nil
}

func (e *stampExchange) run(ctx context.Context) {
	const step = exchangeInterval / 5
	for sinceTick := time.Duration(0); ctx.Err() == nil; sinceTick += step {
		wait.For(ctx, step)
		fanout := 0
		if sinceTick%exchangeInterval == 0 {
			fanout = 1
		}
		if e.due.Swap(false) {
			fanout = announceFanout
		}
		for range fanout {
			e.exchange(ctx)
		}
	}
}

func (e *stampExchange) exchange(ctx context.Context) {
	ranked := e.region.rank()
	e.next++
	// The distance to the neighbour in each cycle; no two nodes have the same neighbour in one.
	distance := 1 + e.next%neighbourCycles*(len(ranked)-1)/neighbourCycles
	neighbour := ranked[(slices.Index(ranked, e.node)+distance)%len(ranked)]
	ctx, cancel := context.WithTimeout(ctx, exchangeInterval/2)
	defer cancel()
	var answer stampMessage
	request := stampMessage{From: e.node, Stamp: e.manifests.Stamp()}
	if err := e.peers.Call(ctx, neighbour, exchangeMethod, request, &answer); err == nil {
		e.manifests.ReceiveStamp(ctx, answer.From, answer.Stamp)
	}
}

// outageOf returns the state of the store as a node sees it.
func (r *outageRegion) outageOf(node fleet.NodeID) *outage {
	if own := r.turnedAway[node]; own != nil {
		return own
	}
	return &r.outage
}

func (r *outageRegion) serverSource(node fleet.NodeID) roster.Feed[roster.ServerEntry] {
	seen := r.outageOf(node)
	return &roster.Guard[roster.ServerEntry]{Source: &storeFeed[roster.ServerEntry]{&r.servers, seen}, Probe: seen.probe}
}

func (r *outageRegion) manifestSource(node fleet.NodeID) roster.Feed[*roster.Manifest] {
	seen := r.outageOf(node)
	source := roster.Feed[*roster.Manifest](&storeFeed[*roster.Manifest]{&r.manifests, seen})
	if r.older[node] {
		source = olderSource{source}
	}
	return &roster.Guard[*roster.Manifest]{Source: source, Probe: seen.probe}
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

// killFirst kills the first nodes that were started.
func (r *outageRegion) killFirst(count int) {
	for i := range count {
		r.kill(fleet.NodeID(fmt.Sprint("n", i)), fleet.NodeID(fmt.Sprint("m", i)))
	}
}
