package origin

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/internal/peer/peertest"
	"github.com/guavatrack/guavatrack/internal/roster"
	"github.com/guavatrack/guavatrack/internal/standin"
	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

const (
	pool = fleet.PoolID("advisor")
	old  = fleet.SoftwareVersion("v1")
	next = fleet.SoftwareVersion("v2")
	// settled is longer than nodes take to read the base versions.
	settled = 2 * time.Second
)

// partialStore is the store as one node reaches it.
type partialStore struct {
	table.Store
	// current returns the era of the store.
	current func() table.Era

	mu         sync.Mutex
	cut        bool
	era        table.Era
	afterWrite func()
}

// Era returns the newest era that the node has seen; it reads the store all the time.
func (s *partialStore) Era() table.Era {
	current := s.current()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.cut {
		s.era = current
	}
	return s.era
}

func (s *partialStore) setCut(cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut = cut
}

func (s *partialStore) reachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.cut
}

func (s *partialStore) Get(ctx context.Context, key table.Key) (table.Record, error) {
	if !s.reachable() {
		return table.Record{}, table.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

func (s *partialStore) Query(ctx context.Context, span table.Range) ([]table.Record, error) {
	if !s.reachable() {
		return nil, table.ErrUnavailable
	}
	return s.Store.Query(ctx, span)
}

func (s *partialStore) Transact(ctx context.Context, token table.Token, writes []table.Write) error {
	if !s.reachable() {
		return table.ErrUnavailable
	}
	err := s.Store.Transact(ctx, token, writes)
	if after := s.takeAfterWrite(); after != nil {
		after()
	}
	return err
}

// setAfterWrite has a function called once, right after the next transaction.
func (s *partialStore) setAfterWrite(after func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.afterWrite = after
}

func (s *partialStore) takeAfterWrite() (after func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	after, s.afterWrite = s.afterWrite, nil
	return after
}

// testNode is a node of a test with its own view of the servers.
type testNode struct {
	*Controller
	store  *partialStore
	cancel context.CancelFunc
	done   chan struct{}
	// alone has the node take all others for gone.
	alone atomic.Bool

	mu   sync.Mutex
	view *roster.View
}

func (n *testNode) list(versions ...fleet.SoftwareVersion) {
	view := &roster.View{ServersListed: true, Servers: make(map[fleet.ServerID]*roster.Server), Manifest: &roster.Manifest{
		Hosts: map[string][]*roster.Route{"host": {{
			Kind: roster.Stream, Resumable: true, Timeout: 20 * time.Second, Targets: []roster.Target{{Pool: pool}},
		}}},
	}}
	for i, software := range versions {
		id := fleet.ServerID(fmt.Sprint("server", i))
		view.Servers[id] = &roster.Server{ID: id, Pool: pool, Software: software}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.view = view
}

// stop ends the node's process.
func (n *testNode) stop() {
	n.cancel()
	<-n.done
}

// cluster is a set of nodes that share a store.
type cluster struct {
	*qt.C
	table   *standin.Table
	network peertest.Network
	nodes   []*testNode
	// started counts the nodes; they read it at any time.
	started atomic.Int32
	// wrap returns the store that nodes use; nil means the table.
	wrap func(table.Store) table.Store

	mu  sync.Mutex
	era table.Era
	// dead are the nodes that were killed.
	dead map[fleet.NodeID]bool
	// copies are those of the store, oldest first.
	copies []storeCopy
}

// storeCopy is a copy of the store as it was at a time.
type storeCopy struct {
	at      time.Time
	records []table.Record
}

func newCluster(t *testing.T, nodes int, versions ...fleet.SoftwareVersion) *cluster {
	t.Helper()
	c := &cluster{C: qt.New(t), table: standin.NewTable()}
	c.startAll(t, nodes, versions...)
	return c
}

// startAll starts a number of nodes, which are stopped at the end of the test, and waits until
// they can tell what a restoration took: they were there before.
func (c *cluster) startAll(t *testing.T, nodes int, versions ...fleet.SoftwareVersion) {
	t.Helper()
	for range nodes {
		c.start(versions...)
	}
	t.Cleanup(func() {
		for _, node := range c.nodes {
			node.stop()
		}
	})
	time.Sleep(maxCopyAge)
}

func (c *cluster) currentEra() table.Era {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.era
}

// start starts a node that lists servers of the versions.
func (c *cluster) start(versions ...fleet.SoftwareVersion) *testNode {
	node := c.newNode(len(c.nodes), versions...)
	c.nodes = append(c.nodes, node)
	c.started.Store(int32(len(c.nodes)))
	return node
}

// newNode starts the node at a position.
func (c *cluster) newNode(at int, versions ...fleet.SoftwareVersion) *testNode {
	id := fleet.NodeID(fmt.Sprint("n", at))
	node := &testNode{store: &partialStore{Store: c.table, current: c.currentEra}, done: make(chan struct{})}
	if c.wrap != nil {
		node.store.Store = c.wrap(c.table)
	}
	node.list(versions...)
	endpoint := peertest.Endpoint{Network: &c.network, Node: id}
	node.Controller = &Controller{
		Store: node.store, Era: node.store.Era, Peers: endpoint,
		View: func() *roster.View {
			node.mu.Lock()
			defer node.mu.Unlock()
			return node.view
		},
		Nodes: func() (others []fleet.NodeID) {
			for i := range c.started.Load() {
				if other := fleet.NodeID(fmt.Sprint("n", i)); other != id && !node.alone.Load() && !c.isDead(other) {
					others = append(others, other)
				}
			}
			return others
		},
		Sweeps: func() bool { return id == "n0" },
	}
	node.Register(endpoint)
	ctx, cancel := context.WithCancel(context.Background())
	node.cancel = cancel
	go func() {
		defer close(node.done)
		_ = node.Run(ctx)
	}()
	return node
}

// kill ends the process of the node at a position at once. The others notice that.
func (c *cluster) kill(at int) {
	id := fleet.NodeID(fmt.Sprint("n", at))
	c.network.SetUnresponsive(id, true)
	c.nodes[at].stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dead == nil {
		c.dead = make(map[fleet.NodeID]bool)
	}
	c.dead[id] = true
}

func (c *cluster) isDead(id fleet.NodeID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dead[id]
}

// list has all nodes list servers of the versions.
func (c *cluster) list(versions ...fleet.SoftwareVersion) {
	for _, node := range c.nodes {
		node.list(versions...)
	}
	time.Sleep(settled)
}

// restore restores the store from a copy that lacks the records of streams.
func (c *cluster) restore() {
	for _, record := range c.table.Snapshot(partition, streamPrefix) {
		c.Assert(c.table.Transact(context.Background(), "", []table.Write{{Key: record.Key, Expect: record.Version}}), qt.IsNil)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.era++
}

func (c *cluster) records() int { return len(c.table.Snapshot(partition, streamPrefix)) }

func (c *cluster) begin(node *testNode, request fleet.RequestID, software fleet.SoftwareVersion) {
	c.Helper()
	c.Assert(node.Record(context.Background(), pool, request, software), qt.IsNil)
}

func (c *cluster) checkFound(node *testNode, request fleet.RequestID, want fleet.SoftwareVersion) {
	c.Helper()
	got, err := node.Find(context.Background(), dispatch.Rest{Pool: pool, Request: request})
	c.Check(err, qt.IsNil)
	c.Check(got, qt.Equals, want)
}

// Guards against a stream that goes on at another version since the node that is asked for
// the rest has not seen its beginning, also after all nodes have started anew.
func TestVersionOfAStreamIsFoundAfterTheLossOfAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, old, old)
		c.begin(c.nodes[0], "early", old)
		c.list(old, next)
		c.begin(c.nodes[0], "base", old)
		c.begin(c.nodes[0], "newer", next)
		for _, node := range c.nodes {
			node.stop()
		}
		started := c.start(next, old)
		for _, node := range []*testNode{c.nodes[1], started} {
			c.checkFound(node, "early", old)
			c.checkFound(node, "base", old)
			c.checkFound(node, "newer", next)
		}
	})
}

// Guards against writes to the store while a single version serves.
func TestSingleVersionNeedsNoRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, old)
		before := c.table.Counts()
		for i := range 100 {
			c.begin(c.nodes[i%3], fleet.RequestID(fmt.Sprint("r", i)), old)
		}
		c.Check(c.table.Counts(), qt.Equals, before)
		c.Check(before.Writes <= 3, qt.IsTrue)
	})
}

// Guards against one write for each stream while many begin at once.
func TestStreamsThatBeginTogetherShareATransaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, old)
		c.list(old, next)
		c.table.SetFaults(standin.TableFaults{Delay: 10 * time.Millisecond})
		before := c.table.Counts().Transactions
		var group sync.WaitGroup
		for i := range 90 {
			group.Go(func() { c.begin(c.nodes[0], fleet.RequestID(fmt.Sprint("r", i)), next) })
		}
		group.Wait()
		c.Check(c.table.Counts().Transactions-before <= 2, qt.IsTrue)
		c.Check(c.records(), qt.Equals, 90)
	})
}

// Guards against an event that is passed on before the record exists: answers and requests
// of the store that are lost are made up for.
func TestStreamIsRecordedThoughAnswersOfTheStoreAreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, old)
		c.list(old, next)
		c.table.SetFaults(standin.TableFaults{LoseAnswers: 1})
		c.begin(c.nodes[0], "a", next)
		c.table.SetFaults(standin.TableFaults{LoseRequests: 2})
		c.begin(c.nodes[0], "b", next)
		c.Check(c.records(), qt.Equals, 2)
		c.checkFound(c.nodes[1], "a", next)
		c.checkFound(c.nodes[1], "b", next)
	})
}

// Guards against one request that names itself the beginning of streams of two versions.
func TestRequestThatBeganAnotherStreamIsNotRecordedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, old)
		c.list(old, next, "v3")
		c.begin(c.nodes[0], "a", next)
		err := c.nodes[1].Record(context.Background(), pool, "a", "v3")
		c.Check(err, qt.ErrorIs, ErrNotRecorded)
		c.begin(c.nodes[1], "a", next)
		c.checkFound(c.nodes[1], "a", next)
	})
}

// Guards against a version that is guessed while the store is unreachable, and against
// streams of a single version that cannot go on then.
func TestOutageOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, old)
		c.begin(c.nodes[0], "a", old)
		c.table.SetFaults(standin.TableFaults{Down: true})
		_, err := c.nodes[1].Find(context.Background(), dispatch.Rest{Pool: pool, Request: "unrecorded"})
		c.Check(err, qt.ErrorIs, ErrUnknown)
		c.table.SetFaults(standin.TableFaults{})
		time.Sleep(minRetention)
		c.begin(c.nodes[0], "a", old)
		c.table.SetFaults(standin.TableFaults{Down: true})
		c.checkFound(c.nodes[0], "a", old)
		c.checkFound(c.nodes[1], "unrecorded", old)
		c.nodes[2].list(old, next)
		_, err = c.nodes[1].Find(context.Background(), dispatch.Rest{Pool: pool, Request: "unrecorded"})
		c.Check(err, qt.ErrorIs, ErrUnknown)
		c.checkFound(c.nodes[1], "a", old)
		c.Check(c.nodes[2].Record(context.Background(), pool, "b", next), qt.ErrorIs, ErrNotRecorded)
		only, restricted := c.nodes[2].Restriction(pool)
		c.Check(restricted, qt.IsTrue)
		c.Check(only, qt.Equals, old)
		c.table.SetFaults(standin.TableFaults{})
		time.Sleep(settled)
		_, restricted = c.nodes[2].Restriction(pool)
		c.Check(restricted, qt.IsFalse)
		c.begin(c.nodes[2], "b", next)
		c.checkFound(c.nodes[1], "b", next)
	})
}

// Guards against streams that a node ends or refuses since it alone lost the store.
func TestNodeThatLostTheStoreAsksAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, old)
		c.list(old, next)
		c.nodes[0].store.setCut(true)
		c.begin(c.nodes[0], "a", next)
		c.Check(c.records(), qt.Equals, 1)
		c.checkFound(c.nodes[2], "a", next)
		c.begin(c.nodes[2], "b", next)
		c.checkFound(c.nodes[0], "b", next)
		c.checkFound(c.nodes[0], "unrecorded", old)
		c.table.SetFaults(standin.TableFaults{LoseAnswers: 1})
		c.begin(c.nodes[0], "c", next)
		c.checkFound(c.nodes[1], "c", next)
	})
}

// Guards against streams that are kept from beginning at a node that lost the store though
// another node can write their records, and against a restriction that outlasts an outage.
func TestStreamsAreRestrictedOnlyWhileNoNodeCanRecordThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, old)
		c.list(old, next)
		c.nodes[0].store.setCut(true)
		c.begin(c.nodes[0], "a", next)
		time.Sleep(settled)
		_, restricted := c.nodes[0].Restriction(pool)
		c.Check(restricted, qt.IsFalse)
		c.table.SetFaults(standin.TableFaults{Down: true})
		c.Check(c.nodes[0].Record(context.Background(), pool, "b", next), qt.ErrorIs, ErrNotRecorded)
		only, restricted := c.nodes[0].Restriction(pool)
		c.Check(restricted, qt.IsTrue)
		c.Check(only, qt.Equals, old)
		c.table.SetFaults(standin.TableFaults{})
		time.Sleep(settled)
		_, restricted = c.nodes[0].Restriction(pool)
		c.Check(restricted, qt.IsFalse)
		c.begin(c.nodes[0], "c", next)
	})
}

// Guards against a base version that changes while callers may ask for the rest of its
// streams, or that stays for ever.
func TestBaseVersionIsReplacedAfterTheRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, old)
		c.list(old, next)
		c.list(next)
		time.Sleep(minRetention - 2*settled)
		c.checkFound(c.nodes[1], "early", old)
		c.begin(c.nodes[0], "recorded", next)
		c.Check(c.records(), qt.Equals, 1)
		time.Sleep(singleReadInterval + 4*settled)
		c.begin(c.nodes[0], "unrecorded", next)
		c.Check(c.records(), qt.Equals, 1)
		for _, request := range []fleet.RequestID{"recorded", "unrecorded"} {
			c.checkFound(c.nodes[1], request, next)
		}
		c.list(next, old)
		c.begin(c.nodes[0], "back", old)
		c.checkFound(c.nodes[1], "back", old)
		c.checkFound(c.nodes[1], "unrecorded", next)
	})
}

// Guards against a stream that goes on at the base version since its record was lost with
// the restoration of the store.
func TestRecordsAreWrittenAgainAfterTheStoreWasRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, old)
		c.list(old, next)
		c.begin(c.nodes[0], "a", next)
		c.restore()
		c.checkFound(c.nodes[1], "a", next)
		c.checkFound(c.nodes[1], "unrecorded", old)
		c.Check(c.records(), qt.Equals, 1)
		started := c.start(old, next)
		c.checkFound(started, "a", next)
	})
}

// Guards against records that stay in the store for ever.
func TestExpiredRecordsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, old)
		c.list(old, next)
		for i := range 250 {
			c.begin(c.nodes[0], fleet.RequestID(fmt.Sprint("r", i)), next)
		}
		time.Sleep(minRetention - settled)
		c.Check(c.records(), qt.Equals, 250)
		time.Sleep(3 * sweepInterval)
		c.Check(c.records(), qt.Equals, 0)
	})
}

// Guards against a version that is guessed for a caller that does not name the request
// that began its stream.
func TestStreamThatIsNotNamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, old)
		c.checkFound(c.nodes[0], "", old)
		c.list(old, next)
		_, err := c.nodes[0].Find(context.Background(), dispatch.Rest{Pool: pool, Request: ""})
		c.Check(err, qt.ErrorIs, ErrUnknown)
	})
}

// Guards against streams of all pools that cannot go on since another writer left one odd
// record.
func TestOddRecordOfABaseVersionIsWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, old)
		c.list(old, next)
		c.begin(c.nodes[0], "a", next)
		odd := table.Write{Key: baseKey(pool), Expect: 1, Body: []byte("[[[")}
		c.Assert(c.table.Transact(context.Background(), "", []table.Write{odd}), qt.IsNil)
		started := c.start(old, next)
		c.checkFound(started, "a", next)
		time.Sleep(2 * mixedReadInterval)
		c.checkFound(started, "unrecorded", old)
	})
}
