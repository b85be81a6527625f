package config_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/config"
	"github.com/guavatrack/guavatrack/internal/member"
	"github.com/guavatrack/guavatrack/internal/standin"
	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/ticket"
)

// testFleet is an in-memory fleet for use within a synctest bubble.
type testFleet struct {
	network *standin.Network
	table   *standin.Table
	list    []*testNode
	started int
	done    sync.WaitGroup
}

type testNode struct {
	address string
	store   *nodeStore
	seeds   *atomic.Pointer[[]string]
	members *member.Controller
	config  *config.Controller
	stop    context.CancelFunc
}

// nodeStore is one node's connection to the shared table. It can be made
// unavailable or redirected to another table.
type nodeStore struct {
	shared   table.Store
	down     atomic.Bool
	replaced atomic.Pointer[standin.Table]
}

var _ table.Store = (*nodeStore)(nil)

// target returns the table that calls are sent to.
func (s *nodeStore) target() (table.Store, error) {
	if s.down.Load() {
		return nil, table.ErrUnavailable
	}
	if replaced := s.replaced.Load(); replaced != nil {
		return replaced, nil
	}
	return s.shared, nil
}

func (s *nodeStore) Get(ctx context.Context, key table.Key) (table.Record, error) {
	target, err := s.target()
	if err != nil {
		return table.Record{}, err
	}
	return target.Get(ctx, key)
}

func (s *nodeStore) Query(ctx context.Context, span table.Range) ([]table.Record, error) {
	target, err := s.target()
	if err != nil {
		return nil, err
	}
	return target.Query(ctx, span)
}

func (s *nodeStore) Transact(ctx context.Context, token table.Token, writes []table.Write) error {
	target, err := s.target()
	if err != nil {
		return err
	}
	return target.Transact(ctx, token, writes)
}

func (s *nodeStore) Fit(writes []table.Write) int { return s.shared.Fit(writes) }

func newTestFleet() *testFleet {
	n := &testFleet{network: standin.NewNetwork(), table: standin.NewTable()}
	n.network.Delay(func(string, string) time.Duration { return 2 * time.Millisecond })
	return n
}

// start adds a node in a region.
func (n *testFleet) start(ctx context.Context, region fleet.Region) *testNode {
	number := n.started
	n.started++
	id := fleet.NodeID(fmt.Sprintf("n%02d", number))
	address := string(region) + "/" + string(id)
	port := n.network.Port(address)
	store := &nodeStore{shared: n.table}
	place := fleet.Place{Region: region, FailureDomain: fleet.FailureDomain(fmt.Sprint(region, number%2))}
	seeds := new(atomic.Pointer[[]string])
	members := &member.Controller{
		Seeds: func(context.Context) ([]string, error) {
			if addresses := seeds.Load(); addresses != nil {
				return *addresses, nil
			}
			return nil, nil
		},
		Self:  member.Info{Node: id, Place: place, PeerAddress: address, CallerAddress: "caller-" + address},
		Peers: port, Store: store, Rand: rand.New(rand.NewPCG(1, uint64(number))),
	}
	controller := &config.Controller{Store: store, Node: id, Region: region, Peers: port, Membership: members}
	members.Stamp, members.OnStamp = controller.Stamp, controller.ReceiveStamp
	port.Resolve = members.Resolve
	members.Register()
	controller.Register()
	ctx, cancel := context.WithCancel(ctx)
	n.done.Go(func() { _ = members.Run(ctx) })
	n.done.Go(func() { _ = controller.Run(ctx) })
	added := &testNode{address: address, store: store, seeds: seeds, members: members, config: controller, stop: cancel}
	n.list = append(n.list, added)
	return added
}

// stopNode stops one node and removes it from the fleet.
func (n *testFleet) stopNode(stopped *testNode) {
	stopped.stop()
	n.network.Remove(stopped.address)
	n.list = slices.DeleteFunc(n.list, func(other *testNode) bool { return other == stopped })
}

// stopAll stops every node and waits until all have ended.
func (n *testFleet) stopAll() {
	for _, node := range n.list {
		node.stop()
	}
	n.done.Wait()
}

// converged reports whether all nodes have the same revision and digest.
func (n *testFleet) converged() bool {
	for _, node := range n.list {
		if node.config.Digest() != n.list[0].config.Digest() || node.config.Revision() != n.list[0].config.Revision() {
			return false
		}
	}
	return true
}

// deploymentTicket returns a ticket that sets one deployment and its pool.
func deploymentTicket(number fleet.TicketNumber, name fleet.ModelID, replicas int) ticket.Ticket {
	return ticket.Ticket{
		Number: number,
		Pools:  map[fleet.PoolID]*ticket.Pool{"engines": {Kind: ticket.EnginePool}},
		Deployments: map[fleet.ModelID]*ticket.Deployment{name: {
			Pool: "engines", Version: "1", Size: fleet.GiB, Accelerators: 1,
			Replicas: ticket.Replicas{Max: replicas}, Class: ticket.Batch,
			Timeout: fleet.Duration(time.Minute), Concurrency: 4,
		}},
	}
}

func TestTicketReachesEveryNodeOfTwoRegions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := newTestFleet()
		defer n.stopAll()
		for i := range 9 {
			n.start(t.Context(), fleet.Region([]string{"east", "west"}[i%2]))
		}
		time.Sleep(30 * time.Second)
		for _, node := range n.list {
			c.Assert(node.members.Members(), qt.HasLen, 9)
			c.Assert(node.config.Current(), qt.IsTrue)
		}
		accepted, err := n.list[3].config.Apply(t.Context(), deploymentTicket(1, "hop-advisor", 2), "ada")
		c.Assert(err, qt.IsNil)
		time.Sleep(2 * time.Second)
		c.Assert(n.converged(), qt.IsTrue)
		c.Assert(n.list[8].config.Snapshot().Serves(fleet.Item{Model: "hop-advisor"}), qt.IsTrue)
		for _, state := range n.list[0].config.QueryMemberStates(t.Context(), accepted.Revision) {
			c.Assert(state.State, qt.Equals, config.Confirmed)
		}
	})
}
