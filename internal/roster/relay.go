package roster

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/logs"
	"github.com/guavatrack/guavatrack/internal/peer"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Peers carries calls between nodes.
type Peers interface {
	Call(ctx context.Context, node fleet.NodeID, method string, in, out any) error
	Handle(method string, handler peer.Handler)
}

// Relay is a feed that the nodes of a region read together: a few of them read
// the source and the others ask those, so that what they read crosses the
// region's link to the store a few times only. A node that gets no answer reads
// the source itself. Its exported fields are set before Register.
type Relay[T any] struct {
	// Name distinguishes the feed from others that are relayed.
	Name   string
	Source Feed[T]
	// Key tells entries apart: a later one replaces an earlier one of its key.
	Key func(T) string
	// Removed tells entries that only say that there is nothing more.
	Removed func(T) bool
	Node    fleet.NodeID
	// Ranked returns the nodes of the region that may read for the others, the
	// best first. All nodes with the same members return the same.
	Ranked func() []fleet.NodeID
	Peers  Peers
	Log    *slog.Logger

	mu   sync.Mutex
	copy replica[T]
	// readFor is until when this node reads the source because another asked.
	readFor time.Time
	// shunned tells until when a reader that did not answer is not asked.
	shunned map[fleet.NodeID]time.Time
}

// Timing and number of readers.
const (
	// leastReaders of a region read the source, and one for each nodesPerReader
	// nodes: a reader sends whole lists to as many nodes when all start.
	leastReaders   = 4
	nodesPerReader = 24
	// relayWait bounds a reader's wait for changes, so that one that was cut off
	// from the source or from its region is noticed early.
	relayWait = time.Second
	// relayTimeout is allowed for a reader's answer beyond the wait.
	relayTimeout = 500 * time.Millisecond
	// relayListWait bounds how long a reader that has no list yet is waited for.
	relayListWait = 1500 * time.Millisecond
	// readForTime is how long a node reads the source after it was asked, shunTime
	// how long a reader is not asked after it failed.
	readForTime = 10 * time.Second
	shunTime    = 5 * time.Second
)

// Errors of a reader's answer.
var (
	// errSourceLost says that the reader itself can't reach the source.
	errSourceLost = errors.New("the reader has lost the store")
	// errNotReading says that the node asked does not read the source yet.
	errNotReading = errors.New("the node asked does not read the store yet")
)

// changesRequest asks a reader for changes after a revision, or with List for
// everything.
type changesRequest struct {
	After  Revision `json:"after"`
	WaitMs int64    `json:"waitMs"`
	List   bool     `json:"list,omitempty"`
}

// changesAnswer is a reader's answer. At most one of the flags is set.
type changesAnswer struct {
	At Revision `json:"at"`
	// Packed are the entries.
	Packed packed `json:"packed"`
	// Gone says that the changes are no longer kept, Lost that the reader can't
	// reach the source, NotReading that it does not read it.
	Gone       bool `json:"gone,omitempty"`
	Lost       bool `json:"lost,omitempty"`
	NotReading bool `json:"notReading,omitempty"`
}

func (a *changesAnswer) err() error {
	switch {
	case a.Gone:
		return ErrHistoryGone
	case a.Lost:
		return errSourceLost
	case a.NotReading:
		return errNotReading
	default:
		return nil
	}
}

var _ Feed[ServerEntry] = (*Relay[ServerEntry])(nil)

// method is the name under which readers are asked.
func (r *Relay[T]) method() string { return "roster.changes." + r.Name }

// Register adds the relay's method to the peers.
func (r *Relay[T]) Register() {
	r.Log = logs.OrDiscard(r.Log)
	r.shunned = make(map[fleet.NodeID]time.Time)
	r.copy.init()
	r.Peers.Handle(r.method(), peer.Typed(r.answer))
}

// reader returns the node to ask; empty if this node reads the source itself.
func (r *Relay[T]) reader(now time.Time) fleet.NodeID {
	ranked := r.Ranked()
	readers := ranked[:min(len(ranked), max(leastReaders, len(ranked)/nodesPerReader))]
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Before(r.readFor) || slices.Contains(readers, r.Node) {
		return ""
	}
	readers = slices.DeleteFunc(slices.Clone(readers), func(node fleet.NodeID) bool {
		return now.Before(r.shunned[node])
	})
	if len(readers) == 0 {
		return ""
	}
	// Nodes are spread over the readers by their place in the ranking.
	return readers[max(0, slices.Index(ranked, r.Node))%len(readers)]
}

// List implements [Feed].
func (r *Relay[T]) List(ctx context.Context) (entries []T, at Revision, err error) {
	if reader := r.reader(time.Now()); reader != "" {
		entries, at, err = r.ask(ctx, reader, changesRequest{List: true, WaitMs: relayListWait.Milliseconds()})
		if err == nil {
			r.keep(entries, at, keepList)
			return entries, at, nil
		}
		r.failed(reader, err)
	}
	entries, at, err = r.Source.List(ctx)
	r.read(entries, at, keepList|keepDirect, err)
	return entries, at, err
}

// Follow implements [Feed].
func (r *Relay[T]) Follow(
	ctx context.Context, after Revision, wait time.Duration,
) (changes []T, at Revision, err error) {
	now := time.Now()
	if reader := r.reader(now); reader != "" {
		asked := changesRequest{After: after, WaitMs: min(wait, relayWait).Milliseconds()}
		changes, at, err = r.ask(ctx, reader, asked)
		switch {
		case err == nil:
			r.keep(changes, at, 0)
			return changes, at, nil
		case errors.Is(err, ErrHistoryGone):
			return nil, 0, err
		}
		r.failed(reader, err)
		if errors.Is(err, errSourceLost) {
			return nil, 0, err
		}
		wait = 0 // Changes may have been missed while the reader was waited for.
	}
	if r.isAsked(now) {
		wait = min(wait, relayWait)
	}
	changes, at, err = r.Source.Follow(ctx, after, wait)
	r.read(changes, at, keepDirect, err)
	return changes, at, err
}

// isAsked reports whether other nodes rely on this one.
func (r *Relay[T]) isAsked(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Before(r.readFor)
}

// ask asks a reader.
func (r *Relay[T]) ask(ctx context.Context, reader fleet.NodeID, asked changesRequest) (entries []T, at Revision, err error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(asked.WaitMs)*time.Millisecond+relayTimeout)
	defer cancel()
	var answer changesAnswer
	if err := r.Peers.Call(ctx, reader, r.method(), asked, &answer); err != nil {
		return nil, 0, err
	}
	if err := answer.err(); err != nil {
		return nil, 0, err
	}
	if entries, err = unpack[T](answer.Packed); err != nil {
		return nil, 0, errors.Wrapf(err, "answer of %s", reader)
	}
	return entries, answer.At, nil
}

// failed notes that a reader is of no use for now.
func (r *Relay[T]) failed(reader fleet.NodeID, err error) {
	if errors.Is(err, errNotReading) {
		return
	}
	now := time.Now()
	r.mu.Lock()
	maps.DeleteFunc(r.shunned, func(_ fleet.NodeID, until time.Time) bool { return !now.Before(until) })
	r.shunned[reader] = now.Add(shunTime)
	r.mu.Unlock()
	r.Log.Warn("reader lost", slog.String("feed", r.Name), slog.String("node", string(reader)), slog.Any("error", err))
}

// read takes in the outcome of a read of the source.
func (r *Relay[T]) read(entries []T, at Revision, how keeping, err error) {
	switch {
	case err == nil:
		r.keep(entries, at, how)
	case !errors.Is(err, ErrHistoryGone):
		r.mu.Lock()
		r.copy.lose()
		r.mu.Unlock()
	}
}

func (r *Relay[T]) keep(entries []T, at Revision, how keeping) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.copy.keep(now, entries, r.Key, at, how)
	r.copy.prune(now, r.Removed)
}

// answer answers another node. It waits until there is something to tell.
func (r *Relay[T]) answer(ctx context.Context, asked changesRequest) (answer changesAnswer, err error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(asked.WaitMs)*time.Millisecond)
	defer cancel()
	for {
		r.mu.Lock()
		r.readFor = time.Now().Add(readForTime)
		answer, entries, ready := r.copy.answer(asked)
		changed := r.copy.changed
		r.mu.Unlock()
		if ready {
			answer.Packed, err = pack(entries)
			return answer, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			// What is known now is the answer, changed or not.
			asked.WaitMs = 0
		}
	}
}
