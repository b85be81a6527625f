package roster

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/logs"
	"github.com/guavatrack/guavatrack/internal/packed"
	"github.com/guavatrack/guavatrack/internal/peer"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Peers sends calls to other nodes and registers handlers for theirs.
type Peers interface {
	Call(ctx context.Context, node fleet.NodeID, method string, in, out any) error
	Handle(method string, handler peer.Handler)
}

// Relay is a feed that the nodes of a region share: a few of them, the readers,
// read the source and the others read from those, so that each entry crosses the
// region's link to the store a few times only. A node that gets no response from
// a reader reads the source itself. The exported fields are set before Register.
type Relay[T any] struct {
	// Name distinguishes the feed from other relayed feeds.
	Name   string
	Source Feed[T]
	// Key identifies an entry: a later entry replaces an earlier one with its key.
	Key func(T) string
	// IsRemoval reports whether an entry only marks a removal.
	IsRemoval func(T) bool
	// Format is the format in which this build passes entries on. Responses of nodes with a
	// lower one lack fields and are not used.
	Format int
	Node   fleet.NodeID
	// Ranked returns the nodes of the region that may be readers, the best first.
	// Nodes that have the same list of members return the same order.
	Ranked func() []fleet.NodeID
	Peers  Peers
	// MaxAge is the age of a reader's copy from which on other nodes do not read it; 0
	// means no bound. It is longer than a pause of the reader and its wait for changes.
	MaxAge time.Duration
	Log    *slog.Logger

	mu   sync.Mutex
	copy replica[T]
	// readUntil is until when this node reads the source because another node has
	// requested changes from it.
	readUntil time.Time
	// fromPeer reports whether the last response came from a reader.
	fromPeer bool
	// asOf is when the source was as the node has read it, at the latest read. listed is
	// set if that was a list: it is older than a wait for changes can tell.
	asOf   instant
	listed bool
	// listingSince is when the node first asked for the list; zero once it has it.
	listingSince time.Time
	// path is the path by which the feed was read last, for the log.
	path readPath
	// avoidUntil holds, for each reader that failed, until when it is not used.
	avoidUntil map[fleet.NodeID]time.Time
	limiter    fallbackLimiter
	// sourceFailedAt is when the source last could not be read; zero once it could. The
	// node then reads from other readers, also if it is one itself.
	sourceFailedAt time.Time
}

// Timing and number of readers.
const (
	// A region has one reader for each nodesPerReader nodes, but at least
	// minReaders: when all nodes start, a reader sends whole lists to that many.
	minReaders     = 4
	nodesPerReader = 24
	// maxRelayWait bounds a reader's wait for changes, so that a reader that lost its
	// connection to the source or to the region is detected early.
	maxRelayWait = time.Second
	// relayTimeout is allowed for a reader's response in addition to the wait,
	// relayRetryTimeout after failures, when the readers may be gone.
	relayTimeout      = 500 * time.Millisecond
	relayRetryTimeout = 250 * time.Millisecond
	// maxRelayListWait bounds the wait for a reader that has not read the list yet,
	// relayListPoll one request to it: a reader that does not answer at all is passed
	// over after that.
	maxRelayListWait = 1500 * time.Millisecond
	relayListPoll    = 300 * time.Millisecond
	// readDuration is how long a node reads the source after another node's request,
	// avoidDuration how long a reader is not used after it failed, lostDuration after it
	// has said that it can't reach the source.
	readDuration  = 10 * time.Second
	avoidDuration = 5 * time.Second
	lostDuration  = 2 * time.Second
	// sourceRetryPause is the pause between two attempts of a node to read a source that
	// it can't read while other readers can, sourceRetryTimeout the timeout of each.
	sourceRetryPause   = time.Second
	sourceRetryTimeout = 700 * time.Millisecond
	// sourceFailedMemory is how long a node tells others that it can't read the source.
	sourceFailedMemory = 3 * time.Second
	// maxReaderTimeouts bounds the readers that are asked in place of the source in one
	// read and don't answer in time.
	maxReaderTimeouts = 2
	// otherReadersTime bounds the time for which other readers are asked in place of the
	// source by a node whose reader has lost it. It is short since the source may have changes.
	otherReadersTime = 150 * time.Millisecond
)

// readPath is where a feed is read from: a node, or one of the values below.
type readPath string

const (
	// pathSource is the source itself, pathFallback the source in place of a reader,
	// pathNone means that the node pauses before it tries again.
	pathSource   readPath = "store"
	pathFallback readPath = "store, in place of a reader"
	pathNone     readPath = "none, pausing"
)

// Errors in a reader's response.
var (
	// errSourceUnreachable reports that the reader itself can't reach the source.
	errSourceUnreachable = errors.New("the reader has lost the store")
	// errNotReading reports that the node does not read the source yet.
	errNotReading = errors.New("the node asked does not read the store yet")
)

// changesRequest requests the changes after a revision from a reader, or all
// entries if List is set.
type changesRequest struct {
	After  Revision `json:"after"`
	WaitMs int64    `json:"waitMs"`
	List   bool     `json:"list,omitempty"`
}

// changesResponse is a reader's response. At most one of the flags is set.
type changesResponse struct {
	At Revision `json:"at"`
	// Packed holds the entries.
	Packed packed.List `json:"packed"`
	// Gone reports that the changes are no longer kept, Lost that the reader can't
	// reach the source, NotReading that it does not read the source.
	Gone       bool `json:"gone,omitempty"`
	Lost       bool `json:"lost,omitempty"`
	NotReading bool `json:"notReading,omitempty"`
	// AgeMs is how long before the response the source was as the copy is, HeldMs how
	// long the reader waited for changes before it. Nodes of an older build send neither.
	AgeMs  int64 `json:"ageMs,omitempty"`
	HeldMs int64 `json:"heldMs,omitempty"`
	// Format is the format of the entries, see [Relay.Format].
	Format int `json:"format,omitempty"`
}

func (r *changesResponse) err() error {
	switch {
	case r.Gone:
		return ErrCompacted
	case r.Lost:
		return errSourceUnreachable
	case r.NotReading:
		return errNotReading
	default:
		return nil
	}
}

var (
	_ Feed[ServerEntry] = (*Relay[ServerEntry])(nil)
	_ sharedFeed        = (*Relay[ServerEntry])(nil)
)

// method returns the name of the peer method that returns changes.
func (r *Relay[T]) method() string { return "roster.changes." + r.Name }

// Register registers the relay's handler with the peers.
func (r *Relay[T]) Register() {
	r.Log = logs.OrDiscard(r.Log)
	r.avoidUntil = make(map[fleet.NodeID]time.Time)
	r.copy.init()
	r.Peers.Handle(r.method(), peer.Typed(r.handleChanges))
}

// chooseReader returns the node to read from; empty if this node reads the source
// itself. fallback reports that it does so only because its readers have failed.
func (r *Relay[T]) chooseReader(now time.Time) (reader fleet.NodeID, fallback bool) {
	ranked := r.Ranked()
	readers := readersOf(ranked)
	r.mu.Lock()
	defer r.mu.Unlock()
	isReader := now.Before(r.readUntil) || slices.Contains(readers, r.Node)
	if isReader && !r.pausesSource(now) {
		return "", false
	}
	readers = r.usableReaders(now, readers)
	if len(readers) == 0 {
		return "", !isReader
	}
	// Nodes are spread over the readers by their position in the ranking.
	return readers[max(0, slices.Index(ranked, r.Node))%len(readers)], false
}

// readersOf returns the readers among the nodes of a region, the best first.
func readersOf(ranked []fleet.NodeID) []fleet.NodeID {
	return ranked[:min(len(ranked), max(minReaders, len(ranked)/nodesPerReader))]
}

// usableReaders returns the readers that this node may ask. The caller holds the lock.
func (r *Relay[T]) usableReaders(now time.Time, readers []fleet.NodeID) []fleet.NodeID {
	return slices.DeleteFunc(slices.Clone(readers), func(node fleet.NodeID) bool {
		return node == r.Node || now.Before(r.avoidUntil[node])
	})
}

// List implements [Feed].
func (r *Relay[T]) List(ctx context.Context) (entries []T, revision Revision, err error) {
	reader, fallback := r.chooseReader(time.Now())
	if fallback && !r.mayTry() {
		r.logPath(pathNone)
		return nil, 0, errPausing
	}
	if reader != "" {
		entries, revision, err = r.listAtReaders(ctx, reader)
		if err == nil || errors.Is(err, errNotReading) && r.mayAwaitList(time.Now()) {
			return entries, revision, err
		}
	}
	if !r.mayReadSource(fallback) {
		return nil, 0, errPausing
	}
	asked := currentInstant()
	entries, revision, err = r.Source.List(ctx)
	if err == nil {
		r.setAsOf(*asked)
	}
	r.recordRead(entries, revision, completeList|fromSource, err)
	if isSourceFailure(err) {
		return r.readInPlaceOfSource(ctx, changesRequest{List: true}, err)
	}
	return entries, revision, err
}

// Follow implements [Feed].
func (r *Relay[T]) Follow(
	ctx context.Context, after Revision, wait time.Duration,
) (changes []T, revision Revision, err error) {
	now := time.Now()
	reader, fallback := r.chooseReader(now)
	if fallback && !r.mayTry() {
		r.logPath(pathNone)
		return nil, 0, errPausing
	}
	if reader != "" {
		changes, revision, err = r.followReaders(ctx, reader, after, wait)
		if err == nil || errors.Is(err, ErrCompacted) {
			return changes, revision, err
		}
		wait = 0 // Changes may have arrived during the wait for the reader.
	}
	if !r.mayReadSource(fallback) {
		return nil, 0, errPausing
	}
	changes, revision, err = r.followSource(ctx, after, wait)
	if isSourceFailure(err) {
		return r.readInPlaceOfSource(ctx, changesRequest{After: after}, err)
	}
	return changes, revision, err
}

// mayAwaitList reports whether the node may go on to wait for a reader's first list in
// place of reading the source.
func (r *Relay[T]) mayAwaitList(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listingSince.IsZero() {
		r.listingSince = now
	}
	return now.Sub(r.listingSince) < maxRelayListWait
}

// mayTry reports whether the node may ask a reader, or read the source in its place.
func (r *Relay[T]) mayTry() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.limiter.mayTry(time.Now())
}

// mayReadSource reports whether the node may read the source: always, unless it does so
// in place of a reader and has failed too recently. If not, this counts as a failure.
func (r *Relay[T]) mayReadSource(fallback bool) bool {
	if !fallback {
		r.logPath(pathSource)
		return true
	}
	nodes := len(r.Ranked())
	r.mu.Lock()
	now := time.Now()
	may := r.limiter.mayRead(now)
	if !may {
		r.limiter.recordFailure(now, nodes)
	}
	r.mu.Unlock()
	if may {
		r.logPath(pathFallback)
	} else {
		r.logPath(pathNone)
	}
	return may
}

// logPath logs the path by which the feed is read, if it has changed.
func (r *Relay[T]) logPath(path readPath) {
	r.mu.Lock()
	before := r.path
	r.path = path
	r.mu.Unlock()
	if path != before {
		r.Log.Info("feed read by another path", slog.String("feed", r.Name), slog.String("from", string(path)),
			slog.String("before", string(before)))
	}
}

// servesOthers reports whether other nodes have recently read from this one.
func (r *Relay[T]) servesOthers(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Before(r.readUntil)
}

// responseTime returns the time that is allowed for a reader's response.
func (r *Relay[T]) responseTime() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.limiter.failing() {
		return relayRetryTimeout
	}
	return relayTimeout
}

// setAsOf records when the source was as the node has read it, at the latest read.
func (r *Relay[T]) setAsOf(asOf instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asOf = asOf
}

// AsOf implements [sharedFeed].
func (r *Relay[T]) AsOf() instant {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.asOf
}

// recordRead updates the copy after a read of the source.
func (r *Relay[T]) recordRead(entries []T, revision Revision, flags readFlags, err error) {
	switch {
	case err == nil:
		r.update(entries, revision, flags)
	case errors.Is(err, ErrResponseLost):
		// The source answers.
		r.mu.Lock()
		r.limiter.recordSuccess()
		r.mu.Unlock()
	case !errors.Is(err, ErrCompacted):
		nodes := len(r.Ranked())
		r.mu.Lock()
		r.sourceFailedAt = time.Now()
		r.copy.markSourceLost()
		r.limiter.recordFailure(time.Now(), nodes)
		r.mu.Unlock()
	}
}

// ReadFromPeer implements [sharedFeed].
func (r *Relay[T]) ReadFromPeer() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fromPeer
}

func (r *Relay[T]) update(entries []T, revision Revision, flags readFlags) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.fromPeer, r.listed, r.listingSince = flags&fromSource == 0, flags&completeList != 0, time.Time{}
	switch {
	case flags&fromSource != 0:
		r.sourceFailedAt = time.Time{}
	case !r.sourceFailedAt.IsZero() && now.Sub(r.sourceFailedAt) < sourceFailedMemory:
		flags |= sourceFailing
	}
	r.limiter.recordSuccess()
	r.copy.update(now, entries, r.Key, revision, flags)
	r.copy.prune(now, r.IsRemoval)
}
