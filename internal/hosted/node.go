package hosted

import (
	"context"
	"log/slog"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/internal/drain"
	"github.com/guavatrack/guavatrack/internal/lease"
	"github.com/guavatrack/guavatrack/internal/member"
	"github.com/guavatrack/guavatrack/internal/peer"
	"github.com/guavatrack/guavatrack/internal/placement"
	"github.com/guavatrack/guavatrack/internal/poison"
	"github.com/guavatrack/guavatrack/internal/roster"
	"github.com/guavatrack/guavatrack/internal/run"
	"github.com/guavatrack/guavatrack/internal/settings"
	"github.com/guavatrack/guavatrack/internal/wait"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/platform"
)

// Node is one node. Its exported fields are set before Start.
type Node struct {
	Settings settings.Settings
	Log      *slog.Logger
	// ID names this run of the process. Empty takes a new random name.
	ID fleet.NodeID

	app    *fx.App
	parts  parts
	cancel context.CancelFunc
	runs   sync.WaitGroup
	active drain.Calls
	// current are the settings in force; some change while the node runs.
	current atomic.Pointer[settings.Platform]
	// leaving says that the node is to stop, draining that it takes no more
	// requests.
	leaving, draining atomic.Bool
}

// parts are the parts of a node, filled in by fx.
type parts struct {
	fx.In

	Metrics       metrics.Registry
	Roster        *roster.Controller
	ServerRelay   *roster.Relay[roster.ServerEntry]
	ManifestRelay *roster.Relay[*roster.Manifest]
	Peers         *peer.Peer
	Members       *member.Controller
	Lease         *lease.Controller
	Directory     *placement.Directory
	Reporter      *placement.Reporter
	Scheduler     *placement.Scheduler
	Dispatcher    *dispatch.Dispatcher
	Exchange      *platform.Exchange
	Poison        *poison.Gossip
	Endpoints     *endpoints
}

// memoryShare of what the process may take is where the garbage collector works
// harder.
const memoryShare = 0.6

// Start opens the endpoints and runs the parts. It returns once the node can be
// asked; [Node.Ready] tells when it may be named to callers.
func (n *Node) Start(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "start node")
		}
	}()
	if n.ID == "" {
		n.ID = fleet.NodeID(uuid.NewString())
	}
	n.current.Store(n.Settings.Platform)
	debug.SetMemoryLimit(int64(memoryShare * float64(n.Settings.Platform.Memory)))
	n.app = fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(n), providers, fx.Invoke(connect),
		fx.Invoke(func(p parts) { n.parts = p }),
	)
	if err := n.app.Start(ctx); err != nil {
		return err
	}
	running, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	run.Start(running, &n.runs, n.Log, n.runners())
	n.parts.Endpoints.serve(n)
	n.Log.Info("node started", slog.String("node", string(n.ID)), slog.String("place", string(n.Settings.Node.FailureDomain)),
		slog.String("callers", n.Addresses().Callers))
	return nil
}

// Addresses returns where the node listens. It is valid after Start.
func (n *Node) Addresses() Addresses { return n.parts.Endpoints.addresses }

func (n *Node) runners() []run.Controller {
	return []run.Controller{
		{Name: "peers", Run: n.parts.Peers.Run},
		{Name: "members", Run: n.parts.Members.Run},
		{Name: "roster", Run: n.followStore},
		{Name: "start", Run: n.announce},
		{Name: "lease", Run: n.parts.Lease.Run},
		{Name: "reporter", Run: n.parts.Reporter.Run},
		{Name: "scheduler", Run: n.parts.Scheduler.Run},
		{Name: "dispatcher", Run: n.parts.Dispatcher.Run},
		{Name: "poison", Run: n.takePoison},
		{Name: "pauses", Run: n.watchPauses},
	}
}

// Timing of the start.
const (
	// joinLimit bounds the wait for the other nodes, which know what the store
	// lists.
	joinLimit   = 500 * time.Millisecond
	warmUpLimit = 3 * time.Second
	warmUpPoll  = 20 * time.Millisecond
)

// followStore follows the store once the other nodes are known, so that nodes
// that start together don't all read it whole.
func (n *Node) followStore(ctx context.Context) error {
	joining, cancel := context.WithTimeout(ctx, joinLimit)
	defer cancel()
	select {
	case <-n.parts.Members.Joined():
	case <-joining.Done():
	}
	return n.parts.Roster.Run(ctx)
}

// announce has the node named to callers once it can serve, or after
// warmUpLimit.
func (n *Node) announce(ctx context.Context) error {
	wait.Until(ctx, warmUpLimit, warmUpPoll, func() bool { return n.known() == nil })
	n.parts.Members.Started()
	return nil
}

// poisonInterval is the time between two looks at what other nodes tell of
// requests that crash servers.
const poisonInterval = time.Second

func (n *Node) takePoison(ctx context.Context) error {
	for ctx.Err() == nil {
		wait.For(ctx, poisonInterval)
		n.parts.Poison.Take()
	}
	return nil
}

// known says why the node can't serve yet; nil if it can.
func (n *Node) known() error {
	view := n.parts.Roster.View()
	switch {
	case view.Manifest == nil:
		return errors.New("no manifest is known")
	case !view.ServersListed:
		return errors.New("the list of backend servers is not known")
	default:
		return nil
	}
}

// Ready says why the node must not be named to callers; nil if it may.
func (n *Node) Ready() error {
	if n.leaving.Load() {
		return errors.New("the node is stopping")
	}
	return n.known()
}

// Reload takes in changed settings. What is listened on stays as it is.
func (n *Node) Reload(changed settings.Settings) {
	n.current.Store(changed.Platform)
	n.Log.Info("settings reloaded", slog.Float64("retryRatio", changed.Platform.Retries.Ratio),
		slog.Float64("retrySlack", changed.Platform.Retries.Slack))
}

// Shares of the grace time at which a stopping node takes no more requests, and
// at which it cuts off what still runs.
const (
	acceptShare = 0.3
	cutShare    = 0.93
)

// Drain stops the node without cutting off a request that ends in time.
func (n *Node) Drain(ctx context.Context) (cutOff int) {
	grace := n.current.Load().Grace.Std()
	began := time.Now()
	n.Log.Info("drain begins", slog.Duration("grace", grace), slog.Int("running", n.active.Running()))
	ctx, cancel := context.WithTimeout(ctx, time.Duration(cutShare*float64(grace)))
	defer cancel()
	n.leaving.Store(true)
	n.parts.Members.Leave()
	n.runs.Go(func() { n.parts.Lease.Release(ctx) })
	wait.For(ctx, time.Duration(acceptShare*float64(grace)))
	n.draining.Store(true)
	n.parts.Endpoints.closeCallers()
	cutOff = n.active.Drain(ctx)
	n.parts.Members.Gone(ctx)
	n.Log.Info("drain ends", slog.Int("cutOff", cutOff), slog.Duration("took", time.Since(began)))
	n.Stop()
	return cutOff
}

// Stop ends the node at once.
func (n *Node) Stop() {
	n.parts.Endpoints.close()
	n.cancel()
	n.runs.Wait()
	_ = n.app.Stop(context.Background())
}

// What requests may take: a request holds a connection to its caller and one to
// a server; the rest of the descriptors is for the node itself, and a part of the
// memory for bodies.
const (
	ownDescriptors       = 400
	descriptorsOfRequest = 2
	bodyShare            = 4
)

// callers returns the handler of callers' requests.
func (n *Node) callers() http.Handler {
	return &platform.Callers{
		View: n.parts.Roster.View, Dispatcher: n.parts.Dispatcher, Servers: n.parts.Exchange,
		Draining: n.draining.Load, Closing: n.leaving.Load, Active: &n.active,
		MaxRunning: (n.Settings.Platform.Descriptors - ownDescriptors) / descriptorsOfRequest,
		MaxHeld:    int64(n.Settings.Platform.Memory) / bodyShare,
	}
}
