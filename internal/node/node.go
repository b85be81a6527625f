package node

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/guavatrack/guavatrack/internal/caller"
	"github.com/guavatrack/guavatrack/internal/config"
	"github.com/guavatrack/guavatrack/internal/drain"
	"github.com/guavatrack/guavatrack/internal/grant"
	"github.com/guavatrack/guavatrack/internal/member"
	"github.com/guavatrack/guavatrack/internal/peer"
	"github.com/guavatrack/guavatrack/internal/policy"
	"github.com/guavatrack/guavatrack/internal/run"
	"github.com/guavatrack/guavatrack/internal/settings"
	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/internal/vmlist"
	"github.com/guavatrack/guavatrack/internal/wait"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/ticket"
)

// Node is one node. Its exported fields are set before Start.
type Node struct {
	Settings settings.Settings
	Log      *slog.Logger
	// Level changes what Log writes while the node runs. It may be nil.
	Level *slog.LevelVar
	// ID names this run of the process. Empty takes a new random name.
	ID fleet.NodeID
	// Dial connects to backend servers; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	app    *fx.App
	parts  parts
	cancel context.CancelFunc
	runs   sync.WaitGroup

	drainOnce sync.Once
	drained   chan struct{}
	report    drain.Report
	drainErr  error
}

// parts are the controllers of a node, filled in by fx.
type parts struct {
	fx.In

	Metrics   metrics.Registry
	Store     table.Store
	VMs       *vmlist.Cache
	Peers     *peer.Peer
	Members   *member.Controller
	Config    *config.Controller
	Grants    *grant.Controller
	Policy    *policy.Controller
	Directory *directory
	Callers   *caller.Server
	Facts     *facts
	Endpoints *endpoints
}

// New returns a node with the settings.
func New(given settings.Settings, log *slog.Logger) *Node {
	return &Node{Settings: given, Log: log}
}

// Start opens the endpoints and runs the controllers. It returns once the node
// can be asked; [Node.Ready] tells when it may be named to callers.
func (n *Node) Start(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "start node")
		}
	}()
	if n.ID == "" {
		n.ID = fleet.NodeID(uuid.NewString())
	}
	n.drained = make(chan struct{})
	n.app = fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(n),
		providers,
		fx.Invoke(connect),
		fx.Invoke(func(p parts) { n.parts = p }),
	)
	if err := n.app.Start(ctx); err != nil {
		return err
	}
	running, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	run.Start(running, &n.runs, n.Log, n.runners())
	n.Log.Info("node started", slog.Any("node", n.ID), slog.Any("addresses", n.Addresses()))
	return nil
}

func (n *Node) runners() []run.Controller {
	return []run.Controller{
		{Name: "peers", Run: n.parts.Peers.Run},
		{Name: "vmList", Run: n.parts.VMs.Run},
		{Name: "members", Run: n.join},
		{Name: "configuration", Run: n.parts.Config.Run},
		{Name: "grants", Run: n.parts.Grants.Run},
		{Name: "policy", Run: n.parts.Policy.Run},
		{Name: "callers", Run: n.parts.Callers.Run},
		{Name: "facts", Run: n.parts.Facts.run},
	}
}

const (
	warmUpLimit = 3 * time.Second
	warmUpPoll  = 20 * time.Millisecond
)

// join makes the node a member once it knows what the others know, or after
// warmUpLimit. Before, it would be named to callers and take models that are
// loaded for absent.
func (n *Node) join(ctx context.Context) error {
	wait.Until(ctx, warmUpLimit, warmUpPoll, n.warm)
	return n.parts.Members.Run(ctx)
}

// warm reports whether the node has a configuration, the VM list and a report
// of every engine that is listed.
func (n *Node) warm() bool {
	if !n.parts.Config.Current() || n.parts.VMs.AsOf().IsZero() {
		return false
	}
	polled := make(map[fleet.ServerID]bool)
	for _, view := range n.parts.Grants.Views() {
		polled[view.VM.ID] = !view.PolledAt.IsZero()
	}
	pools := n.parts.Config.Snapshot().Pools
	for _, vm := range n.parts.VMs.VMs() {
		pool, found := pools[vm.Pool]
		if found && pool.Kind == ticket.EnginePool && !polled[vm.ID] {
			return false
		}
	}
	return true
}

// Addresses are the addresses that a node advertises.
type Addresses struct {
	Callers   string `json:"callers"`
	Operators string `json:"operators"`
	Peers     string `json:"peers"`
}

// Addresses returns the node's addresses. It is valid after Start.
func (n *Node) Addresses() Addresses { return n.parts.Endpoints.addresses }

// Metrics returns the node's metrics. It is valid after Start.
func (n *Node) Metrics() metrics.Registry { return n.parts.Metrics }

// Ready says why the node must not be named to callers; nil if it may.
func (n *Node) Ready() error {
	select {
	case <-n.drained:
		return errors.New("node has left")
	default:
		return n.parts.Config.ReadyError()
	}
}

// Drain stops the node without cutting off a request and returns what it did.
// A second call waits for the first one.
func (n *Node) Drain(ctx context.Context) (drain.Report, error) {
	n.drainOnce.Do(func() {
		limited, cancel := context.WithTimeout(ctx, n.Settings.Drain.Limit.Std())
		defer cancel()
		n.report, n.drainErr = n.sequence().Run(limited)
		n.Stop()
		close(n.drained)
	})
	<-n.drained
	return n.report, n.drainErr
}

// Drained is closed when a drain has ended.
func (n *Node) Drained() <-chan struct{} { return n.drained }

func (n *Node) sequence() *drain.Sequence {
	return &drain.Sequence{
		Leave: func() {
			n.parts.Members.Leave()
			n.parts.Endpoints.leave()
		},
		KeepFor: n.Settings.Drain.KeepFor.Std(),
		Finish:  n.parts.Callers.Drain,
		HandOver: []drain.Step{
			{Name: "connections", Run: n.parts.Endpoints.shutdown},
		},
		Gone: n.parts.Members.Gone,
		Log:  n.Log,
	}
}

// Stop ends the node at once, as the death of its process would: connections
// are cut and nothing is handed over. Use [Node.Drain] for a planned stop.
func (n *Node) Stop() {
	n.parts.Endpoints.close()
	n.cancel()
	n.runs.Wait()
	_ = n.app.Stop(context.Background())
}
