package dispatch_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// notifyingServers are fakeServers in a directory that reports its changes.
type notifyingServers struct {
	*fakeServers
	changed chan struct{}
}

func (s *notifyingServers) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// TestWaitingCallStartsWhenItsReplicaIsListed guards against a wait for the next of
// the periodic checks: with hundreds of nodes they have to be seldom, since each of
// the rarely used models that calls wait for has its own.
func TestWaitingCallStartsWhenItsReplicaIsListed(t *testing.T) {
	runInBubble(t, func(c *qt.C) {
		const readyAt = 107 * time.Millisecond
		s := &notifyingServers{fakeServers: newFakeServers(1), changed: make(chan struct{})}
		s.serviceTime = 0
		replicas := s.replicas
		s.replicas = nil
		d := s.dispatcher()
		d.Directory, d.Loader = s, pendingLoader{}
		time.AfterFunc(readyAt, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.replicas = replicas
			close(s.changed)
			s.changed = nil
		})
		call := s.call("rare", func(call *dispatch.Call) { call.Item = fleet.Item{Model: "m"} })
		c.Assert(d.Do(call), qt.IsNil)
		c.Assert(time.Since(call.Started), qt.Equals, readyAt)
	})
}
