package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// beginsAndStays is an attempt that begins to answer and is silent for ever.
func beginsAndStays() scriptedAttempt { return scriptedAttempt{pauses: []time.Duration{0, time.Hour}} }

// answers is an attempt that is complete after a short time.
func answers() scriptedAttempt {
	return scriptedAttempt{pauses: []time.Duration{10 * time.Millisecond, 10 * time.Millisecond}}
}

// resumableStream is a call of a resumable stream whose attempts follow the script.
func resumableStream(connects bool, maxAttempts int, script ...scriptedAttempt) *scriptedCall {
	return &scriptedCall{
		servers: 3, maxAttempts: maxAttempts, stream: true, idempotent: true, connects: connects, budget: 20,
		deadline: time.Minute, message: scriptedMessage{script: script, resumable: true},
	}
}

// TestSilentReplacementIsReplaced guards against streams that hang until their deadline
// since the attempt beside a silent one is silent as well, though a third is allowed.
func TestSilentReplacementIsReplaced(t *testing.T) {
	for _, connects := range []bool{true, false} {
		t.Run(fmt.Sprint("connects ", connects), func(t *testing.T) {
			runInBubble(t, func(c *qt.C) {
				s := resumableStream(connects, 3, beginsAndStays(), scriptedAttempt{pauses: []time.Duration{time.Hour}}, answers())
				outcome := s.run()
				c.Check(outcome.err, qt.IsNil, qt.Commentf("connects %t, %d sends, after %s", connects, s.message.sends, outcome.took))
			})
		})
	}
}

// TestBrokenStreamIsNotHeldByASilentReplacement guards against a stream that broke off
// and waits until its deadline for a silent attempt beside it.
func TestBrokenStreamIsNotHeldByASilentReplacement(t *testing.T) {
	runInBubble(t, func(c *qt.C) {
		broken := scriptedAttempt{pauses: []time.Duration{0, 1500 * time.Millisecond}, fails: true}
		s := resumableStream(true, 3, broken, scriptedAttempt{pauses: []time.Duration{time.Hour}}, answers())
		outcome := s.run()
		c.Check(outcome.err, qt.IsNil, qt.Commentf("%d sends, after %s", s.message.sends, outcome.took))
	})
}

// TestReplacementsKeepToMaxAttempts guards against attempts beside a stream that is
// silent again and again which are not counted, since the stream went on each time.
func TestReplacementsKeepToMaxAttempts(t *testing.T) {
	for _, connects := range []bool{true, false} {
		t.Run(fmt.Sprint("connects ", connects), func(t *testing.T) {
			runInBubble(t, func(c *qt.C) {
				pauses := append(make([]time.Duration, 0, 17), 0)
				for range 8 {
					pauses = append(pauses, 2500*time.Millisecond, 10*time.Millisecond)
				}
				slow := scriptedAttempt{pauses: []time.Duration{time.Hour}}
				s := resumableStream(connects, 2, scriptedAttempt{pauses: pauses}, slow, slow, slow, slow, slow, slow, slow, slow)
				outcome := s.run()
				c.Check(outcome.err, qt.IsNil)
				c.Check(s.message.sends <= 2, qt.IsTrue, qt.Commentf("connects %t, %d sends", connects, s.message.sends))
			})
		})
	}
}

// TestAttemptBesideABrokenStreamCounts guards against more sends than are allowed: a stream
// begins after a silence, the attempt beside it is ended, and then the stream breaks.
func TestAttemptBesideABrokenStreamCounts(t *testing.T) {
	runInBubble(t, func(c *qt.C) {
		broken := scriptedAttempt{
			opening: []time.Duration{7 * time.Second}, pauses: []time.Duration{0, 100 * time.Millisecond}, fails: true,
		}
		s := resumableStream(true, 2, broken, scriptedAttempt{pauses: []time.Duration{time.Hour}}, answers())
		outcome := s.run()
		c.Check(outcome.err, qt.IsNotNil)
		c.Check(s.message.sends, qt.Equals, 2, qt.Commentf("%v", outcome.err))
	})
}

// TestCompleteAnswerEndsAtOnce guards against answers whose end is held back by a probe
// of their server.
func TestCompleteAnswerEndsAtOnce(t *testing.T) {
	runInBubble(t, func(c *qt.C) {
		s := resumableStream(false, 2, scriptedAttempt{pauses: []time.Duration{0, 1010 * time.Millisecond}})
		outcome := s.run()
		c.Check(outcome.err, qt.IsNil)
		c.Check(outcome.took <= 1011*time.Millisecond, qt.IsTrue, qt.Commentf("%s", outcome.took))
	})
}

// TestDeclinedReplacementIsFollowedSoon guards against long waits for a silent attempt
// after the attempt beside it was declined, though a third is allowed.
func TestDeclinedReplacementIsFollowedSoon(t *testing.T) {
	declined := scriptedAttempt{pauses: []time.Duration{time.Millisecond}, fails: true, declined: true}
	for name, first := range map[string]scriptedAttempt{
		"before the answer": {pauses: []time.Duration{time.Hour}}, "within the answer": beginsAndStays(),
	} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(c *qt.C) {
				s := resumableStream(true, 3, first, declined, answers())
				s.deadline = 6 * time.Second
				outcome := s.run()
				c.Check(outcome.err, qt.IsNil)
				c.Check(outcome.took <= 2500*time.Millisecond, qt.IsTrue, qt.Commentf("%s, %d sends", outcome.took, s.message.sends))
			})
		})
	}
}

// overlap returns the longest time during which two servers worked on the call at once.
func (m *scriptedMessage) overlap() (longest time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, a := range m.runs {
		for _, b := range m.runs {
			if a.server != b.server && !b.began.Before(a.began) {
				longest = max(longest, min(a.ended.Sub(b.began), b.ended.Sub(b.began)))
			}
		}
	}
	return longest
}

// maxOverlap is the time for which a second server may work on a stream that goes on
// there while the first one still does.
const maxOverlap = 400 * time.Millisecond

// TestStreamDoesNotRunOnTwoServers guards against streams that go on at another server
// while the first one still works on them.
func TestStreamDoesNotRunOnTwoServers(t *testing.T) {
	late := scriptedAttempt{pauses: []time.Duration{900 * time.Millisecond, 0}}
	declined := scriptedAttempt{pauses: []time.Duration{time.Millisecond}, fails: true, declined: true}
	for name, s := range map[string]*scriptedCall{
		"first replacement decline": resumableStream(true, 3, beginsAndStays(), declined, late),
	} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(c *qt.C) {
				outcome := s.run()
				c.Check(outcome.err, qt.IsNil)
				c.Check(s.message.overlap() <= maxOverlap, qt.IsTrue, qt.Commentf("%s, %d sends", s.message.overlap(), s.message.sends))
			})
		})
	}
}

// TestAttemptThatGoesOnIsNotSilent guards against further attempts beside one that was
// silent once and has made progress since then.
func TestAttemptThatGoesOnIsNotSilent(t *testing.T) {
	runInBubble(t, func(c *qt.C) {
		opening := make([]time.Duration, 400)
		for i := range opening {
			opening[i] = 100 * time.Millisecond
		}
		opening[0] = 6 * time.Second
		s := resumableStream(true, 5, scriptedAttempt{opening: opening, pauses: []time.Duration{0, 0}})
		s.stream = false
		outcome := s.run()
		c.Check(outcome.err, qt.IsNil)
		c.Check(s.message.sends <= 2, qt.IsTrue, qt.Commentf("%d sends", s.message.sends))
	})
}
