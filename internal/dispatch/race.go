package dispatch

import (
	"log/slog"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/retry"
)

// Causes for which the context of an attempt is cancelled. For the first two another
// attempt has taken its place.
var (
	// ErrSilentConnection is the cause if no data arrives over the connection
	// although the server answers over a new one.
	ErrSilentConnection = errors.New("connection silent")
	// ErrSilentServer is the cause if the server does not answer over a new
	// connection either.
	ErrSilentServer = errors.New("server silent")
	errNotNeeded    = errors.New("another attempt was faster")
	// errNotEnded is the error of a call that ended before one of its attempts.
	errNotEnded = errors.New("an attempt goes on although the call has ended")
)

// raceState holds the attempts of a race that have not failed.
type raceState struct {
	running []*Attempt
	results chan *Attempt
	// suspicions receives the results of probes.
	suspicions chan suspicion
	// search is the search for another attempt while all are silent; nil if there is
	// none.
	search *replacementSearch
}

// race starts an attempt and, if its first byte is late and the budget allows, a hedge
// at another replica. While all attempts are silent it makes another one beside them.
// It returns the first attempt that is answered and releases the slots of the others. It
// ends with the call, whether the attempts do or not.
func (r *callRunner) race(taken *slot) (winner *Attempt, err error) {
	s := &raceState{results: make(chan *Attempt, maxRaceAttempts), suspicions: make(chan suspicion, maxRaceAttempts)}
	defer func() { r.stopSearch(s.search) }()
	r.join(s, taken)
	hedgeAfter, silentAfter := r.firstByteTimeouts(taken)
	hedgeTimer := newTimer(hedgeAfter, hedgeAfter > 0 && r.mayHedge())
	defer hedgeTimer.Stop()
	silenceTimer := newTimer(r.silenceTimeout(silentAfter), r.call.Idempotent)
	defer silenceTimer.Stop()
	ended, overdue := r.call.Context.Done(), (<-chan time.Time)(nil)
	for len(s.running) > 0 {
		select {
		case <-ended:
			ended, overdue = nil, time.After(attemptEndTime)
		case <-overdue:
			return nil, r.abandon(s)
		case a := <-s.results:
			if a.err == nil {
				r.endSearch(s)
				r.recordWinner(a, s.running)
				r.releaseLosers(s.results, len(s.running)-1)
				return a, nil
			}
			err = a.err
			r.drop(s, a)
			r.seekReplacement(s)
		case <-hedgeTimer.C:
			if s.search != nil || !r.mayHedge() {
				continue
			}
			if second, found := r.takeHedgeSlot(); found {
				r.join(s, second)
			}
		case <-silenceTimer.C:
			r.checkSilence(s)
			silenceTimer.Reset(r.silenceTimeout(silentAfter))
		case found := <-s.suspicions:
			r.checkSuspicion(s, found)
		case second := <-s.search.results():
			s.search = nil
			if second != nil {
				r.join(s, second)
			}
		}
	}
	return nil, err
}

// checkSuspicion ends the probe of an attempt, and seeks another one if it is silent.
func (r *callRunner) checkSuspicion(s *raceState, found suspicion) {
	found.attempt.probing = false
	if found.holds() {
		r.endSearch(s)
		r.suspect(found)
		r.seekReplacement(s)
	}
}

// attemptEndTime is the time that attempts have to end after their call has ended.
const attemptEndTime = 200 * time.Millisecond

// abandon leaves the attempts of a race that go on although the call has ended. Each keeps
// its slot until it ends, since its server may be at work until then.
func (r *callRunner) abandon(s *raceState) error {
	r.endSearch(s)
	r.meters.overdueAttempts.Inc(int64(len(s.running)))
	for _, a := range s.running {
		r.Log.LogAttrs(r.call.Context, slog.LevelError, "attempt goes on after its call",
			slog.String("request", string(r.call.ID)), slog.String("server", string(a.Replica.Server)),
			slog.Duration("after", time.Since(a.slot.started)))
		a.slot.server.recordDeclined(time.Now(), a.slot)
		a.cancel(errNotEnded)
	}
	r.releaseLosers(s.results, len(s.running))
	return errNotEnded
}

// maxRaceAttempts bounds the attempts of a race, so that no send of a result blocks.
const maxRaceAttempts = 16

// join starts an attempt of a race.
func (r *callRunner) join(s *raceState, taken *slot) {
	s.running = append(s.running, r.startAttempt(taken, s.results))
}

// drop removes a failed attempt from a race.
func (r *callRunner) drop(s *raceState, a *Attempt) {
	r.endSearch(s)
	s.running = slices.DeleteFunc(s.running, func(running *Attempt) bool { return running == a })
	r.recordFailure(a)
	a.close(nil)
	r.releaseSlot(a.slot)
}

// endSearch ends the search for another attempt, if there is one: it reads the attempts of
// the call, so that they are changed only without it.
func (r *callRunner) endSearch(s *raceState) {
	r.stopSearch(s.search)
	s.search = nil
}

// silenceTimeout returns the time after which an attempt without a first byte is checked
// for silence. It doubles with each silence of the call.
func (r *callRunner) silenceTimeout(silentAfter time.Duration) time.Duration {
	bound := max(minSilenceCheck, r.call.TimeLeft()/silenceDivisor)
	return min(silentAfter, bound) << min(r.silentConnections, maxSilenceDoublings)
}

// checkSilence probes the servers of the attempts that have made no progress since the
// last check. If all are silent, it seeks another attempt.
func (r *callRunner) checkSilence(s *raceState) {
	for _, a := range s.running {
		if now := a.progress.Load(); now != a.checkedProgress {
			a.checkedProgress, a.silence = now, nil
			continue
		}
		if a.silence == nil && !a.probing {
			a.probing = true
			go func() { s.suspicions <- r.probe(a.ctx, a) }()
		}
	}
	r.seekReplacement(s)
}

// seekReplacement starts the search for another attempt if all attempts of a race are
// silent and another one may be made.
func (r *callRunner) seekReplacement(s *raceState) {
	sound := slices.ContainsFunc(s.running, func(a *Attempt) bool { return !a.silent() })
	if len(s.running) == 0 || s.search != nil || sound || len(s.running) == maxRaceAttempts {
		return
	}
	s.search = r.startSearch()
}

// minSilenceCheck is the shortest time between two checks for silence.
const minSilenceCheck = 20 * time.Millisecond

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
	if r.checkStop(r.call) != nil || !r.spendHedge(now) {
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
// bound of its time to the first byte; those that started earlier have failed.
func (r *callRunner) recordWinner(winner *Attempt, running []*Attempt) {
	r.recordOpened(winner)
	now := time.Now()
	for _, a := range running {
		if a == winner {
			continue
		}
		if a.failedNumber == 0 {
			r.call.abandonedAttempts++
		}
		a.slot.server.recordFirstByte(now, r.usualTime(a.slot, now))
		if a.slot.started.Before(winner.slot.started) {
			a.slot.server.recordFailure(now, a.slot)
		}
		if a.silence != nil {
			a.cancel(a.silence)
			continue
		}
		a.cancel(errNotNeeded)
	}
}

// recordOpened records the time to the first byte of an attempt.
func (r *callRunner) recordOpened(a *Attempt) {
	now := time.Now()
	a.slot.firstByte = now.Sub(a.slot.started)
	usual := r.usualTime(a.slot, now)
	r.call.queue.recordFirstByte(r.call.Stream, usual)
	a.slot.server.recordFirstByte(now, usual)
	r.recordStartAnswer(a.slot, now, usual)
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
