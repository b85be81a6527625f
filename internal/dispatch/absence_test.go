package dispatch_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/internal/retry"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// timestampedServers are fakeServers in a directory that records when its entries
// were last reported.
type timestampedServers struct {
	*fakeServers
	asOf time.Time
}

func (s *timestampedServers) AsOf(fleet.ServerID) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.asOf
}

// TestStaleDirectoryCostsOneAttempt guards against a call spending both of its two
// attempts on a server that does not hold its item. That occurs if the scheduler
// stops just after it has replaced a model, so that the directory still lists it.
func TestStaleDirectoryCostsOneAttempt(t *testing.T) {
	runInBubble(t, func(c *qt.C) {
		s := &timestampedServers{fakeServers: newFakeServers(1), asOf: time.Now()}
		s.serviceTime = time.Millisecond
		s.answer = func(_ string, server fleet.ServerID) error {
			if server == "s0" {
				return failureError(retry.ItemNotLoaded, true)
			}
			return nil
		}
		time.AfterFunc(2*time.Second, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.asOf = time.Now()
			s.replicas[0].Server = "s1"
		})
		d := s.dispatcher()
		d.Directory, d.Loader, d.LoadWhenFull = s, pendingLoader{}, true
		call := s.call("a", func(call *dispatch.Call) {
			call.Item, call.MaxAttempts, call.Idempotent = fleet.Item{Model: "m"}, 2, true
		})
		c.Assert(d.Do(call), qt.IsNil)
		c.Assert(s.runs["a"], qt.DeepEquals, []fleet.ServerID{"s0", "s1"})
	})
}

// TestAbsentItemIsRetriedWithoutNewReport guards against a server being excluded
// for ever because the directory receives no newer report of its items.
func TestAbsentItemIsRetriedWithoutNewReport(t *testing.T) {
	runInBubble(t, func(c *qt.C) {
		s := &timestampedServers{fakeServers: newFakeServers(1), asOf: time.Now()}
		s.serviceTime = 0
		began := time.Now()
		s.answer = func(string, fleet.ServerID) error {
			if time.Since(began) < time.Second {
				return failureError(retry.ItemNotLoaded, true)
			}
			return nil
		}
		d := s.dispatcher()
		d.Directory, d.Loader, d.LoadWhenFull = s, pendingLoader{}, true
		call := s.call("a", func(call *dispatch.Call) {
			call.Item, call.Deadline = fleet.Item{Model: "m"}, began.Add(20*time.Second)
		})
		c.Assert(d.Do(call), qt.IsNil)
		c.Assert(s.runs["a"], qt.HasLen, 2)
	})
}
