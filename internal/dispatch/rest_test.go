package dispatch_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/internal/retry"
	"github.com/guavatrack/guavatrack/pkg/refusal"
)

const restTime = 2 * time.Second

// restingMessage is a call to fakeServers whose server, until restUntil, declines it and
// wants no requests for restTime.
type restingMessage struct {
	fakeMessage
	restUntil time.Time
}

func (m restingMessage) Open(ctx context.Context, attempt *dispatch.Attempt) (dispatch.Answer, error) {
	if time.Now().Before(m.restUntil) {
		attempt.MarkSent()
		m.mu.Lock()
		m.runs[m.id] = append(m.runs[m.id], attempt.Replica.Server)
		m.mu.Unlock()
		attempt.RecordRest(restTime)
		return nil, failureError(retry.Declined, true)
	}
	return m.fakeMessage.Open(ctx, attempt)
}

// TestCallsWaitForTheEndOfRest lets the only server decline a call and ask for rest. A
// call that can wait runs when the rest has ended, one that can't is refused at once
// with the time at which to come again, and no probe of its health follows.
func TestCallsWaitForTheEndOfRest(t *testing.T) {
	runInBubble(t, func(c *qt.C) {
		s := newFakeServers(1)
		d := s.dispatcher()
		began := time.Now()
		message := func(id string) func(*dispatch.Call) {
			return func(call *dispatch.Call) {
				call.MaxAttempts = 2
				call.Message = restingMessage{
					fakeMessage: fakeMessage{fakeServers: s, id: id}, restUntil: began.Add(time.Millisecond),
				}
			}
		}
		c.Assert(d.Do(s.call("patient", message("patient"))), qt.IsNil)
		c.Check(time.Since(began) >= restTime, qt.IsTrue, qt.Commentf("%s", time.Since(began)))
		c.Check(time.Since(began) < restTime+300*time.Millisecond, qt.IsTrue, qt.Commentf("%s", time.Since(began)))
		c.Check(s.runs["patient"], qt.HasLen, 2)

		d.RecordRest("s0", "", restTime)
		refusedAt := time.Now()
		err := d.Do(s.call("short", func(call *dispatch.Call) { call.Deadline = call.Started.Add(time.Second) }))
		found, refused := refusal.As(err)
		c.Assert(refused, qt.IsTrue, qt.Commentf("%v", err))
		c.Check(time.Since(refusedAt), qt.Equals, time.Duration(0))
		c.Check(found.RetryAfter >= restTime/2, qt.IsTrue, qt.Commentf("%s", found.RetryAfter))
	})
}

// TestRestEndsWithTheRun guards against a server that gets no calls although it has started
// again since it wanted none.
func TestRestEndsWithTheRun(t *testing.T) {
	runInBubble(t, func(c *qt.C) {
		s := newFakeServers(1)
		s.replicas[0].Boot = "first"
		d := s.dispatcher()
		d.RecordRest("s0", "first", time.Hour)
		c.Check(d.Do(s.call("a", nil)), qt.IsNotNil)
		s.replicas[0].Boot = "second"
		c.Check(d.Do(s.call("b", nil)), qt.IsNil)
		c.Check(d.RestUntil("s0", "first").After(time.Now()), qt.IsTrue)
		c.Check(d.RestUntil("s0", "second").IsZero(), qt.IsTrue)
	})
}

// TestLeavingServerGetsNoCalls has a server report with an answer that it leaves. It
// gets no calls until it has another run.
func TestLeavingServerGetsNoCalls(t *testing.T) {
	runInBubble(t, func(c *qt.C) {
		s := newFakeServers(2)
		for i := range s.replicas {
			s.replicas[i].Boot = "first"
		}
		d := s.dispatcher()
		c.Assert(d.Do(s.call("last", func(call *dispatch.Call) {
			call.Message = leavingMessage{fakeMessage{fakeServers: s, id: "last"}}
		})), qt.IsNil)
		left := s.runs["last"][0]
		for range 40 {
			c.Assert(d.Do(s.call("next", nil)), qt.IsNil)
		}
		c.Check(s.runs["next"], qt.Not(qt.Contains), left)
		for i := range s.replicas {
			s.replicas[i].Boot = "second"
		}
		for range 40 {
			c.Assert(d.Do(s.call("again", nil)), qt.IsNil)
		}
		c.Check(s.runs["again"], qt.Contains, left)
	})
}

// leavingMessage is a call whose server reports that it leaves.
type leavingMessage struct{ fakeMessage }

func (m leavingMessage) Open(ctx context.Context, attempt *dispatch.Attempt) (dispatch.Answer, error) {
	attempt.RecordLeaving()
	return m.fakeMessage.Open(ctx, attempt)
}
