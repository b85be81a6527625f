package roster

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/internal/wait"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// ErrCompacted reports that the changes after a revision are no longer kept, so
// that the feed must be listed again.
var ErrCompacted = errors.New("history is no longer kept")

// Revision is a position in the store's sequence of changes. It holds the era of the
// store in the high bits, so that each position of a store that was restored from an
// older copy is after those of the time before.
type Revision uint64

// RevisionIn returns the revision of a number of changes in an era.
func RevisionIn(era table.Era, changes uint64) Revision {
	return Revision(table.VersionIn(era, changes))
}

// Era returns the era of the store in which the revision was read.
func (r Revision) Era() table.Era { return table.Version(r).Era() }

// Changes returns the number of changes in the store.
func (r Revision) Changes() uint64 { return table.Version(r).Writes() }

// ServerEntry is the entry of one server in the platform's list. Server is nil if
// the entry was removed or describes no usable server.
type ServerEntry struct {
	ID     fleet.ServerID `json:"id,omitempty"`
	Server *Server        `json:"server,omitempty"`
	// Unreadable reports that there is an entry that describes no usable server. That
	// says nothing about the server: another writer may have written the entry.
	Unreadable bool `json:"unreadable,omitempty"`
}

// errOldList reports a list that is older than what was read before.
var errOldList = errors.New("list is older than what was read before")

// Feed is a part of the platform's store that can be listed as a whole and watched
// for changes.
type Feed[T any] interface {
	// List reads all entries, page by page, with a timeout for each page.
	List(ctx context.Context) (entries []T, revision Revision, err error)
	// Follow waits for changes after a revision, and returns none if there were
	// none within the given time. It fails with ErrCompacted if these changes are
	// no longer kept.
	Follow(ctx context.Context, after Revision, wait time.Duration) (changes []T, revision Revision, err error)
}

// sharedFeed is a feed that few nodes of a region read for the others.
type sharedFeed interface {
	// ReadFromPeer reports whether the last response came from another node.
	ReadFromPeer() bool
	// AsOf returns when the store was as the last response says.
	AsOf() instant
}

// Timing of a watcher.
const (
	// watchWait bounds one wait for changes, and with that the time until a
	// connection that no longer delivers anything is detected.
	watchWait = 2 * time.Second
	// responseTimeout is allowed for a response in addition to the wait, listTimeout
	// for all pages of a list together. A response that timed out still occupies
	// the link, so each following one is allowed timeoutFactor times as long, up to
	// the maximum for the feed.
	responseTimeout = 700 * time.Millisecond
	listTimeout     = 20 * time.Second
	timeoutFactor   = 3
	// maxCalmRead is above the duration of a wait for changes with its response.
	maxCalmRead = watchWait + responseTimeout + 300*time.Millisecond
	// pausePerChange is the pause for each change that was read: the nodes of a
	// region share its link to the store, and the manifest has to pass it too. If few
	// nodes of the region read the store, each pauses for readerPausePerChange, and the
	// others, which read from those, for followerPause whatever they read.
	pausePerChange       = 6500 * time.Microsecond
	readerPausePerChange = 1500 * time.Microsecond
	followerPause        = 300 * time.Millisecond
	// minRetryPause is the maximum pause after the first of several failures,
	// maxRetryPause that after the others, maxTimeoutPause that after a response that
	// timed out.
	minRetryPause   = 250 * time.Millisecond
	maxRetryPause   = 500 * time.Millisecond
	maxTimeoutPause = 600 * time.Millisecond
)

// readKind says how entries were read: complete that they are all entries of the feed,
// returned that the store was away before, restored that they are the first since the
// store was restored from an older copy.
type readKind struct{ complete, returned, restored bool }

// watcher reads a feed and passes on its entries and their changes.
type watcher[T any] struct {
	name string
	feed Feed[T]
	// minPause is the minimum pause between two reads, so that changes in quick
	// succession are read together.
	minPause time.Duration
	// apply processes entries that were read.
	apply func(now time.Time, entries []T, read readKind)
	// maxTimeout is the maximum of timeout.
	maxTimeout time.Duration
	// failing reports whether reads fail, or none has succeeded yet.
	failing *atomic.Bool
	// succeeded is called after each read that succeeds, once its entries have been
	// processed, and told whether the process may have stood still during the read: the
	// entries may then be those from before. It may be nil.
	succeeded func(stoodStill bool)
	// failed is called when reads begin to fail. It may be nil.
	failed func()
	log    *slog.Logger

	// revision is the revision up to which the feed was read.
	revision Revision
	listed   bool
	// timeout is the time allowed for the next response in addition to the wait.
	timeout time.Duration
	// timedOut reports whether the last response timed out.
	timedOut bool
	// stoodStill reports whether the process may have stood still during the last read.
	stoodStill bool
	// failures is the number of consecutive reads that failed.
	failures int
	// failingSince is when reads began to fail; zero if the last one succeeded.
	failingSince time.Time
	// contact says whether the store was away meanwhile.
	contact contact
}

func (w *watcher[T]) run(ctx context.Context) {
	w.timeout = responseTimeout
	w.failing.Store(true)
	for ctx.Err() == nil {
		changes, err := w.readOnce(ctx)
		pause := w.pauseAfter(changes)
		if err != nil && ctx.Err() == nil {
			w.markFailed(err)
			pause = w.backoff(err)
		} else {
			w.timeout = responseTimeout
		}
		wait.For(ctx, pause)
	}
}

// pauseAfter returns the pause after a response with a number of changes.
func (w *watcher[T]) pauseAfter(changes int) time.Duration {
	perChange := pausePerChange
	if shared, ok := w.feed.(sharedFeed); ok {
		if shared.ReadFromPeer() {
			return min(w.minPause, followerPause)
		}
		perChange = readerPausePerChange
	}
	return max(w.minPause, time.Duration(changes)*perChange)
}

// backoff returns the pause after a failure, with jitter, and adapts the timeout.
// A response that timed out may be on a saturated link, one that reports an error
// is not. After a lost response there is no pause, since the source answers.
func (w *watcher[T]) backoff(err error) time.Duration {
	if errors.Is(err, ErrResponseLost) {
		return 0
	}
	pause := minRetryPause
	if w.failures > 1 {
		pause = maxRetryPause
	}
	if w.timedOut {
		pause = min(w.timeout, maxTimeoutPause)
		w.timeout = min(timeoutFactor*w.timeout, w.maxTimeout)
	}
	return wait.Jitter(pause)
}

// readOnce lists the feed or waits for changes once, and returns the number of
// changes.
func (w *watcher[T]) readOnce(ctx context.Context) (count int, err error) {
	w.timedOut = false
	if !w.listed {
		return 0, w.list(ctx)
	}
	// After a failure or a standstill the first read does not wait for changes, so that
	// the end of the failure, or what was missed, is noticed at once.
	maxWait, began := watchWait, currentInstant()
	if !w.failingSince.IsZero() || w.stoodStill {
		maxWait = 0
	}
	following, cancel := context.WithTimeout(ctx, maxWait+w.timeout)
	defer cancel()
	changes, revision, err := w.feed.Follow(following, w.revision, maxWait)
	if errors.Is(err, ErrCompacted) {
		w.log.Warn("store history compacted, listing again", slog.String("feed", w.name), slog.Uint64("after", uint64(w.revision)))
		w.listed = false
		return 0, w.list(ctx)
	}
	w.timedOut = errors.Is(following.Err(), context.DeadlineExceeded)
	if err != nil {
		return 0, err
	}
	returned := w.markRecovered()
	w.revision = max(w.revision, revision)
	if len(changes) > 0 || returned {
		w.apply(time.Now(), changes, readKind{returned: returned})
	}
	w.markRead(began)
	return len(changes), nil
}

func (w *watcher[T]) list(ctx context.Context) error {
	began := currentInstant()
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	entries, revision, err := w.feed.List(ctx)
	switch {
	case err != nil:
		return err
	case revision < w.revision:
		return errors.Wrapf(errOldList, "revision %d after %d", revision, w.revision)
	}
	restored := revision.Era() > w.revision.Era() && w.revision != 0
	if restored {
		w.log.Warn("store restored from an older copy", slog.String("feed", w.name),
			slog.Uint64("era", uint64(revision.Era())), slog.Uint64("revision", revision.Changes()))
	}
	w.log.Info("feed listed", slog.String("feed", w.name), slog.Int("entries", len(entries)),
		slog.Duration("took", time.Since(began.at)))
	w.revision, w.listed = revision, true
	w.apply(time.Now(), entries, readKind{complete: true, returned: w.markRecovered(), restored: restored})
	w.markRead(began)
	return nil
}

// markRead records a read whose entries have been processed. In one that takes longer than
// it may the process has stood still, or it was a long list.
func (w *watcher[T]) markRead(began *instant) {
	w.stoodStill = began.age() >= maxCalmRead
	if w.succeeded != nil {
		w.succeeded(w.stoodStill)
	}
}

func (w *watcher[T]) markFailed(err error) {
	w.failures++
	w.failing.Store(true)
	if w.contact.recordFailure(err) {
		w.log.Warn("store away", slog.String("feed", w.name), slog.Any("error", err))
	}
	if !w.failingSince.IsZero() {
		return
	}
	w.failingSince = time.Now()
	if w.failed != nil {
		w.failed()
	}
	w.log.Warn("store read failed", slog.String("feed", w.name), slog.Any("error", err))
}

// markRecovered records a successful read and reports whether the store was away
// before.
func (w *watcher[T]) markRecovered() (returned bool) {
	w.failures = 0
	w.failing.Store(false)
	returned = w.contact.recordSuccess()
	if w.failingSince.IsZero() {
		return returned
	}
	w.log.Info("store readable again", slog.String("feed", w.name), slog.Duration("after", time.Since(w.failingSince)),
		slog.Bool("wasAway", returned))
	w.failingSince = time.Time{}
	return returned
}
