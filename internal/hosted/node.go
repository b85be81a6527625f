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

	"github.com/guavatrack/guavatrack/internal/backend"
	"github.com/guavatrack/guavatrack/internal/connlimit"
	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/internal/drain"
	"github.com/guavatrack/guavatrack/internal/edgelog"
	"github.com/guavatrack/guavatrack/internal/forward"
	"github.com/guavatrack/guavatrack/internal/lease"
	"github.com/guavatrack/guavatrack/internal/member"
	"github.com/guavatrack/guavatrack/internal/origin"
	"github.com/guavatrack/guavatrack/internal/peer"
	"github.com/guavatrack/guavatrack/internal/placement"
	"github.com/guavatrack/guavatrack/internal/poison"
	"github.com/guavatrack/guavatrack/internal/quota"
	"github.com/guavatrack/guavatrack/internal/ratelimit"
	"github.com/guavatrack/guavatrack/internal/reach"
	"github.com/guavatrack/guavatrack/internal/roster"
	"github.com/guavatrack/guavatrack/internal/run"
	"github.com/guavatrack/guavatrack/internal/settings"
	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/internal/wait"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/platform"
)

// Node is a node on a platform. Its exported fields are set before Start.
type Node struct {
	Settings settings.Settings
	Log      *slog.Logger
	// ID identifies this run of the process. If it is empty, Start sets a random ID.
	ID fleet.NodeID
	// DialServers opens the connections for requests to backend servers; nil means TCP.
	DialServers backend.DialFunc

	app            *fx.App
	components     components
	cancel         context.CancelFunc
	background     sync.WaitGroup
	activeRequests drain.Requests
	// callerMemory holds the memory of what callers make the node hold, peerMemory that of what
	// other nodes send.
	callerMemory, peerMemory *connlimit.Account
	limitCounters            *connlimit.Counters
	// edge records the callers that get no complete answer.
	edge *edgelog.Recorder
	// current holds the settings in force, some of which Reload changes.
	current atomic.Pointer[settings.Platform]
	// leaving is set when the node begins to stop, draining when it accepts no more
	// requests.
	leaving, draining atomic.Bool
}

// components holds the controllers and other components of a node. It is filled in
// by fx.
type components struct {
	fx.In

	Metrics          metrics.Registry
	Store            *platform.Store
	Roster           *roster.Controller
	ServerRelay      *roster.Relay[roster.ServerEntry]
	ManifestRelay    *roster.Relay[*roster.Manifest]
	ManifestExchange *roster.ManifestExchange
	Peers            *peer.Peer
	Members          *member.Controller
	Lease            *lease.Controller
	Directory        *placement.Directory
	Reporter         *placement.Reporter
	Scheduler        *placement.Scheduler
	Dispatcher       *dispatch.Dispatcher
	Origins          *origin.Controller
	Exchange         *platform.Exchange
	Reach            *reach.Detector
	Forwarder        *forward.Forwarder
	Poison           *poison.Gossip
	LeaveNotices     *roster.LeaveNotices
	RateLimits       *ratelimit.Controller
	QuotaLease       quotaLease
	Quotas           *quota.Controller
	Engines          *platform.Engines
	Endpoints        *endpoints
}

// memoryLimitShare is the share of the memory in the settings at which the garbage
// collector runs more often.
const memoryLimitShare = 0.6

// Start opens the endpoints and runs the components. It returns once the node
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
	n.current.Store(n.Settings.Platform)
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(n.Settings.Platform.Memory)))
	limits := n.Settings.Platform.EffectiveLimits()
	n.callerMemory = connlimit.NewAccount(int64(limits.CallerMemory))
	n.peerMemory = connlimit.NewAccount(int64(limits.PeerMemory))
	n.app = fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(n), providers, fx.Invoke(connect),
		fx.Invoke(func(p components) { n.components = p }),
	)
	if err := n.app.Start(ctx); err != nil {
		return err
	}
	n.edge = &edgelog.Recorder{Log: n.Log, Metrics: n.components.Metrics, Version: n.manifestVersion}
	runCtx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	run.Start(runCtx, &n.background, n.Log, n.controllers())
	n.components.Endpoints.serve(n)
	n.Log.Info("node started", slog.String("node", string(n.ID)), slog.String("place", string(n.Settings.Node.FailureDomain)),
		slog.String("callers", n.Addresses().Callers))
	return nil
}

// Addresses returns where the node listens. It is valid after Start.
func (n *Node) Addresses() Addresses { return n.components.Endpoints.addresses }

func (n *Node) controllers() []run.Controller {
	return []run.Controller{
		{Name: "peers", Run: n.components.Peers.Run},
		{Name: "members", Run: n.components.Members.Run},
		{Name: "roster", Run: n.watchStore},
		{Name: "manifestExchange", Run: n.components.ManifestExchange.Run},
		{Name: "start", Run: n.announce},
		{Name: "lease", Run: n.components.Lease.Run},
		{Name: "reporter", Run: n.components.Reporter.Run},
		{Name: "scheduler", Run: n.components.Scheduler.Run},
		{Name: "origins", Run: n.components.Origins.Run},
		{Name: "dispatcher", Run: n.components.Dispatcher.Run},
		{Name: "notices", Run: n.receiveNotices},
		{Name: "rateLimits", Run: n.components.RateLimits.Run},
		{Name: "quotaLease", Run: func(ctx context.Context) error {
			return n.components.Quotas.RunLease(ctx, n.components.QuotaLease.Run)
		}},
		{Name: "quotas", Run: n.components.Quotas.Run},
		{Name: "pauses", Run: n.watchPauses},
		{Name: "reach", Run: n.components.Reach.Run},
	}
}

// Timing of the start.
const (
	// joinTimeout bounds the wait for the other nodes, from which the contents of
	// the store can be read.
	joinTimeout        = 500 * time.Millisecond
	warmUpTimeout      = 3 * time.Second
	warmUpPollInterval = 20 * time.Millisecond
)

// watchStore reads and watches the store once the node has joined the others, so
// that nodes that start at the same time do not all read the whole store.
func (n *Node) watchStore(ctx context.Context) error {
	joining, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	select {
	case <-n.components.Members.Joined():
	case <-joining.Done():
	}
	return n.components.Roster.Run(ctx)
}

// announce marks this node as started once it can serve, or after warmUpTimeout, so
// that its address is returned to callers.
func (n *Node) announce(ctx context.Context) error {
	wait.Until(ctx, warmUpTimeout, warmUpPollInterval, func() bool { return n.viewError() == nil })
	n.components.Members.AnnounceStarted()
	return nil
}

// Times between two reads of the notices of other nodes, received by gossip: those about
// requests that crash backend servers and about limits of servers are read urgentReads
// times as often as those about servers that leave.
const (
	urgentNoticeInterval = 250 * time.Millisecond
	urgentReads          = 4
)

func (n *Node) receiveNotices(ctx context.Context) error {
	for read := 1; ctx.Err() == nil; read++ {
		wait.For(ctx, urgentNoticeInterval)
		n.components.Poison.Receive()
		n.components.RateLimits.Receive()
		n.components.Quotas.Receive()
		if read%urgentReads == 0 {
			n.components.LeaveNotices.Receive()
		}
	}
	return nil
}

// viewError returns why the node cannot serve yet, or nil if it can.
func (n *Node) viewError() error {
	view := n.components.Roster.View()
	switch {
	case view.Manifest == nil:
		return errors.New("no manifest is known")
	case !view.ServersListed:
		return errors.New("the list of backend servers is not known")
	default:
		return nil
	}
}

// Ready returns why callers must not be sent to the node, or nil if they may.
func (n *Node) Ready() error {
	if n.leaving.Load() {
		return errors.New("the node is stopping")
	}
	return n.viewError()
}

// Reload applies changed settings. Listening addresses do not change.
func (n *Node) Reload(changed settings.Settings) {
	n.current.Store(changed.Platform)
	n.Log.Info("settings reloaded", slog.Float64("retryRatio", changed.Platform.Retries.Ratio),
		slog.Float64("retrySlack", changed.Platform.Retries.Slack))
}

const (
	// acceptShare is the share of the grace time after which a stopping node accepts
	// no more requests, cutOffShare the one after which it cuts off those that still
	// run, answeredShare the one up to which it then writes their answers.
	acceptShare   = 0.3
	cutOffShare   = 0.93
	answeredShare = 0.97
)

// Drain stops the node gracefully. It returns the number of requests that did not
// end in time and were cut off.
func (n *Node) Drain(ctx context.Context) (cutOff int) {
	grace := n.current.Load().Grace.Std()
	startedAt, cutOffBefore := time.Now(), n.edge.CutOffs()
	n.Log.Info("drain begins", slog.Duration("grace", grace), slog.Int("running", n.activeRequests.Running()))
	ctx, cancel := context.WithTimeout(ctx, time.Duration(cutOffShare*float64(grace)))
	defer cancel()
	cutOffAt, _ := ctx.Deadline()
	n.components.Dispatcher.StopAt(cutOffAt)
	n.leaving.Store(true)
	n.components.Members.AnnounceLeaving()
	n.background.Go(func() { n.components.Lease.Release(ctx) })
	if n.components.Quotas.InUse() {
		n.background.Go(func() { n.components.QuotaLease.Release(ctx) })
	}
	wait.For(ctx, time.Duration(acceptShare*float64(grace)))
	n.draining.Store(true)
	cutOff = n.finishRequests(ctx, n.components.Endpoints, time.Duration((answeredShare-cutOffShare)*float64(grace)))
	n.components.Members.AnnounceLeft(ctx)
	n.Log.Info("drain ends", slog.Int("cutOff", cutOff), slog.Int64("answersCutOff", n.edge.CutOffs()-cutOffBefore),
		slog.Duration("took", time.Since(startedAt)))
	n.Stop()
	return cutOff
}

// finishRequests stops accepting connections from callers and waits for the requests in
// progress, and then for their connections: net/http writes the end of an answer after
// the request has ended. When the context ends, it cuts off the remaining requests and
// returns their number. Their answers are written within answerTime.
func (n *Node) finishRequests(ctx context.Context, sockets *endpoints, answerTime time.Duration) (cutOff int) {
	closed := sockets.closeCallers(ctx)
	cutOff = n.activeRequests.Drain(ctx)
	err := <-closed
	if err != nil {
		answering, cancel := context.WithTimeout(context.WithoutCancel(ctx), answerTime)
		defer cancel()
		n.activeRequests.Drain(answering)
		err = <-sockets.closeCallers(answering)
	}
	if err != nil {
		n.Log.Warn("callers' connections not closed in time", slog.String("error", err.Error()))
	}
	return cutOff
}

// Stop stops the node immediately and cuts off its connections.
func (n *Node) Stop() {
	n.components.Endpoints.close()
	n.cancel()
	n.background.Wait()
	_ = n.app.Stop(context.Background())
}

// storeRestored handles a store that was restored from an older copy: what this node has
// written may be gone, and the lease is in doubt.
func (n *Node) storeRestored(era table.Era) {
	n.Log.Warn("store restored from an older copy", slog.Uint64("era", uint64(era)))
	n.components.Members.RegisterAgain()
	n.components.Lease.Suspect()
	if n.components.Quotas.InUse() {
		n.components.QuotaLease.Suspect()
	}
}

// Resources of requests. A request uses one connection to its caller and one to a
// backend server. Of the descriptors, reservedDescriptors are left to the node itself, but not more
// than a part of them.
const (
	reservedDescriptors   = 400
	maxReservedPart       = 4
	descriptorsPerRequest = 2
)

// usableDescriptors returns the number of descriptors for requests.
func (n *Node) usableDescriptors() int {
	descriptors := n.Settings.Platform.Descriptors
	return descriptors - min(reservedDescriptors, descriptors/maxReservedPart)
}

// minRoomPart is the part of the usable descriptors that connections do not take from requests.
const minRoomPart = 16

// requestRoom returns the number of requests that have a descriptor for a backend server beside
// the open connections.
func (n *Node) requestRoom() int {
	usable := n.usableDescriptors()
	return max(usable/minRoomPart, usable-n.components.Endpoints.connections()-n.components.Peers.InboundConnections())
}

// manifestVersion returns the version of the manifest in force.
func (n *Node) manifestVersion() edgelog.Version {
	view := n.components.Roster.View()
	if view.Manifest == nil {
		return edgelog.Version{}
	}
	return edgelog.Version{Number: view.Manifest.Version, Since: view.ManifestSince}
}

// callerHandler returns the handler of callers' requests.
func (n *Node) callerHandler() http.Handler {
	callers := n.newCallers()
	if n.Addresses().Forward != "" {
		callers.Forwarder, callers.CutOff = n.components.Forwarder, n.components.Reach.CutOff
	}
	return callers
}

// forwardHandler returns the handler of the requests that other nodes pass on. They are not
// passed on again.
func (n *Node) forwardHandler() http.Handler {
	return &forward.Handler{Next: n.newCallers(), CutOff: n.components.Reach.CutOff}
}

// newCallers returns a handler of requests that passes none on.
func (n *Node) newCallers() *platform.Callers {
	limits := n.Settings.Platform.EffectiveLimits()
	return &platform.Callers{
		View: n.components.Roster.View, ManifestAge: n.components.Roster.ManifestAge,
		AwaitManifest: n.components.Roster.AwaitManifest,
		Dispatcher:    n.components.Dispatcher, Servers: n.components.Exchange,
		Draining: n.draining.Load, Closing: n.leaving.Load, Active: &n.activeRequests,
		MaxRunning:    n.usableDescriptors() / descriptorsPerRequest,
		MaxBodyMemory: int64(limits.BodyMemory),
		Limits: platform.CallerLimits{
			Account: n.callerMemory, Room: n.requestRoom, BodyPause: limits.BodyPause.Std(), BodyRate: int64(limits.BodyRate),
			Counters: n.limitCounters,
		},
		Edge:   n.edge,
		Quotas: n.components.Quotas,
	}
}
