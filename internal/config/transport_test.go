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

// TestBodiesKeepTheirBytesOverTCP runs real connections, because the JSON-RPC
// library writes the keys of nested objects in another order than Go does.
// Nodes then held different bytes under one number and fetched without end.
func TestBodiesKeepTheirBytesOverTCP(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	var done sync.WaitGroup
	defer func() { cancel(); done.Wait() }()
	store := standin.NewTable()
	list := make([]*config.Controller, 0, 2)
	registry := metrics.NewRegistry()
	for _, id := range []fleet.NodeID{"a", "b"} {
		peers := &peer.Peer{Address: "127.0.0.1:0"}
		c.Assert(peers.Listen(ctx), qt.IsNil)
		members := &member.Controller{
			Self:  member.Info{Node: id, PeerAddress: peers.ListenAddress()},
			Peers: peers, Store: store, Interval: 50 * time.Millisecond,
		}
		settings := &config.Controller{Store: store, Node: id, Peers: peers, Group: members, Metrics: registry}
		members.Stamp, members.Heard, peers.Resolve = settings.Stamp, settings.Heard, members.Resolve
		members.Register()
		settings.Register()
		done.Go(func() { _ = peers.Run(ctx) })
		done.Go(func() { _ = members.Run(ctx) })
		done.Go(func() { _ = settings.Run(ctx) })
		list = append(list, settings)
	}
	_, err := list[0].Apply(ctx, model(1, "a", 1), "ada")
	c.Assert(err, qt.IsNil)
	for range 400 {
		if list[1].Revision() == 1 {
			break
		}
		time.Sleep(25 * time.Millisecond)
	}
	time.Sleep(200 * time.Millisecond)
	c.Assert(list[1].Digest(), qt.Equals, list[0].Digest())
	c.Assert(metrics.GetOrRegisterCounter("config.clashes", registry).Count(), qt.Equals, int64(0))
}
