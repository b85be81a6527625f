package quota

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/internal/logs"
	"github.com/guavatrack/guavatrack/internal/member"
	"github.com/guavatrack/guavatrack/internal/metric"
	"github.com/guavatrack/guavatrack/internal/peer"
	"github.com/guavatrack/guavatrack/internal/roster"
	"github.com/guavatrack/guavatrack/internal/wait"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/refusal"
)

// Metrics lists the metrics that a [Controller] registers.
var Metrics = []metric.Doc{
	{Name: grantedMetric, Kind: metric.Counter, Help: "tokens that this node, as the owner of the accounts, has granted"},
	{Name: givenBackMetric, Kind: metric.Counter, Help: "granted tokens that nodes have given back unspent"},
	{Name: lapsedMetric, Kind: metric.Counter, Help: "tokens that lapsed at this node before they were spent"},
	{Name: refusedMetric, Kind: metric.Counter, Help: "requests that this node refused since their organisation had used its quota"},
	{Name: noOwnerMetric, Kind: metric.Counter, Help: "requests that this node refused since it reached no owner of the accounts"},
	{Name: askedMetric, Kind: metric.Counter, Help: "requests for tokens that this node sent to the owner"},
	{Name: ownerMetric, Kind: metric.Gauge, Help: "1 if this node is the owner of the accounts"},
}

const (
	grantedMetric   = "quota.granted"
	givenBackMetric = "quota.givenBack"
	lapsedMetric    = "quota.lapsed"
	refusedMetric   = "quota.refused"
	noOwnerMetric   = "quota.noOwner"
	askedMetric     = "quota.asked"
	ownerMetric     = "quota.owner"
)

// Peers sends calls to other nodes and registers handlers for theirs.
type Peers interface {
	Call(ctx context.Context, node fleet.NodeID, method string, in, out any) error
	Handle(method string, handler peer.Handler)
}

// Lease says which node is the owner of the accounts.
type Lease interface {
	// Holds reports whether this node may grant tokens now, and in which term.
	Holds() (fleet.FencingNumber, bool)
	// Holder and Deputy return the owner and the node that follows it, as last read; empty if
	// unknown.
	Holder() fleet.NodeID
	Deputy() fleet.NodeID
	// Suspect has the owner determined anew until ClearSuspicion says that it answers;
	// Suspected reports whether that is the case.
	Suspect()
	Suspected() bool
	ClearSuspicion()
	// HolderVM returns the VM of the owner, as last read; empty if unknown.
	HolderVM() string
	// Unpromised returns how long this node has been the owner without a promise of a deputy
	// that it named.
	Unpromised() time.Duration
}

// Controller holds this node's tokens and, while it is the owner, the accounts. Its exported
// fields are set before Register.
type Controller struct {
	Node fleet.NodeID
	// VM is the VM of this node as the lease names it.
	VM    string
	Lease Lease
	Peers Peers
	// Facts tell the other nodes of a new owner; nil if they find out by asking.
	Facts member.FactStore
	// Manifest returns the manifest in force; nil if there is none.
	Manifest func() *roster.Manifest
	// Claimants returns the nodes that may become the owner, the first to claim first. The
	// first few of them read the lease if no owner answers, and the others ask those, so
	// that an owner that is lost does not make each node read the store. Nil means that
	// this node reads it.
	Claimants func() []fleet.NodeID
	// Window is the window in which quotas are kept; 0 means [DefaultWindow].
	Window time.Duration
	// Clock includes the time for which the VM was suspended; nil means [wait.BootTime].
	Clock func() time.Duration
	Log   *slog.Logger
	// Metrics may be nil.
	Metrics metrics.Registry

	meters struct {
		granted, givenBack, lapsed, refused, noOwner, asked metrics.Counter
		owner                                               metrics.Gauge
	}
	wake wait.Signal
	// ownerNamed ends the pause after a request that no owner answered.
	ownerNamed wait.Signal
	notices    member.Notices[ownerNotice]

	mu      sync.Mutex
	wallets map[fleet.OrganisationID]*wallet
	// owner and deputy are the nodes to ask, as the last answer says; empty if unknown.
	owner, deputy fleet.NodeID
	// named is set if a node that is not the owner has named the one in owner.
	named bool
	// onHolderVM is set if another node has said, since an owner last answered, that the last
	// one ran on this VM.
	onHolderVM bool
	// namedTerm is the latest term of which a notice has named the owner.
	namedTerm fleet.FencingNumber
	// failedAsks counts the failed requests since the last answer of an owner, failedSince is
	// when the first of them was sent. suspectAt is when a node that is none of the first
	// claimants reads the lease.
	failedAsks             int
	failedSince, suspectAt time.Duration
	// askAfter is when the owner may be asked again, as it has told.
	askAfter time.Duration
	// answeredAt is when an owner last answered; 0 if none has.
	answeredAt time.Duration

	ledgerMu sync.Mutex
	ledger   Ledger
	// load limits the requests of all nodes.
	load askLoad
	// askedAt is when another node last asked this one.
	askedAt time.Duration
	// term is the term for which the ledger is open; 0 if it was never.
	term fleet.FencingNumber
}

const (
	askMethod  = "quota.ask"
	askTimeout = 300 * time.Millisecond
	// askFailedPause is the pause after a request that no owner answered. It is doubled up
	// to maxAskFailedPause.
	askFailedPause    = 30 * time.Millisecond
	maxAskFailedPause = 240 * time.Millisecond
	// firstClaimants is the number of nodes that read the lease once no owner answers;
	// suspectInterval is the time after which, and between two times that, another one does.
	firstClaimants  = 3
	suspectInterval = 12 * time.Second
	// cutOffTime is the time without any message of another node after which an owner counts
	// as cut off, cutOffPause the time for which it does not renew the lease then: longer
	// than a lease, which lasts 16 s, so that another node can follow without a deputy.
	cutOffTime  = 2 * time.Second
	cutOffPause = 20 * time.Second
	// answerFreshness is the time after an answer of the owner for which a node that is
	// asked in its place does not doubt it.
	answerFreshness = time.Second
	// maxWait bounds how long an attempt waits for tokens, maxOwnerWait the same while no
	// owner answers.
	maxWait      = 300 * time.Millisecond
	maxOwnerWait = time.Second
	// checkInterval is the time between two checks for credits that lapse.
	checkInterval = 100 * time.Millisecond
	// inUseInterval is the time between two checks whether the manifest has a quota.
	inUseInterval = 250 * time.Millisecond
	// maxEntries bounds the organisations in a message.
	maxEntries = 10_000
	// noOwnerRetryAfter is the Retry-After while no owner answers: about the time that
	// another one takes to follow.
	noOwnerRetryAfter = 1500 * time.Millisecond
)

// Register registers the methods that nodes call on each other.
func (c *Controller) Register() {
	c.Log = logs.OrDiscard(c.Log)
	c.Metrics = metric.OrNew(c.Metrics)
	c.meters.granted = metrics.GetOrRegisterCounter(grantedMetric, c.Metrics)
	c.meters.givenBack = metrics.GetOrRegisterCounter(givenBackMetric, c.Metrics)
	c.meters.lapsed = metrics.GetOrRegisterCounter(lapsedMetric, c.Metrics)
	c.meters.refused = metrics.GetOrRegisterCounter(refusedMetric, c.Metrics)
	c.meters.noOwner = metrics.GetOrRegisterCounter(noOwnerMetric, c.Metrics)
	c.meters.asked = metrics.GetOrRegisterCounter(askedMetric, c.Metrics)
	c.meters.owner = metrics.GetOrRegisterGauge(ownerMetric, c.Metrics)
	if c.Clock == nil {
		c.Clock = wait.BootTime
	}
	c.wake, c.wallets, c.ledger.Window = wait.NewSignal(), make(map[fleet.OrganisationID]*wallet), c.Window
	c.ownerNamed = wait.NewSignal()
	c.notices = member.Notices[ownerNotice]{Kind: noticeKind, Node: c.Node, Facts: c.Facts, Log: c.Log}
	c.Peers.Handle(askMethod, peer.Typed(c.handleAsk))
}

// quotaOf returns the quota of an organisation in the manifest in force; nil if there is none.
func (c *Controller) quotaOf(id fleet.OrganisationID) *roster.Quota {
	manifest := c.Manifest()
	if manifest == nil || manifest.Organisations[id] == nil {
		return nil
	}
	return manifest.Organisations[id].Quota
}

// InUse reports whether the manifest in force has a quota.
func (c *Controller) InUse() bool {
	manifest := c.Manifest()
	if manifest == nil {
		return false
	}
	for _, organisation := range manifest.Organisations {
		if organisation.Quota != nil {
			return true
		}
	}
	return false
}

// wallet returns the wallet of an organisation. The caller holds the lock.
func (c *Controller) wallet(id fleet.OrganisationID) *wallet {
	found := c.wallets[id]
	if found == nil {
		found = &wallet{}
		c.wallets[id] = found
	}
	return found
}

// Run asks the owner for the tokens that attempts wait for, until the context ends.
func (c *Controller) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if !c.InUse() {
			wait.For(ctx, inUseInterval)
			continue
		}
		c.wake.Wait(ctx, c.nextCheck())
		for c.awaitPause(ctx) && c.askOnce(ctx) {
		}
		c.recordOwner()
	}
	return ctx.Err()
}

// awaitPause waits until the owner may be asked again, and reports whether the context is active.
func (c *Controller) awaitPause(ctx context.Context) bool {
	c.mu.Lock()
	pause := c.askAfter - c.Clock()
	c.mu.Unlock()
	return wait.For(ctx, min(pause, maxPause))
}

// nextCheck returns the time until the owner may have tokens for an attempt that waits, at
// most checkInterval.
func (c *Controller) nextCheck() time.Duration {
	now := c.Clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	next := checkInterval
	for _, held := range c.wallets {
		if len(held.waiting) > 0 {
			next = min(next, held.askAt-now)
		}
	}
	return max(next, minOver/2)
}

// askOnce sends one request to the owner if there is something to ask for, and reports whether
// it was answered with tokens.
func (c *Controller) askOnce(ctx context.Context) (granted bool) {
	now := c.Clock()
	suspected := c.Lease.Suspected()
	claimants := c.firstClaimants()
	c.mu.Lock()
	request, awaited := c.nextRequest(now)
	target := c.target(claimants)
	failing := c.failedAsks > 0
	c.mu.Unlock()
	// While no owner is known to answer, a request without entries finds out whether one does.
	if len(request.Entries) == 0 && !suspected && !failing {
		return false
	}
	response, err := c.send(ctx, target, request)
	if err != nil {
		c.ownerNamed.Wait(ctx, c.recordFailure(now, target, awaited, err))
		return awaited
	}
	return c.receive(now, response)
}

// nextRequest returns the request to send now. awaited reports whether attempts wait for it. The
// caller holds the lock.
func (c *Controller) nextRequest(now time.Duration) (request askRequest, awaited bool) {
	request.Node = c.Node
	for id, held := range c.wallets {
		if held.idle(now) {
			delete(c.wallets, id)
			continue
		}
		entry := askEntry{Organisation: id}
		for _, lapsing := range held.lapsing(now) {
			entry.GiveBack = append(entry.GiveBack, givenCredit{GrantedAt: lapsing.grantedAt, Tokens: lapsing.tokens})
		}
		c.dropOverdue(now, held)
		if len(held.waiting) > 0 && now >= held.askAt {
			entry.Need, entry.Want = held.needs(now)
			awaited = true
		}
		c.meters.lapsed.Inc(int64(held.lapsed))
		held.lapsed = 0
		if entry.Want > 0 || len(entry.GiveBack) > 0 {
			entry.Refused, held.refused = min(held.refused, maxAmount), 0
			request.Entries = append(request.Entries, entry)
		}
	}
	return request, awaited
}

// dropOverdue ends the waiting of attempts whose time is over. The caller holds the lock.
func (c *Controller) dropOverdue(now time.Duration, held *wallet) {
	limit := maxWait
	if c.failedAsks > 0 {
		limit = maxOwnerWait
	}
	for _, waiting := range slices.Clone(held.waiting) {
		if now-waiting.since >= limit && held.remove(waiting) {
			waiting.result <- spendResult{err: c.noTokens(held, waiting.need)}
		}
	}
}

// noTokens returns the refusal of an attempt that got no tokens. The caller holds the lock.
func (c *Controller) noTokens(held *wallet, need Tokens) error {
	if c.failedAsks > 0 || held.unknown {
		c.meters.noOwner.Inc(1)
		return &refusal.Refusal{
			Reason: refusal.NoServer, Message: "the quota of the organisation cannot be read", RetryAfter: spread(noOwnerRetryAfter),
		}
	}
	c.meters.refused.Inc(1)
	held.refused += need
	return &refusal.Refusal{
		Reason: refusal.QuotaExceeded, Message: "the organisation has used its quota", RetryAfter: spread(held.retryIn),
	}
}

// spread returns a time up to half as long again, so that refused callers don't return at the
// same time.
func spread(d time.Duration) time.Duration { return d + time.Duration(rand.Float64()*float64(d)/2) }

// target returns the node to ask: the owner, its deputy and the first claimants in turn while
// none answers. The caller holds the lock.
func (c *Controller) target(claimants []fleet.NodeID) fleet.NodeID {
	if _, holds := c.Lease.Holds(); holds {
		return c.Node
	}
	candidates := append([]fleet.NodeID{
		cmp.Or(c.owner, c.Lease.Holder()), cmp.Or(c.deputy, c.Lease.Deputy()), c.Lease.Holder(),
	}, claimants...)
	var others []fleet.NodeID
	for _, node := range candidates {
		if node != "" && node != c.Node && !slices.Contains(others, node) {
			others = append(others, node)
		}
	}
	if len(others) == 0 {
		return ""
	}
	// A node that was named in place of another one is asked next, but not each time: two
	// nodes may name each other.
	if c.named && c.failedAsks%2 == 1 {
		c.named = false
		return others[0]
	}
	return others[c.failedAsks%len(others)]
}

// errNoOwner reports that a node is not the owner.
var errNoOwner = errors.New("no owner of the accounts is known")

// send sends a request to the owner, which may be this node.
func (c *Controller) send(ctx context.Context, target fleet.NodeID, request askRequest) (response askResponse, err error) {
	c.meters.asked.Inc(1)
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	switch target {
	case "":
		return askResponse{}, errNoOwner
	case c.Node:
		response, err = c.handleAsk(ctx, request)
	default:
		err = c.Peers.Call(ctx, target, askMethod, request, &response)
	}
	if err == nil && response.NotOwner {
		c.follow(target, response)
		err = errNoOwner
	}
	return response, err
}

// follow records whom a node that is not the owner names instead.
func (c *Controller) follow(target fleet.NodeID, response askResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if response.Owner != target {
		c.owner, c.named = response.Owner, response.Owner != ""
	}
	if response.Deputy != "" {
		c.deputy = response.Deputy
	}
	c.onHolderVM = c.onHolderVM || c.VM != "" && response.HolderVM == c.VM
}

// recordFailure records that no owner answered a request sent at a time, and returns the time
// until the next one. The tokens that were given back are lost.
func (c *Controller) recordFailure(asked time.Duration, target fleet.NodeID, awaited bool, err error) (pause time.Duration) {
	first := c.claimsFirst()
	now := c.Clock()
	c.mu.Lock()
	if c.failedAsks == 0 {
		c.failedSince, c.suspectAt = asked, asked+suspectInterval
	}
	c.failedAsks++
	failed, suspect := c.failedAsks, first || now >= c.suspectAt
	if now >= c.suspectAt {
		c.suspectAt = now + wait.Jitter(2*suspectInterval)
	}
	c.mu.Unlock()
	if failed == 1 {
		c.Log.Info("no tokens of the owner of the accounts", slog.String("node", string(target)),
			slog.Bool("awaited", awaited), slog.Any("error", err))
	}
	if suspect {
		c.Lease.Suspect()
	} else {
		c.Lease.ClearSuspicion() // One read is enough: the lease is read until then.
	}
	return wait.Jitter(2 * min(askFailedPause<<min(failed-1, 8), maxAskFailedPause))
}

// receive gives what was granted to the attempts that wait for it, and reports whether
// anything was. Credits count from when they were asked for.
func (c *Controller) receive(asked time.Duration, response askResponse) (granted bool) {
	c.Lease.ClearSuspicion()
	now := c.Clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failedAsks > 0 {
		c.Log.Info("owner of the accounts answers", slog.String("node", string(response.Owner)),
			slog.Int("failedBefore", c.failedAsks), slog.Duration("noneFor", now-c.failedSince))
	}
	c.askAfter = asked + min(time.Duration(response.PauseMs)*time.Millisecond, maxPause)
	c.owner, c.deputy, c.failedAsks, c.answeredAt = response.Owner, response.Deputy, 0, now
	c.onHolderVM = false
	for _, entry := range response.Entries {
		held := c.wallet(entry.Organisation)
		held.unknown = entry.Unknown
		if entry.Tokens > 0 {
			granted = true
			held.add(credit{tokens: entry.Tokens, expires: asked + CreditLifetime, grantedAt: response.At})
			held.serve(now)
			continue
		}
		held.recordRefusal(now, time.Duration(entry.RetryInMs)*time.Millisecond, func(need Tokens) error { return c.noTokens(held, need) })
	}
	return granted
}

// recordOwner records whether this node is the owner. A new one opens the ledger at once and not
// with the first request, since it grants nothing for a credit's lifetime after.
func (c *Controller) recordOwner() {
	c.ledgerMu.Lock()
	_, holds := c.open()
	c.ledgerMu.Unlock()
	value := int64(0)
	if holds {
		value = 1
	}
	c.meters.owner.Update(value)
}

// RunLease runs the lease of the owner while the manifest has a quota, until the context ends.
func (c *Controller) RunLease(ctx context.Context, run func(context.Context) error) error {
	for ctx.Err() == nil {
		if !c.InUse() {
			wait.For(ctx, inUseInterval)
			continue
		}
		c.awaitOwner(ctx)
		if err := c.runWhileInUse(ctx, run); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// awaitOwner waits until an owner answers, at most suspectInterval. The first claimants don't
// wait: one of them becomes the owner if there is none.
func (c *Controller) awaitOwner(ctx context.Context) {
	wait.Until(ctx, suspectInterval, checkInterval, func() bool {
		return c.claimsFirst() || !c.Lease.Suspected()
	})
}

// cutOff reports whether this node is the owner and no other node has reached it since a time:
// no deputy answers and nobody asks for tokens.
func (c *Controller) cutOff(since time.Duration) bool {
	unpromised := c.Lease.Unpromised()
	c.ledgerMu.Lock()
	defer c.ledgerMu.Unlock()
	return unpromised > cutOffTime && c.Clock()-max(c.askedAt, since) > cutOffTime
}

// runWhileInUse runs the lease until the manifest has no quota, or this node as the owner is cut
// off from the others. Then it renews the lease no more for a time, so that another one follows.
func (c *Controller) runWhileInUse(parent context.Context, run func(context.Context) error) error {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	ended, began := make(chan error, 1), c.Clock()
	go func() { ended <- run(ctx) }()
	for {
		select {
		case err := <-ended:
			return err
		case <-time.After(inUseInterval):
		}
		if !c.InUse() {
			cancel()
		}
		if c.cutOff(began) {
			c.Log.Warn("no other node reaches the owner of the accounts, the lease is not renewed")
			cancel()
			err := <-ended
			wait.Until(parent, cutOffPause, checkInterval, func() bool { return !c.cutOff(began) })
			return err
		}
	}
}

// Account returns the account of an organisation for one call.
func (c *Controller) Account(id fleet.OrganisationID) dispatch.Account {
	return &organisationAccount{controller: c, organisation: id}
}
