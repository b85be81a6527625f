package dispatch

import (
	"context"
	"log/slog"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/retry"
	"github.com/guavatrack/guavatrack/internal/wait"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// An attempt whose server is silent may still go on. So it is only suspected, and
// another attempt is made beside it if the call and the retry policy allow one. The
// silent attempt is ended once the other one has begun to answer. Where nothing can
// take its place, the call waits for it until its deadline.

// replacementSearch is the search for a slot for another attempt, in the background.
type replacementSearch struct {
	cancel context.CancelFunc
	// found receives the slot, or nil if there is none.
	found chan *slot
}

// startSearch starts the search for a slot for an attempt beside the silent ones.
// Until it has ended, the failed attempts of the call must not be changed.
func (r *callRunner) startSearch() *replacementSearch {
	ctx, cancel := context.WithCancel(r.call.Context)
	search := &replacementSearch{cancel: cancel, found: make(chan *slot, 1)}
	go func() { search.found <- r.findReplacementSlot(ctx, nil) }()
	return search
}

// results returns the channel of the result; nil if there is no search.
func (s *replacementSearch) results() <-chan *slot {
	if s == nil {
		return nil
	}
	return s.found
}

// stopSearch ends a search, if there is one, and gives back the slot that it has found and
// the retry.
func (r *callRunner) stopSearch(search *replacementSearch) {
	if search == nil {
		return
	}
	search.cancel()
	if taken := <-search.found; taken != nil {
		r.refundRetry(r.call)
		r.releaseSlot(taken)
	}
}

// findReplacementSlot takes a slot for an attempt beside the silent ones, or beside the
// one whose answer has begun. It returns nil if no such attempt is allowed, or if no slot
// is free before the context ends.
func (r *callRunner) findReplacementSlot(ctx context.Context, begun *Attempt) *slot {
	call := r.call
	if err := r.recheckPoison(call); err != nil || call.exclusive {
		r.logKept("the request is suspected of crashing servers")
		return nil
	}
	if err := r.checkVersion(call); err != nil {
		r.logKept(err.Error())
		return nil
	}
	if err := r.checkStop(call); err != nil {
		r.logKept(err.Error())
		return nil
	}
	decision := r.retryDecision(call)
	if !decision.Retry {
		r.logKept("no further attempt is allowed")
		return nil
	}
	if !wait.For(ctx, decision.Backoff) {
		r.refundRetry(call)
		return nil
	}
	last := call.failedAttempts[len(call.failedAttempts)-1]
	if begun != nil && r.staysAt(begun, decision) {
		taken, found := r.retakeSlot(begun.Replica.Server)
		if !found {
			r.refundRetry(call)
			return nil
		}
		return taken
	}
	if taken, found := r.takeFreeSlot(last.Server, decision.SameServer); found {
		return taken
	}
	taken, err := call.queue.acquire(ctx, call)
	if err != nil {
		r.refundRetry(call)
		r.logKept(err.Error())
		return nil
	}
	taken.fresh = last.Failure == retry.SilentConnection
	return taken
}

// staysAt reports whether an answer that has begun is to be continued at its server, over
// a new connection, so that no two servers work on it: the server takes connections, and
// no second attempt there was silent.
func (r *callRunner) staysAt(begun *Attempt, decision retry.Decision) bool {
	last := r.call.failedAttempts[len(r.call.failedAttempts)-1]
	reachable := errors.Is(begun.silence, ErrSilentConnection)
	return reachable && last.Server == begun.Replica.Server && (decision.SameServer || last.Failure != retry.SilentConnection)
}

// takeFreeSlot takes a slot for an attempt beside a silent one without waiting. If only
// the connection is suspected, it prefers another server that has a free slot, since the
// server may be silent as well.
func (r *callRunner) takeFreeSlot(silent fleet.ServerID, sameServer bool) (taken *slot, found bool) {
	if taken, found = r.takeSlot(r.call, time.Now(), false); found {
		if taken.replica.Server != silent {
			taken.fresh = true
			return taken, true
		}
		r.releaseSlot(taken)
	}
	if !sameServer {
		return nil, false
	}
	return r.retakeSlot(silent)
}

// logKept logs once why a silent attempt is not replaced.
func (r *callRunner) logKept(reason string) {
	if r.keptLogged {
		return
	}
	r.keptLogged = true
	r.Log.LogAttrs(r.call.Context, slog.LevelInfo, "silent attempt kept",
		slog.String("request", string(r.call.ID)), slog.Int("failedAttempts", len(r.call.failedAttempts)),
		slog.Duration("left", r.call.TimeLeft()), slog.String("reason", reason))
}

// suspicion is the result of a probe of the server of an attempt without progress.
type suspicion struct {
	attempt *Attempt
	// progress is the progress of the attempt before the probe.
	progress uint64
	alive    bool
}

// probe probes the server of an attempt over a new connection.
func (r *callRunner) probe(ctx context.Context, a *Attempt) suspicion {
	progress := a.progress.Load()
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return suspicion{attempt: a, progress: progress, alive: r.Prober.Alive(ctx, a.Replica)}
}

// holds reports whether the attempt has made no progress since the probe and goes on.
func (s *suspicion) holds() bool {
	return s.attempt.progress.Load() == s.progress && s.attempt.ctx.Err() == nil
}

// suspect records that an attempt is silent, unless it has made progress since the
// probe. It returns whether the attempt is silent.
func (r *callRunner) suspect(s suspicion) bool {
	a := s.attempt
	if !s.holds() {
		return false
	}
	kind := retry.SilentConnection
	a.silence, a.silentProgress = ErrSilentConnection, s.progress
	r.meters.silentConnections.Inc(1)
	if !s.alive {
		kind, a.silence = retry.SilentServer, ErrSilentServer
		r.meters.silentServers.Inc(1)
		r.suspectSilentEnd(a.slot)
	}
	r.recordSilence(a, kind)
	return true
}

// silenceWatch watches an answer that is being forwarded and seeks an attempt that can
// continue it while it is silent.
type silenceWatch struct {
	runner *callRunner
	silent *Attempt
	// ended is closed when the silent answer has ended or is complete.
	ended context.Context //nolint:containedctx // a watch lives as long as its context
	stop  context.CancelFunc
	// complete is closed when the silent answer has come to its end.
	complete chan struct{}
	// next receives the attempt that continues the answer, or nil.
	next chan *Attempt
}

// watchForSilence watches an answer. The timeout doubles with each silence of the
// call, so that a slow model is not mistaken for a silent connection for ever.
func (r *callRunner) watchForSilence(a *Attempt) *silenceWatch {
	if !r.call.Stream || !r.call.Idempotent {
		return nil
	}
	w := &silenceWatch{runner: r, silent: a, complete: make(chan struct{}), next: make(chan *Attempt, 1)}
	w.ended, w.stop = context.WithCancel(a.ctx)
	go func() { w.next <- w.run() }()
	return w
}

// end ends the watch of an answer that was forwarded with the given error. It returns
// the attempt that continues the answer, if there is one. An attempt that has not
// begun to answer is awaited, unless the answer is complete.
func (w *silenceWatch) end(err error) *Attempt {
	if w == nil {
		return nil
	}
	if err == nil {
		close(w.complete)
	}
	w.stop()
	return <-w.next
}

func (w *silenceWatch) run() *Attempt {
	r := w.runner
	seen := w.silent.progress.Load()
	for wait.For(w.ended, minSilenceTimeout<<min(r.silentConnections, maxSilenceDoublings)) {
		if now := w.silent.progress.Load(); now != seen {
			seen, w.silent.silence = now, nil
			continue
		}
		if w.silent.silence == nil {
			found := r.probe(w.ended, w.silent)
			if w.ended.Err() != nil || !r.suspect(found) {
				continue
			}
		}
		if next := w.replace(seen); next != nil {
			return next
		}
	}
	return nil
}

// replace makes attempts beside the silent one, one after another, until one begins to
// answer. It returns that one and ends the silent one. It returns nil if no further attempt
// is allowed, or if the silent one goes on or ends first.
func (w *silenceWatch) replace(seen uint64) *Attempt {
	r := w.runner
	for {
		taken := r.findReplacementSlot(w.ended, w.silent)
		if taken == nil {
			return nil
		}
		if w.goesOn(seen) || w.ended.Err() != nil {
			r.refundRetry(r.call)
			r.releaseSlot(taken)
			return nil
		}
		a := w.try(taken, seen)
		if a.err == nil && !w.goesOn(seen) && r.call.Context.Err() == nil {
			r.recordOpened(a)
			w.silent.cancel(w.silent.silence)
			return a
		}
		w.drop(a)
		if w.goesOn(seen) || w.ended.Err() != nil {
			return nil
		}
	}
}

// goesOn reports whether the silent attempt has made progress.
func (w *silenceWatch) goesOn(seen uint64) bool { return w.silent.progress.Load() != seen }

// try makes an attempt and waits for its result.
func (w *silenceWatch) try(taken *slot, seen uint64) *Attempt {
	results := make(chan *Attempt, 1)
	other := w.runner.startAttempt(taken, results)
	return w.await(other, results, seen)
}

// drop ends an attempt that is not needed or has failed. It counts as an attempt of the
// call if it was sent.
func (w *silenceWatch) drop(a *Attempt) {
	r := w.runner
	if a.err != nil && a.ctx.Err() == nil {
		r.recordFailure(a)
	} else if a.failedNumber == 0 && a.slot.sent.Load() {
		r.call.abandonedAttempts++
	}
	a.close(errNotNeeded)
	r.releaseSlot(a.slot)
}

// await waits for the result of an attempt. It cancels the attempt if the silent one makes
// progress, or if this one is silent too and another one is allowed.
func (w *silenceWatch) await(other *Attempt, results <-chan *Attempt, seen uint64) *Attempt {
	ticker := time.NewTicker(progressCheckInterval)
	defer ticker.Stop()
	silence := time.NewTimer(w.runner.silenceTimeout(minSilenceTimeout))
	defer silence.Stop()
	complete := w.complete
	for {
		select {
		case a := <-results:
			return a
		case <-complete:
			complete = nil
			other.cancel(errNotNeeded)
		case <-ticker.C:
			if w.goesOn(seen) {
				other.cancel(errNotNeeded)
			}
		case <-silence.C:
			w.giveUp(other)
		}
	}
}

// giveUp records that an attempt beside a silent one is silent too. It ends the attempt
// only if another one is allowed.
func (w *silenceWatch) giveUp(other *Attempt) {
	r := w.runner
	if other.ctx.Err() != nil || other.progress.Load() > 0 {
		return
	}
	r.recordSilence(other, retry.SilentConnection)
	if r.retryDecision(r.call).Retry {
		r.refundRetry(r.call)
		other.cancel(ErrSilentConnection)
	}
}

// progressCheckInterval is the time between two checks whether a silent attempt goes
// on while another one is made beside it.
const progressCheckInterval = 50 * time.Millisecond
