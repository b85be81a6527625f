package caller

import (
	"cmp"
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
	"github.com/guavatrack/guavatrack/internal/edgelog"
	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/internal/logs"
	"github.com/guavatrack/guavatrack/internal/metric"
	"github.com/guavatrack/guavatrack/internal/poison"
	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/internal/vmlist"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/ticket"
)

// Directory lists the replicas of items.
type Directory interface {
	// Replicas returns the replicas of an item in any state. It is called for
	// every request and must be cheap.
	Replicas(item fleet.Item) []engine.Replica
}

// Estimate is the expected course of a load, as estimated by a [Loader].
type Estimate = dispatch.Estimate

// Loader requests that items be loaded. It may implement [Observer] as well.
type Loader interface {
	// RequestLoad requests a replica of the item and returns without waiting for it. It
	// is called repeatedly while requests wait. It fails if no replica can be
	// provided.
	RequestLoad(ctx context.Context, item fleet.Item, deadline time.Time) (Estimate, error)
}

// Observer is notified when requests arrive and finish. A [Loader] may implement
// it.
type Observer interface {
	Arrived(item fleet.Item, at time.Time)
	Finished(item fleet.Item, at time.Time)
}

// Authenticator identifies the caller of a request.
type Authenticator interface {
	Authenticate(request *http.Request) (fleet.CallerID, error)
}

// Limits on the requests of callers.
const (
	MaxBody        = 4 * fleet.MiB // the default of Server.MaxBody
	MaxHeaderBytes = 32 << 10
	// MaxAnswerMemory is the default of Server.MaxAnswerMemory.
	MaxAnswerMemory = 256 * fleet.MiB
	headerTimeout   = 5 * time.Second
	idleTimeout     = 2 * time.Minute
	bodyTimeout     = 10 * time.Second
)

// Server handles the requests of callers. Its exported fields are set before the
// first use of Handler or Run and not changed afterwards.
type Server struct {
	Snapshot  func() *ticket.Snapshot
	Directory Directory
	Loader    Loader
	// Services returns the backend servers of a pool of plain services.
	Services func(fleet.PoolID) []vmlist.VM
	Store    table.Store
	Place    fleet.Place
	Node     fleet.NodeID
	// Keys authenticates callers by their keys; nil if callers need no key.
	Keys    Authenticator
	Log     *slog.Logger
	Metrics metrics.Registry
	// Rand is the source of random choices; nil means a random seed.
	Rand *rand.Rand
	// MaxBody is the largest body of a request; 0 means the constant MaxBody.
	MaxBody fleet.Bytes
	// MaxAnswerMemory limits the memory for the answers of backend servers at a time; 0
	// means the constant MaxAnswerMemory.
	MaxAnswerMemory fleet.Bytes
	// Version returns the configuration's revision for log lines; it may be nil.
	Version func() edgelog.Version
	// Dial connects to backend servers; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// PublishPoisonNotice, if set, notifies the other nodes of a request that crashes
	// backend servers. They pass the notice to MergePoisonNotice.
	PublishPoisonNotice func(poison.Notice)

	once       sync.Once
	router     *mux.Router
	meters     meters
	edge       edgelog.Recorder
	transports transports
	dispatcher *dispatch.Dispatcher
	claims     *claim.Controller
	batch      *batch.Controller
	jobChain   Handler
	draining   atomic.Bool
	active     drain.Requests
}

// Handler returns the HTTP handler for callers.
func (s *Server) Handler() http.Handler {
	s.once.Do(s.setUp)
	return s.router
}

// HTTP returns an HTTP server for callers that limits the time and size of request
// headers. The user of this method sets the address and starts it.
func (s *Server) HTTP() *http.Server {
	return &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    MaxHeaderBytes,
	}
}

// Run runs the server's background tasks until the context ends.
func (s *Server) Run(ctx context.Context) error {
	s.once.Do(s.setUp)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.claims.Run(ctx) })
	group.Go(func() error { return s.dispatcher.Run(ctx) })
	group.Go(func() error { return s.batch.Run(ctx) })
	defer s.transports.close()
	return group.Wait()
}

// MergePoisonNotice records another node's notice of a request that crashes backend
// servers.
func (s *Server) MergePoisonNotice(notice poison.Notice) {
	s.once.Do(s.setUp)
	s.dispatcher.MergePoisonNotice(notice)
}

// StopAt says that the node stops and when it cuts off the requests that still run; see
// [dispatch.Dispatcher.StopAt].
func (s *Server) StopAt(cutOff time.Time) {
	s.once.Do(s.setUp)
	s.dispatcher.StopAt(cutOff)
}

// Drain refuses new requests and waits for the running ones. When the context
// ends, it cancels those that remain and returns their number.
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
	// Jobs and requests use the source concurrently.
	s.Rand = dispatch.SharedRand(s.Rand)
	s.MaxAnswerMemory = cmp.Or(s.MaxAnswerMemory, MaxAnswerMemory)
	s.transports.setUp(s.Dial)
	s.dispatcher = &dispatch.Dispatcher{
		Directory: backendDirectory{s}, Loader: s.loader(), Prober: backendDirectory{s}, Store: s.Store, Place: s.Place,
		Node: s.Node, PublishPoisonNotice: s.PublishPoisonNotice, Log: s.Log, Metrics: s.Metrics, Rand: s.Rand,
	}
	s.claims = &claim.Controller{Store: s.Store, Node: s.Node, Log: s.Log, Metrics: s.Metrics}
	s.meters.register(s.Metrics)
	s.edge.Log, s.edge.Metrics, s.edge.Version = s.Log, s.Metrics, s.Version
	s.batch = &batch.Controller{
		Store: s.Store, Node: s.Node, Execute: s.executeJob, Rand: s.Rand, Log: s.Log, Metrics: s.Metrics,
	}
	s.jobChain = chain(HandlerFunc(s.relayCompletion),
		FilterFunc(s.decodeCompletion), FilterFunc(setBatchClass), FilterFunc(s.setDeadline))
	s.router = s.routes()
}

// routes returns the router for all paths that callers may use.
func (s *Server) routes() *mux.Router {
	router := mux.NewRouter().SkipClean(true).UseEncodedPath()
	listModels := chain(HandlerFunc(s.listModels), FilterFunc(s.authenticate))
	getModel := chain(HandlerFunc(s.getModel), FilterFunc(s.authenticate))
	submitJob := chain(HandlerFunc(s.submitJob), FilterFunc(s.authenticate), FilterFunc(s.decodeCompletion))
	getJob := chain(HandlerFunc(s.getJob), FilterFunc(s.authenticate))
	getJobAnswer := chain(HandlerFunc(s.getJobAnswer), FilterFunc(s.authenticate))
	completion := chain(HandlerFunc(s.relayCompletion),
		FilterFunc(s.authenticate), FilterFunc(s.decodeCompletion), FilterFunc(s.setDeadline))
	service := chain(HandlerFunc(s.callService),
		FilterFunc(s.authenticate), FilterFunc(s.decodeService), FilterFunc(s.setDeadline),
		FilterFunc(s.writeServiceAnswer), FilterFunc(s.runAtMostOnce))
	router.Handle("/v1/models", s.httpHandler(listModels)).Methods(http.MethodGet)
	router.Handle("/v1/models/{model:.*}", s.httpHandler(getModel)).Methods(http.MethodGet)
	router.Handle(chatPath, s.httpHandler(completion)).Methods(http.MethodPost)
	router.Handle(completionPath, s.httpHandler(completion)).Methods(http.MethodPost)
	router.Handle(batchPrefix+"chat/completions", s.httpHandler(submitJob)).Methods(http.MethodPost)
	router.Handle(batchPrefix+"completions", s.httpHandler(submitJob)).Methods(http.MethodPost)
	router.Handle(batchPrefix+"{job:[0-9a-f]+}", s.httpHandler(getJob)).Methods(http.MethodGet)
	router.Handle(batchPrefix+"{job:[0-9a-f]+}/answer", s.httpHandler(getJobAnswer)).Methods(http.MethodGet)
	router.MethodNotAllowedHandler = s.httpHandler(HandlerFunc(refuseMethod))
	router.NotFoundHandler = s.httpHandler(service)
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
