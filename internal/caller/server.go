package caller

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"

	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/internal/vmlist"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/ticket"
)

// Directory knows the replicas of items.
type Directory interface {
	// Replicas returns the replicas of an item in any state. It is called for
	// every request and must be cheap.
	Replicas(item fleet.Item) []engine.Replica
}

// Estimate is what a [Waker] expects of a load.
type Estimate struct {
	// ReadyIn is the time until the first replica is ready.
	ReadyIn time.Duration
	// Progress is the loaded fraction, from 0 to 1.
	Progress float64
}

// Waker has items loaded.
type Waker interface {
	// Wake asks for a replica of the item and returns at once. It is called
	// again while requests wait. It fails if no replica can be had.
	Wake(ctx context.Context, item fleet.Item, deadline time.Time) (Estimate, error)
}

// Observer learns when requests come and go. A [Waker] may be one.
type Observer interface {
	Arrived(item fleet.Item, at time.Time)
	Finished(item fleet.Item, at time.Time)
}

// Authenticator finds out who sends a request.
type Authenticator interface {
	Authenticate(request *http.Request) (fleet.CallerID, error)
}

// Limits of what callers may send.
const (
	MaxBody        = 4 << 20
	MaxHeaderBytes = 32 << 10
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
	bodyTimeout    = 10 * time.Second
)

// Server answers callers. Its exported fields are set before the first use of
// Handler or Run and not changed after.
type Server struct {
	Snapshot  func() *ticket.Snapshot
	Directory Directory
	Waker     Waker
	// Services returns the backend servers of a pool of plain services.
	Services func(fleet.PoolID) []vmlist.VM
	Store    table.Store
	Place    fleet.Place
	Node     fleet.NodeID
	// Keys is nil if callers need no key.
	Keys    Authenticator
	Log     *slog.Logger
	Metrics metrics.Registry
	// Rand is used under a lock; nil means a random seed.
	Rand *rand.Rand
	// Transport carries requests to backend servers; nil means a transport of
	// the server's own.
	Transport http.RoundTripper

	once     sync.Once
	router   *mux.Router
	observer Observer
	meters   meters
	random   lockedRand
	servers  serverShards
	draining atomic.Bool
	active   activeCalls
}

// Handler returns the HTTP handler for callers.
func (s *Server) Handler() http.Handler {
	s.once.Do(s.setUp)
	return s.router
}

// HTTP returns an HTTP server for callers with limits against slow senders and
// floods of headers. The caller sets the address and starts it.
func (s *Server) HTTP() *http.Server {
	return &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    MaxHeaderBytes,
	}
}

// Run does the server's work in the background until the context ends.
func (s *Server) Run(ctx context.Context) error {
	s.once.Do(s.setUp)
	<-ctx.Done()
	return nil
}

// Drain takes no new requests and waits for those that run. When the context
// ends it cuts off the rest and returns their number.
func (s *Server) Drain(ctx context.Context) (cutOff int) {
	s.once.Do(s.setUp)
	s.draining.Store(true)
	return s.active.drain(ctx)
}

func (s *Server) setUp() {
	if s.Log == nil {
		s.Log = slog.New(slog.DiscardHandler)
	}
	if s.Metrics == nil {
		s.Metrics = metrics.NewRegistry()
	}
	if s.Rand == nil {
		s.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if s.Transport == nil {
		s.Transport = newTransport()
	}
	if observer, is := s.Waker.(Observer); is {
		s.observer = observer
	}
	s.random.source = s.Rand
	s.meters.register(s.Metrics)
	s.servers.setUp()
	s.active.setUp()
	s.router = s.routes()
}

// routes returns the router of every path that callers may use.
func (s *Server) routes() *mux.Router {
	router := mux.NewRouter().SkipClean(true).UseEncodedPath()
	models := chain(HandlerFunc(s.listModels), FilterFunc(s.authenticate))
	model := chain(HandlerFunc(s.showModel), FilterFunc(s.authenticate))
	completion := chain(HandlerFunc(s.relayCompletion),
		FilterFunc(s.authenticate), FilterFunc(s.decodeCompletion), FilterFunc(s.setDeadline),
		FilterFunc(s.admit))
	service := chain(HandlerFunc(s.relayService),
		FilterFunc(s.authenticate), FilterFunc(s.decodeService), FilterFunc(s.setDeadline))
	router.Handle("/v1/models", s.serve(models)).Methods(http.MethodGet)
	router.Handle("/v1/models/{model:.*}", s.serve(model)).Methods(http.MethodGet)
	router.Handle(chatPath, s.serve(completion)).Methods(http.MethodPost)
	router.Handle(completionPath, s.serve(completion)).Methods(http.MethodPost)
	router.MethodNotAllowedHandler = s.serve(HandlerFunc(refuseMethod))
	router.NotFoundHandler = s.serve(service)
	return router
}

// Paths of completions, the same for callers and engines.
const (
	chatPath       = "/v1/chat/completions"
	completionPath = "/v1/completions"
)

// lockedRand shares a random source between requests.
type lockedRand struct {
	mu     sync.Mutex
	source *rand.Rand
}

// IntN returns a number from 0 to n-1.
func (r *lockedRand) IntN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.source.IntN(n)
}

// activeCalls counts the calls in progress.
type activeCalls struct {
	mu     sync.Mutex
	calls  map[*Call]context.CancelFunc
	change chan struct{}
}

func (a *activeCalls) setUp() {
	a.calls = make(map[*Call]context.CancelFunc)
	a.change = make(chan struct{})
}

func (a *activeCalls) add(call *Call, cancel context.CancelFunc) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls[call] = cancel
}

func (a *activeCalls) remove(call *Call) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.calls, call)
	if len(a.calls) == 0 {
		close(a.change)
		a.change = make(chan struct{})
	}
}

func (a *activeCalls) drain(ctx context.Context) (cutOff int) {
	for {
		a.mu.Lock()
		left, change := len(a.calls), a.change
		a.mu.Unlock()
		if left == 0 {
			return 0
		}
		select {
		case <-change:
		case <-ctx.Done():
			return a.cancelAll()
		}
	}
}

func (a *activeCalls) cancelAll() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, cancel := range a.calls {
		cancel()
	}
	return len(a.calls)
}
