package quota

import (
	"slices"
	"time"
)

// credit is tokens that a node may spend until they lapse.
type credit struct {
	tokens  Tokens
	expires time.Duration
	// grantedAt is when the owner granted them, by its clock.
	grantedAt time.Duration
}

// spend is an attempt that waits for tokens. One result is sent to it.
type spend struct {
	need Tokens
	// since is when it began to wait.
	since  time.Duration
	result chan spendResult
}

// spendResult is the credit of an attempt, or the error with which it got none.
type spendResult struct {
	spent []credit
	err   error
}

// wallet holds what a node may spend for one organisation, and who waits for it. It does no
// I/O and has no lock of its own.
type wallet struct {
	credits []credit
	waiting []*spend
	// overUntil is until when requests are refused without asking the owner again, since it
	// had nothing; retryIn is the time that it named.
	overUntil, retryIn time.Duration
	// unknown is set while the owner's manifest has no quota of the organisation.
	unknown bool
	// askAt is when the owner may be asked again.
	askAt time.Duration
	// perSecond is the average rate at which the node spends, as of spentAt.
	perSecond float64
	spentAt   time.Duration
	// lapsed are tokens that have lapsed, refused those of requests that were refused, since
	// they were last reported.
	lapsed, refused Tokens
}

const (
	// rateTime is the time over which the rate of spending is averaged, prefetchTime the time
	// whose tokens a node asks for in advance if that is several requests.
	rateTime     = time.Second
	prefetchTime = 100 * time.Millisecond
	// minPrefetch is the number of requests of the size of the present need that prefetchTime
	// must bring.
	minPrefetch = 2
	// giveBackTime is the time before credits lapse at which they are given back.
	giveBackTime = 200 * time.Millisecond
	// minOver and maxOver bound the time for which requests are refused without asking.
	minOver = 20 * time.Millisecond
	maxOver = 250 * time.Millisecond
)

// available returns the tokens that may be spent now.
func (w *wallet) available(now time.Duration) (sum Tokens) {
	w.credits = slices.DeleteFunc(w.credits, func(c credit) bool {
		if now < c.expires {
			return false
		}
		w.lapsed += c.tokens
		return true
	})
	for _, c := range w.credits {
		sum += c.tokens
	}
	return sum
}

// idleTime is the time after which an organisation without requests is forgotten.
const idleTime = 10 * time.Second

// idle reports whether there is nothing to remember of the organisation.
func (w *wallet) idle(now time.Duration) bool {
	return len(w.waiting) == 0 && len(w.credits) == 0 && w.lapsed == 0 && now-w.spentAt > idleTime && now-w.overUntil > idleTime
}

// take takes tokens of the credits that lapse first, if there are enough.
func (w *wallet) take(now time.Duration, tokens Tokens) (spent []credit, enough bool) {
	if w.available(now) < tokens {
		return nil, false
	}
	left := tokens
	for left > 0 {
		first := &w.credits[0]
		part := min(left, first.tokens)
		spent = append(spent, credit{tokens: part, expires: first.expires, grantedAt: first.grantedAt})
		left -= part
		if first.tokens -= part; first.tokens == 0 {
			w.credits = w.credits[1:]
		}
	}
	w.recordRate(now, tokens)
	return spent, true
}

func (w *wallet) recordRate(now time.Duration, tokens Tokens) {
	weight := min(1, float64(now-w.spentAt)/float64(rateTime))
	w.perSecond = (1-weight)*w.perSecond + float64(tokens)/rateTime.Seconds()
	w.spentAt = now
}

// add adds a credit. Those that have lapsed are dropped when they are next looked at.
func (w *wallet) add(added credit) {
	at, _ := slices.BinarySearchFunc(w.credits, added, func(a, b credit) int { return int(a.expires - b.expires) })
	w.credits = slices.Insert(w.credits, at, added)
}

// needs returns the smallest amount that serves an attempt that waits, besides the credits,
// and what to ask for.
func (w *wallet) needs(now time.Duration) (need, want Tokens) {
	for i, waiting := range w.waiting {
		if i == 0 || waiting.need < need {
			need = waiting.need
		}
		want += waiting.need
	}
	if ahead := Tokens(min(w.perSecond*prefetchTime.Seconds(), float64(maxAmount/2))); ahead >= minPrefetch*need {
		want += ahead
	}
	held := w.available(now)
	need = min(max(need-held, 0), maxAmount)
	return need, min(max(want-held, need, 1), maxAmount)
}

// lapsing removes and returns the credits that lapse soon and that no attempt waits for.
func (w *wallet) lapsing(now time.Duration) (lapsing []credit) {
	if len(w.waiting) > 0 {
		return nil
	}
	w.available(now)
	w.credits = slices.DeleteFunc(w.credits, func(c credit) bool {
		if c.expires-now >= giveBackTime {
			return false
		}
		lapsing = append(lapsing, c)
		return true
	})
	return lapsing
}

// serve gives the credits to the attempts that wait, in the order of their arrival.
func (w *wallet) serve(now time.Duration) {
	w.waiting = slices.DeleteFunc(w.waiting, func(waiting *spend) bool {
		spent, enough := w.take(now, waiting.need)
		if enough {
			waiting.result <- spendResult{spent: spent}
		}
		return enough
	})
}

// recordRefusal records that the owner had nothing, and ends the waiting of attempts whose
// time is over before it may have something.
func (w *wallet) recordRefusal(now, retryIn time.Duration, refuse func(need Tokens) error) {
	w.retryIn, w.askAt = retryIn, now+min(retryIn, maxOver)
	w.overUntil = now + min(max(retryIn, minOver), maxOver)
	w.waiting = slices.DeleteFunc(w.waiting, func(waiting *spend) bool {
		if now+retryIn-waiting.since <= maxWait {
			return false
		}
		waiting.result <- spendResult{err: refuse(waiting.need)}
		return true
	})
}

// remove removes an attempt that waits no longer, and reports whether it had no result yet.
func (w *wallet) remove(waiting *spend) bool {
	at := slices.Index(w.waiting, waiting)
	if at < 0 {
		return false
	}
	w.waiting = slices.Delete(w.waiting, at, at+1)
	return true
}
