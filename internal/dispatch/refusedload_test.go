package dispatch_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// loadRefusals returns the counts of refusals for late loads, and of the false ones.
func loadRefusals(registry metrics.Registry) [2]int64 {
	count := func(name string) int64 { return metrics.GetOrRegisterCounter(name, registry).Count() }
	return [2]int64{count("requests.loadRefusals"), count("requests.loadRefusalsFalse")}
}

// setReadyIn changes the estimate of all later demands.
func (l *demandLoader) setReadyIn(readyIn time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readyIn = readyIn
}

// TestFalseRefusalsForLateLoadsAreCounted guards against estimates that refuse calls which
// would have been served, unseen: a refusal counts as false if a server that may run the call
// has its model when the time of the call is up.
func TestFalseRefusalsForLateLoadsAreCounted(t *testing.T) {
	const left = 3 * time.Second
	for _, test := range []struct {
		name string
		// holder gets the model after loadedAfter; empty if none does.
		holder      fleet.ServerID
		loadedAfter time.Duration
		restricted  bool
		startBy     time.Duration
		// first is the estimate with which the call begins to wait; 0 if it is refused at once.
		first time.Duration
		want  [2]int64
	}{
		{name: "loaded in time", holder: "s0", loadedAfter: 2 * time.Second, want: [2]int64{1, 1}},
		{name: "loaded too late", holder: "s0", loadedAfter: 4 * time.Second, want: [2]int64{1, 0}},
		{name: "never loaded", want: [2]int64{1, 0}},
		{name: "refused while it waits", holder: "s0", loadedAfter: 2 * time.Second, first: time.Second, want: [2]int64{1, 1}},
		{
			name: "the answer had to begin before", holder: "s0", loadedAfter: 2 * time.Second, startBy: time.Second,
			want: [2]int64{1, 0},
		},
		{name: "loaded at its version", holder: "s0", loadedAfter: time.Second, restricted: true, want: [2]int64{1, 1}},
		{name: "loaded at another version", holder: "s1", loadedAfter: time.Second, restricted: true, want: [2]int64{1, 0}},
	} {
		t.Run(test.name, func(t *testing.T) {
			runInBubble(t, func(c *qt.C) {
				s, d := versionHolders(c, 2)
				loader := newDemandLoader(6 * time.Second)
				d.Loader, d.Metrics = loader, metrics.NewRegistry()
				s.hold("s0", false)
				s.hold("s1", false)
				if test.first > 0 {
					loader.setReadyIn(test.first)
				}
				call, _ := s.streamOf("call", answers())
				call.Context, call.Deadline = context.Background(), call.Started.Add(left)
				if test.startBy > 0 {
					call.StartBy = call.Started.Add(test.startBy)
				}
				if test.restricted {
					call.Restrict("v1")
				}
				result := start(d, call)
				loader.setReadyIn(6 * time.Second)
				time.Sleep(time.Second / 2)
				synctest.Wait()
				c.Assert(<-result, qt.ErrorMatches, ".*the model will not be loaded before the deadline")
				c.Check(loadRefusals(d.Metrics), qt.Equals, [2]int64{1, 0})
				time.Sleep(test.loadedAfter - time.Second/2)
				if test.holder != "" {
					s.hold(test.holder, true)
				}
				time.Sleep(2 * left)
				synctest.Wait()
				c.Check(loadRefusals(d.Metrics), qt.Equals, test.want)
			})
		})
	}
}

// TestChecksOfRefusalsAreBounded guards against memory that grows with refused calls.
func TestChecksOfRefusalsAreBounded(t *testing.T) {
	runInBubble(t, func(c *qt.C) {
		const bound = 1024
		s, d := versionHolders(c, 2)
		d.Loader, d.Metrics = newDemandLoader(6*time.Second), metrics.NewRegistry()
		s.hold("s0", false)
		s.hold("s1", false)
		refuse := func(count int) {
			for i := range count {
				call, _ := s.streamOf(fmt.Sprint(i), answers())
				call.Context, call.Deadline = context.Background(), call.Started.Add(3*time.Second)
				c.Assert(d.Do(call), qt.IsNotNil)
			}
		}
		refuse(bound + 100)
		c.Check(loadRefusals(d.Metrics)[0], qt.Equals, int64(bound))
		time.Sleep(4 * time.Second)
		refuse(1)
		c.Check(loadRefusals(d.Metrics)[0], qt.Equals, int64(bound+1))
		time.Sleep(4 * time.Second)
	})
}
