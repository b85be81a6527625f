package dispatch_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/internal/poison"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/refusal"
)

// darkTime is how long a server is dark.
const darkTime = 4 * time.Second

// darkServers are servers that go dark as they begin to run a request: its connection hangs,
// and they take no new ones. After darkTime they are back, as a new run if restarts is set.
type darkServers struct {
	*fakeServers
	restarts bool

	mu    sync.Mutex
	dark  map[fleet.ServerID]bool
	boots int
	// arrivals are the times at which the request reached servers.
	arrivals []time.Time
}

func newDarkServers(count int, restarts bool) *darkServers {
	s := &darkServers{fakeServers: newFakeServers(count), restarts: restarts, dark: make(map[fleet.ServerID]bool)}
	for i := range s.replicas {
		s.replicas[i].Boot = fleet.BootID(fmt.Sprint("boot", i))
	}
	return s
}

// goDark has a server go dark.
func (s *darkServers) goDark(server fleet.ServerID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, time.Now())
	s.dark[server] = true
	time.AfterFunc(darkTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.dark[server] = false
		if !s.restarts {
			return
		}
		s.boots++
		s.fakeServers.mu.Lock()
		defer s.fakeServers.mu.Unlock()
		for i := range s.replicas {
			if s.replicas[i].Server == server {
				s.replicas[i].Boot = fleet.BootID(fmt.Sprint("next", s.boots))
			}
		}
	})
}

func (s *darkServers) isDark(server fleet.ServerID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dark[server]
}

func (s *darkServers) Alive(_ context.Context, replica dispatch.Replica) bool {
	return !s.isDark(replica.Server)
}

func (s *darkServers) Crashed(_ context.Context, replica dispatch.Replica) bool {
	return s.isDark(replica.Server) || !s.Listed(replica)
}

func (s *darkServers) Listed(replica dispatch.Replica) bool {
	for _, listed := range s.Replicas(replica.Item, "p") {
		if listed.Server == replica.Server {
			return listed.Boot == replica.Boot
		}
	}
	return false
}

// darkMessage is a request that has each server go dark that it reaches.
type darkMessage struct {
	fakeMessage
	servers *darkServers
}

func (m darkMessage) Open(ctx context.Context, attempt *dispatch.Attempt) (dispatch.Answer, error) {
	if m.servers.isDark(attempt.Replica.Server) {
		return nil, context.DeadlineExceeded
	}
	attempt.MarkSent()
	m.servers.goDark(attempt.Replica.Server)
	<-ctx.Done()
	return nil, ctx.Err()
}

// press sends the request again and again for a time, half a second after each end, and
// reports whether it was refused for its content.
func (s *darkServers) press(idempotent bool, length time.Duration, parts ...poison.Digest) (refused bool) {
	dispatcher := s.dispatcher()
	dispatcher.Directory, dispatcher.Prober = s, s
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		err := dispatcher.Do(s.call("dark", func(call *dispatch.Call) {
			ctx, cancel := context.WithDeadline(context.Background(), call.Started.Add(3*time.Second))
			time.AfterFunc(3*time.Second, cancel)
			call.Context, call.Deadline = ctx, call.Started.Add(3*time.Second)
			call.Idempotent, call.MaxAttempts, call.Parts = idempotent, 2, parts
			call.Message = darkMessage{fakeMessage{fakeServers: s.fakeServers, id: "dark"}, s}
		}))
		if found, is := refusal.As(err); is {
			refused = refused || found.Reason == refusal.Poisonous || found.Reason == refusal.CrashedServers
		}
	}
	// The other requests with the part are not refused for it.
	for _, part := range parts {
		call := s.call("sound", func(call *dispatch.Call) { call.Parts = []poison.Digest{part} })
		if err := dispatcher.Do(call); err != nil {
			panic(err)
		}
	}
	return refused
}

// TestRequestWhoseServersGoDarkIsRefused guards against a request that has server after
// server go dark for as long as its caller goes on: only a connection that broke counted as
// a crash.
func TestRequestWhoseServersGoDarkIsRefused(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		t.Run(fmt.Sprint("idempotent ", idempotent), func(t *testing.T) {
			runInBubble(t, func(c *qt.C) {
				s := newDarkServers(6, true)
				c.Check(s.press(idempotent, 45*time.Second, "part"), qt.IsTrue)
				c.Assert(len(s.arrivals) >= 2, qt.IsTrue)
				late := 0
				for _, at := range s.arrivals[2:] {
					if at.After(s.arrivals[2].Add(contact)) {
						late++
					}
				}
				c.Check(late <= 3, qt.IsTrue, qt.Commentf("%d of %d late", late, len(s.arrivals)))
			})
		})
	}
}

// TestRequestWhoseServersComeBackIsNotRefused guards against a sound request that is refused
// since its servers were cut off or stood still while it ran: they go on as the same run.
func TestRequestWhoseServersComeBackIsNotRefused(t *testing.T) {
	runInBubble(t, func(c *qt.C) {
		s := newDarkServers(6, false)
		c.Check(s.press(true, 45*time.Second), qt.IsFalse)
		c.Check(len(s.arrivals) > 5, qt.IsTrue)
	})
}
