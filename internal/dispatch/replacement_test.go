package dispatch_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"pgregory.net/rapid"

	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/internal/retry"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// scriptedAttempt is what an attempt does: it is silent before its answer, which fails
// or begins, and again before each event. After the last
// event the answer ends; it fails instead of the last event if fails is set.
type scriptedAttempt struct {
	pauses []time.Duration
	// opening are the pauses before each piece of progress of an answer that is read
	// whole, before pauses.
	opening []time.Duration
	// fails is set if the attempt ends with a failure, declined if the server states that
	// it has not run the call.
	fails, declined bool
}

// scriptedMessage is a call whose attempts follow a script. Further attempts are silent
// for ever.
type scriptedMessage struct {
	script    []scriptedAttempt
	resumable bool
	call      *dispatch.Call

	mu sync.Mutex
	// sends counts the attempts, open the answers that were not closed, relaying those
	// that are being forwarded, mostRelaying the highest number of these.
	sends, open, relaying, mostRelaying int
	// whole counts the answers that were forwarded to their end, the last one at wholeAt.
	whole   int
	wholeAt time.Time
	// sentAfterEnd is set if an attempt was sent after the instant at which the answer was
	// complete. At that instant itself the goroutines of both run in any order.
	sentAfterEnd bool
	// runs are the attempts that have ended.
	runs []scriptedRun
}

// scriptedRun is the time during which an attempt was made.
type scriptedRun struct {
	server       fleet.ServerID
	began, ended time.Time
}

func (m *scriptedMessage) recordRun(server fleet.ServerID, began time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.runs = append(m.runs, scriptedRun{server: server, began: began, ended: time.Now()})
}

func (m *scriptedMessage) Resumable() bool { return m.resumable }

func (m *scriptedMessage) Open(ctx context.Context, attempt *dispatch.Attempt) (dispatch.Answer, error) {
	attempt.MarkSent()
	script := scriptedAttempt{pauses: []time.Duration{time.Hour}}
	m.mu.Lock()
	if m.sends < len(m.script) {
		script = m.script[m.sends]
	}
	m.sends++
	m.sentAfterEnd = m.sentAfterEnd || m.whole > 0 && time.Now().After(m.wholeAt)
	m.mu.Unlock()
	server, began := attempt.Replica.Server, time.Now()
	context.AfterFunc(ctx, func() { m.recordRun(server, began) })
	for _, pause := range script.opening {
		if err := sleep(ctx, pause); err != nil {
			return nil, err
		}
		attempt.AddEvent()
	}
	if err := sleep(ctx, script.pauses[0]); err != nil {
		return nil, err
	}
	switch {
	case script.declined:
		return nil, failureError(retry.Declined, true)
	case script.fails && len(script.pauses) == 1:
		return nil, errors.New("broken")
	}
	attempt.AddEvent()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.open++
	return &scriptedAnswer{message: m, script: script, ctx: ctx, attempt: attempt}, nil
}

// scriptedAnswer is an answer of a scriptedMessage.
type scriptedAnswer struct {
	message *scriptedMessage
	script  scriptedAttempt
	ctx     context.Context //nolint:containedctx // an answer lives as long as its attempt
	attempt *dispatch.Attempt
	closed  sync.Once
}

func (a *scriptedAnswer) Close() {
	a.closed.Do(func() {
		a.message.mu.Lock()
		defer a.message.mu.Unlock()
		a.message.open--
	})
}

func (a *scriptedAnswer) Relay() error {
	m := a.message
	m.mu.Lock()
	m.relaying++
	m.mostRelaying = max(m.mostRelaying, m.relaying)
	m.mu.Unlock()
	defer func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.relaying--
	}()
	m.call.MarkAnswerStarted()
	for i, pause := range a.script.pauses[1:] {
		if err := sleep(a.ctx, pause); err != nil {
			return err
		}
		if a.script.fails && i == len(a.script.pauses)-2 {
			return errors.New("broken")
		}
		a.attempt.AddEvent()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.whole, m.wholeAt = m.whole+1, time.Now()
	return nil
}

// slotCounter counts the slots that are taken.
type slotCounter struct {
	mu                     sync.Mutex
	taken, released, least int
}

func (s *slotCounter) RequestLoad(context.Context, dispatch.Demand) (dispatch.Estimate, error) {
	return dispatch.Estimate{}, errors.New("no load")
}

func (s *slotCounter) SlotTaken(*dispatch.Replica, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.taken++
}

func (s *slotCounter) SlotReleased(*dispatch.Replica, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.released++
	s.least = min(s.least, s.taken-s.released)
}

func (s *slotCounter) ServerLost(*dispatch.Replica, time.Time) {}

// deadProber is a prober of servers to which a connection is neither made nor refused.
type deadProber struct{}

func (deadProber) Alive(ctx context.Context, _ dispatch.Replica) bool {
	<-ctx.Done()
	return false
}

func (deadProber) Crashed(ctx context.Context, _ dispatch.Replica) bool {
	<-ctx.Done()
	return false
}

// scriptedCall is a call of a scriptedMessage with its servers.
type scriptedCall struct {
	servers, maxAttempts int
	stream, idempotent   bool
	// connects is set if the servers accept connections while they are silent.
	connects bool
	// budget is the number of retries that the retry budget allows.
	budget   int
	deadline time.Duration
	message  scriptedMessage
}

// scriptedOutcome is what has become of a scriptedCall.
type scriptedOutcome struct {
	err   error
	took  time.Duration
	slots slotCounter
}

// run runs the call in the present bubble and waits until nothing of it is left.
func (s *scriptedCall) run() *scriptedOutcome {
	servers, outcome := newFakeServers(s.servers), &scriptedOutcome{}
	dispatcher := servers.dispatcher()
	dispatcher.Loader = &outcome.slots
	dispatcher.Allowance = func() retry.Allowance { return retry.Allowance{Burst: float64(s.budget)} }
	if !s.connects {
		dispatcher.Prober = deadProber{}
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.deadline)
	defer cancel()
	call := servers.call("scripted", func(call *dispatch.Call) {
		call.Context, call.Deadline = ctx, call.Started.Add(s.deadline)
		call.Stream, call.Idempotent, call.MaxAttempts = s.stream, s.idempotent, s.maxAttempts
		call.Item.Model = "m"
		call.Message = &s.message
	})
	s.message.call = call
	began := time.Now()
	outcome.err = dispatcher.Do(call)
	outcome.took = time.Since(began)
	// The wait queue ends its polling at its next tick, probes end by their timeout.
	time.Sleep(time.Second)
	synctest.Wait()
	return outcome
}

// violation returns the first invariant that the call broke; empty if it broke none.
func (s *scriptedCall) violation(outcome *scriptedOutcome) string {
	m, slots := &s.message, &outcome.slots
	switch {
	case slots.taken != slots.released || slots.least < 0:
		return fmt.Sprintf("%d slots taken, %d released", slots.taken, slots.released)
	case m.open != 0:
		return fmt.Sprintf("%d answers not closed", m.open)
	case m.mostRelaying > 1:
		return fmt.Sprintf("%d answers forwarded at once", m.mostRelaying)
	case m.sentAfterEnd:
		return "sent after the answer was complete"
	case m.sends-1 > s.budget:
		return fmt.Sprintf("%d retries, allowed are %d", m.sends-1, s.budget)
	case !s.idempotent && m.sends > 1 && !s.declinedBefore(m.sends-1):
		return fmt.Sprintf("call that is not idempotent sent %d times", m.sends)
	case (outcome.err == nil) != (m.whole == 1) || m.whole > 1:
		return fmt.Sprintf("%d whole answers, outcome %v", m.whole, outcome.err)
	case outcome.took > s.deadline+maxPastDeadline:
		return fmt.Sprintf("ended after %s, the deadline is %s", outcome.took, s.deadline)
	}
	return ""
}

// maxPastDeadline is the time that a probe for a crash may take after the deadline.
const maxPastDeadline = 500 * time.Millisecond

// declinedBefore reports whether the first attempts were all declined.
func (s *scriptedCall) declinedBefore(count int) bool {
	for _, attempt := range s.message.script[:min(count, len(s.message.script))] {
		if !attempt.declined {
			return false
		}
	}
	return count <= len(s.message.script)
}

// drawScriptedCall draws a call with silences, failures and successes of its attempts.
func drawScriptedCall(t *rapid.T) *scriptedCall {
	pause := rapid.SampledFrom([]time.Duration{
		0, time.Millisecond, 50 * time.Millisecond, 400 * time.Millisecond, 999 * time.Millisecond, time.Second,
		1001 * time.Millisecond, 1050 * time.Millisecond, 1500 * time.Millisecond, 2500 * time.Millisecond, 7 * time.Second, time.Hour,
	})
	s := &scriptedCall{
		servers: rapid.IntRange(1, 3).Draw(t, "servers"), maxAttempts: rapid.IntRange(1, 5).Draw(t, "maxAttempts"),
		stream: rapid.Bool().Draw(t, "stream"), idempotent: rapid.Bool().Draw(t, "idempotent"),
		connects: rapid.Bool().Draw(t, "connects"), budget: rapid.IntRange(0, 6).Draw(t, "budget"),
		deadline: time.Duration(rapid.IntRange(50, 20_000).Draw(t, "deadlineMs")) * time.Millisecond,
	}
	s.message.resumable = rapid.Bool().Draw(t, "resumable")
	for range rapid.IntRange(1, 6).Draw(t, "attempts") {
		attempt := scriptedAttempt{pauses: rapid.SliceOfN(pause, 1, 5).Draw(t, "pauses"), fails: rapid.Bool().Draw(t, "fails")}
		attempt.declined = attempt.fails && rapid.Bool().Draw(t, "declined")
		s.message.script = append(s.message.script, attempt)
	}
	return s
}

// TestReplacementKeepsInvariants checks that a call whose attempts are silent, go on,
// fail and succeed in any order releases each slot once, closes each answer, forwards
// one answer at a time, ends once and by its deadline, and keeps to the retry budget.
func TestReplacementKeepsInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScriptedCall(rt)
		violation := ""
		synctest.Test(t, func(*testing.T) { violation = s.violation(s.run()) })
		if violation != "" {
			rt.Fatal(violation)
		}
	})
}
