package origin

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/guavatrack/guavatrack/internal/logs"
	"github.com/guavatrack/guavatrack/internal/metric"
	"github.com/guavatrack/guavatrack/internal/roster"
	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/internal/wait"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Errors of a [Controller], to be tested with errors.Is.
var (
	// ErrUnknown reports that the version that began a stream cannot be determined.
	ErrUnknown = errors.New("software version that began the stream is unknown")
	// ErrNotRecorded reports that the version of a stream could not be recorded.
	ErrNotRecorded = errors.New("software version of the stream could not be recorded")
)

// Peers sends calls to other nodes.
type Peers interface {
	Call(ctx context.Context, node fleet.NodeID, method string, in, out any) error
}

// Controller records and finds the versions that began streams. Its exported fields are
// set before Run.
type Controller struct {
	Store table.Store
	// Era returns the era of the store; nil if the store is never restored.
	Era  func() table.Era
	View func() *roster.View
	// Peers and Nodes are used while the store is unreachable. Nodes returns the other
	// nodes that are alive.
	Peers Peers
	Nodes func() []fleet.NodeID
	// Traces is used where no record tells; it may be nil.
	Traces TraceReader
	// Sweeps reports whether this node removes the records that have expired.
	Sweeps  func() bool
	Log     *slog.Logger
	Metrics metrics.Registry

	once   sync.Once
	counts counters

	mu sync.Mutex
	// bases holds the base version of each pool.
	bases map[fleet.PoolID]*base
	// own holds the streams that this node began, and when.
	own map[streamKey]ownStream
	// kept holds the records that other nodes have written lately, by their sort key.
	kept map[string]keptRecord
	// pending holds the records that are to be written, writing is set while that is done.
	// tookAgain is set if the last transaction was for records that are written again.
	pending   []*pendingRecord
	writing   bool
	tookAgain bool
	writers   sync.WaitGroup
	// stopping is set once Run ends.
	stopping bool
	// hadPeers is set once there were other nodes.
	hadPeers bool
	// stuck is set if neither this node nor another one could write a record, and neither
	// has reached the store since.
	stuck bool
	// unwritableSince is when writes began to fail; zero if the last call succeeded.
	unwritableSince time.Time
	// era is the newest era of the store, eraSince when this node first saw it, or reached
	// the store again soon after that.
	era      table.Era
	eraSince time.Time
	// firstEra is the era in which this node first had an answer of the store, and
	// firstAnswerAt when; zero if it had none.
	firstEra      table.Era
	firstAnswerAt time.Time
	// knows is set if this node, with the others, has all records that the store lost with the
	// beginning of the era.
	knows bool
	// completeEra is the latest era in which all records of the time before it are in the
	// store again, markedEra the one whose marker is in the store. The marker was last read at
	// markerReadAt.
	completeEra  table.Era
	markedEra    table.Era
	markerReadAt time.Time
	// unmixedIn is the era in which the store came back without a record of a version other
	// than the base version, by pool.
	unmixedIn map[fleet.PoolID]table.Era
	// seen holds when each other node was last alive. before are those that were within
	// keepTime before the era.
	seen   map[fleet.NodeID]time.Time
	before []fleet.NodeID
	// traces holds what was read last of each server.
	traces map[fleet.ServerID]*serverTraces
	// peerEra is the newest era that another node has named. reachedAt is when the store
	// answered last.
	peerEra   table.Era
	reachedAt time.Time
	// othersWroteAt is when another node last said that it writes records again.
	othersWroteAt time.Time
	// firstListed holds when a sweep first saw each record.
	firstListed map[string]time.Time
	sweptAt     time.Time
}

// streamKey identifies a stream by the request that brought its first event, and its caller:
// request is a [dispatch.StreamID].
type streamKey struct {
	pool    fleet.PoolID
	request fleet.RequestID
}

// ownStream is a stream that this node began.
type ownStream struct {
	software fleet.SoftwareVersion
	begun    time.Time
	// recorded is set if the stream has a record in the store.
	recorded bool
}

// Timing of a [Controller].
const (
	// checkInterval is the time between two checks of the base versions.
	checkInterval = 500 * time.Millisecond
	// minRetention is the minimum time for which the version that began a stream must be
	// found; timeoutsPerRetention is the same in timeouts of the longest route.
	minRetention         = 2 * time.Minute
	timeoutsPerRetention = 3
	// maxOwnStreams bounds the streams that this node remembers. Beyond maxOwnBaseStreams
	// it remembers only those with records.
	maxOwnStreams     = 20_000
	maxOwnBaseStreams = maxOwnStreams / 2
)

func (c *Controller) init() {
	c.once.Do(func() {
		c.Log = logs.OrDiscard(c.Log)
		c.counts = newCounters(metric.OrNew(c.Metrics))
		c.bases = make(map[fleet.PoolID]*base)
		c.own = make(map[streamKey]ownStream)
		c.kept = make(map[string]keptRecord)
		c.firstListed = make(map[string]time.Time)
		c.unmixedIn = make(map[fleet.PoolID]table.Era)
		c.seen = make(map[fleet.NodeID]time.Time)
		c.traces = make(map[fleet.ServerID]*serverTraces)
		if c.Era == nil {
			c.Era = func() table.Era { return 0 }
		}
		c.era, c.eraSince = c.Era(), time.Now()
	})
}

// Run keeps the base versions up to date until the context ends.
func (c *Controller) Run(ctx context.Context) error {
	c.init()
	defer c.stop()
	var background sync.WaitGroup
	defer background.Wait()
	background.Go(func() { c.keepSweeping(ctx) })
	background.Go(func() { c.keepLearningEra(ctx) })
	for ctx.Err() == nil {
		now := time.Now()
		c.checkEra(now)
		c.forgetOwn(now)
		c.notePeers()
		c.shareCompleteness(ctx)
		c.checkBases(ctx, now)
		c.probePeers(ctx)
		wait.For(ctx, checkInterval)
	}
	return nil
}

// stop waits until no stream waits for its record any more.
func (c *Controller) stop() {
	c.mu.Lock()
	c.stopping = true
	c.mu.Unlock()
	c.writers.Wait()
}

// retention returns for how long the version that began a stream must be found.
func (c *Controller) retention() time.Duration {
	longest := minRetention
	for _, route := range c.View().Manifest.ResumableRoutes() {
		longest = max(longest, timeoutsPerRetention*route.Timeout)
	}
	return longest
}

// remember keeps a stream that this node began. It returns the era in which a restoration
// of the store would have its record written again.
func (c *Controller) remember(key streamKey, stream ownStream) table.Era {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := maxOwnStreams
	if !stream.recorded {
		limit = maxOwnBaseStreams
	}
	if _, known := c.own[key]; known || len(c.own) < limit {
		c.own[key] = stream
	}
	return c.era
}

// seenEra returns the newest era that this node has seen.
func (c *Controller) seenEra() table.Era {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.era
}

// forgetOwn removes the streams of this node that are no longer asked for.
func (c *Controller) forgetOwn(now time.Time) {
	retention := c.retention()
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, stream := range c.own {
		if now.Sub(stream.begun) > retention {
			delete(c.own, key)
		}
	}
	c.forgetKept(now)
	c.forgetTraces(now)
}
