package dispatch_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// delayedReport is a call whose answer reports the load of its server as of the
// call's arrival, but is received after a delay.
type delayedReport struct {
	fakeMessage
	delay time.Duration
}

func (m delayedReport) Open(ctx context.Context, attempt *dispatch.Attempt) (dispatch.Answer, error) {
	attempt.MarkSent()
	m.mu.Lock()
	m.running[attempt.Replica.Server]++
	m.peak = max(m.peak, m.running[attempt.Replica.Server])
	load := m.others + m.running[attempt.Replica.Server]
	m.mu.Unlock()
	time.Sleep(m.delay)
	attempt.RecordLoad(load, 0)
	<-ctx.Done()
	return nil, ctx.Err()
}

// TestLateLoadReportCountsCallsOfItsTime guards against calls that were sent after
// the state of a report being taken for part of it. The server runs four calls of
// other nodes; the report of the first call arrives when three calls run, so that
// two of the other nodes' calls were left out and a fourth call was sent to the full
// server.
func TestLateLoadReportCountsCallsOfItsTime(t *testing.T) {
	runInBubble(t, func(c *qt.C) {
		s := newFakeServers(1)
		s.others, s.replicas[0].Slots = 4, 6
		d := s.dispatcher()
		start := func(id string, delay time.Duration) {
			call := s.call(id, nil)
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			call.Context, call.Deadline = ctx, call.Started.Add(300*time.Millisecond)
			call.Message = delayedReport{fakeMessage: fakeMessage{fakeServers: s}, delay: delay}
			go func() {
				defer cancel()
				_ = d.Do(call)
			}()
			synctest.Wait()
		}
		start("first", 30*time.Millisecond)
		start("second", 20*time.Millisecond)
		start("third", 10*time.Millisecond)
		time.Sleep(31 * time.Millisecond)
		start("fourth", 0)
		s.mu.Lock()
		peak := s.peak
		s.mu.Unlock()
		c.Check(peak, qt.Equals, 3)
		time.Sleep(time.Second)
	})
}

// countedServers are fakeServers in a directory that counts the calls of all nodes.
type countedServers struct {
	*fakeServers
	loads map[fleet.ServerID]int
}

func (s *countedServers) Load(server fleet.ServerID) (running int, asOf time.Time) {
	return s.loads[server], time.Now()
}

// TestCallLeavesARegionWhoseServersAreFull has the other nodes' calls fill the server of
// the node's region, of which the node itself has seen nothing.
func TestCallLeavesARegionWhoseServersAreFull(t *testing.T) {
	runInBubble(t, func(c *qt.C) {
		s := &countedServers{fakeServers: newFakeServers(2), loads: make(map[fleet.ServerID]int)}
		s.replicas[0].Region, s.replicas[1].Region = "here", "there"
		d := s.dispatcher()
		d.Directory, d.Place = s, fleet.Place{Region: "here"}
		c.Assert(d.Do(s.call("quiet", nil)), qt.IsNil)
		c.Check(s.runs["quiet"], qt.DeepEquals, []fleet.ServerID{"s0"})
		s.loads["s0"] = 4
		c.Assert(d.Do(s.call("busy", nil)), qt.IsNil)
		c.Check(s.runs["busy"], qt.DeepEquals, []fleet.ServerID{"s1"})
		s.loads["s1"] = 4
		c.Assert(d.Do(s.call("both", nil)), qt.IsNil)
		c.Check(s.runs["both"], qt.DeepEquals, []fleet.ServerID{"s0"})
	})
}
