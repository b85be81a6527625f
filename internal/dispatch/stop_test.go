package dispatch_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/internal/retry"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/refusal"
)

// checkStopped checks that a call was refused since the node stops.
func checkStopped(c *qt.C, err error) {
	c.Helper()
	refused, found := refusal.As(err)
	c.Assert(found, qt.IsTrue, qt.Commentf("%v", err))
	c.Check(refused.Reason, qt.Equals, refusal.Draining)
	c.Check(refused.RetryAfter < time.Second, qt.IsTrue)
}

// TestRetryThatWouldBeCutOffIsNotMade guards against a further attempt late in the grace of
// a stop: the caller gets its answer at once.
func TestRetryThatWouldBeCutOffIsNotMade(t *testing.T) {
	for _, notRun := range []bool{false, true} {
		runInBubble(t, func(c *qt.C) {
			s := newFakeServers(3)
			s.serviceTime = time.Second
			d := s.dispatcher()
			c.Assert(d.Do(s.call("usual", nil)), qt.IsNil)
			s.answer = func(string, fleet.ServerID) error { return failureError(retry.ServerError, notRun) }
			call := s.call("a", func(call *dispatch.Call) { call.Idempotent = true })
			time.AfterFunc(500*time.Millisecond, func() { d.StopAt(time.Now().Add(2 * time.Second)) })
			checkStopped(c, d.Do(call))
			c.Check(s.runs["a"], qt.HasLen, 1)
			c.Check(call.Sent(), qt.Equals, !notRun)
			c.Check(time.Since(call.Started), qt.Equals, time.Second)
		})
	}
}

// TestHedgeThatWouldBeCutOffIsNotMade guards against a second attempt late in the grace of a
// stop: the first one goes on.
func TestHedgeThatWouldBeCutOffIsNotMade(t *testing.T) {
	for _, stops := range []bool{false, true} {
		runInBubble(t, func(c *qt.C) {
			s := newFakeServers(3)
			d := s.dispatcher()
			for range 30 {
				c.Assert(d.Do(s.call("usual", nil)), qt.IsNil)
			}
			s.serviceTime = 2 * time.Second
			call := s.call("a", func(call *dispatch.Call) { call.Idempotent, call.Hedge = true, true })
			if stops {
				time.AfterFunc(10*time.Millisecond, func() { d.StopAt(time.Now().Add(100 * time.Millisecond)) })
			}
			c.Assert(d.Do(call), qt.IsNil)
			c.Check(len(s.runs["a"]) > 1, qt.Equals, !stops)
		})
	}
}

// TestCallIsJudgedByTheCutOff guards against a stop that refuses calls which end in time, or
// sends those that may not be repeated although nothing is known of their service time.
func TestCallIsJudgedByTheCutOff(t *testing.T) {
	for _, test := range []struct {
		name       string
		known      bool
		idempotent bool
		stream     bool
		cutOff     time.Duration
		deadline   time.Duration
		refused    bool
	}{
		{"unknown service time, repeatable", false, true, false, time.Second, time.Minute, false},
		{"unknown service time, not repeatable", false, false, false, time.Second, time.Minute, true},
		{"unknown service time, much time", false, false, false, 3 * time.Second, time.Minute, false},
		{"known service time", true, false, false, time.Second, time.Minute, false},
		{"known service time, little time", true, true, false, 100 * time.Millisecond, time.Minute, true},
		{"margin, not repeatable", true, false, false, 400 * time.Millisecond, time.Minute, true},
		{"margin, repeatable", true, true, false, 400 * time.Millisecond, time.Minute, false},
		{"deadline before the cut-off", false, false, false, time.Second, 900 * time.Millisecond, false},
		{"resumable stream", true, true, true, 50 * time.Millisecond, time.Minute, false},
		{"other stream", true, false, true, 50 * time.Millisecond, time.Minute, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			runInBubble(t, func(c *qt.C) {
				s := newFakeServers(1)
				d := s.dispatcher()
				if test.known {
					c.Assert(d.Do(s.call("usual", nil)), qt.IsNil)
				}
				c.Check(d.Stops(), qt.IsFalse)
				d.StopAt(time.Now().Add(test.cutOff))
				c.Check(d.Stops(), qt.IsTrue)
				call := s.call("a", func(call *dispatch.Call) {
					call.Idempotent, call.Stream = test.idempotent, test.stream
					call.Deadline = call.Started.Add(test.deadline)
				})
				err := d.Do(call)
				if !test.refused {
					c.Assert(err, qt.IsNil)
					return
				}
				checkStopped(c, err)
				c.Check(time.Since(call.Started), qt.Equals, time.Duration(0))
				c.Check(call.Sent(), qt.IsFalse)
				c.Check(s.runs["a"], qt.HasLen, 0)
			})
		})
	}
}
