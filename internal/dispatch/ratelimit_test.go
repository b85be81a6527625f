package dispatch_test

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/internal/member"
	"github.com/guavatrack/guavatrack/internal/peer/peertest"
	"github.com/guavatrack/guavatrack/internal/ratelimit"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/refusal"
)

// noFacts is a store of facts without other nodes.
type noFacts struct{}

func (noFacts) Publish(member.Fact, time.Duration) bool { return true }
func (noFacts) Facts(string) []member.Fact              { return nil }

// limitingMessage is a call to fakeServers whose servers name a limit with their answers.
type limitingMessage struct {
	fakeMessage
	limits map[fleet.ServerID]float64
}

func (m limitingMessage) Open(ctx context.Context, attempt *dispatch.Attempt) (dispatch.Answer, error) {
	answer, err := m.fakeMessage.Open(ctx, attempt)
	if limit, found := m.limits[attempt.Replica.Server]; found {
		attempt.RecordLimit(limit)
	} else {
		attempt.RecordNoLimit()
	}
	return answer, err
}

// limitedDispatcher returns a dispatcher of a single node, which owns all limits.
func (s *fakeServers) limitedDispatcher() *dispatch.Dispatcher {
	limits := &ratelimit.Controller{
		Node: "n", Owner: func(fleet.ServerID) fleet.NodeID { return "n" },
		Peers: peertest.Endpoint{Network: &peertest.Network{}, Node: "n"}, Facts: noFacts{},
	}
	limits.Register()
	d := s.dispatcher()
	d.RateLimits = limits
	return d
}

func (s *fakeServers) limiting(id string, limits map[fleet.ServerID]float64) func(*dispatch.Call) {
	return func(call *dispatch.Call) {
		call.Message = limitingMessage{fakeMessage: fakeMessage{fakeServers: s, id: id}, limits: limits}
	}
}

// TestServerWithALimitIsPassedOver guards against a server in need that gets as many calls
// as one that is not: with 40 calls a second for 8 s the one that names a limit of one a
// second gets about eight, besides those sent before its first answer, and the other one
// all the others.
func TestServerWithALimitIsPassedOver(t *testing.T) {
	runInBubble(t, func(c *qt.C) {
		s := newFakeServers(2)
		d := s.limitedDispatcher()
		limits := map[fleet.ServerID]float64{"s0": 1}
		s.replicas[0].Slots, s.replicas[1].Slots = 8, 8
		var group sync.WaitGroup
		for range 320 {
			group.Go(func() { c.Check(d.Do(s.call("a", s.limiting("a", limits))), qt.IsNil) })
			time.Sleep(25 * time.Millisecond)
		}
		group.Wait()
		counts := make(map[fleet.ServerID]int)
		for _, server := range s.runs["a"] {
			counts[server]++
		}
		c.Check(counts["s0"] >= 6 && counts["s0"] <= 16, qt.IsTrue, qt.Commentf("%v", counts))
		c.Check(counts["s0"]+counts["s1"], qt.Equals, 320)
	})
}

// TestCallsBeyondALimitAreRefusedAtOnce answers the pattern of a model that only a server
// in need has: of 20 calls at once, with three seconds each and a limit of two a second,
// those run that can in time, at the pace of the limit. The others are refused at once,
// with the time at which they may come again.
func TestCallsBeyondALimitAreRefusedAtOnce(t *testing.T) {
	runInBubble(t, func(c *qt.C) {
		s := newFakeServers(1)
		d := s.limitedDispatcher()
		limits := map[fleet.ServerID]float64{"s0": 2}
		c.Assert(d.Do(s.call("first", s.limiting("first", limits))), qt.IsNil)
		var mu sync.Mutex
		var group sync.WaitGroup
		served, refused := 0, 0
		began := time.Now()
		for range 20 {
			group.Go(func() {
				err := d.Do(s.call("b", func(call *dispatch.Call) {
					s.limiting("b", limits)(call)
					call.Deadline = call.Started.Add(3 * time.Second)
				}))
				mu.Lock()
				defer mu.Unlock()
				if err == nil {
					served++
					return
				}
				found, isRefusal := refusal.As(err)
				c.Assert(isRefusal, qt.IsTrue, qt.Commentf("%v", err))
				c.Check(found.RetryAfter > 0, qt.IsTrue)
				c.Check(time.Since(began), qt.Equals, time.Duration(0), qt.Commentf("refused late"))
				refused++
			})
		}
		group.Wait()
		c.Logf("%d served, %d refused", served, refused)
		c.Check(served >= 5 && served <= 7, qt.IsTrue, qt.Commentf("%d", served))
		c.Check(served+refused, qt.Equals, 20)
	})
}
