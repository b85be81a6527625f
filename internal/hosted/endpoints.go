package hosted

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/lookup"
	"github.com/guavatrack/guavatrack/internal/member"
	"github.com/guavatrack/guavatrack/internal/metric"
	"github.com/guavatrack/guavatrack/internal/node"
	"github.com/guavatrack/guavatrack/internal/peer"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/platform"
)

// Limits of connections. Of the manifest's limits only that of bodies is kept, by
// package platform.
const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 60 * time.Second
	maxHeader     = 64 << 10
)

// Addresses are where a node listens, with the ports that were free where the
// settings left them open.
type Addresses struct {
	Callers, Peers, Lookup, Readiness, Metrics string
}

// endpoints are the listening sockets of a node. They are opened first, since
// the node tells its addresses to the others.
type endpoints struct {
	addresses Addresses
	// listeners are in the order of the addresses, without that for peers.
	listeners []net.Listener
	callers   *http.Server
	servers   []*http.Server
}

func newEndpoints(n *Node, peers *peer.Peer) (e *endpoints, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "listen")
		}
	}()
	e = &endpoints{}
	given := n.Settings.Platform
	for _, endpoint := range []struct {
		listen string
		actual *string
	}{
		{n.Settings.Callers.Listen, &e.addresses.Callers},
		{given.Lookup, &e.addresses.Lookup},
		{given.Readiness, &e.addresses.Readiness},
		{given.Metrics, &e.addresses.Metrics},
	} {
		listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", endpoint.listen)
		if err != nil {
			return nil, err
		}
		e.listeners = append(e.listeners, listener)
		*endpoint.actual = listener.Addr().String()
	}
	if err := peers.Listen(context.Background()); err != nil {
		return nil, err
	}
	e.addresses.Peers = peers.ListenAddress()
	return e, nil
}

// serve answers on all sockets.
func (e *endpoints) serve(n *Node) {
	given := n.Settings.Platform
	find := &platform.Lookup{Near: n.near, KeepFor: given.KeepFor.Std()}
	metricsHandler := http.NewServeMux()
	metricsHandler.Handle("GET /metrics", metric.Handler(n.parts.Metrics, node.Metrics()))
	for at, handler := range []http.Handler{
		n.callers(), find.Handler(), platform.Readiness(n.Ready), metricsHandler,
	} {
		server := &http.Server{
			Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
		}
		e.servers = append(e.servers, server)
		go func() { _ = server.Serve(e.listeners[at]) }()
	}
	e.callers = e.servers[0]
}

// near returns the nodes to name to a caller at a place. Suspects are named only
// if there is nobody else, and this node where all are starting.
func (n *Node) near(place fleet.Place) []string {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	if near := lookup.Near(place, sound(n.parts.Members), random); len(near) > 0 {
		return near
	}
	if near := lookup.Near(place, n.parts.Members.Members(), random); len(near) > 0 || n.leaving.Load() {
		return near
	}
	return []string{n.Addresses().Callers}
}

// sound returns the nodes that serve and that nobody suspects.
func sound(members *member.Controller) (nodes []member.Info) {
	for _, record := range members.Records() {
		if record.Status == member.Alive && !record.Leaving && !record.Starting {
			nodes = append(nodes, record.Info)
		}
	}
	return nodes
}

// closeCallers takes no more connections of callers and closes idle ones.
func (e *endpoints) closeCallers() {
	go func() { _ = e.callers.Shutdown(context.Background()) }()
}

// close cuts all connections.
func (e *endpoints) close() {
	var group sync.WaitGroup
	for _, server := range e.servers {
		group.Go(func() { _ = server.Close() })
	}
	group.Wait()
}
