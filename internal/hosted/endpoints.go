package hosted

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/guavatrack/guavatrack/internal/connlimit"
	"github.com/guavatrack/guavatrack/internal/metric"
	"github.com/guavatrack/guavatrack/internal/node"
	"github.com/guavatrack/guavatrack/internal/peer"
	"github.com/guavatrack/guavatrack/platform"
)

// Limits of connections. Of the limits in the manifest only the one on bodies is
// enforced, by package platform. The numbers of connections and their memory are bounded by
// package connlimit.
const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 60 * time.Second
	maxHeader     = 64 << 10
	// answerTimeout limits the time to read a request and to write its answer. Requests of callers
	// have deadlines of their own once they have been read.
	answerTimeout = 15 * time.Second
	// unreadTimeout limits the time in which net/http reads a body that no handler uses.
	unreadTimeout = 500 * time.Millisecond
)

// Addresses are the addresses on which a node listens. If the settings give port 0,
// they contain the port that was chosen.
type Addresses struct {
	Callers, Peers, Lookup, Readiness, Metrics string
	// Forward is empty if the node takes no requests from other nodes.
	Forward string
}

// endpoints are the listening sockets of a node and their HTTP servers. The sockets
// are opened before the node joins the others, since it announces its addresses.
type endpoints struct {
	addresses Addresses
	// listeners are in the order of the fields of Addresses, without Peers.
	listeners []*connlimit.Listener
	// requests are the servers of requests, from callers and from other nodes.
	requests []*http.Server
	servers  []*http.Server
}

func newEndpoints(n *Node, peers *peer.Peer, registry metrics.Registry) (e *endpoints, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "listen")
		}
	}()
	e = &endpoints{}
	n.limitCounters = connlimit.NewCounters(registry)
	platformSettings := n.Settings.Platform
	limits := platformSettings.EffectiveLimits()
	places := connlimit.NewAccount(int64(limits.RequestConnections))
	for _, endpoint := range []struct {
		listen      string
		actual      *string
		connections int
		places      *connlimit.Account
	}{
		{n.Settings.Callers.Listen, &e.addresses.Callers, limits.CallerConnections, places},
		{platformSettings.Lookup, &e.addresses.Lookup, limits.LookupConnections, places},
		{platformSettings.Readiness, &e.addresses.Readiness, limits.ReadinessConnections, nil},
		{platformSettings.Metrics, &e.addresses.Metrics, limits.MetricsConnections, nil},
		{platformSettings.Forward, &e.addresses.Forward, limits.ForwardConnections, places},
	} {
		if endpoint.listen == "" {
			continue
		}
		listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", endpoint.listen)
		if err != nil {
			return nil, err
		}
		e.listeners = append(e.listeners, &connlimit.Listener{
			Listener: listener, HTTP: true, HeaderFields: limits.HeaderFields, Counters: n.limitCounters,
			Table: &connlimit.Table{
				Connections: endpoint.connections, PerAddress: limits.ConnectionsPerAddress,
				Places: endpoint.places, Account: n.callerMemory, Memory: connlimit.ConnectionMemory,
			},
		})
		*endpoint.actual = listener.Addr().String()
	}
	if err := peers.Listen(context.Background()); err != nil {
		return nil, err
	}
	e.addresses.Peers = peers.ListenAddress()
	return e, nil
}

// serve starts the HTTP servers of all sockets but that for peers.
func (e *endpoints) serve(n *Node) {
	platformSettings := n.Settings.Platform
	addressLookup := &platform.Lookup{Near: n.nearestAddresses, KeepFor: platformSettings.KeepFor.Std()}
	metricsHandler := http.NewServeMux()
	metricsHandler.Handle("GET /metrics", metric.Handler(n.components.Metrics, node.Metrics()))
	handlers := []http.Handler{
		n.callerHandler(), withoutBody(addressLookup.Handler()), withoutBody(platform.Readiness(n.Ready)), withoutBody(metricsHandler),
	}
	if e.addresses.Forward != "" {
		handlers = append(handlers, n.forwardHandler())
	}
	for i, handler := range handlers {
		server := &http.Server{
			Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
			WriteTimeout: answerTimeout, ConnState: e.listeners[i].ConnState, ConnContext: e.listeners[i].ConnContext,
		}
		e.servers = append(e.servers, server)
		go func() { _ = server.Serve(e.listeners[i]) }()
	}
	e.requests = []*http.Server{e.servers[0]}
	if e.addresses.Forward != "" {
		e.requests = append(e.requests, e.servers[len(e.servers)-1])
	}
}

// withoutBody returns a handler of requests whose bodies are not used. The connection of one that
// has a body is closed after the answer.
func withoutBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			w.Header().Set("Connection", "close")
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadTimeout))
		}
		next.ServeHTTP(w, r)
	})
}

// connections returns the number of connections that are open to the listeners, but for that of
// other nodes.
func (e *endpoints) connections() (count int) {
	for _, listener := range e.listeners {
		count += listener.Table.Count()
	}
	return count
}

// closeCallers stops accepting connections from callers and from nodes that pass requests
// on, and closes each one once it is idle. The returned channel gets the result when all are
// closed or the context ends.
func (e *endpoints) closeCallers(ctx context.Context) <-chan error {
	var group errgroup.Group
	for _, server := range e.requests {
		group.Go(func() error { return server.Shutdown(ctx) })
	}
	closed := make(chan error, 1)
	go func() { closed <- group.Wait() }()
	return closed
}

// close closes all listeners and connections at once.
func (e *endpoints) close() {
	var group sync.WaitGroup
	for _, server := range e.servers {
		group.Go(func() { _ = server.Close() })
	}
	group.Wait()
}
