package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Guards against calls that are not served although a server has a free slot, since the
// rest of a stream waits for a load of the same model at another version.
func TestWaitForAVersionDoesNotHoldBackOthers(t *testing.T) {
	runInBubble(t, func(c *qt.C) {
		s, d := versionHolders(c, 2)
		s.hold("s0", false)
		rest, _ := s.streamOf("rest", answers())
		rest.Restrict("v1")
		ended := start(d, rest)
		for i := range 10 {
			call, message := s.streamOf(fmt.Sprint(i), answers())
			c.Assert(d.Do(call), qt.IsNil)
			c.Check(message.forwarded, qt.DeepEquals, []fleet.SoftwareVersion{"v2"})
			c.Check(time.Since(call.Started) < 100*time.Millisecond, qt.IsTrue, qt.Commentf("%s", time.Since(call.Started)))
		}
		s.hold("s0", true)
		c.Check(<-ended, qt.IsNil)
	})
}

// Guards against calls that are refused by the estimate of a load which only the rest of a
// stream waits for.
func TestLoadForAVersionIsNoEstimateForOthers(t *testing.T) {
	const timeout = 2 * time.Second
	for range 10 {
		runInBubble(t, func(c *qt.C) {
			s, d := versionHolders(c, 2)
			d.Loader = newDemandLoader(30 * time.Second)
			s.hold("s0", false)
			s.replicas[1].Slots = 1
			busy, _ := s.streamOf("busy", scriptedAttempt{pauses: []time.Duration{0, 800 * time.Millisecond}})
			begun := start(d, busy)
			rest, _ := s.streamOf("rest", answers())
			rest.Restrict("v1")
			waits := start(d, rest)
			call, _ := s.streamOf("other", answers())
			call.Deadline, call.StartBy = call.Started.Add(timeout), call.Started.Add(timeout)
			c.Check(d.Do(call), qt.IsNil)
			c.Check(<-begun, qt.IsNil)
			s.hold("s0", true)
			c.Check(<-waits, qt.IsNil)
		})
	}
}

// Guards against calls that are refused since only the few slots were counted at which the
// rest of a stream may run, though they may run at many more.
func TestSlotsOfAVersionAreNoEstimateForOthers(t *testing.T) {
	runInBubble(t, func(c *qt.C) {
		s, d := versionHolders(c, 2)
		s.replicas[0].Slots, s.replicas[1].Slots = 1, 16
		second := scriptedAttempt{pauses: []time.Duration{0, time.Second}}
		for i := range 5 {
			call, _ := s.streamOf(fmt.Sprint("first", i), second)
			c.Assert(d.Do(call), qt.IsNil)
		}
		results := make([]<-chan error, 0, 30)
		for i := range 30 {
			call, _ := s.streamOf(fmt.Sprint(i), second)
			if i == 17 {
				call.Restrict("v1")
			} else {
				call.Deadline = call.Started.Add(6 * time.Second)
			}
			results = append(results, start(d, call))
		}
		for _, result := range results {
			c.Check(<-result, qt.IsNil)
		}
	})
}
