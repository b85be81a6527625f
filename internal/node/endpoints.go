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

// endpoints are the listening sockets of a node. They are opened first, since
// the node tells its addresses to the others.
type endpoints struct {
	callers, operators net.Listener
	addresses          Addresses
	servers            []*http.Server
	// leaving says that answers to callers close their connection.
	leaving atomic.Bool
}

func newEndpoints(n *Node, peers *peer.Peer) (open *endpoints, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "endpoints")
		}
	}()
	open = &endpoints{}
	ctx := context.Background()
	if open.callers, err = listen(ctx, n.Settings.Callers.Listen); err != nil {
		return nil, err
	}
	if open.operators, err = listen(ctx, n.Settings.Operators.Listen); err != nil {
		return nil, err
	}
	if err := peers.Listen(ctx); err != nil {
		return nil, err
	}
	open.addresses = Addresses{
		Callers:   advertised(n.Settings.Callers.Endpoint, open.callers.Addr().String()),
		Operators: advertised(n.Settings.Operators.Endpoint, open.operators.Addr().String()),
		Peers:     advertised(n.Settings.Peers.Endpoint, peers.ListenAddress()),
	}
	return open, nil
}

func listen(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(ctx, "tcp", address)
}

func advertised(endpoint settings.Endpoint, opened string) string {
	if endpoint.Advertise != "" {
		return endpoint.Advertise
	}
	return opened
}

// serve starts the HTTP servers for callers and operators.
func (e *endpoints) serve(n *Node, p parts) error {
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
	e.start(e.callers, callerTLS, e.closing(callerHandler(n, p)))
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

func (e *endpoints) start(listener net.Listener, secure *tls.Config, handler http.Handler) {
	if secure != nil {
		secure.NextProtos = []string{"http/1.1"}
		listener = tls.NewListener(listener, secure)
	}
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: caller.MaxHeaderBytes,
	}
	e.servers = append(e.servers, server)
	go func() { _ = server.Serve(listener) }()
}

// leave has callers open new connections, which go to other nodes. Idle ones
// stay open: a caller may be sending on them, and keeps them no longer than the
// look-up's answer.
func (e *endpoints) leave() { e.leaving.Store(true) }

// closing wraps a handler so that answers close the connection once the node
// leaves.
func (e *endpoints) closing(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

// shutdown takes no new connections and waits for those in use.
func (e *endpoints) shutdown(ctx context.Context) error {
	var failed error
	for _, server := range e.servers {
		if err := server.Shutdown(ctx); err != nil {
			failed = errors.Join(failed, err)
		}
	}
	return failed
}

// close cuts all connections.
func (e *endpoints) close() {
	for _, server := range e.servers {
		_ = server.Close()
	}
}

// callerHandler serves the look-up and the health of the node beside the
// requests themselves.
func callerHandler(n *Node, p parts) http.Handler {
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
