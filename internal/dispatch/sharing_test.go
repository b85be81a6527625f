package dispatch_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/refusal"
)

// sharedServer returns a server with one slot, on which a call takes 100 ms, and the
// dispatcher of its calls.
func sharedServer(c *qt.C) (*fakeServers, *dispatch.Dispatcher) {
	s := newFakeServers(1)
	s.replicas[0].Slots = 1
	d := s.dispatcher()
	d.Organisations, d.Metrics = true, metrics.NewRegistry()
	c.Assert(d.Do(s.call("usual", nil)), qt.IsNil)
	return s, d
}

// waitingOrganisations returns the gauge of organisations of which requests wait.
func waitingOrganisations(d *dispatch.Dispatcher) int64 {
	return metrics.GetOrRegisterGauge("requests.waitingOrganisations", d.Metrics).Value()
}

// offer starts calls of an organisation and returns the channel of their results.
func (s *fakeServers) offer(d *dispatch.Dispatcher, organisation string, count int, configure func(*dispatch.Call)) <-chan error {
	results := make(chan error, count)
	for i := range count {
		call := s.call(fmt.Sprint(organisation, i), configure)
		call.Caller = fleet.CallerID(organisation)
		go func() { results <- d.Do(call) }()
		synctest.Wait()
	}
	return results
}

// mostWait is the time until the running call ends and one that has waited longer ran.
const mostWait = 200 * time.Millisecond

// Guards against a call that waits behind all those of an organisation that surges.
func TestCallOfAnotherOrganisationIsServedNext(t *testing.T) {
	runInBubble(t, func(c *qt.C) {
		s, d := sharedServer(c)
		surge := s.offer(d, "surging", 20, nil)
		began := time.Now()
		c.Check(<-s.offer(d, "other", 1, nil), qt.IsNil)
		c.Check(time.Since(began) <= mostWait+s.serviceTime, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
		for range 20 {
			c.Check(<-surge, qt.IsNil)
		}
	})
}

// Guards against organisations that are refused late, that all come back at the same time,
// or that are told to come back after their time is up, and against other callers being
// told anything else than before.
func TestRetryAfterIsSpreadForOrganisations(t *testing.T) {
	runInBubble(t, func(c *qt.C) {
		for _, caller := range []string{"", "caller", "surging"} {
			s, d := sharedServer(c)
			d.Organisations = caller != "caller"
			short := func(call *dispatch.Call) { call.Deadline = call.Started.Add(2 * time.Second) }
			began := time.Now()
			results := s.offer(d, caller, 40, short)
			told := make(map[time.Duration]bool)
			for range 10 {
				refused, isRefusal := refusal.As(<-results)
				c.Assert(isRefusal, qt.IsTrue)
				c.Check(refused.RetryAfter >= 100*time.Millisecond && refused.RetryAfter <= 2*time.Second/3, qt.IsTrue, qt.Commentf("%v", refused.RetryAfter))
				told[refused.RetryAfter] = true
			}
			c.Check(time.Since(began), qt.Equals, time.Duration(0))
			c.Check(len(told) > 5, qt.Equals, caller == "surging", qt.Commentf("%v", told))
			time.Sleep(3 * time.Second)
		}
	})
}

// Guards against a stream of an organisation that ends with a refusal instead of the error of
// its attempt, because the reason is lost when Retry-After is spread.
func TestStreamOfAnOrganisationEndsOnceItsVersionHasLeft(t *testing.T) {
	runInBubble(t, func(c *qt.C) {
		s, d := versionHolders(c, 4)
		d.Organisations = true
		call, message := s.streamOf("a", breaksAfterEvents(), answers())
		call.Caller = "organisation"
		message.onForward = func(replica *dispatch.Replica) {
			s.change(replica.Software, func(other *dispatch.Replica) { s.holders[other.Server] = false })
			time.AfterFunc(200*time.Millisecond, func() {
				s.change(replica.Software, func(other *dispatch.Replica) { other.Draining = true })
			})
		}
		c.Assert(d.Do(call), qt.ErrorMatches, "broken")
	})
}

// Guards against a surge that has its models loaded before those that other organisations
// wait for: loads are ordered by the number and rank of waiting calls.
func TestSurgeIsNoDemandForLoads(t *testing.T) {
	runInBubble(t, func(c *qt.C) {
		s := newFakeServers(1)
		d := s.dispatcher()
		d.Organisations = true
		ctx, leave := context.WithCancel(context.Background())
		model := func(call *dispatch.Call) {
			call.Context, call.Tokens, call.Rank, call.Item = ctx, 2000, 3, fleet.Item{Model: "m"}
		}
		for range 60 {
			for _, organisation := range []string{"surging", "other"} {
				c.Assert(<-s.offer(d, organisation, 1, model), qt.IsNil)
				time.Sleep(time.Second)
			}
		}
		s.replicas = nil
		loader := newDemandLoader(time.Second)
		d.Loader = loader
		surge := s.offer(d, "surging", 20, model)
		time.Sleep(500 * time.Millisecond)
		demands := loader.of("")
		c.Check(demands[len(demands)-1].Waiting < 8, qt.IsTrue, qt.Commentf("%+v", demands))
		other := s.offer(d, "other", 2, model)
		time.Sleep(500 * time.Millisecond)
		demands = loader.of("")
		c.Check(demands[len(demands)-1].Waiting < 10, qt.IsTrue, qt.Commentf("%+v", demands))
		c.Check(demands[len(demands)-1].Rank, qt.Equals, 3)
		leave()
		for range 20 {
			c.Check(<-surge, qt.Not(qt.IsNil))
		}
		for range 2 {
			c.Check(<-other, qt.Not(qt.IsNil))
		}
		time.Sleep(time.Second)
	})
}

// Guards against traces of calls whose callers leave while they wait, and of those that wait
// at a node that stops: the count of waiting organisations, or slots that stay taken.
func TestCallsThatLeaveTheQueueLeaveNoTrace(t *testing.T) {
	runInBubble(t, func(c *qt.C) {
		s, d := sharedServer(c)
		ctx, leave := context.WithCancel(context.Background())
		busy := s.offer(d, "first", 3, nil)
		left := s.offer(d, "leaving", 5, func(call *dispatch.Call) { call.Context = ctx })
		c.Check(waitingOrganisations(d), qt.Equals, int64(2))
		leave()
		synctest.Wait()
		c.Check(waitingOrganisations(d), qt.Equals, int64(1))
		began := time.Now()
		c.Check(<-s.offer(d, "leaving", 1, nil), qt.IsNil)
		c.Check(time.Since(began) <= mostWait+s.serviceTime, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
		for range 5 {
			c.Check(<-left, qt.Not(qt.IsNil))
		}
		stopped := s.offer(d, "stopped", 4, nil)
		d.StopAt(time.Now().Add(50 * time.Millisecond))
		for range 3 {
			c.Check(<-busy, qt.IsNil)
		}
		refused := 0
		for range 4 {
			if _, isRefusal := refusal.As(<-stopped); isRefusal {
				refused++
			}
		}
		c.Check(refused, qt.Equals, 4)
		c.Check(waitingOrganisations(d), qt.Equals, int64(0))
	})
}
