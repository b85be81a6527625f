package ratelimit

import (
	"context"
	"log/slog"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/guavatrack/guavatrack/internal/logs"
	"github.com/guavatrack/guavatrack/internal/member"
	"github.com/guavatrack/guavatrack/internal/metric"
	"github.com/guavatrack/guavatrack/internal/peer"
	"github.com/guavatrack/guavatrack/internal/wait"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Metrics lists the metrics that a [Controller] registers.
var Metrics = []metric.Doc{
	{Name: limitedMetric, Kind: metric.Gauge, Help: "backend servers that have named a limit of requests"},
	{Name: grantedMetric, Kind: metric.Counter, Help: "tokens for requests to such servers that this node gave to others"},
	{Name: askFailedMetric, Kind: metric.Counter, Help: "requests for such tokens that the owner did not answer"},
}

const (
	limitedMetric   = "rateLimit.limitedServers"
	grantedMetric   = "rateLimit.granted"
	askFailedMetric = "rateLimit.asksFailed"
)

// Peers sends calls to other nodes and registers handlers for theirs.
type Peers interface {
	Call(ctx context.Context, node fleet.NodeID, method string, in, out any) error
	Handle(method string, handler peer.Handler)
}

// Controller holds the limits that servers have named and the tokens for requests to
// them. Its exported fields are set before Register.
type Controller struct {
	Node fleet.NodeID
	// Owner returns the node that hands out the tokens of a server; empty if there is none.
	// Nodes with the same view of the members return the same one.
	Owner func(server fleet.ServerID) fleet.NodeID
	Peers Peers
	Facts member.FactStore
	Log   *slog.Logger
	// Metrics may be nil.
	Metrics metrics.Registry

	// limited is the number of servers with a limit in force.
	limited atomic.Int64
	meters  struct {
		limited          metrics.Gauge
		granted, failing metrics.Counter
	}
	notices member.Notices[notice]

	mu      sync.Mutex
	servers map[fleet.ServerID]*server
}

const (
	takeMethod = "rateLimit.take"
	// noticeKind is the kind of the facts that tell other nodes of a limit.
	noticeKind = "serverLimit"
	// noticeLifetime is how long nodes pass such a fact on.
	noticeLifetime = time.Minute
	// tickInterval is the time between two checks of the tokens that requests want,
	// ownerInterval that between two checks of the owners.
	tickInterval  = 50 * time.Millisecond
	ownerInterval = 500 * time.Millisecond
	// askTimeout bounds a request for tokens, askFailedPause is the pause after one that
	// failed.
	askTimeout     = 300 * time.Millisecond
	askFailedPause = 500 * time.Millisecond
	// serverRetention is how long the state of a server is kept without a limit, so that
	// older notices about it are recognised.
	serverRetention = 2 * noticeLifetime
)

// takeRequest asks the owner of a server for tokens.
type takeRequest struct {
	Node   fleet.NodeID   `json:"node"`
	Server fleet.ServerID `json:"server"`
	Known  notice         `json:"known"`
	Want   int            `json:"want"`
}

// takeResponse holds the tokens, and what the owner knows of the limit.
type takeResponse struct {
	Tokens    int   `json:"tokens"`
	RetryInMs int64 `json:"retryInMs,omitempty"`
	// SharedBy is the number of nodes that have taken or wanted tokens lately.
	SharedBy int    `json:"sharedBy,omitempty"`
	Known    notice `json:"known"`
}

// Register registers the methods that nodes call on each other.
func (c *Controller) Register() {
	c.Log = logs.OrDiscard(c.Log)
	c.Metrics = metric.OrNew(c.Metrics)
	c.meters.limited = metrics.GetOrRegisterGauge(limitedMetric, c.Metrics)
	c.meters.granted = metrics.GetOrRegisterCounter(grantedMetric, c.Metrics)
	c.meters.failing = metrics.GetOrRegisterCounter(askFailedMetric, c.Metrics)
	c.notices = member.Notices[notice]{Kind: noticeKind, Node: c.Node, Facts: c.Facts, Log: c.Log}
	c.servers = make(map[fleet.ServerID]*server)
	c.Peers.Handle(takeMethod, peer.Typed(c.handleTake))
}

// RecordLimit records the limit that a run of a server has named in an answer to this
// node, in requests a second.
func (c *Controller) RecordLimit(id fleet.ServerID, boot fleet.BootID, limit float64) {
	c.recordOwn(id, notice{Boot: boot, Limit: Rate(limit), Named: true})
}

// RecordNoLimit records that a run of a server has named no limit in an answer to this
// node.
func (c *Controller) RecordNoLimit(id fleet.ServerID, boot fleet.BootID) {
	if c.limited.Load() > 0 {
		c.recordOwn(id, notice{Boot: boot})
	}
}

// recordOwn records what an answer to this node says, and tells the other nodes if that is
// new.
func (c *Controller) recordOwn(id fleet.ServerID, said notice) {
	c.mu.Lock()
	known := c.servers[id]
	switch {
	case known == nil && !said.Named,
		known != nil && known.Boot == said.Boot && known.Named == said.Named && (!said.Named || about(known.Limit, said.Limit)):
		c.mu.Unlock()
		return
	case known != nil:
		said.Sequence = known.Sequence
	}
	said.Sequence++
	c.apply(time.Now(), id, said)
	c.mu.Unlock()
	c.notices.PublishUrgent(string(id), said, noticeLifetime)
}

// Receive records what other nodes have been told. It must not be called concurrently.
func (c *Controller) Receive() {
	c.notices.ReceiveNew(func(id string, said notice) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.merge(time.Now(), fleet.ServerID(id), said)
	})
}

// merge records what another node knows, if that is later. The caller holds the lock.
func (c *Controller) merge(now time.Time, id fleet.ServerID, said notice) {
	if known := c.servers[id]; known == nil && said.Named || known != nil && said.laterThan(&known.notice) {
		c.apply(now, id, said)
	}
}

// apply puts a notice in force. The caller holds the lock.
func (c *Controller) apply(now time.Time, id fleet.ServerID, said notice) {
	known := c.servers[id]
	wasNamed := known != nil && known.Named
	if !wasNamed || known.Boot != said.Boot {
		// Another node may have handed out tokens before, unless the change was seen here.
		known = &server{late: known == nil && said.Sequence > 1}
		c.servers[id] = known
	}
	switch {
	case said.Named && !wasNamed:
		c.limited.Add(1)
	case !said.Named && wasNamed:
		c.limited.Add(-1)
	}
	known.notice, known.changedAt = said, now
	c.updateOwner(now, id, known)
	known.late = true
	c.meters.limited.Update(c.limited.Load())
	c.Log.Info("server limit", slog.String("server", string(id)), slog.String("boot", string(said.Boot)),
		slog.Bool("named", said.Named), slog.Float64("perSecond", float64(said.Limit)),
		slog.Uint64("sequence", said.Sequence), slog.String("owner", string(known.owner)))
}

// updateOwner records the owner of a server. The caller holds the lock.
func (c *Controller) updateOwner(now time.Time, id fleet.ServerID, known *server) {
	owner := c.Owner(id)
	if owner != known.owner {
		c.Log.Info("owner of a server limit", slog.String("server", string(id)), slog.String("node", string(owner)))
	}
	known.ownerAt = now
	known.setOwner(now, owner, owner == c.Node)
}

// Available returns the number of requests that may be sent to a run of a server now.
func (c *Controller) Available(id fleet.ServerID, boot fleet.BootID) int {
	if c.limited.Load() == 0 {
		return math.MaxInt
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if known := c.servers[id]; known != nil {
		return known.available(time.Now(), boot)
	}
	return math.MaxInt
}

// Take takes a token for a request to a run of a server, and reports whether the request
// may be sent.
func (c *Controller) Take(id fleet.ServerID, boot fleet.BootID) bool {
	if c.limited.Load() == 0 {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.servers[id]
	return known == nil || known.take(time.Now(), boot)
}

// Want records that a request finds no server but those without a token.
func (c *Controller) Want(id fleet.ServerID) {
	if c.limited.Load() == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if known := c.servers[id]; known != nil {
		known.wantedAt = time.Now()
	}
}

// ReadyIn returns the time until a request may be sent to a run of a server, as far as this
// node knows; 0 if it may be sent now.
func (c *Controller) ReadyIn(id fleet.ServerID, boot fleet.BootID) time.Duration {
	if c.limited.Load() == 0 {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if known := c.servers[id]; known != nil {
		return known.readyIn(time.Now(), boot)
	}
	return 0
}

// ShareOf returns this node's share of the limit of a run of a server, in requests a
// second, if all nodes that want tokens get as many; 0 if the run has no limit.
func (c *Controller) ShareOf(id fleet.ServerID, boot fleet.BootID) float64 {
	if c.limited.Load() == 0 {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if known := c.servers[id]; known != nil && known.Named && known.Boot == boot {
		return float64(bounded(known.Limit)) / float64(known.sharedBy(time.Now()))
	}
	return 0
}

// IsLimited reports whether a run of a server has named a limit.
func (c *Controller) IsLimited(id fleet.ServerID, boot fleet.BootID) bool {
	return c.ShareOf(id, boot) > 0
}

// Run asks the owners for the tokens that requests want, until the context ends.
func (c *Controller) Run(ctx context.Context) error {
	var asks sync.WaitGroup
	defer asks.Wait()
	for wait.For(ctx, tickInterval) {
		for _, ask := range c.dueAsks(time.Now()) {
			asks.Go(func() { c.ask(ctx, ask) })
		}
	}
	return ctx.Err()
}

// ask is a request for tokens to the owner of a server.
type ask struct {
	owner   fleet.NodeID
	request takeRequest
}

// dueAsks updates the owners, forgets old state and returns the requests to make now.
func (c *Controller) dueAsks(now time.Time) (due []ask) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, known := range c.servers {
		if !known.Named {
			if now.Sub(known.changedAt) > serverRetention {
				delete(c.servers, id)
			}
			continue
		}
		if now.Sub(known.ownerAt) >= ownerInterval {
			c.updateOwner(now, id, known)
		}
		if known.mustAsk(now) {
			known.asking = true
			due = append(due, ask{known.owner, takeRequest{Node: c.Node, Server: id, Known: known.notice, Want: known.batch()}})
		}
	}
	return due
}

// ask asks the owner of a server for tokens.
func (c *Controller) ask(ctx context.Context, ask ask) {
	askedAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var response takeResponse
	err := c.Peers.Call(ctx, ask.owner, takeMethod, ask.request, &response)
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil && response.Known.Sequence > 0 {
		c.merge(now, ask.request.Server, response.Known)
	}
	known := c.servers[ask.request.Server]
	if known == nil {
		return
	}
	known.asking = false
	if response.SharedBy > 0 {
		known.nodes = response.SharedBy
	}
	switch {
	case err != nil:
		c.meters.failing.Inc(1)
		known.askAt = now.Add(wait.Jitter(askFailedPause))
		c.Log.Info("no tokens for a limited server", slog.String("server", string(ask.request.Server)),
			slog.String("owner", string(ask.owner)), slog.Any("error", err))
	case known.owner != ask.owner:
	case response.Tokens > 0:
		known.tokens, known.lapsesAt, known.askAt = response.Tokens, askedAt.Add(tokenLifetime), now.Add(askPause)
	default:
		known.askAt = now.Add(max(askPause, time.Duration(response.RetryInMs)*time.Millisecond))
	}
}

// handleTake handles another node's request for tokens.
func (c *Controller) handleTake(_ context.Context, request takeRequest) (response takeResponse, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.merge(now, request.Server, request.Known)
	known := c.servers[request.Server]
	if known == nil {
		return takeResponse{}, nil
	}
	response.Known = known.notice
	if !known.Named || known.Boot != request.Known.Boot || !known.own {
		response.RetryInMs = askFailedPause.Milliseconds()
		return response, nil
	}
	var retryIn time.Duration
	response.Tokens, retryIn = known.grant(now, request.Node, request.Want)
	response.RetryInMs, response.SharedBy = retryIn.Milliseconds(), known.sharedBy(now)
	c.meters.granted.Inc(int64(response.Tokens))
	return response, nil
}
