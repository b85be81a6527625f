package dispatch

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/retry"
)

// Causes for which the context of an attempt is ended.
var (
	// ErrSilentConnection says that nothing comes over the connection although
	// the server answers over a new one.
	ErrSilentConnection = errors.New("connection silent")
	// ErrSilentServer says that the server does not answer over a new
	// connection either.
	ErrSilentServer = errors.New("server silent")
	errNotNeeded    = errors.New("another attempt was faster")
)

// race makes an attempt and, if its first byte is late and the budget allows,
// another one at another replica. It returns the first that brings something.
// The slots of all others are given back.
func (r *relay) race(taken *slot) (winner *Attempt, err error) {
	results := make(chan *Attempt, 2)
	running := []*Attempt{r.start(taken, results)}
	hedgeAfter, silentAfter := r.call.lane.patience(r.call.Stream)
	hedge := newTimer(hedgeAfter, hedgeAfter > 0 && r.mayHedge())
	defer hedge.Stop()
	silentAfter = min(silentAfter, r.call.Left()/silenceShare) << min(r.silences, maxDoublings)
	silent := newTimer(silentAfter, r.call.Idempotent)
	defer silent.Stop()
	for pending := 1; pending > 0; {
		select {
		case a := <-results:
			pending--
			if a.err == nil {
				r.won(a, running)
				r.discard(results, pending)
				return a, nil
			}
			err = a.err
			r.fail(a)
			a.close(nil)
			r.release(a.slot)
		case <-hedge.C:
			if second, found := r.hedge(); found {
				running = append(running, r.start(second, results))
				pending++
			}
		case <-silent.C:
			for _, a := range running {
				go r.suspect(a, a.progress.Load())
			}
			silent.Reset(silentAfter)
		}
	}
	return nil, err
}

// silenceShare is the part of the time left after which a connection without a
// first byte is suspected at the latest.
const silenceShare = 3

// maxDoublings bounds how often the patience with silence is doubled.
const maxDoublings = 5

// newTimer returns a timer that never fires unless it is wanted.
func newTimer(after time.Duration, wanted bool) *time.Timer {
	if !wanted {
		after = time.Hour
	}
	timer := time.NewTimer(after)
	if !wanted {
		timer.Stop()
	}
	return timer
}

// mayHedge reports whether the call may run twice at once: it has not begun to
// answer, did not fail before and is not suspected of anything.
func (r *relay) mayHedge() bool {
	return r.call.Hedge && !r.call.Begun() && !r.call.alone && len(r.call.failed) == 0
}

// hedge takes a slot for a second attempt if the budget allows.
func (r *relay) hedge() (second *slot, found bool) {
	now := time.Now()
	if !r.spendHedge(now) {
		return nil, false
	}
	first := r.call.slot
	r.call.failed = append(r.call.failed, retry.Attempt{
		Server: first.replica.Server, Domain: first.replica.FailureDomain,
	})
	second, found = r.take(r.call, now, false)
	r.call.failed = r.call.failed[:len(r.call.failed)-1]
	if found && second.replica.Server == first.replica.Server {
		r.release(second)
		return nil, false
	}
	if found {
		r.meters.hedges.Inc(1)
	}
	return second, found
}

// won notes the time to the first byte and ends the other attempts. A server
// that lost has taken at least as long as it was waited for.
func (r *relay) won(winner *Attempt, running []*Attempt) {
	now := time.Now()
	span := now.Sub(winner.slot.started)
	winner.slot.firstByte = span
	r.call.lane.firstByte(r.call.Stream, span)
	winner.slot.server.observe(now, span)
	for _, a := range running {
		if a != winner {
			a.slot.server.observe(now, now.Sub(a.slot.started))
			a.slot.server.failed(now)
			a.cancel(errNotNeeded)
		}
	}
}

// discard gives back the slots of attempts that are no longer needed.
func (r *relay) discard(results <-chan *Attempt, pending int) {
	if pending == 0 {
		return
	}
	r.background.Go(func() {
		for range pending {
			a := <-results
			a.close(errNotNeeded)
			r.release(a.slot)
		}
	})
}

// suspect ends an attempt that has brought nothing since the given progress:
// as a silent server if that does not answer over a new connection either, as a
// silent connection otherwise.
func (r *relay) suspect(a *Attempt, progress uint64) {
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

// watchAnswer suspects an answer that brings nothing for a while. The time
// doubles with each connection of the call that was replaced, so that a slow
// model is not taken for a silent connection for ever.
func (r *relay) watchAnswer(a *Attempt) (stop func()) {
	if !r.call.Stream || !r.call.Idempotent {
		return func() {}
	}
	patience := leastSilence << min(r.silences, maxDoublings)
	seen := a.progress.Load()
	var timer *time.Timer
	ready := make(chan struct{})
	timer = time.AfterFunc(patience, func() {
		<-ready
		if now := a.progress.Load(); now != seen {
			seen = now
		} else {
			r.suspect(a, seen)
		}
		if a.ctx.Err() == nil {
			timer.Reset(patience)
		}
	})
	close(ready)
	return func() { timer.Stop() }
}
