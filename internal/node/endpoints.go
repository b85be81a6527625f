package node

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/caller"
	"github.com/guavatrack/guavatrack/internal/keys"
	"github.com/guavatrack/guavatrack/internal/lookup"
	"github.com/guavatrack/guavatrack/internal/operator"
	"github.com/guavatrack/guavatrack/internal/peer"
	"github.com/guavatrack/guavatrack/internal/settings"
)

const headerTimeout = 5 * time.Second

// endpoints are the listening sockets of a node and their HTTP servers. The sockets
// are opened before the node joins the others, since it announces its addresses.
type endpoints struct {
	callers, operators net.Listener
	addresses          Addresses
	servers            []*http.Server
	// leaving is set once answers to callers must close their connection.
	leaving atomic.Bool
}

func newEndpoints(n *Node, peers *peer.Peer) (e *endpoints, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "endpoints")
		}
	}()
	e = &endpoints{}
	ctx := context.Background()
	if e.callers, err = listen(ctx, n.Settings.Callers.Listen); err != nil {
		return nil, err
	}
	if e.operators, err = listen(ctx, n.Settings.Operators.Listen); err != nil {
		return nil, err
	}
	if err := peers.Listen(ctx); err != nil {
		return nil, err
	}
	e.addresses = Addresses{
		Callers:   advertisedAddress(n.Settings.Callers.Endpoint, e.callers.Addr().String()),
		Operators: advertisedAddress(n.Settings.Operators.Endpoint, e.operators.Addr().String()),
		Peers:     advertisedAddress(n.Settings.Peers.Endpoint, peers.ListenAddress()),
	}
	return e, nil
}

func listen(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(ctx, "tcp", address)
}

func advertisedAddress(endpoint settings.Endpoint, listenAddress string) string {
	if endpoint.Advertise != "" {
		return endpoint.Advertise
	}
	return listenAddress
}

// serve starts the HTTP servers for callers and operators.
func (e *endpoints) serve(n *Node, p components) error {
	callerTLS, err := serverTLS(n, n.Settings.Callers.Endpoint, "")
	if err != nil {
		return errors.Wrap(err, "callers")
	}
	operatorTLS, err := serverTLS(n, n.Settings.Operators.Endpoint, n.Settings.Operators.ClientCA)
	if err != nil {
		return errors.Wrap(err, "operators")
	}
	api, err := newOperators(n, p)
	if err != nil {
		return err
	}
	e.start(e.callers, callerTLS, e.withConnectionClose(callerHandler(n, p)))
	e.start(e.operators, operatorTLS, api.Handler())
	return nil
}

func serverTLS(n *Node, endpoint settings.Endpoint, clientCA string) (*tls.Config, error) {
	if endpoint.Certificate == "" {
		return nil, nil
	}
	pair, err := keys.NewPair(n.Log, endpoint.Certificate, endpoint.Key)
	if err != nil {
		return nil, err
	}
	var clients *keys.Authorities
	if clientCA != "" {
		if clients, err = keys.NewAuthorities(n.Log, clientCA); err != nil {
			return nil, err
		}
	}
	return keys.Server(pair, clients, false), nil
}

func (e *endpoints) start(listener net.Listener, tlsConfig *tls.Config, handler http.Handler) {
	if tlsConfig != nil {
		tlsConfig.NextProtos = []string{"http/1.1"}
		listener = tls.NewListener(listener, tlsConfig)
	}
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: caller.MaxHeaderBytes,
	}
	e.servers = append(e.servers, server)
	go func() { _ = server.Serve(listener) }()
}

// closeUsedConnections makes every following answer close its connection, so that
// callers connect to other nodes. Idle connections stay open: a caller may be
// sending a request on them, and uses them no longer than the answer of the look-up
// is valid.
func (e *endpoints) closeUsedConnections() { e.leaving.Store(true) }

// withConnectionClose wraps a handler so that answers close their connection once
// leaving is set.
func (e *endpoints) withConnectionClose(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

// shutdown stops accepting connections and waits until those in use are idle.
func (e *endpoints) shutdown(ctx context.Context) error {
	var errs error
	for _, server := range e.servers {
		if err := server.Shutdown(ctx); err != nil {
			errs = errors.Join(errs, err)
		}
	}
	return errs
}

// close closes all listeners and connections at once.
func (e *endpoints) close() {
	for _, server := range e.servers {
		_ = server.Close()
	}
}

// callerHandler returns the handler of the callers' endpoint: the look-up, the
// health checks and the callers' requests.
func callerHandler(n *Node, p components) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /v1/where", &lookup.Handler{
		Region: n.Settings.Node.Region, Members: p.Members.Members, Current: p.Config.Current,
		Loads:   p.Facts.loads,
		KeepFor: n.Settings.Drain.KeepFor.Std(), Metrics: p.Metrics,
	})
	operator.Health(mux, n.Ready)
	mux.Handle("/", p.Callers.Handler())
	return mux
}
