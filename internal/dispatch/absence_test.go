package dispatch_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/internal/retry"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// datedServers are servers in a directory whose word has an age.
type datedServers struct {
	*servers
	asOf time.Time
}

func (d *datedServers) AsOf(fleet.ServerID) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.asOf
}

// TestStaleWordCostsOneAttempt answers the pattern of a scheduler that has
// stopped after it had a model replaced: the directory still shows the model, and
// a call with two attempts must not spend both on the server that turned it away.
func TestStaleWordCostsOneAttempt(t *testing.T) {
	bubble(t, func(c *qt.C) {
		s := &datedServers{servers: newServers(1), asOf: time.Now()}
		s.takes = time.Millisecond
		s.answer = func(_ string, server fleet.ServerID) error {
			if server == "s0" {
				return failure(retry.Absent, true)
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
		d.Directory, d.Waker, d.WakeFull = s, loading{}, true
		call := s.call("a", func(call *dispatch.Call) {
			call.Item, call.MaxAttempts, call.Idempotent = fleet.Item{Model: "m"}, 2, true
		})
		c.Assert(d.Do(call), qt.IsNil)
		c.Assert(s.runs["a"], qt.DeepEquals, []fleet.ServerID{"s0", "s1"})
	})
}

// TestServerIsTriedAgainWithoutWord has no news come for a long time.
func TestServerIsTriedAgainWithoutWord(t *testing.T) {
	bubble(t, func(c *qt.C) {
		s := &datedServers{servers: newServers(1), asOf: time.Now()}
		s.takes = 0
		began := time.Now()
		s.answer = func(string, fleet.ServerID) error {
			if time.Since(began) < time.Second {
				return failure(retry.Absent, true)
			}
			return nil
		}
		d := s.dispatcher()
		d.Directory, d.Waker, d.WakeFull = s, loading{}, true
		call := s.call("a", func(call *dispatch.Call) {
			call.Item, call.Deadline = fleet.Item{Model: "m"}, began.Add(20*time.Second)
		})
		c.Assert(d.Do(call), qt.IsNil)
		c.Assert(s.runs["a"], qt.HasLen, 2)
	})
}
