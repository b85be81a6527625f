package dispatch_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a data race, which the race detector reports: an attempt goes on and is
// silent again while the search for another one waits in the queue, which reads the
// failed attempts of the call.
func TestSecondSilenceDuringASearchIsRecordedSafely(t *testing.T) {
	runInBubble(t, func(c *qt.C) {
		s := newFakeServers(2)
		s.replicas[0].Slots, s.replicas[1].Slots = 1, 1
		d := s.dispatcher()
		d.Allowance, d.Prober = generous, silentProber{s}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		busy, _ := s.streamOf("busy", beginsAndStays())
		busy.Context, busy.Deadline = ctx, busy.Started.Add(time.Hour)
		start(d, busy)
		call, message := s.streamOf("silent", scriptedAttempt{
			opening: []time.Duration{21 * time.Second, 21 * time.Second}, pauses: []time.Duration{time.Second, 0},
		})
		c.Check(d.Do(call), qt.IsNil)
		c.Check(message.sends, qt.Equals, 1)
		cancel()
		time.Sleep(time.Second)
	})
}
