package dispatch_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/internal/poison"
	"github.com/guavatrack/guavatrack/internal/retry"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// historyCall is a call to changingServers whose attempts follow a script. It records the
// versions of the processes that wrote the events which were passed on.
type historyCall struct {
	id      string
	call    *dispatch.Call
	servers *changingServers
	script  []scriptedAttempt

	mu            sync.Mutex
	sends, active int
	// answers counts the answers that were passed on, whole those to their end.
	answers, whole int
	events         []fleet.SoftwareVersion
	err            error
	ended          time.Time
	// leftAt is since when the stream has no attempt and no usable server of its version;
	// zero if it has. held is the longest such time.
	leftAt time.Time
	held   time.Duration
}

// prepare sets the call up as one of a stream that comes now and has a timeout.
func (m *historyCall) prepare(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	context.AfterFunc(ctx, cancel)
	now := time.Now()
	m.call = &dispatch.Call{
		Context: ctx, ID: fleet.RequestID(m.id), Started: now, Deadline: now.Add(timeout), Pool: "p",
		Item: fleet.Item{Model: "m"}, Concurrency: 1, Digest: poison.DigestOf([]byte(m.id)), Message: m,
		Stream: true, Idempotent: true, MaxAttempts: 5,
	}
}

func (m *historyCall) Resumable() bool { return true }

func (m *historyCall) Open(ctx context.Context, attempt *dispatch.Attempt) (dispatch.Answer, error) {
	run := m.servers.runOf(attempt.Replica.Server)
	if run == nil {
		return nil, failureError(retry.Unreachable, false)
	}
	attempt.MarkSent()
	script := answers()
	m.mu.Lock()
	if m.sends < len(m.script) {
		script = m.script[m.sends]
	}
	m.sends++
	m.active++
	m.mu.Unlock()
	context.AfterFunc(ctx, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.active--
	})
	a := &historyAnswer{message: m, script: script, run: run, ctx: ctx, attempt: attempt}
	err := a.pause()
	for err == nil && !m.call.Stream && a.received < len(script.pauses) {
		err = a.pause()
	}
	if err != nil {
		return nil, err
	}
	return a, nil
}

// historyAnswer is an answer of a historyCall.
type historyAnswer struct {
	message *historyCall
	script  scriptedAttempt
	run     *serverRun
	ctx     context.Context //nolint:containedctx // an answer lives as long as its attempt
	attempt *dispatch.Attempt
	// received is the number of events received.
	received int
}

// pause waits for the next event of an answer. It fails if the answer breaks off.
func (a *historyAnswer) pause() error {
	select {
	case <-a.ctx.Done():
		return a.ctx.Err()
	case <-a.run.ended.Done():
		return errors.New("process ended")
	case <-time.After(a.script.pauses[a.received]):
	}
	a.received++
	if a.script.fails && a.received == len(a.script.pauses) {
		return errors.New("broken")
	}
	a.attempt.AddEvent()
	return nil
}

func (a *historyAnswer) Close() {}

func (a *historyAnswer) Relay() error {
	a.message.call.MarkAnswerStarted()
	a.message.passOn(a.run.software, true)
	for a.received < len(a.script.pauses) {
		if err := a.pause(); err != nil {
			return err
		}
		a.message.passOn(a.run.software, false)
	}
	a.message.mu.Lock()
	defer a.message.mu.Unlock()
	a.message.whole++
	return nil
}

// passOn records an event that the caller receives.
func (m *historyCall) passOn(software fleet.SoftwareVersion, first bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.events = append(m.events, software)
	if first {
		m.answers++
	}
}

// watch measures how long the stream has neither an attempt nor a usable server of its
// version, until it ends.
func (m *historyCall) watch(ended <-chan struct{}) {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ended:
			return
		case now := <-ticker.C:
			m.observe(now)
		}
	}
}

func (m *historyCall) observe(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case len(m.events) == 0 || m.active > 0 || m.servers.serves(m.events[0]):
		m.leftAt = time.Time{}
	case m.leftAt.IsZero():
		m.leftAt = now
	default:
		m.held = max(m.held, now.Sub(m.leftAt))
	}
}

// Parts of the longest time for which a stream may last without a request at a server and
// without a usable server of its version.
const (
	// longestBackoff is the longest pause before a retry.
	longestBackoff = time.Second
	// longestTrialWait is the time for which a request that is suspected of crashing servers
	// waits at a server that was usable when it was chosen, until it runs nothing else.
	longestTrialWait = 2 * time.Second
	// longestTick is the time until the queue notices, and that between two observations.
	longestTick = 50 * time.Millisecond

	maxHeld = longestBackoff + longestTrialWait + longestTick
)

// joined reports whether events of several versions were passed on.
func (m *historyCall) joined() bool {
	return len(slices.Compact(slices.Sorted(slices.Values(m.events)))) > 1
}

// violation returns the first invariant that the call broke; empty if it broke none.
func (m *historyCall) violation() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.joined():
		return fmt.Sprintf("events of versions %v", m.events)
	case (m.err == nil) != (m.whole == 1) || m.whole > 1:
		return fmt.Sprintf("%d whole answers, outcome %v", m.whole, m.err)
	case m.ended.After(m.call.Deadline.Add(maxPastDeadline)):
		return fmt.Sprintf("ended %s after the deadline", m.ended.Sub(m.call.Deadline))
	case m.held > maxHeld:
		return fmt.Sprintf("held for %s without a server of its version", m.held)
	}
	return ""
}
