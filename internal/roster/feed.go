package roster

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/wait"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// ErrHistoryGone says that the changes after a revision are no longer kept, so
// that everything must be read anew.
var ErrHistoryGone = errors.New("history is no longer kept")

// Revision is a position in the store's sequence of changes.
type Revision uint64

// ServerEntry is the entry of one server in the platform's list. Server is nil
// if the entry was removed or names no server to use.
type ServerEntry struct {
	ID     fleet.ServerID `json:"id,omitempty"`
	Server *Server        `json:"server,omitempty"`
}

// Feed is a part of the platform's store that can be read whole and followed.
type Feed[T any] interface {
	// List reads everything, page by page, and bounds the time of each page.
	List(ctx context.Context) (entries []T, at Revision, err error)
	// Follow waits for changes after a revision, and returns none if there were
	// none within the wait. It fails with ErrHistoryGone.
	Follow(ctx context.Context, after Revision, wait time.Duration) (changes []T, at Revision, err error)
}

// Timing of a follower.
const (
	// followWait bounds one wait for changes. A connection that went silent is
	// noticed after it.
	followWait = 2 * time.Second
	// answerTimeout is allowed for an answer beyond the wait, listTimeout for
	// the pages of a whole list together. An answer that is given up still takes
	// its part of the link, so each next one is allowed patienceFactor times as
	// long, up to the patience of the follower.
	answerTimeout  = 700 * time.Millisecond
	listTimeout    = 20 * time.Second
	patienceFactor = 3
	// changePause is rested for each change that was read: nodes of a region
	// share its link to the store, and the manifest has to come through.
	changePause = 6500 * time.Microsecond
	// retryPause is the longest pause after a failure, latePause after an answer
	// that did not come in time.
	retryPause = 250 * time.Millisecond
	latePause  = time.Second
)

// follower keeps a copy of a feed up to date.
type follower[T any] struct {
	name string
	feed Feed[T]
	// rest is the pause between two reads, so that changes that come in quick
	// succession are read together.
	rest time.Duration
	// apply takes in entries; whole says that they are all there are, regained
	// that the feed failed before.
	apply func(now time.Time, entries []T, whole, regained bool)
	// patience is the longest time that is allowed for an answer.
	patience time.Duration
	log      *slog.Logger

	at     Revision
	listed bool
	// timeout is allowed for the next answer.
	timeout time.Duration
	// late says that the last answer did not come in time.
	late bool
	// lostAt is when the feed began to fail; zero if it does not.
	lostAt time.Time
}

func (f *follower[T]) run(ctx context.Context) {
	f.timeout = answerTimeout
	for ctx.Err() == nil {
		changes, err := f.step(ctx)
		pause := max(f.rest, time.Duration(changes)*changePause)
		if err != nil && ctx.Err() == nil {
			f.lost(err)
			pause = f.backOff()
		} else {
			f.timeout = answerTimeout
		}
		wait.For(ctx, pause)
	}
}

// backOff returns how long to rest after a failure. An answer that did not come
// in time may be on a link that is full; one that was refused is not.
func (f *follower[T]) backOff() time.Duration {
	pause := retryPause
	if f.late {
		pause = min(f.timeout, latePause)
		f.timeout = min(patienceFactor*f.timeout, f.patience)
	}
	return pause/2 + rand.N(pause/2)
}

// step reads once and returns the number of changes.
func (f *follower[T]) step(ctx context.Context) (count int, err error) {
	f.late = false
	if !f.listed {
		return 0, f.list(ctx)
	}
	// After a failure the first read does not wait, so that the contact is
	// known to be back at once.
	wait := followWait
	if !f.lostAt.IsZero() {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, wait+f.timeout)
	defer cancel()
	changes, at, err := f.feed.Follow(ctx, f.at, wait)
	if errors.Is(err, ErrHistoryGone) {
		f.log.Warn("history of the store is gone", slog.String("feed", f.name), slog.Uint64("after", uint64(f.at)))
		f.listed = false
		return 0, nil
	}
	f.late = errors.Is(ctx.Err(), context.DeadlineExceeded)
	if err != nil {
		return 0, err
	}
	regained := f.regained()
	f.at = max(f.at, at)
	if len(changes) > 0 || regained {
		f.apply(time.Now(), changes, false, regained)
	}
	return len(changes), nil
}

func (f *follower[T]) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	entries, at, err := f.feed.List(ctx)
	if err != nil {
		return err
	}
	f.at, f.listed = at, true
	f.apply(time.Now(), entries, true, f.regained())
	return nil
}

func (f *follower[T]) lost(err error) {
	if !f.lostAt.IsZero() {
		return
	}
	f.lostAt = time.Now()
	f.log.Warn("store lost", slog.String("feed", f.name), slog.Any("error", err))
}

// regained notes that the feed answers and reports whether it failed before.
func (f *follower[T]) regained() bool {
	if f.lostAt.IsZero() {
		return false
	}
	f.log.Info("store regained", slog.String("feed", f.name), slog.Duration("after", time.Since(f.lostAt)))
	f.lostAt = time.Time{}
	return true
}
