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

// servers are backend servers without a wire: a function says what becomes of an
// attempt.
type servers struct {
	mu       sync.Mutex
	replicas []dispatch.Replica
	answer   func(call string, server fleet.ServerID) error
	runs     map[string][]fleet.ServerID
	running  map[fleet.ServerID]int
	peak     int
	takes    time.Duration
	// others is the number of other nodes' calls that the servers say they run
	// beside this node's; 0 has them say nothing.
	others int
}

func newServers(count int) *servers {
	s := &servers{
		answer: func(string, fleet.ServerID) error { return nil }, runs: make(map[string][]fleet.ServerID),
		running: make(map[fleet.ServerID]int), takes: 100 * time.Millisecond,
	}
	for at := range count {
		s.replicas = append(s.replicas, dispatch.Replica{
			Server: fleet.ServerID(fmt.Sprint("s", at)), Ready: true, Slots: 4, Steady: true,
		})
	}
	return s
}

func (s *servers) Replicas(item fleet.Item, _ fleet.PoolID) []dispatch.Replica {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := make([]dispatch.Replica, len(s.replicas))
	for at := range held {
		held[at] = s.replicas[at]
		held[at].Item = item
	}
	return held
}

func (s *servers) Alive(context.Context, dispatch.Replica) bool   { return true }
func (s *servers) Crashed(context.Context, dispatch.Replica) bool { return false }

// message is a call at these servers.
type message struct {
	*servers
	id string
	// unsent says that failures come before anything is sent.
	unsent bool
}

func (m message) Resumable() bool { return false }

func (m message) Open(ctx context.Context, attempt *dispatch.Attempt) (dispatch.Answer, error) {
	if !m.unsent {
		attempt.Sending()
	}
	server := attempt.Replica.Server
	m.mu.Lock()
	m.runs[m.id] = append(m.runs[m.id], server)
	m.running[server]++
	m.peak = max(m.peak, m.running[server])
	answer, load := m.answer, m.others+m.running[server]
	said := m.others > 0
	m.mu.Unlock()
	if said {
		attempt.Load(load, 0)
	}
	defer func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.running[server]--
	}()
	select {
	case <-time.After(m.takes):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if err := answer(m.id, server); err != nil {
		return nil, err
	}
	return done{}, nil
}

type done struct{}

func (done) Relay() error { return nil }
func (done) Close()       {}

func (s *servers) dispatcher() *dispatch.Dispatcher {
	return &dispatch.Dispatcher{
		Directory: s, Prober: s, Store: standin.NewTable(), Node: "n", Rand: rand.New(rand.NewPCG(1, 2)),
	}
}

func (s *servers) call(id string, change func(*dispatch.Call)) *dispatch.Call {
	now := time.Now()
	call := &dispatch.Call{
		Context: context.Background(), ID: fleet.RequestID(id), Started: now, Deadline: now.Add(5 * time.Second),
		Pool: "p", Digest: poison.DigestOf([]byte(id)), Message: message{servers: s, id: id},
	}
	if change != nil {
		change(call)
	}
	return call
}

func failure(kind retry.Failure, notRun bool) error {
	return &dispatch.FailureError{Kind: kind, NotRun: notRun, Err: errors.New("told to")}
}

func bubble(t *testing.T, run func(c *qt.C)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { run(qt.New(t)) })
}

func TestCallThatMayRunOnceIsSentOnce(t *testing.T) {
	bubble(t, func(c *qt.C) {
		s := newServers(3)
		s.answer = func(string, fleet.ServerID) error { return errors.New("broken") }
		call := s.call("a", nil)
		c.Assert(s.dispatcher().Do(call), qt.IsNotNil)
		c.Assert(s.runs["a"], qt.HasLen, 1)
		c.Assert(call.Sent(), qt.IsTrue)
	})
}

// TestProofThatItHasNotRunAllowsAnother has the first server turn the call away.
func TestProofThatItHasNotRunAllowsAnother(t *testing.T) {
	bubble(t, func(c *qt.C) {
		s := newServers(3)
		s.answer = func(id string, _ fleet.ServerID) error {
			s.mu.Lock()
			defer s.mu.Unlock()
			if len(s.runs[id]) == 1 {
				return failure(retry.Declined, true)
			}
			return nil
		}
		c.Assert(s.dispatcher().Do(s.call("a", nil)), qt.IsNil)
		c.Assert(s.runs["a"], qt.HasLen, 2)
		c.Assert(s.runs["a"][0], qt.Not(qt.Equals), s.runs["a"][1])
	})
}

func TestNotRunIsTrueOnlyWhileNothingIsOpen(t *testing.T) {
	bubble(t, func(c *qt.C) {
		s := newServers(2)
		s.answer = func(string, fleet.ServerID) error { return failure(retry.Declined, true) }
		call := s.call("a", func(call *dispatch.Call) { call.MaxAttempts = 2 })
		c.Assert(s.dispatcher().Do(call), qt.IsNotNil)
		c.Assert(call.Sent(), qt.IsFalse)
		c.Assert(s.runs["a"], qt.HasLen, 2)
		s.answer = func(string, fleet.ServerID) error { return failure(retry.Crossed, false) }
		call = s.call("b", nil)
		c.Assert(s.dispatcher().Do(call), qt.IsNotNil)
		c.Assert(call.Sent(), qt.IsTrue)
	})
}

func TestAttemptsAreBoundedByTheCall(t *testing.T) {
	bubble(t, func(c *qt.C) {
		s := newServers(5)
		s.answer = func(string, fleet.ServerID) error { return failure(retry.Faulty, false) }
		call := s.call("a", func(call *dispatch.Call) { call.Idempotent, call.MaxAttempts = true, 3 })
		c.Assert(s.dispatcher().Do(call), qt.IsNotNil)
		c.Assert(s.runs["a"], qt.HasLen, 3)
	})
}

// TestFurtherAttemptsKeepToTheAllowance answers the pattern of servers that
// fail everything: retries must not multiply the load.
func TestFurtherAttemptsKeepToTheAllowance(t *testing.T) {
	bubble(t, func(c *qt.C) {
		s := newServers(5)
		s.answer = func(string, fleet.ServerID) error { return failure(retry.Faulty, false) }
		d := s.dispatcher()
		d.Allowance = func() retry.Allowance { return retry.Allowance{Ratio: 0.2, Burst: 4} }
		for at := range 100 {
			call := s.call(fmt.Sprint(at), func(call *dispatch.Call) { call.Idempotent = true })
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
	bubble(t, func(c *qt.C) {
		s := newServers(2)
		d := s.dispatcher()
		var group sync.WaitGroup
		for at := range 60 {
			group.Go(func() { c.Check(d.Do(s.call(fmt.Sprint(at), nil)), qt.IsNil) })
		}
		group.Wait()
		c.Assert(s.peak, qt.Equals, 4)
	})
}

// TestUrgentCallsGoFirst answers the pattern of a full server that calls of two
// urgencies wait for.
func TestUrgentCallsGoFirst(t *testing.T) {
	bubble(t, func(c *qt.C) {
		s := newServers(1)
		d := s.dispatcher()
		var group sync.WaitGroup
		var ended [2][]time.Duration
		var mu sync.Mutex
		began := time.Now()
		for at := range 40 {
			rank := 1 - at%2
			group.Go(func() {
				call := s.call(fmt.Sprint(at), func(call *dispatch.Call) { call.Rank = rank })
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

// TestOtherNodesCallsLeaveRoom answers the pattern of several nodes before the
// same servers: what a server says of its load bounds what a node adds.
func TestOtherNodesCallsLeaveRoom(t *testing.T) {
	bubble(t, func(c *qt.C) {
		s := newServers(1)
		s.others = 3
		d := s.dispatcher()
		c.Assert(d.Do(s.call("first", nil)), qt.IsNil)
		var group sync.WaitGroup
		for at := range 4 {
			group.Go(func() { c.Check(d.Do(s.call(fmt.Sprint(at), nil)), qt.IsNil) })
		}
		group.Wait()
		c.Check(s.peak <= 2, qt.IsTrue, qt.Commentf("%d", s.peak))
	})
}

// TestReplicaThatIsLostDoesNotRefuseItsCalls answers the pattern of a crashed
// server that still stands in the directory while another replica is loaded.
func TestReplicaThatIsLostDoesNotRefuseItsCalls(t *testing.T) {
	bubble(t, func(c *qt.C) {
		s := newServers(1)
		s.replicas[0].Item = fleet.Item{Model: "m"}
		s.answer = func(id string, _ fleet.ServerID) error {
			if id == "first" {
				return failure(retry.Unreachable, false)
			}
			return nil
		}
		d := s.dispatcher()
		d.Waker = loading{}
		unsent := func(call *dispatch.Call) {
			call.Item, call.MaxAttempts = fleet.Item{Model: "m"}, 1
			call.Message = message{servers: s, id: string(call.ID), unsent: true}
		}
		c.Assert(d.Do(s.call("first", unsent)), qt.IsNotNil)
		var group sync.WaitGroup
		for at := range 8 {
			group.Go(func() {
				call := s.call(fmt.Sprint(at), unsent)
				call.StartBy = call.Started.Add(time.Second)
				c.Check(d.Do(call), qt.IsNil)
			})
		}
		group.Wait()
	})
}

// TestModelThatIsALittleLateIsTriedAgainSoon answers the pattern of a model that
// was offered a moment before its load was done.
func TestModelThatIsALittleLateIsTriedAgainSoon(t *testing.T) {
	bubble(t, func(c *qt.C) {
		s := newServers(1)
		s.takes = 0
		began := time.Now()
		s.answer = func(string, fleet.ServerID) error {
			if time.Since(began) < 100*time.Millisecond {
				return failure(retry.Absent, true)
			}
			return nil
		}
		d := s.dispatcher()
		d.Waker = loading{}
		call := s.call("a", func(call *dispatch.Call) { call.Item = fleet.Item{Model: "m"} })
		c.Assert(d.Do(call), qt.IsNil)
		c.Assert(time.Since(began) < 200*time.Millisecond, qt.IsTrue, qt.Commentf("%s", time.Since(began)))
	})
}

// loading is a waker whose loads are always under way.
type loading struct{}

func (loading) Wake(context.Context, dispatch.Want) (dispatch.Estimate, error) {
	return dispatch.Estimate{ReadyIn: 300 * time.Millisecond}, nil
}

func TestCallWithoutServersIsRefusedAtOnce(t *testing.T) {
	bubble(t, func(c *qt.C) {
		s := newServers(0)
		began := time.Now()
		err := s.dispatcher().Do(s.call("a", nil))
		refused, found := refusal.As(err)
		c.Assert(found, qt.IsTrue)
		c.Assert(refused.Reason, qt.Equals, refusal.NoServer)
		c.Assert(refused.RetryAfter > 0, qt.IsTrue)
		c.Assert(time.Since(began), qt.Equals, time.Duration(0))
	})
}

func TestCacheOfAServerIsNotOvercommitted(t *testing.T) {
	bubble(t, func(c *qt.C) {
		s := newServers(1)
		s.replicas[0].Tokens, s.replicas[0].Slots = 1000, 32
		d := s.dispatcher()
		var group sync.WaitGroup
		for at := range 10 {
			group.Go(func() {
				c.Check(d.Do(s.call(fmt.Sprint(at), func(call *dispatch.Call) { call.Tokens = 400 })), qt.IsNil)
			})
		}
		group.Wait()
		c.Assert(s.peak, qt.Equals, 2)
	})
}
