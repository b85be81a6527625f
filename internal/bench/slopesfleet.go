package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/guavatrack/guavatrack/internal/config"
	"github.com/guavatrack/guavatrack/internal/member"
	"github.com/guavatrack/guavatrack/internal/peer"
	"github.com/guavatrack/guavatrack/internal/standin"
	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/ticket"
)

// controlNode is the control part of one node, on real TCP connections.
type controlNode struct {
	id       fleet.NodeID
	peers    *peer.Peer
	members  *member.Controller
	config   *config.Controller
	registry metrics.Registry
	stop     context.CancelFunc
	done     sync.WaitGroup
	// highest is the highest ticket number seen in the node's snapshot, by
	// which a reversion is noticed.
	highest int
}

// controlFleet is a fleet of control nodes in this process.
type controlFleet struct {
	table   *standin.Table
	reads   atomic.Int64
	writes  atomic.Int64
	nodes   []*controlNode
	started int
	regions int
	// places maps peer addresses to regions.
	places sync.Map
	random *rand.Rand
}

// countedStore counts the records that are read and written.
type countedStore struct {
	fleet *controlFleet
}

var _ table.Store = countedStore{}

func (s countedStore) Get(ctx context.Context, key table.Key) (table.Record, error) {
	s.fleet.reads.Add(1)
	return s.fleet.table.Get(ctx, key)
}

func (s countedStore) Query(ctx context.Context, span table.Range) ([]table.Record, error) {
	records, err := s.fleet.table.Query(ctx, span)
	s.fleet.reads.Add(int64(max(1, len(records))))
	return records, err
}

func (s countedStore) Transact(ctx context.Context, token table.Token, writes []table.Write) error {
	s.fleet.writes.Add(int64(len(writes)))
	return s.fleet.table.Transact(ctx, token, writes)
}

func (s countedStore) Fit(writes []table.Write) int { return s.fleet.table.Fit(writes) }

func newControlFleet(regions int, seed uint64) *controlFleet {
	return &controlFleet{
		table: standin.NewTable(), regions: regions, random: rand.New(rand.NewPCG(seed, 0)),
	}
}

func (f *controlFleet) start(ctx context.Context) (_ *controlNode, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "start a node")
		}
	}()
	number := f.started
	f.started++
	place := fleet.Place{
		Region:        fleet.Region(fmt.Sprint("region", number%f.regions)),
		FailureDomain: fleet.FailureDomain(fmt.Sprint("domain", number%(2*f.regions))),
	}
	node := &controlNode{id: fleet.NodeID(fmt.Sprintf("node%04d", number)), registry: metrics.NewRegistry()}
	node.peers = &peer.Peer{
		Address: "127.0.0.1:0", Metrics: node.registry,
		InOtherRegion: func(address string) bool {
			region, found := f.places.Load(address)
			return found && region != place.Region
		},
	}
	if err := node.peers.Listen(ctx); err != nil {
		return nil, err
	}
	address := node.peers.ListenAddress()
	f.places.Store(address, place.Region)
	f.wire(node, member.Info{
		Node: node.id, Place: place, PeerAddress: address, CallerAddress: address, OperatorAddress: address,
		StartedAt: time.Now(),
	})
	ctx, node.stop = context.WithCancel(ctx)
	node.done.Go(func() { _ = node.peers.Run(ctx) })
	node.done.Go(func() { _ = node.members.Run(ctx) })
	node.done.Go(func() { _ = node.config.Run(ctx) })
	node.done.Go(func() { node.tellLoad(ctx) })
	f.nodes = append(f.nodes, node)
	return node, nil
}

// tellLoad publishes a changing load as a node that serves does.
func (n *controlNode) tellLoad(ctx context.Context) {
	for count := 0; ; count++ {
		interval := n.members.FactInterval()
		n.members.Publish(member.Fact{Kind: "load", Value: fmt.Appendf(nil, "%d", count%100)}, 3*interval)
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}
	}
}

// wire joins the controllers of a node.
func (f *controlFleet) wire(node *controlNode, self member.Info) {
	store := countedStore{f}
	node.members = &member.Controller{Self: self, Peers: node.peers, Store: store, Metrics: node.registry}
	node.config = &config.Controller{
		Store: store, Node: node.id, Region: self.Region, Peers: node.peers, Membership: node.members, Metrics: node.registry,
	}
	node.members.Stamp, node.members.OnStamp = node.config.Stamp, node.config.ReceiveStamp
	node.peers.Resolve = node.members.Resolve
	node.members.Register()
	node.config.Register()
}

// kill ends a node without a word to the others.
func (f *controlFleet) kill(index int) {
	node := f.nodes[index]
	f.nodes = append(f.nodes[:index:index], f.nodes[index+1:]...)
	node.stop()
	node.done.Wait()
}

func (f *controlFleet) close() {
	var ended sync.WaitGroup
	for _, node := range f.nodes {
		node.stop()
		ended.Go(node.done.Wait)
	}
	ended.Wait()
}

// await polls until the condition holds on every node.
func (f *controlFleet) await(ctx context.Context, limit time.Duration, condition func(*controlNode) bool) (time.Duration, error) {
	const pollEvery = 2 * time.Millisecond
	began := time.Now()
	pending := f.nodes
	for {
		var left []*controlNode
		for _, node := range pending {
			if !condition(node) {
				left = append(left, node)
			}
		}
		took := time.Since(began)
		switch {
		case len(left) == 0:
			return took, nil
		case ctx.Err() != nil:
			return took, ctx.Err()
		case took > limit:
			return took, errors.Errorf("%d of %d nodes not there after %s, the first %s", len(left), len(f.nodes), limit, left[0].id)
		}
		pending = left
		time.Sleep(pollEvery)
	}
}

// sum adds a counter up over all nodes.
func (f *controlFleet) sum(names ...string) float64 {
	total := int64(0)
	for _, node := range f.nodes {
		for _, name := range names {
			total += metrics.GetOrRegisterCounter(name, node.registry).Count()
		}
	}
	return float64(total)
}

// markModel is the model whose replica count follows the ticket number, so
// that a fall of it is a reversion.
const markModel = "model0000"

// reverts counts the nodes whose configuration went back since the last call.
func (f *controlFleet) reverts() int {
	count := 0
	for _, node := range f.nodes {
		deployment, found := node.config.Snapshot().Deployments[markModel]
		now := 0
		if found {
			now = deployment.Replicas.Max
		}
		if now < node.highest {
			count++
		}
		node.highest = max(node.highest, now)
	}
	return count
}

// deployment returns a deployment of ordinary size.
func deployment(replicas int) *ticket.Deployment {
	return &ticket.Deployment{
		Pool: "engines", Version: "2026-12-01", Size: 16 * fleet.GiB, Accelerators: 1,
		Regions:  []fleet.Region{"region0", "region1"},
		Replicas: ticket.Replicas{Max: replicas}, Class: ticket.Interactive,
		Prices: ticket.Prices{ColdStartSecond: 0.2, AcceleratorHour: 1.5},
		Adapters: map[fleet.AdapterID]ticket.Adapter{
			"spring": {Size: 80 * fleet.MiB}, "summer": {Size: 80 * fleet.MiB}, "autumn": {Size: 80 * fleet.MiB},
		},
		Timeout: fleet.Duration(30 * time.Second), Concurrency: 16,
	}
}

func modelName(i int) fleet.ModelID { return fleet.ModelID(fmt.Sprintf("model%04d", i)) }

// fill accepts tickets that set that many models and returns the last number.
func (f *controlFleet) fill(ctx context.Context, models int) (fleet.TicketNumber, error) {
	const perTicket = ticket.MaxObjects - 1
	number := fleet.TicketNumber(0)
	for first := 0; first < models; first += perTicket {
		number++
		change := ticket.Ticket{
			Number: number, Pools: map[fleet.PoolID]*ticket.Pool{"engines": {Kind: ticket.EnginePool}},
			Deployments: make(map[fleet.ModelID]*ticket.Deployment),
		}
		for i := first; i < min(models, first+perTicket); i++ {
			change.Deployments[modelName(i)] = deployment(int(number))
		}
		if _, err := f.nodes[0].config.Apply(ctx, change, "bench"); err != nil {
			return 0, err
		}
	}
	return number, nil
}
