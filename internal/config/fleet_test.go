package config_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/config"
	"github.com/guavatrack/guavatrack/internal/member"
	"github.com/guavatrack/guavatrack/internal/standin"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/ticket"
)

// nodes is a fleet in memory, to be used within a synctest bubble.
type nodes struct {
	network *standin.Network
	table   *standin.Table
	list    []*node
	done    sync.WaitGroup
}

type node struct {
	address string
	members *member.Controller
	config  *config.Controller
	stop    context.CancelFunc
}

func newNodes() *nodes {
	n := &nodes{network: standin.NewNetwork(), table: standin.NewTable()}
	n.network.Delay = 2 * time.Millisecond
	return n
}

// start adds a node in a region.
func (n *nodes) start(ctx context.Context, region fleet.Region) *node {
	number := len(n.list)
	id := fleet.NodeID(fmt.Sprintf("n%02d", number))
	address := string(region) + "/" + string(id)
	port := n.network.Port(address)
	place := fleet.Place{Region: region, FailureDomain: fleet.FailureDomain(fmt.Sprint(region, number%2))}
	members := &member.Controller{
		Self:  member.Info{Node: id, Place: place, PeerAddress: address, CallerAddress: "caller-" + address},
		Peers: port, Store: n.table, Rand: rand.New(rand.NewPCG(1, uint64(number))),
	}
	settings := &config.Controller{Store: n.table, Node: id, Region: region, Peers: port, Group: members}
	members.Stamp, members.Heard = settings.Stamp, settings.Heard
	port.Resolve = members.Resolve
	members.Register()
	settings.Register()
	ctx, cancel := context.WithCancel(ctx)
	n.done.Go(func() { _ = members.Run(ctx) })
	n.done.Go(func() { _ = settings.Run(ctx) })
	added := &node{address: address, members: members, config: settings, stop: cancel}
	n.list = append(n.list, added)
	return added
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
