package dispatch

import (
	"context"
	"log/slog"
	"time"

	"github.com/guavatrack/guavatrack/internal/retry"
	"github.com/guavatrack/guavatrack/internal/wait"
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
	go func() { search.found <- r.findReplacementSlot(ctx) }()
	return search
}

// results returns the channel of the result; nil if there is no search.
func (s *replacementSearch) results() <-chan *slot {
	if s == nil {
		return nil
	}
	return s.found
}

// stopSearch ends a search, if there is one, and releases the slot that it has found.
func (r *callRunner) stopSearch(search *replacementSearch) {
	if search == nil {
		return
	}
	search.cancel()
	if taken := <-search.found; taken != nil {
		r.releaseSlot(taken)
	}
}

// findReplacementSlot takes a slot for an attempt beside the silent ones. It returns
// nil if no such attempt is allowed, or if no slot is free before the context ends.
func (r *callRunner) findReplacementSlot(ctx context.Context) *slot {
	call := r.call
	if err := r.recheckPoison(call); err != nil || call.exclusive {
		r.logKept("the request is suspected of crashing servers")
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
	if taken, found := r.takeFreeSlot(last, decision.SameServer); found {
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

// takeFreeSlot takes a slot for an attempt beside a silent one without waiting. If only
// the connection is suspected, a call without an answer goes to another server that has
// a free slot, since the server may be silent as well. An answer that has begun is
// continued at the same server, so that no two servers work on it.
func (r *callRunner) takeFreeSlot(silent retry.Attempt, sameServer bool) (taken *slot, found bool) {
	if sameServer && r.call.AnswerStarted() {
		return r.retakeSlot(silent)
	}
	if taken, found = r.takeSlot(r.call, time.Now(), false); found {
		if taken.replica.Server != silent.Server {
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
func (r *callRunner) probe(a *Attempt) suspicion {
	progress := a.progress.Load()
	ctx, cancel := context.WithTimeout(a.ctx, probeTimeout)
	defer cancel()
	return suspicion{attempt: a, progress: progress, alive: r.Prober.Alive(ctx, a.Replica)}
}

// suspect records that an attempt is silent, unless it has made progress since the
// probe. It returns whether the attempt is silent.
func (r *callRunner) suspect(s suspicion) bool {
	a := s.attempt
	if a.progress.Load() != s.progress || a.ctx.Err() != nil {
		return false
	}
	kind := retry.SilentConnection
	a.silence = ErrSilentConnection
	r.meters.silentConnections.Inc(1)
	if !s.alive {
		kind, a.silence = retry.SilentServer, ErrSilentServer
		r.meters.silentServers.Inc(1)
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
		if w.silent.silence == nil && !r.suspect(r.probe(w.silent)) {
			continue
		}
		if next := w.replace(seen); next != nil {
			return next
		}
	}
	return nil
}

// replace makes an attempt beside the silent one. It returns the attempt once it has
// begun to answer, and ends the silent one. It returns nil if there is no such attempt,
// or if the silent one goes on first.
func (w *silenceWatch) replace(seen uint64) *Attempt {
	r := w.runner
	taken := r.findReplacementSlot(w.ended)
	if taken == nil {
		return nil
	}
	if w.silent.progress.Load() != seen || w.ended.Err() != nil {
		r.releaseSlot(taken)
		return nil
	}
	results := make(chan *Attempt, 1)
	other := r.startAttempt(taken, results)
	a := w.await(other, results, seen)
	switch {
	case a.err == nil && w.silent.progress.Load() == seen && r.call.Context.Err() == nil:
		r.recordOpened(a)
		w.silent.cancel(w.silent.silence)
		return a
	case a.err != nil && other.ctx.Err() == nil:
		r.recordFailure(a)
	}
	a.close(errNotNeeded)
	r.releaseSlot(taken)
	return nil
}

// await waits for the result of an attempt. It cancels the attempt if the silent one
// makes progress.
func (w *silenceWatch) await(other *Attempt, results <-chan *Attempt, seen uint64) *Attempt {
	ticker := time.NewTicker(progressCheckInterval)
	defer ticker.Stop()
	complete := w.complete
	for {
		select {
		case a := <-results:
			return a
		case <-complete:
			complete = nil
			other.cancel(errNotNeeded)
		case <-ticker.C:
			if w.silent.progress.Load() != seen {
				other.cancel(errNotNeeded)
			}
		}
	}
}

// progressCheckInterval is the time between two checks whether a silent attempt goes
// on while another one is made beside it.
const progressCheckInterval = 50 * time.Millisecond
