package roster

import (
	"context"
	"log/slog"
	"maps"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/packed"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// listAtReaders reads the list from a reader, or from another one if that has lost the source.
func (r *Relay[T]) listAtReaders(ctx context.Context, reader fleet.NodeID) (entries []T, revision Revision, err error) {
	r.logPath(readPath(reader))
	entries, revision, err = r.requestChanges(ctx, reader, changesRequest{List: true, WaitMs: relayListPoll.Milliseconds()})
	if err == nil {
		r.update(entries, revision, completeList)
		return entries, revision, nil
	}
	r.avoid(reader, err)
	return r.askOthers(ctx, changesRequest{List: true}, err)
}

// followReaders waits for changes at a reader, or asks another one for them if that has lost
// the source.
func (r *Relay[T]) followReaders(
	ctx context.Context, reader fleet.NodeID, after Revision, wait time.Duration,
) (changes []T, revision Revision, err error) {
	r.logPath(readPath(reader))
	changes, revision, err = r.requestChanges(ctx, reader, changesRequest{After: after, WaitMs: min(wait, maxRelayWait).Milliseconds()})
	switch {
	case err == nil:
		r.update(changes, revision, 0)
		return changes, revision, nil
	case errors.Is(err, ErrCompacted):
		return nil, 0, err
	}
	r.avoid(reader, err)
	return r.askOthers(ctx, changesRequest{After: after}, err)
}

// requestChanges requests changes from a reader.
func (r *Relay[T]) requestChanges(ctx context.Context, reader fleet.NodeID, request changesRequest) (entries []T, revision Revision, err error) {
	asked := currentInstant()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(request.WaitMs)*time.Millisecond+r.responseTime())
	defer cancel()
	var response changesResponse
	if err := r.Peers.Call(ctx, reader, r.method(), request, &response); err != nil {
		return nil, 0, err
	}
	if err := response.err(); err != nil {
		return nil, 0, err
	}
	if entries, err = packed.Decode[T](response.Packed); err != nil {
		return nil, 0, errors.Wrapf(err, "decode response of reader %s", reader)
	}
	if len(entries) > 0 && response.Format < r.Format {
		return nil, 0, errOlderFormat
	}
	r.setAsOf(asked.add(time.Duration(response.HeldMs-response.AgeMs) * time.Millisecond))
	return entries, response.At, nil
}

// avoid excludes a reader that failed for a while. One that does not read the
// source yet is not excluded, since the request makes it start.
func (r *Relay[T]) avoid(reader fleet.NodeID, err error) {
	duration := avoidDuration
	switch {
	case errors.Is(err, errNotReading):
		r.Log.Info("reader not reading yet", slog.String("feed", r.Name), slog.String("node", string(reader)))
		return
	case errors.Is(err, errSourceUnreachable):
		duration = lostDuration
	}
	now := time.Now()
	r.mu.Lock()
	maps.DeleteFunc(r.avoidUntil, func(_ fleet.NodeID, until time.Time) bool { return !now.Before(until) })
	r.avoidUntil[reader] = now.Add(duration)
	r.mu.Unlock()
	r.Log.Warn("reader unavailable", slog.String("feed", r.Name), slog.String("node", string(reader)), slog.Any("error", err))
}

// readInPlaceOfSource asks the readers, one after the other, after the source, or the reader
// of this node, could not be read: the store may turn one of them away and not others. It
// returns the error of the source if none of them can read it either. A reader that does not
// answer before the context ends is not passed over later.
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
		if ctx.Err() == nil {
			r.avoid(readers[0], err)
		}
	}
	return nil, 0, sourceErr
}

// askOthers asks the other readers, for otherReadersTime in all, after the error of a reader
// that has lost the source while this node has not, as far as it knows. Otherwise, or if none
// of them answers, it returns that error.
func (r *Relay[T]) askOthers(ctx context.Context, request changesRequest, readerErr error) (entries []T, revision Revision, err error) {
	r.mu.Lock()
	turnedAway := !r.sourceFailedAt.IsZero()
	r.mu.Unlock()
	if turnedAway || !errors.Is(readerErr, errSourceUnreachable) {
		return nil, 0, readerErr
	}
	ctx, cancel := context.WithTimeout(ctx, otherReadersTime)
	defer cancel()
	return r.readInPlaceOfSource(ctx, request, readerErr)
}
