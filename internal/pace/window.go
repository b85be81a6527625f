package pace

import (
	"math"
	"time"
)

// Parameters of a [Window].
const (
	// startRequests is about the number of requests of all nodes that a server gets first.
	startRequests = 4
	// turnInterval is the time for which a turn is drawn.
	turnInterval = 100 * time.Millisecond
	// minRate keeps the division by a rate finite.
	minRate = 1e-9
	// maxClosed is the time for which a node that wants to send a request gets no turn.
	maxClosed = 500 * time.Millisecond
	// Answers are good up to goodRatio times the low time to the first byte, and a sign of
	// overload from slowRatio times on.
	goodRatio = 1.5
	slowRatio = 2
	// maxQuietTime is the time after the last rejection or failure at which a window ends.
	maxQuietTime = 10 * time.Second
)

// Cause is why a window begins.
type Cause string

// Causes of a window.
const (
	Started     Cause = "started"
	Ejected     Cause = "ejected"
	Crashed     Cause = "crashed"
	Unreachable Cause = "unreachable"
	Rested      Cause = "rested"
)

// End is why a window ends.
type End string

// Ends of a window.
const (
	// SlotsReached means that the requests that are allowed reach the server's slots.
	SlotsReached End = "slotsReached"
	// NoTrouble means that the server has rejected and failed no request for a time.
	NoTrouble End = "quiet"
	// Inapplicable means that windows no longer apply to the server.
	Inapplicable End = "inapplicable"
)

// Window bounds the requests of one node at a server that has just started or recovered. See
// the package comment for its rules. The zero value is a window that has not begun.
type Window struct {
	// Cause is why it began; empty if it has not begun or has ended.
	Cause Cause
	// Began is when it began, Sent and Good the number of requests sent to the server and
	// of good answers since.
	Began      time.Time
	Sent, Good int

	// own is the number of the node's requests that are allowed; below 1 they need a turn.
	own float64
	// overloaded is set from the first sign of overload on, the last of which halved the
	// window at halvedAt. troubleAt is the time of the last rejection or failure.
	overloaded          bool
	halvedAt, troubleAt time.Time
	// closedSince is when the node first wanted to send a request since the last turn;
	// zero if it has not.
	closedSince time.Time
	// drawn is what a turn was last drawn for, turn is set if the node has one, and turnSize
	// is the number of requests that a turn allows.
	drawn    draw
	turn     bool
	turnSize int
}

// draw is what a turn is drawn for: an interval and a request.
type draw struct {
	interval time.Duration
	since    time.Time
}

// Want is what is known of a request that the node would send to the server.
type Want struct {
	// Since is when the request came; zero for those that wait, which share their turns.
	Since time.Time
	// Rate is the number of such requests that come to the node in 100 ms, at most 1; it is 1
	// for requests that wait.
	Rate float64
}

// Load is what is known of a server.
type Load struct {
	// Nodes is the number of nodes that send requests to it.
	Nodes int
	// Others is the number of requests of other nodes in the last load report.
	Others int
	Slots  int
}

// Begin begins the window, anew if it has begun.
func (w *Window) Begin(now time.Time, cause Cause) {
	*w = Window{Cause: cause, Began: now, troubleAt: now, drawn: draw{interval: -1}}
}

// Active reports whether the window has begun and not ended.
func (w *Window) Active() bool { return w.Cause != "" }

// Stop ends the window.
func (w *Window) Stop() { *w = Window{} }

// Ended reports whether the window is to end, and why.
func (w *Window) Ended(now time.Time, load Load) (end End, ended bool) {
	switch {
	case !w.Active():
		return "", false
	case load.Slots > 0 && int(w.own)+load.Others >= load.Slots:
		return SlotsReached, true
	case w.Quiet(now) && (w.Sent == 0 || w.Good > 0):
		return NoTrouble, true
	default:
		return "", false
	}
}

// Quiet reports whether the server has rejected and failed no request for a time.
func (w *Window) Quiet(now time.Time) bool { return now.Sub(w.troubleAt) >= maxQuietTime }

// Limit returns how many requests the node may have at the server at once, and draws whether
// the node gets a turn, once for each request. random returns a number from 0 up to but
// excluding 1.
func (w *Window) Limit(now time.Time, want Want, load Load, random func() float64) int {
	if !w.Active() {
		return math.MaxInt
	}
	if w.own >= 1 {
		return int(w.own)
	}
	w.turnSize = max(1, startRequests/max(1, load.Nodes))
	if w.overloaded {
		w.turnSize = 1
	}
	if w.closedSince.IsZero() {
		w.closedSince = now
	}
	if draw := (draw{now.Sub(w.Began) / turnInterval, want.Since}); draw != w.drawn {
		w.drawn = draw
		w.turn = w.turn || random() < w.turnProbability(want, load)
	}
	if w.turn || now.Sub(w.closedSince) >= maxClosed {
		return w.turnSize
	}
	return 0
}

// turnProbability returns the probability with which the node gets a turn.
func (w *Window) turnProbability(want Want, load Load) float64 {
	wanted := max(startRequests, load.Others)
	if load.Slots > 0 {
		wanted = min(wanted, max(1, load.Slots-load.Others))
	}
	probability := float64(wanted) / (float64(max(1, load.Nodes)) * min(1, max(minRate, want.Rate)))
	if w.overloaded {
		probability = min(probability, float64(turnInterval)/float64(maxClosed))
	}
	return probability
}

// RecordSent records that a request is sent to the server.
func (w *Window) RecordSent() {
	if !w.Active() {
		return
	}
	w.Sent++
	if w.own < 1 {
		w.own = float64(max(1, w.turnSize))
		w.turn, w.closedSince = false, time.Time{}
	}
}

// RecordAnswer records the first byte of an answer to a request that was sent at the time
// sent. Both times are corrected by the factor of the server; low is 0 if it is unknown.
func (w *Window) RecordAnswer(now, sent time.Time, firstByte, low time.Duration) {
	if !w.counts(sent) {
		return
	}
	ratio := 0.0
	if low > 0 {
		ratio = float64(firstByte) / float64(low)
	}
	switch {
	case ratio > slowRatio:
		w.halve(now, sent)
	case ratio > goodRatio:
	case w.overloaded:
		w.Good++
		w.own += 1 / max(1, w.own)
	default:
		w.Good++
		w.own++
	}
}

// RecordTrouble records that the server rejected or failed a request that was sent at the
// time sent.
func (w *Window) RecordTrouble(now, sent time.Time) {
	if !w.counts(sent) {
		return
	}
	w.troubleAt = now
	w.halve(now, sent)
}

// counts reports whether a request was sent since the window began.
func (w *Window) counts(sent time.Time) bool { return w.Active() && !sent.Before(w.Began) }

// halve halves the window, once for all requests that were under way then.
func (w *Window) halve(now, sent time.Time) {
	if sent.Before(w.halvedAt) {
		return
	}
	w.overloaded, w.halvedAt = true, now
	if w.own /= 2; w.own < 1 {
		w.own, w.turn, w.closedSince = 0, false, time.Time{}
	}
}
