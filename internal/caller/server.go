package caller

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/guavatrack/guavatrack/internal/batch"
	"github.com/guavatrack/guavatrack/internal/claim"
	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/internal/drain"
	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/internal/logs"
	"github.com/guavatrack/guavatrack/internal/metric"
	"github.com/guavatrack/guavatrack/internal/poison"
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
type Estimate = dispatch.Estimate

// Waker has items loaded. It may be an [Observer] as well.
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
	MaxBody        = 4 * fleet.MiB // the default of Server.MaxBody
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
	// Rand is the source of random choices; nil means a random seed.
	Rand *rand.Rand
	// MaxBody is the largest body of a request; 0 means the constant MaxBody.
	MaxBody fleet.Bytes
	// Dial connects to backend servers; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// SpreadPoison, if set, tells the other nodes of a request that crashes
	// backend servers. They call LearnPoison.
	SpreadPoison func(poison.Notice)

	once       sync.Once
	router     *mux.Router
	meters     meters
	transports transports
	dispatcher *dispatch.Dispatcher
	claims     *claim.Controller
	batch      *batch.Controller
	jobChain   Handler
	draining   atomic.Bool
	active     drain.Calls
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
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.claims.Run(ctx) })
	group.Go(func() error { return s.dispatcher.Run(ctx) })
	group.Go(func() error { return s.batch.Run(ctx) })
	defer s.transports.close()
	return group.Wait()
}

// LearnPoison takes in another node's notice of a request that crashes backend
// servers.
func (s *Server) LearnPoison(notice poison.Notice) {
	s.once.Do(s.setUp)
	s.dispatcher.LearnPoison(notice)
}

// Drain takes no new requests and waits for those that run. When the context
// ends it cuts off the rest and returns their number.
func (s *Server) Drain(ctx context.Context) (cutOff int) {
	s.once.Do(s.setUp)
	s.draining.Store(true)
	s.batch.Stop(ctx)
	cutOff = s.active.Drain(ctx)
	s.claims.Flush(ctx)
	return cutOff
}

func (s *Server) setUp() {
	s.Log = logs.OrDiscard(s.Log)
	s.Metrics = metric.OrNew(s.Metrics)
	if s.Rand == nil {
		s.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	// Jobs and requests draw from it at the same time.
	s.Rand = dispatch.SharedRand(s.Rand)
	s.transports.setUp(s.Dial)
	s.dispatcher = &dispatch.Dispatcher{
		Directory: backends{s}, Loader: s.waker(), Prober: backends{s}, Store: s.Store, Place: s.Place,
		Node: s.Node, SpreadPoison: s.SpreadPoison, Log: s.Log, Metrics: s.Metrics, Rand: s.Rand,
	}
	s.claims = &claim.Controller{Store: s.Store, Node: s.Node, Log: s.Log, Metrics: s.Metrics}
	s.meters.register(s.Metrics)
	s.batch = &batch.Controller{
		Store: s.Store, Node: s.Node, Execute: s.executeJob, Rand: s.Rand, Log: s.Log, Metrics: s.Metrics,
	}
	s.jobChain = chain(HandlerFunc(s.relayCompletion),
		FilterFunc(s.decodeCompletion), FilterFunc(batchClass), FilterFunc(s.setDeadline))
	s.router = s.routes()
}

// routes returns the router of every path that callers may use.
func (s *Server) routes() *mux.Router {
	router := mux.NewRouter().SkipClean(true).UseEncodedPath()
	models := chain(HandlerFunc(s.listModels), FilterFunc(s.authenticate))
	model := chain(HandlerFunc(s.showModel), FilterFunc(s.authenticate))
	submit := chain(HandlerFunc(s.submitJob), FilterFunc(s.authenticate), FilterFunc(s.decodeCompletion))
	show := chain(HandlerFunc(s.showJob), FilterFunc(s.authenticate))
	fetch := chain(HandlerFunc(s.answerJob), FilterFunc(s.authenticate))
	completion := chain(HandlerFunc(s.relayCompletion),
		FilterFunc(s.authenticate), FilterFunc(s.decodeCompletion), FilterFunc(s.setDeadline))
	service := chain(HandlerFunc(s.callService),
		FilterFunc(s.authenticate), FilterFunc(s.decodeService), FilterFunc(s.setDeadline),
		FilterFunc(s.respond), FilterFunc(s.claimOnce))
	router.Handle("/v1/models", s.serve(models)).Methods(http.MethodGet)
	router.Handle("/v1/models/{model:.*}", s.serve(model)).Methods(http.MethodGet)
	router.Handle(chatPath, s.serve(completion)).Methods(http.MethodPost)
	router.Handle(completionPath, s.serve(completion)).Methods(http.MethodPost)
	router.Handle(batchPrefix+"chat/completions", s.serve(submit)).Methods(http.MethodPost)
	router.Handle(batchPrefix+"completions", s.serve(submit)).Methods(http.MethodPost)
	router.Handle(batchPrefix+"{job:[0-9a-f]+}", s.serve(show)).Methods(http.MethodGet)
	router.Handle(batchPrefix+"{job:[0-9a-f]+}/answer", s.serve(fetch)).Methods(http.MethodGet)
	router.MethodNotAllowedHandler = s.serve(HandlerFunc(refuseMethod))
	router.NotFoundHandler = s.serve(service)
	return router
}

// Paths of completions, the same for callers and engines.
const (
	chatPath       = "/v1/chat/completions"
	completionPath = "/v1/completions"
)

// Running returns the number of requests in progress at this node.
func (s *Server) Running() int {
	s.once.Do(s.setUp)
	return s.active.Running()
}
