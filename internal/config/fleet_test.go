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

// nodes is a fleet in memory, to be used within a synctest bubble.
type nodes struct {
	network *standin.Network
	table   *standin.Table
	list    []*node
	started int
	done    sync.WaitGroup
}

type node struct {
	address string
	link    *link
	seeds   *atomic.Pointer[[]string]
	members *member.Controller
	config  *config.Controller
	stop    context.CancelFunc
}

// link is one node's way to the table.
type link struct {
	store    table.Store
	down     atomic.Bool
	replaced atomic.Pointer[standin.Table]
}

var _ table.Store = (*link)(nil)

// end returns the table that the link leads to.
func (l *link) end() (table.Store, error) {
	if l.down.Load() {
		return nil, table.ErrUnavailable
	}
	if replaced := l.replaced.Load(); replaced != nil {
		return replaced, nil
	}
	return l.store, nil
}

func (l *link) Get(ctx context.Context, key table.Key) (table.Record, error) {
	end, err := l.end()
	if err != nil {
		return table.Record{}, err
	}
	return end.Get(ctx, key)
}

func (l *link) Query(ctx context.Context, span table.Range) ([]table.Record, error) {
	end, err := l.end()
	if err != nil {
		return nil, err
	}
	return end.Query(ctx, span)
}

func (l *link) Transact(ctx context.Context, token table.Token, writes []table.Write) error {
	end, err := l.end()
	if err != nil {
		return err
	}
	return end.Transact(ctx, token, writes)
}

func newNodes() *nodes {
	n := &nodes{network: standin.NewNetwork(), table: standin.NewTable()}
	n.network.Delay(func(string, string) time.Duration { return 2 * time.Millisecond })
	return n
}

// start adds a node in a region.
func (n *nodes) start(ctx context.Context, region fleet.Region) *node {
	number := n.started
	n.started++
	id := fleet.NodeID(fmt.Sprintf("n%02d", number))
	address := string(region) + "/" + string(id)
	port := n.network.Port(address)
	store := &link{store: n.table}
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
	settings := &config.Controller{Store: store, Node: id, Region: region, Peers: port, Group: members}
	members.Stamp, members.Heard = settings.Stamp, settings.Heard
	port.Resolve = members.Resolve
	members.Register()
	settings.Register()
	ctx, cancel := context.WithCancel(ctx)
	n.done.Go(func() { _ = members.Run(ctx) })
	n.done.Go(func() { _ = settings.Run(ctx) })
	added := &node{address: address, link: store, seeds: seeds, members: members, config: settings, stop: cancel}
	n.list = append(n.list, added)
	return added
}

// end stops one node.
func (n *nodes) end(gone *node) {
	gone.stop()
	n.network.Remove(gone.address)
	n.list = slices.DeleteFunc(n.list, func(other *node) bool { return other == gone })
}

// stopAll ends every node.
func (n *nodes) stopAll() {
	for _, node := range n.list {
		node.stop()
	}
	n.done.Wait()
}

// agree reports whether all nodes hold the same configuration.
func (n *nodes) agree() bool {
	for _, node := range n.list {
		if node.config.Digest() != n.list[0].config.Digest() || node.config.Revision() != n.list[0].config.Revision() {
			return false
		}
	}
	return true
}

// model returns a ticket that sets one deployment, and its pool with the first.
func model(number fleet.TicketNumber, name fleet.ModelID, replicas int) ticket.Ticket {
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
		n := newNodes()
		defer n.stopAll()
		for i := range 9 {
			n.start(t.Context(), fleet.Region([]string{"east", "west"}[i%2]))
		}
		time.Sleep(30 * time.Second)
		for _, node := range n.list {
			c.Assert(node.members.Members(), qt.HasLen, 9)
			c.Assert(node.config.Current(), qt.IsTrue)
		}
		accepted, err := n.list[3].config.Apply(t.Context(), model(1, "hop-advisor", 2), "ada")
		c.Assert(err, qt.IsNil)
		time.Sleep(2 * time.Second)
		c.Assert(n.agree(), qt.IsTrue)
		c.Assert(n.list[8].config.Snapshot().Serves(fleet.Item{Model: "hop-advisor"}), qt.IsTrue)
		for _, state := range n.list[0].config.Watch(t.Context(), accepted.Revision) {
			c.Assert(state.State, qt.Equals, config.Confirmed)
		}
	})
}
