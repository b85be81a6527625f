package member

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/guavatrack/guavatrack/internal/logs"
	"github.com/guavatrack/guavatrack/internal/peer"
	"github.com/guavatrack/guavatrack/internal/run"
	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/internal/wait"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Peers makes calls to other nodes and registers the methods that they call.
type Peers interface {
	Call(ctx context.Context, node fleet.NodeID, method string, in, out any) error
	CallAddress(ctx context.Context, address, method string, in, out any) error
	Handle(method string, handler peer.Handler)
}

var _ Peers = (*peer.Peer)(nil)

const (
	// defaultInterval is the time between exchanges with neighbours.
	defaultInterval = time.Second
	exchangeMethod  = "member.exchange"
	probeMethod     = "member.probe"
)

// Controller runs the membership protocol of a [View] over the peers and the
// table. Set the exported fields and call Register before the peers run, then Run.
type Controller struct {
	Self  Info
	Peers Peers
	// Store holds a record for each node, by which nodes discover each other. Nil
	// means that only Seeds are used.
	Store table.Store
	// Seeds returns peer addresses to try besides those in the table. It may
	// be nil.
	Seeds func(ctx context.Context) ([]string, error)
	// Interval is the time between exchanges; 0 means 1 s.
	Interval time.Duration
	// Stamp returns the opaque data attached to each message, and OnStamp is called
	// with the data of each message received. Both may be nil.
	Stamp   func() json.RawMessage
	OnStamp func(ctx context.Context, from fleet.NodeID, stamp json.RawMessage)
	// Rand is used under the controller's lock. Nil means a random seed.
	Rand    *rand.Rand
	Log     *slog.Logger
	Metrics metrics.Registry

	once         sync.Once
	mu           sync.Mutex
	view         *View
	background   run.Background
	joinedOnce   sync.Once
	joined       chan struct{}
	counts       counters
	registration registration
	// registerSignal has the node's record written again.
	registerSignal wait.Signal
	// reportedMembers, reportedRegions and reportedIsolated are what was logged last: the number
	// of live members, the unreachable regions, and whether this node is isolated.
	reportedMembers  int
	reportedRegions  []fleet.Region
	reportedIsolated bool
}

func (c *Controller) init() {
	c.once.Do(func() {
		if c.Interval == 0 {
			c.Interval = defaultInterval
		}
		if c.Rand == nil {
			c.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		}
		c.Log = logs.OrDiscard(c.Log)
		c.joined = make(chan struct{})
		c.registerSignal = wait.NewSignal()
		c.counts = newCounters(c.Metrics)
		c.view = NewView(c.Self, c.Interval, c.Rand)
		c.reportMembers(time.Now())
	})
}

// Register adds the controller's methods to the peers.
func (c *Controller) Register() {
	c.init()
	c.Peers.Handle(exchangeMethod, peer.Typed(c.receive))
	c.Peers.Handle(probeMethod, peer.Typed(c.probe))
}

// Run exchanges messages until the context ends.
func (c *Controller) Run(ctx context.Context) error {
	c.init()
	defer c.background.Begin(ctx)()
	c.background.Go(c.keepRegistered)
	for {
		c.withView(func(now time.Time) []Action {
			c.reportMembers(now)
			return c.view.Tick(now)
		})
		if !wait.For(ctx, c.jitter(c.Interval)) {
			return nil
		}
	}
}

// jitter spreads a time by a tenth around it.
func (c *Controller) jitter(span time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return span*9/10 + time.Duration(c.Rand.Int64N(int64(span)/5+1))
}

// withView calls update under the lock and then executes the actions that it
// returned and those that are immediately due. Actions are executed in the
// background, and only while Run runs.
func (c *Controller) withView(update func(now time.Time) []Action) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	actions := update(now)
	actions = append(actions, c.view.ImmediateActions(now)...)
	for _, action := range actions {
		c.background.Go(func(ctx context.Context) { c.execute(ctx, action) })
	}
}

// ExchangeSoon has the node exchange messages with some neighbours, and with other
// regions, before the next interval, so that they receive its stamp.
func (c *Controller) ExchangeSoon() {
	c.init()
	c.withView(func(time.Time) []Action {
		c.view.immediateDue = true
		return nil
	})
}

// reportMembers logs a change of the number of live members, of the unreachable regions and of
// whether this node is isolated, and updates the gauge. It is called once per interval, so that
// nodes that start at the same time are one change and not one for each of them. The caller holds
// the lock.
func (c *Controller) reportMembers(now time.Time) {
	count, before := len(c.view.Live(now)), c.reportedMembers
	if before != 0 && count != before {
		c.Log.Info("members changed", slog.Int("members", count), slog.Int("before", before))
	}
	c.reportedMembers = count
	if regions := c.view.unreachableRegions(now); !slices.Equal(regions, c.reportedRegions) {
		c.Log.Info("unreachable regions changed", slog.Any("regions", regions), slog.Any("before", c.reportedRegions))
		c.reportedRegions = regions
	}
	if isolated := c.view.Isolated(); isolated != c.reportedIsolated {
		c.Log.Info("isolation changed", slog.Bool("isolated", isolated), slog.Int("unanswered", c.view.unanswered))
		c.reportedIsolated = isolated
	}
	c.counts.members.Update(int64(count))
}

func (c *Controller) execute(ctx context.Context, action Action) {
	if ctx.Err() != nil {
		return
	}
	if action.Target != "" {
		c.probeIndirectly(ctx, action)
		return
	}
	began := time.Now()
	answer, err := c.exchange(ctx, action.Message, func(ctx context.Context, in, out any) error {
		return c.Peers.Call(ctx, action.To, exchangeMethod, in, out)
	})
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		c.counts.exchangesFailed.Inc(1)
		c.withView(func(now time.Time) []Action { return c.view.HandleFailure(now, action.To, began) })
		return
	}
	c.mergeAnswer(ctx, action.To, action.Message, answer)
}

func (c *Controller) mergeAnswer(ctx context.Context, to fleet.NodeID, request, answer Message) {
	c.withView(func(now time.Time) []Action {
		c.view.MergeAnswer(now, to, request, answer)
		return nil
	})
	c.deliverStamp(ctx, answer)
}

// exchangeTries is the number of attempts: one on the open connection, one on a new one.
const exchangeTries = 2

// exchange sends a message and returns the answer. A message may be delivered
// twice, so it is sent again on a new connection if the first attempt fails.
func (c *Controller) exchange(
	ctx context.Context, request Message, call func(ctx context.Context, in, out any) error,
) (answer Message, err error) {
	if c.Stamp != nil {
		request.Stamp = c.Stamp()
	}
	for range exchangeTries {
		c.counts.exchanges.Inc(1)
		err = c.callOnce(ctx, func(ctx context.Context) error { return call(ctx, request, &answer) })
		if err == nil {
			return answer, nil
		}
	}
	return Message{}, err
}

// callOnce makes a call with a timeout of half an interval.
func (c *Controller) callOnce(ctx context.Context, call func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, c.Interval/2)
	defer cancel()
	return call(ctx)
}

// receive handles an exchange that another node began.
func (c *Controller) receive(ctx context.Context, request Message) (Message, error) {
	var answer Message
	c.withView(func(now time.Time) []Action {
		answer = c.view.Receive(now, request)
		return nil
	})
	if c.Stamp != nil {
		answer.Stamp = c.Stamp()
	}
	c.deliverStamp(context.WithoutCancel(ctx), request)
	return answer, nil
}

func (c *Controller) deliverStamp(ctx context.Context, message Message) {
	if c.OnStamp != nil && len(message.Stamp) > 0 {
		c.OnStamp(ctx, message.From, message.Stamp)
	}
}

// probeRequest asks a node to make an exchange with the target.
type probeRequest struct {
	Target  fleet.NodeID `json:"target"`
	Address string       `json:"address"`
}

type probeAnswer struct {
	Reached bool `json:"reached"`
}

// probe handles an indirect probe: it reports whether this node reaches the target.
func (c *Controller) probe(ctx context.Context, request probeRequest) (probeAnswer, error) {
	c.counts.probes.Inc(1)
	message := Message{From: c.Self.Node, Region: c.Self.Region}
	c.mu.Lock()
	message.Digest = c.view.Digest()
	c.mu.Unlock()
	_, err := c.exchange(ctx, message, func(ctx context.Context, in, out any) error {
		return c.Peers.CallAddress(ctx, request.Address, exchangeMethod, in, out)
	})
	return probeAnswer{Reached: err == nil}, nil
}

// probeIndirectly asks other nodes to probe the target and passes their results to the view.
func (c *Controller) probeIndirectly(ctx context.Context, action Action) {
	began := time.Now()
	address, found := c.Resolve(action.Target)
	if !found {
		return
	}
	results := make([]ProbeResult, len(action.Via))
	var probes sync.WaitGroup
	for i, via := range action.Via {
		probes.Go(func() { results[i] = c.probeVia(ctx, via, probeRequest{action.Target, address}) })
	}
	probes.Wait()
	if ctx.Err() == nil {
		c.withView(func(now time.Time) []Action {
			c.view.HandleProbeResults(now, action.Target, began, results)
			return nil
		})
	}
}

func (c *Controller) probeVia(ctx context.Context, via fleet.NodeID, request probeRequest) ProbeResult {
	ctx, cancel := context.WithTimeout(ctx, c.Interval*3/2)
	defer cancel()
	var answer probeAnswer
	switch err := c.Peers.Call(ctx, via, probeMethod, request, &answer); {
	case err != nil:
		return ProbeNoAnswer
	case answer.Reached:
		return ProbeReached
	default:
		return ProbeUnreachable
	}
}

// Resolve returns the peer address of a node.
func (c *Controller) Resolve(node fleet.NodeID) (address string, found bool) {
	c.init()
	c.mu.Lock()
	defer c.mu.Unlock()
	record, found := c.view.record(node)
	return record.PeerAddress, found
}

// InOtherRegion reports whether the node at a peer address is in another region.
func (c *Controller) InOtherRegion(address string) bool {
	c.init()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.view.entries {
		if e.PeerAddress == address {
			return e.Region != c.Self.Region
		}
	}
	return false
}

// MayBeAlive reports whether a node may be running: its record is live, even if
// its region is unreachable.
func (c *Controller) MayBeAlive(node fleet.NodeID) bool {
	c.init()
	c.mu.Lock()
	defer c.mu.Unlock()
	record, found := c.view.record(node)
	return found && record.live()
}

// Members returns the live members, this node included, ordered by id. The
// slice must not be changed.
func (c *Controller) Members() []Info {
	c.init()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Live(time.Now())
}

// Healthy returns the live members that serve requests and are not suspected to have failed,
// ordered by id; see [View.Healthy]. The slice must not be changed.
func (c *Controller) Healthy() []Info {
	c.init()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Healthy(time.Now())
}

// Isolated reports whether no node of this node's region answers it.
func (c *Controller) Isolated() bool {
	c.init()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Isolated()
}

// KnownNodes returns the number of nodes in the view, dead ones included.
func (c *Controller) KnownNodes() int {
	c.init()
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.view.entries) + 1
}

// Records returns the records of all nodes in the view, dead ones and those of unreachable
// regions included: they don't tell which nodes may be used.
func (c *Controller) Records() []Record {
	c.init()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Records()
}

// Neighbors returns the nodes of the region to which changes are forwarded.
func (c *Controller) Neighbors() []fleet.NodeID {
	c.init()
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]fleet.NodeID(nil), c.view.Neighbors()...)
}

// Ranked returns the nodes of the region, this one included, that are neither
// suspected nor leaving, in an order that is the same on all nodes with the same
// view.
func (c *Controller) Ranked(purpose string) []fleet.NodeID {
	c.init()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Ranked(purpose)
}

// LinkTargets returns one node of each other region that is reachable.
func (c *Controller) LinkTargets() []fleet.NodeID {
	c.init()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.LinkTargets(time.Now())
}

// Publish publishes a fact of this node to the other nodes for the lifetime. It
// returns false if the value is too long.
func (c *Controller) Publish(fact Fact, lifetime time.Duration) (published bool) {
	c.init()
	c.withView(func(now time.Time) []Action {
		published = c.view.Publish(now, fact, lifetime)
		return nil
	})
	return published
}

const (
	// factIntervalPerMember bounds the rate at which the nodes of a region together
	// refresh a fact to 1/factIntervalPerMember, however many nodes there are.
	factIntervalPerMember = 150 * time.Millisecond
	minFactInterval       = time.Second
)

// FactInterval returns the shortest time between two values of a fact that
// every node publishes, such as its load. The lifetime of such a fact should be
// a few intervals.
func (c *Controller) FactInterval() time.Duration {
	count := 0
	for _, info := range c.Members() {
		if info.Region == c.Self.Region {
			count++
		}
	}
	return max(minFactInterval, time.Duration(count)*factIntervalPerMember)
}

// Facts returns the facts of a kind that have not expired, ordered by key and owner.
func (c *Controller) Facts(kind string) []Fact {
	c.init()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Facts(time.Now(), kind)
}

// Joined returns a channel that is closed once the first attempt to fetch the
// members from other nodes has ended, with or without a result.
func (c *Controller) Joined() <-chan struct{} {
	c.init()
	return c.joined
}

// AnnounceStarted announces that the node has started and can be returned to callers.
func (c *Controller) AnnounceStarted() {
	c.init()
	c.withView(func(time.Time) []Action {
		c.view.AnnounceStarted()
		return nil
	})
}

// AnnounceCutOff announces that the node reaches no backend server, so that it is returned
// to callers only if there is no other, or that it does again.
func (c *Controller) AnnounceCutOff(cutOff bool) {
	c.init()
	c.withView(func(time.Time) []Action {
		c.view.AnnounceCutOff(cutOff)
		return nil
	})
}

// AnnounceLeaving announces that the node drains, so that it is no longer returned
// to callers.
func (c *Controller) AnnounceLeaving() {
	c.init()
	c.withView(func(time.Time) []Action {
		c.view.AnnounceLeaving(false)
		return nil
	})
}

// AnnounceLeft announces that the node has left and deletes its record from the
// table. It returns once the first neighbours have answered or failed to and the
// delete has ended.
func (c *Controller) AnnounceLeft(ctx context.Context) {
	c.init()
	c.mu.Lock()
	c.view.AnnounceLeaving(true)
	actions := c.view.ImmediateActions(time.Now())
	c.mu.Unlock()
	var sends sync.WaitGroup
	for _, action := range actions {
		sends.Go(func() { c.execute(ctx, action) })
	}
	sends.Wait()
	c.unregister(ctx)
}
