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

// Node is a node on an entry VM. Its exported fields are set before Start.
type Node struct {
	Settings settings.Settings
	Log      *slog.Logger
	// Level sets the minimum level of Log while the node runs. It may be nil.
	Level *slog.LevelVar
	// ID identifies this run of the process. If it is empty, Start sets a random ID.
	ID fleet.NodeID
	// Dial connects to backend servers; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	app        *fx.App
	components components
	cancel     context.CancelFunc
	background sync.WaitGroup

	drainOnce sync.Once
	drained   chan struct{}
	report    drain.Report
	drainErr  error
}

// components holds the controllers and other components of a node. It is filled in
// by fx.
type components struct {
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
	Facts     *factExchange
	Endpoints *endpoints
}

// New returns a node with the settings.
func New(nodeSettings settings.Settings, log *slog.Logger) *Node {
	return &Node{Settings: nodeSettings, Log: log}
}

// Start opens the endpoints and runs the controllers. It returns once the node
// answers on its endpoints; [Node.Ready] reports when it can serve callers.
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
		fx.Invoke(func(p components) { n.components = p }),
	)
	if err := n.app.Start(ctx); err != nil {
		return err
	}
	runCtx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	run.Start(runCtx, &n.background, n.Log, n.controllers())
	n.Log.Info("node started", slog.Any("node", n.ID), slog.Any("addresses", n.Addresses()))
	return nil
}

func (n *Node) controllers() []run.Controller {
	return []run.Controller{
		{Name: "peers", Run: n.components.Peers.Run},
		{Name: "vmList", Run: n.components.VMs.Run},
		{Name: "members", Run: n.join},
		{Name: "configuration", Run: n.components.Config.Run},
		{Name: "grants", Run: n.components.Grants.Run},
		{Name: "policy", Run: n.components.Policy.Run},
		{Name: "callers", Run: n.components.Callers.Run},
		{Name: "facts", Run: n.components.Facts.run},
	}
}

const (
	warmUpTimeout      = 3 * time.Second
	warmUpPollInterval = 20 * time.Millisecond
)

// join makes the node a member once it is warmed up, or after warmUpTimeout. If it
// joined earlier, callers would be sent to it while it considers loaded models
// not loaded.
func (n *Node) join(ctx context.Context) error {
	wait.Until(ctx, warmUpTimeout, warmUpPollInterval, n.warmedUp)
	return n.components.Members.Run(ctx)
}

// warmedUp reports whether the node has a configuration, the VM list and a report
// of every listed engine.
func (n *Node) warmedUp() bool {
	if !n.components.Config.Current() || n.components.VMs.AsOf().IsZero() {
		return false
	}
	polled := make(map[fleet.ServerID]bool)
	for _, view := range n.components.Grants.Views() {
		polled[view.VM.ID] = !view.PolledAt.IsZero()
	}
	pools := n.components.Config.Snapshot().Pools
	for _, vm := range n.components.VMs.VMs() {
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
func (n *Node) Addresses() Addresses { return n.components.Endpoints.addresses }

// Metrics returns the node's metrics. It is valid after Start.
func (n *Node) Metrics() metrics.Registry { return n.components.Metrics }

// Ready returns why callers must not be sent to the node, or nil if they may.
func (n *Node) Ready() error {
	select {
	case <-n.drained:
		return errors.New("node has left")
	default:
		return n.components.Config.ReadyError()
	}
}

// Drain stops the node gracefully and returns a report. A second call waits for
// the first one and returns the same report.
func (n *Node) Drain(ctx context.Context) (drain.Report, error) {
	n.drainOnce.Do(func() {
		drainCtx, cancel := context.WithTimeout(ctx, n.Settings.Drain.Limit.Std())
		defer cancel()
		n.report, n.drainErr = n.drainSequence().Run(drainCtx)
		n.Stop()
		close(n.drained)
	})
	<-n.drained
	return n.report, n.drainErr
}

// Drained returns a channel that is closed when a drain has ended.
func (n *Node) Drained() <-chan struct{} { return n.drained }

func (n *Node) drainSequence() *drain.Sequence {
	return &drain.Sequence{
		StopAt: n.components.Callers.StopAt,
		AnnounceLeaving: func() {
			n.components.Members.AnnounceLeaving()
			n.components.Endpoints.closeUsedConnections()
		},
		KeepFor: n.Settings.Drain.KeepFor.Std(),
		Finish:  n.components.Callers.Drain,
		FinalSteps: []drain.Step{
			{Name: "connections", Run: n.components.Endpoints.shutdown},
		},
		AnnounceStopped: n.components.Members.AnnounceLeft,
		Log:             n.Log,
	}
}

// Stop stops the node immediately, like a crash of its process: it cuts off all
// connections, runs no final steps and announces nothing. Use [Node.Drain] for a
// planned stop.
func (n *Node) Stop() {
	n.components.Endpoints.close()
	n.cancel()
	n.background.Wait()
	_ = n.app.Stop(context.Background())
}
