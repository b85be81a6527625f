package dispatch_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/internal/poison"
	"github.com/guavatrack/guavatrack/internal/retry"
	"github.com/guavatrack/guavatrack/internal/standin"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/refusal"
)

// fakeServers are in-process backend servers. The function answer determines the
// result of each attempt.
type fakeServers struct {
	mu          sync.Mutex
	replicas    []dispatch.Replica
	answer      func(call string, server fleet.ServerID) error
	runs        map[string][]fleet.ServerID
	running     map[fleet.ServerID]int
	peak        int
	serviceTime time.Duration
	// others is the number of calls of other nodes that the servers report in
	// addition to this node's; with 0 they report no load.
	others int
	// slowdown returns how long work takes at a server, which reports it; nil if none does.
	slowdown func(fleet.ServerID) float64
}

func newFakeServers(count int) *fakeServers {
	s := &fakeServers{
		answer: func(string, fleet.ServerID) error { return nil }, runs: make(map[string][]fleet.ServerID),
		running: make(map[fleet.ServerID]int), serviceTime: 100 * time.Millisecond,
	}
	for i := range count {
		s.replicas = append(s.replicas, dispatch.Replica{
			Server: fleet.ServerID(fmt.Sprint("s", i)), Ready: true, Slots: 4, FixedSlots: true,
		})
	}
	return s
}

func (s *fakeServers) Replicas(item fleet.Item, _ fleet.PoolID) []dispatch.Replica {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := make([]dispatch.Replica, len(s.replicas))
	for i := range held {
		held[i] = s.replicas[i]
		held[i].Item = item
	}
	return held
}

func (s *fakeServers) Alive(context.Context, dispatch.Replica) bool   { return true }
func (s *fakeServers) Crashed(context.Context, dispatch.Replica) bool { return false }

// fakeMessage is a call to fakeServers.
type fakeMessage struct {
	*fakeServers
	id string
	// unsent is set if attempts fail before anything is sent.
	unsent bool
}

func (m fakeMessage) Resumable() bool { return false }

func (m fakeMessage) Open(ctx context.Context, attempt *dispatch.Attempt) (dispatch.Answer, error) {
	if !m.unsent {
		attempt.MarkSent()
	}
	server := attempt.Replica.Server
	m.mu.Lock()
	m.runs[m.id] = append(m.runs[m.id], server)
	m.running[server]++
	m.peak = max(m.peak, m.running[server])
	answer, load := m.answer, m.others+m.running[server]
	reportsLoad := m.others > 0
	m.mu.Unlock()
	if reportsLoad {
		attempt.RecordLoad(load, 0)
	}
	if m.slowdown != nil {
		attempt.RecordSlowdown(m.slowdown(server))
	}
	defer func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.running[server]--
	}()
	select {
	case <-time.After(m.serviceTime):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if err := answer(m.id, server); err != nil {
		return nil, err
	}
	return emptyAnswer{}, nil
}

// emptyAnswer is an answer without content.
type emptyAnswer struct{}

func (emptyAnswer) Relay() error { return nil }
func (emptyAnswer) Close()       {}

func (s *fakeServers) dispatcher() *dispatch.Dispatcher {
	return &dispatch.Dispatcher{
		Directory: s, Prober: s, Store: standin.NewTable(), Node: "n", Rand: rand.New(rand.NewPCG(1, 2)),
	}
}

func (s *fakeServers) call(id string, configure func(*dispatch.Call)) *dispatch.Call {
	now := time.Now()
	call := &dispatch.Call{
		Context: context.Background(), ID: fleet.RequestID(id), Started: now, Deadline: now.Add(5 * time.Second),
		Pool: "p", Digest: poison.DigestOf([]byte(id)), Message: fakeMessage{fakeServers: s, id: id},
	}
	if configure != nil {
		configure(call)
	}
	return call
}

func failureError(kind retry.Failure, notRun bool) error {
	return &dispatch.FailureError{Kind: kind, NotRun: notRun, Err: errors.New("injected failure")}
}

func runInBubble(t *testing.T, run func(c *qt.C)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { run(qt.New(t)) })
}

func TestNonIdempotentCallIsSentOnce(t *testing.T) {
	runInBubble(t, func(c *qt.C) {
		s := newFakeServers(3)
		s.answer = func(string, fleet.ServerID) error { return errors.New("broken") }
		call := s.call("a", nil)
		c.Assert(s.dispatcher().Do(call), qt.IsNotNil)
		c.Assert(s.runs["a"], qt.HasLen, 1)
		c.Assert(call.Sent(), qt.IsTrue)
	})
}

// TestCallProvedNotRunIsRetriedElsewhere has the first server decline the call.
func TestCallProvedNotRunIsRetriedElsewhere(t *testing.T) {
	runInBubble(t, func(c *qt.C) {
		s := newFakeServers(3)
		s.answer = func(id string, _ fleet.ServerID) error {
			s.mu.Lock()
			defer s.mu.Unlock()
			if len(s.runs[id]) == 1 {
				return failureError(retry.Declined, true)
			}
			return nil
		}
		c.Assert(s.dispatcher().Do(s.call("a", nil)), qt.IsNil)
		c.Assert(s.runs["a"], qt.HasLen, 2)
		c.Assert(s.runs["a"][0], qt.Not(qt.Equals), s.runs["a"][1])
	})
}

func TestCallMayHaveRunUnlessProvedOtherwise(t *testing.T) {
	runInBubble(t, func(c *qt.C) {
		s := newFakeServers(2)
		s.answer = func(string, fleet.ServerID) error { return failureError(retry.Declined, true) }
		call := s.call("a", func(call *dispatch.Call) { call.MaxAttempts = 2 })
		c.Assert(s.dispatcher().Do(call), qt.IsNotNil)
		c.Assert(call.Sent(), qt.IsFalse)
		c.Assert(s.runs["a"], qt.HasLen, 2)
		s.answer = func(string, fleet.ServerID) error { return failureError(retry.ResponseMismatch, false) }
		call = s.call("b", nil)
		c.Assert(s.dispatcher().Do(call), qt.IsNotNil)
		c.Assert(call.Sent(), qt.IsTrue)
	})
}

func TestMaxAttemptsBoundsAttempts(t *testing.T) {
	runInBubble(t, func(c *qt.C) {
		s := newFakeServers(5)
		s.answer = func(string, fleet.ServerID) error { return failureError(retry.ServerError, false) }
		call := s.call("a", func(call *dispatch.Call) { call.Idempotent, call.MaxAttempts = true, 3 })
		c.Assert(s.dispatcher().Do(call), qt.IsNotNil)
		c.Assert(s.runs["a"], qt.HasLen, 3)
	})
}

// TestFurtherAttemptsKeepToTheAllowance guards against retries multiplying the
// load when the servers fail every request.
func TestFurtherAttemptsKeepToTheAllowance(t *testing.T) {
	runInBubble(t, func(c *qt.C) {
		s := newFakeServers(5)
		s.answer = func(string, fleet.ServerID) error { return failureError(retry.ServerError, false) }
		d := s.dispatcher()
		d.Allowance = func() retry.Allowance { return retry.Allowance{Ratio: 0.2, Burst: 4} }
		for i := range 100 {
			call := s.call(fmt.Sprint(i), func(call *dispatch.Call) { call.Idempotent = true })
			c.Assert(d.Do(call), qt.IsNotNil)
		}
		attempts := 0
		for _, runs := range s.runs {
			attempts += len(runs)
		}
		c.Assert(attempts > 110, qt.IsTrue)
		c.Assert(attempts <= 100+20+4, qt.IsTrue, qt.Commentf("%d", attempts))
	})
}

func TestSlotsAreNeverExceeded(t *testing.T) {
	runInBubble(t, func(c *qt.C) {
		s := newFakeServers(2)
		d := s.dispatcher()
		var group sync.WaitGroup
		for i := range 60 {
			group.Go(func() { c.Check(d.Do(s.call(fmt.Sprint(i), nil)), qt.IsNil) })
		}
		group.Wait()
		c.Assert(s.peak, qt.Equals, 4)
	})
}

// TestUrgentCallsGoFirst guards against urgent calls waiting as long as others
// when calls of two ranks are queued for a server without free slots.
func TestUrgentCallsGoFirst(t *testing.T) {
	runInBubble(t, func(c *qt.C) {
		s := newFakeServers(1)
		d := s.dispatcher()
		var group sync.WaitGroup
		var ended [2][]time.Duration
		var mu sync.Mutex
		began := time.Now()
		for i := range 40 {
			rank := 1 - i%2
			group.Go(func() {
				call := s.call(fmt.Sprint(i), func(call *dispatch.Call) { call.Rank = rank })
				c.Check(d.Do(call), qt.IsNil)
				mu.Lock()
				defer mu.Unlock()
				ended[rank] = append(ended[rank], time.Since(began))
			})
			time.Sleep(time.Millisecond)
		}
		group.Wait()
		c.Assert(ended[0][len(ended[0])/2] < ended[1][len(ended[1])/2], qt.IsTrue)
	})
}

// TestLoadOfOtherNodesReducesSlots guards against several nodes overloading a
// server that they share: the load that the server reports bounds the calls that
// a node adds.
func TestLoadOfOtherNodesReducesSlots(t *testing.T) {
	runInBubble(t, func(c *qt.C) {
		s := newFakeServers(1)
		s.others = 3
		d := s.dispatcher()
		c.Assert(d.Do(s.call("first", nil)), qt.IsNil)
		var group sync.WaitGroup
		for i := range 4 {
			group.Go(func() { c.Check(d.Do(s.call(fmt.Sprint(i), nil)), qt.IsNil) })
		}
		group.Wait()
		c.Check(s.peak <= 2, qt.IsTrue, qt.Commentf("%d", s.peak))
	})
}

// TestUnreachableReplicaDoesNotRefuseCalls guards against calls being refused
// because the only replica in the directory has crashed, while another one is
// being loaded.
func TestUnreachableReplicaDoesNotRefuseCalls(t *testing.T) {
	runInBubble(t, func(c *qt.C) {
		s := newFakeServers(1)
		s.replicas[0].Item = fleet.Item{Model: "m"}
		s.answer = func(id string, _ fleet.ServerID) error {
			if id == "first" {
				return failureError(retry.Unreachable, false)
			}
			return nil
		}
		d := s.dispatcher()
		d.Loader = pendingLoader{}
		unsent := func(call *dispatch.Call) {
			call.Item, call.MaxAttempts = fleet.Item{Model: "m"}, 1
			call.Message = fakeMessage{fakeServers: s, id: string(call.ID), unsent: true}
		}
		c.Assert(d.Do(s.call("first", unsent)), qt.IsNotNil)
		var group sync.WaitGroup
		for i := range 8 {
			group.Go(func() {
				call := s.call(fmt.Sprint(i), unsent)
				call.StartBy = call.Started.Add(time.Second)
				c.Check(d.Do(call), qt.IsNil)
			})
		}
		group.Wait()
	})
}

// TestRecentlyAbsentItemIsRetriedSoon guards against a long pause after a server
// declined a call because its model was listed shortly before the load completed.
func TestRecentlyAbsentItemIsRetriedSoon(t *testing.T) {
	runInBubble(t, func(c *qt.C) {
		s := newFakeServers(1)
		s.serviceTime = 0
		began := time.Now()
		s.answer = func(string, fleet.ServerID) error {
			if time.Since(began) < 100*time.Millisecond {
				return failureError(retry.ItemNotLoaded, true)
			}
			return nil
		}
		d := s.dispatcher()
		d.Loader = pendingLoader{}
		call := s.call("a", func(call *dispatch.Call) { call.Item = fleet.Item{Model: "m"} })
		c.Assert(d.Do(call), qt.IsNil)
		c.Assert(time.Since(began) < 200*time.Millisecond, qt.IsTrue, qt.Commentf("%s", time.Since(began)))
	})
}

// pendingLoader is a loader whose loads are always in progress.
type pendingLoader struct{}

func (pendingLoader) RequestLoad(context.Context, dispatch.Demand) (dispatch.Estimate, error) {
	return dispatch.Estimate{ReadyIn: 300 * time.Millisecond}, nil
}

func TestCallWithoutServersIsRefusedAtOnce(t *testing.T) {
	runInBubble(t, func(c *qt.C) {
		s := newFakeServers(0)
		began := time.Now()
		err := s.dispatcher().Do(s.call("a", nil))
		refused, found := refusal.As(err)
		c.Assert(found, qt.IsTrue)
		c.Assert(refused.Reason, qt.Equals, refusal.NoServer)
		c.Assert(refused.RetryAfter > 0, qt.IsTrue)
		c.Assert(time.Since(began), qt.Equals, time.Duration(0))
	})
}

func TestServerCacheIsNotOvercommitted(t *testing.T) {
	runInBubble(t, func(c *qt.C) {
		s := newFakeServers(1)
		s.replicas[0].Tokens, s.replicas[0].Slots = 1000, 32
		d := s.dispatcher()
		var group sync.WaitGroup
		for i := range 10 {
			group.Go(func() {
				c.Check(d.Do(s.call(fmt.Sprint(i), func(call *dispatch.Call) { call.Tokens = 400 })), qt.IsNil)
			})
		}
		group.Wait()
		c.Assert(s.peak, qt.Equals, 2)
	})
}
