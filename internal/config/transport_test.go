package config_test

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"github.com/guavatrack/guavatrack/internal/config"
	"github.com/guavatrack/guavatrack/internal/member"
	"github.com/guavatrack/guavatrack/internal/peer"
	"github.com/guavatrack/guavatrack/internal/standin"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// TestEntryBodiesAreUnchangedOverTCP uses real connections, because the JSON-RPC
// library writes the keys of nested objects in another order than encoding/json.
// Without protection against that, nodes have different bytes under one ticket
// number and fetch from each other endlessly.
func TestEntryBodiesAreUnchangedOverTCP(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	var done sync.WaitGroup
	defer func() { cancel(); done.Wait() }()
	store := standin.NewTable()
	controllers := make([]*config.Controller, 0, 2)
	registry := metrics.NewRegistry()
	for _, id := range []fleet.NodeID{"a", "b"} {
		peers := &peer.Peer{Address: "127.0.0.1:0"}
		c.Assert(peers.Listen(ctx), qt.IsNil)
		members := &member.Controller{
			Self:  member.Info{Node: id, PeerAddress: peers.ListenAddress()},
			Peers: peers, Store: store, Interval: 50 * time.Millisecond,
		}
		controller := &config.Controller{Store: store, Node: id, Peers: peers, Membership: members, Metrics: registry}
		members.Stamp, members.OnStamp, peers.Resolve = controller.Stamp, controller.ReceiveStamp, members.Resolve
		members.Register()
		controller.Register()
		done.Go(func() { _ = peers.Run(ctx) })
		done.Go(func() { _ = members.Run(ctx) })
		done.Go(func() { _ = controller.Run(ctx) })
		controllers = append(controllers, controller)
	}
	_, err := controllers[0].Apply(ctx, deploymentTicket(1, "a", 1), "ada")
	c.Assert(err, qt.IsNil)
	for range 400 {
		if controllers[1].Revision() == 1 {
			break
		}
		time.Sleep(25 * time.Millisecond)
	}
	time.Sleep(200 * time.Millisecond)
	c.Assert(controllers[1].Digest(), qt.Equals, controllers[0].Digest())
	c.Assert(metrics.GetOrRegisterCounter("config.clashes", registry).Count(), qt.Equals, int64(0))
}
