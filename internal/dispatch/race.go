package dispatch

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/retry"
)

// Causes for which the context of an attempt is cancelled.
var (
	// ErrSilentConnection is the cause if no data arrives over the connection
	// although the server answers over a new one.
	ErrSilentConnection = errors.New("connection silent")
	// ErrSilentServer is the cause if the server does not answer over a new
	// connection either.
	ErrSilentServer = errors.New("server silent")
	errNotNeeded    = errors.New("another attempt was faster")
)

// race starts an attempt and, if its first byte is late and the budget allows,
// a hedge at another replica. It returns the first attempt that is answered and
// releases the slots of the others.
func (r *callRunner) race(taken *slot) (winner *Attempt, err error) {
	results := make(chan *Attempt, 2)
	running := []*Attempt{r.startAttempt(taken, results)}
	hedgeAfter, silentAfter := r.call.queue.firstByteTimeouts(r.call.Stream)
	hedgeTimer := newTimer(hedgeAfter, hedgeAfter > 0 && r.mayHedge())
	defer hedgeTimer.Stop()
	silentAfter = min(silentAfter, r.call.TimeLeft()/silenceDivisor) << min(r.silentConnections, maxSilenceDoublings)
	silenceTimer := newTimer(silentAfter, r.call.Idempotent)
	defer silenceTimer.Stop()
	for pending := 1; pending > 0; {
		select {
		case a := <-results:
			pending--
			if a.err == nil {
				r.recordWinner(a, running)
				r.releaseLosers(results, pending)
				return a, nil
			}
			err = a.err
			r.recordFailure(a)
			a.close(nil)
			r.releaseSlot(a.slot)
		case <-hedgeTimer.C:
			if second, found := r.takeHedgeSlot(); found {
				running = append(running, r.startAttempt(second, results))
				pending++
			}
		case <-silenceTimer.C:
			for _, a := range running {
				go r.checkSilence(a, a.progress.Load())
			}
			silenceTimer.Reset(silentAfter)
		}
	}
	return nil, err
}

// silenceDivisor bounds the silence timeout: a connection without a first byte is
// checked at the latest after the time left divided by silenceDivisor.
const silenceDivisor = 3

// maxSilenceDoublings bounds how often the silence timeout is doubled.
const maxSilenceDoublings = 5

// newTimer returns a timer with the given delay, or a stopped one if it is not
// enabled.
func newTimer(delay time.Duration, enabled bool) *time.Timer {
	if !enabled {
		delay = time.Hour
	}
	timer := time.NewTimer(delay)
	if !enabled {
		timer.Stop()
	}
	return timer
}

// mayHedge reports whether the call may be hedged: it allows hedges, its answer
// has not started, no attempt has failed, and it need not run exclusively.
func (r *callRunner) mayHedge() bool {
	return r.call.Hedge && !r.call.AnswerStarted() && !r.call.exclusive && len(r.call.failedAttempts) == 0
}

// takeHedgeSlot takes a slot at another server for a second attempt if the
// budget allows.
func (r *callRunner) takeHedgeSlot() (second *slot, found bool) {
	now := time.Now()
	if !r.spendHedge(now) {
		return nil, false
	}
	first := r.call.slot
	r.call.failedAttempts = append(r.call.failedAttempts, retry.Attempt{
		Server: first.replica.Server, Domain: first.replica.FailureDomain,
	})
	second, found = r.takeSlot(r.call, now, false)
	r.call.failedAttempts = r.call.failedAttempts[:len(r.call.failedAttempts)-1]
	if found && second.replica.Server == first.replica.Server {
		r.releaseSlot(second)
		return nil, false
	}
	if found {
		r.meters.hedges.Inc(1)
	}
	return second, found
}

// recordWinner records the time to the first byte and cancels the other
// attempts. For each of those the time since its start is recorded as a lower
// bound of its time to the first byte.
func (r *callRunner) recordWinner(winner *Attempt, running []*Attempt) {
	now := time.Now()
	elapsed := now.Sub(winner.slot.started)
	winner.slot.firstByte = elapsed
	r.call.queue.recordFirstByte(r.call.Stream, elapsed)
	winner.slot.server.recordFirstByte(now, elapsed)
	for _, a := range running {
		if a != winner {
			a.slot.server.recordFirstByte(now, now.Sub(a.slot.started))
			a.slot.server.recordFailure(now)
			a.cancel(errNotNeeded)
		}
	}
}

// releaseLosers closes the attempts that are still pending and releases their
// slots in the background.
func (r *callRunner) releaseLosers(results <-chan *Attempt, pending int) {
	if pending == 0 {
		return
	}
	r.background.Go(func() {
		for range pending {
			a := <-results
			a.close(errNotNeeded)
			r.releaseSlot(a.slot)
		}
	})
}

// checkSilence cancels an attempt that has received no data since the given
// progress: with [ErrSilentServer] if the server does not answer over a new
// connection either, with [ErrSilentConnection] otherwise.
func (r *callRunner) checkSilence(a *Attempt, progress uint64) {
	ctx, cancel := context.WithTimeout(a.ctx, probeTimeout)
	defer cancel()
	alive := r.Prober.Alive(ctx, a.Replica)
	if a.progress.Load() != progress || a.ctx.Err() != nil {
		return
	}
	if alive {
		r.meters.silentConnections.Inc(1)
		a.cancel(ErrSilentConnection)
		return
	}
	r.meters.silentServers.Inc(1)
	a.cancel(ErrSilentServer)
}

// watchForSilence checks the attempt for silence whenever its answer has made no
// progress for a timeout. The timeout doubles with each silent connection of the
// call, so that a slow model is not mistaken for a silent connection for ever.
func (r *callRunner) watchForSilence(a *Attempt) (stop func()) {
	if !r.call.Stream || !r.call.Idempotent {
		return func() {}
	}
	timeout := minSilenceTimeout << min(r.silentConnections, maxSilenceDoublings)
	seen := a.progress.Load()
	var timer *time.Timer
	ready := make(chan struct{})
	timer = time.AfterFunc(timeout, func() {
		<-ready
		if now := a.progress.Load(); now != seen {
			seen = now
		} else {
			r.checkSilence(a, seen)
		}
		if a.ctx.Err() == nil {
			timer.Reset(timeout)
		}
	})
	close(ready)
	return func() { timer.Stop() }
}
