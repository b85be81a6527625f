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
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/platform"
)

// Limits of connections. Those on what callers send are the manifest's.
const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 60 * time.Second
	maxHeader     = 64 << 10
)

// endpoints are the listening sockets of a node.
type endpoints struct {
	callers *http.Server
	servers []*http.Server
}

// serve opens all sockets.
func (e *endpoints) serve(n *Node) (err error) {
	given := n.Settings.Platform
	find := &platform.Lookup{Near: n.near, KeepFor: given.KeepFor.Std()}
	metricsHandler := http.NewServeMux()
	metricsHandler.Handle("GET /metrics", metric.Handler(n.parts.Metrics, node.Metrics()))
	for _, endpoint := range []struct {
		address string
		handler http.Handler
	}{
		{n.Settings.Callers.Listen, n.callers()},
		{given.Lookup, find.Handler()},
		{given.Readiness, platform.Readiness(n.Ready)},
		{given.Metrics, metricsHandler},
	} {
		server, err := listen(endpoint.address, endpoint.handler)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		e.servers = append(e.servers, server)
	}
	e.callers = e.servers[0]
	return nil
}

func listen(address string, handler http.Handler) (*http.Server, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
	}
	go func() { _ = server.Serve(listener) }()
	return server, nil
}

// near returns the nodes to name to a caller at a place. Suspects are named only
// if there is nobody else.
func (n *Node) near(place fleet.Place) []string {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	var sound []member.Info
	for _, record := range n.parts.Members.Records() {
		if record.Status == member.Alive {
			sound = append(sound, record.Info)
		}
	}
	if near := lookup.Near(place, sound, random); len(near) > 0 {
		return near
	}
	return lookup.Near(place, n.parts.Members.Members(), random)
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
