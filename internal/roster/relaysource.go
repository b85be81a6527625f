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

// readInPlaceOfSource asks the readers, one after the other, after the source could not be
// read: the store may turn this node away and not others. It returns the error of the
// source if none of them can read it either.
func (r *Relay[T]) readInPlaceOfSource(
	ctx context.Context, request changesRequest, sourceErr error,
) (entries []T, revision Revision, err error) {
	r.mu.Lock()
	readers := r.usableReaders(time.Now(), readersOf(r.Ranked()))
	r.mu.Unlock()
	for timeouts := 0; len(readers) > 0 && timeouts < maxReaderTimeouts && ctx.Err() == nil; readers = readers[1:] {
		entries, revision, err = r.requestChanges(ctx, readers[0], request)
		switch {
		case err == nil:
			r.logPath(readPath(readers[0]))
			flags := readFlags(0)
			if request.List {
				flags = completeList
			}
			r.update(entries, revision, flags)
			return entries, revision, nil
		case errors.Is(err, ErrCompacted):
			return nil, 0, err
		case !errors.Is(err, errSourceUnreachable) && !errors.Is(err, errNotReading):
			timeouts++
		}
		r.avoid(readers[0], err)
	}
	return nil, 0, sourceErr
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
