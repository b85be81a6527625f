package caller

import (
	"time"

	"github.com/guavatrack/guavatrack/internal/retry"
)

// race makes an attempt and, if its first byte is late and the budget allows,
// another one at another replica. It returns the first that brings something.
// The slots of all others are given back.
func (r *relay) race(taken *slot) (winner *exchange, err error) {
	results := make(chan *exchange, 2)
	running := []*exchange{r.start(taken, results)}
	hedgeAfter, silentAfter := r.call.lane.patience(r.call.Stream)
	hedge := newTimer(hedgeAfter, hedgeAfter > 0 && r.mayHedge())
	defer hedge.Stop()
	silent := time.NewTimer(silentAfter << min(r.silences, maxDoublings))
	defer silent.Stop()
	for pending := 1; pending > 0; {
		select {
		case e := <-results:
			pending--
			if e.err == nil {
				r.won(e, running)
				r.discard(results, pending)
				return e, nil
			}
			err = e.err
			r.fail(e)
			e.close(nil)
			r.release(e.slot)
		case <-hedge.C:
			if second, found := r.hedge(); found {
				running = append(running, r.start(second, results))
				pending++
			}
		case <-silent.C:
			for _, e := range running {
				go r.suspect(e, e.progress.Load())
			}
			silent.Reset(silentAfter)
		}
	}
	return nil, err
}

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
	return !r.call.begun && !r.call.alone && len(r.call.failed) == 0
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

// won notes the time to the first byte and ends the other exchanges. A server
// that lost has taken at least as long as it was waited for.
func (r *relay) won(winner *exchange, running []*exchange) {
	now := time.Now()
	span := now.Sub(winner.slot.started)
	winner.slot.firstByte = span
	r.call.lane.firstByte(r.call.Stream, span)
	winner.slot.server.observe(now, span)
	for _, e := range running {
		if e != winner {
			e.slot.server.observe(now, now.Sub(e.slot.started))
			e.slot.server.failed(now)
			e.cancel(errNotNeeded)
		}
	}
}

// discard gives back the slots of exchanges that are no longer needed.
func (r *relay) discard(results <-chan *exchange, pending int) {
	if pending == 0 {
		return
	}
	r.background.Go(func() {
		for range pending {
			e := <-results
			e.close(errNotNeeded)
			r.release(e.slot)
		}
	})
}

// suspect ends an exchange that has brought nothing since the given progress:
// as a silent server if that does not answer over a new connection either, as a
// silent connection otherwise.
func (r *relay) suspect(e *exchange, progress uint64) {
	alive := r.answers(e.ctx, e.slot)
	if e.progress.Load() != progress || e.ctx.Err() != nil {
		return
	}
	if alive {
		r.meters.silentConnections.Inc(1)
		e.cancel(errSilentConnection)
		return
	}
	r.meters.silentServers.Inc(1)
	e.cancel(errSilentServer)
}

// watchStream suspects a stream that brings nothing for a while. The time
// doubles with each connection of the call that was replaced, so that a slow
// model is not taken for a silent connection for ever.
func (r *relay) watchStream(e *exchange) (stop func()) {
	patience := leastSilence << min(r.silences, maxDoublings)
	seen := e.progress.Load()
	var timer *time.Timer
	ready := make(chan struct{})
	timer = time.AfterFunc(patience, func() {
		<-ready
		if now := e.progress.Load(); now != seen {
			seen = now
		} else {
			r.suspect(e, seen)
		}
		if e.ctx.Err() == nil {
			timer.Reset(patience)
		}
	})
	close(ready)
	return func() { timer.Stop() }
}
