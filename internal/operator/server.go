package operator

import (
	"context"
	"log/slog"
	"net/http"

	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"

	"github.com/guavatrack/guavatrack/internal/audit"
	"github.com/guavatrack/guavatrack/internal/config"
	"github.com/guavatrack/guavatrack/internal/drain"
	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/internal/grant"
	"github.com/guavatrack/guavatrack/internal/member"
	"github.com/guavatrack/guavatrack/internal/metric"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/ticket"
)

// Configuration applies tickets and returns the configuration in force.
type Configuration interface {
	Apply(ctx context.Context, t ticket.Ticket, actor string) (config.Accepted, error)
	Check(ctx context.Context, t ticket.Ticket) error
	Ticket(ctx context.Context, number fleet.TicketNumber) (config.StoredTicket, error)
	Tickets(ctx context.Context, after fleet.TicketNumber, limit int) ([]config.StoredTicket, error)
	QueryMemberStates(ctx context.Context, revision config.Revision) []config.MemberState
	Revision() config.Revision
	Digest() ticket.Digest
	Snapshot() *ticket.Snapshot
}

var _ Configuration = (*config.Controller)(nil)

// Trail is the audit trail.
type Trail interface {
	List(ctx context.Context, query audit.Query) ([]audit.Entry, error)
	Append(ctx context.Context, entry audit.Entry) error
}

var _ Trail = (*audit.Log)(nil)

// Tokens authenticates operators by bearer token.
type Tokens interface {
	Bearer(request *http.Request) (name string, found bool)
}

// Server is the operators' API of one node. Its fields are set before Handler.
type Server struct {
	Node    fleet.NodeID
	Place   fleet.Place
	Config  Configuration
	Audit   Trail
	Members func() []member.Info
	// Servers and Replicas return this node's view of the engines.
	Servers  func() []grant.ServerView
	Replicas func(fleet.Item) []engine.Replica
	// Explain returns why an item is loaded, until when and at what expected
	// cost. The result is sent as JSON.
	Explain func(context.Context, fleet.Item) any
	// Ready returns the reason why callers must not be directed to the node, or
	// nil.
	Ready func() error
	// Drain drains and stops the node.
	Drain func(ctx context.Context) (drain.Report, error)
	// Level is the log level; nil if it can't be changed.
	Level *slog.LevelVar
	// Tokens authorises by bearer token; nil means that none is accepted.
	Tokens Tokens
	// Open accepts every request, also without valid credentials. It is meant for
	// plain-text HTTP on loopback.
	Open    bool
	Metrics metrics.Registry
	Docs    []metric.Doc
	Log     *slog.Logger
}

// Handler returns the HTTP handler of the API.
func (s *Server) Handler() http.Handler {
	router := mux.NewRouter()
	Health(muxRegistrar{router}, s.Ready)
	router.Handle("/metrics", metric.Handler(s.Metrics, s.Docs)).Methods(http.MethodGet)
	api := router.PathPrefix("/v1").Subrouter()
	api.Use(s.authorise)
	for _, route := range []struct {
		method, path string
		serve        func(*http.Request) (any, error)
	}{
		{http.MethodPost, "/tickets", s.applyTicket},
		{http.MethodGet, "/tickets", s.listTickets},
		{http.MethodGet, "/tickets/{number}", s.showTicket},
		{http.MethodGet, "/inForce/{revision}", s.inForce},
		{http.MethodGet, "/configuration", s.configuration},
		{http.MethodGet, "/status", s.status},
		{http.MethodGet, "/status/{item}", s.itemStatus},
		{http.MethodGet, "/audit", s.listAudit},
		{http.MethodPost, "/drain", s.drain},
		{http.MethodGet, "/logLevel", s.logLevel},
		{http.MethodPut, "/logLevel", s.setLogLevel},
	} {
		api.HandleFunc(route.path, jsonHandler(route.serve)).Methods(route.method)
	}
	return router
}

// handlerRegistrar is the part of a request multiplexer that [Health] uses.
type handlerRegistrar interface {
	Handle(path string, handler http.Handler)
}

// muxRegistrar adapts [mux.Router] to handlerRegistrar.
type muxRegistrar struct{ *mux.Router }

func (r muxRegistrar) Handle(path string, handler http.Handler) { r.Router.Handle(path, handler) }

// Health registers /healthz, which succeeds while the process runs, and /readyz,
// which answers 503 with the reason while callers must not be directed to the node.
func Health(router handlerRegistrar, ready func() error) {
	router.Handle("/healthz", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
	}))
	router.Handle("/readyz", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if err := ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}))
}
