package roster

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// followSource waits for changes of the source.
func (r *Relay[T]) followSource(
	ctx context.Context, after Revision, wait time.Duration,
) (changes []T, revision Revision, err error) {
	switch {
	case r.lastWasList():
		wait = 0
	case r.readsElsewhere():
		// Nothing is read from other nodes meanwhile.
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, sourceRetryTimeout)
		defer cancel()
		wait = 0
	case r.servesOthers(time.Now()):
		wait = min(wait, maxRelayWait)
	}
	asked := currentInstant()
	changes, revision, err = r.Source.Follow(ctx, after, wait)
	if err == nil {
		r.setAsOf(asked.afterWait(wait, len(changes) == 0))
	}
	r.recordRead(changes, revision, fromSource, err)
	return changes, revision, err
}

// isSourceFailure reports whether an error of a read says that the source can't be read.
func isSourceFailure(err error) bool {
	return err != nil && !errors.Is(err, ErrCompacted) && !errors.Is(err, ErrResponseLost)
}

// pausesSource reports whether the source has failed too recently to be tried again while
// other readers may be asked. The caller holds the lock.
func (r *Relay[T]) pausesSource(now time.Time) bool {
	return !r.sourceFailedAt.IsZero() && now.Sub(r.sourceFailedAt) < sourceRetryPause
}

// lastWasList reports whether the last read was a list.
func (r *Relay[T]) lastWasList() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listed
}

// readsElsewhere reports whether the node reads from other nodes since the source could not
// be read.
func (r *Relay[T]) readsElsewhere() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.sourceFailedAt.IsZero() && r.fromPeer
}
