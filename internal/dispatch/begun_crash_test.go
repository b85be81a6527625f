package dispatch_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/internal/poison"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// longStreamTime is how long a [longStream] is written.
const longStreamTime = 10 * time.Second

// longStream is a request for a stream of a [partFleet] that crashes no server.
type longStream struct {
	*partFleet
	call *dispatch.Call
}

func (m *longStream) Resumable() bool { return false }

func (m *longStream) Open(ctx context.Context, attempt *dispatch.Attempt) (dispatch.Answer, error) {
	attempt.MarkSent()
	m.mu.Lock()
	server := m.servers[slices.IndexFunc(m.servers, func(s *partServer) bool { return s.id == attempt.Replica.Server })]
	ended := server.ended
	m.mu.Unlock()
	answer := &longAnswer{partAnswer{ctx: ctx, ended: ended, attempt: attempt, call: m.call}}
	if err := answer.wait(firstEventTime); err != nil {
		return nil, err
	}
	attempt.AddEvent()
	return answer, nil
}

// longAnswer is the rest of a [longStream].
type longAnswer struct{ partAnswer }

func (a *longAnswer) Relay() error {
	a.call.MarkAnswerStarted()
	return a.wait(longStreamTime)
}

// doLong runs a request for a long stream, or for the rest of it, at a node.
func (f *partFleet) doLong(node int, content string) error {
	now := time.Now()
	call := &dispatch.Call{
		Context: context.Background(), ID: fleet.RequestID(content), Started: now, Deadline: now.Add(2 * longStreamTime),
		StartBy: now.Add(2 * time.Second), Pool: "p", Item: fleet.Item{Model: "m"}, Stream: true, MaxAttempts: 1,
		Digest: poison.DigestOf([]byte(content)),
	}
	call.Message = &longStream{f, call}
	return f.nodes[node].Do(call)
}

// TestRestsOfStreamsAreServedAfterServersCrashTogether guards against streams that can't be
// taken up again because their servers crashed while they were written: each was suspected of
// the crash, and its rest had to wait for a server of its own in a trial. What crashes a
// server does so as it begins to write.
func TestRestsOfStreamsAreServedAfterServersCrashTogether(t *testing.T) {
	const (
		streams = 60
		written = 3 * time.Second
		lost    = partServers / 2
	)
	runInBubble(t, func(c *qt.C) {
		ctx, cancel := context.WithCancel(c.Context())
		defer cancel()
		f := newPartFleet(ctx, partNodes)
		var group sync.WaitGroup
		var mu sync.Mutex
		broken, refused := 0, 0
		for i := range streams {
			group.Go(func() {
				content := fmt.Sprint("stream ", i)
				if f.doLong(i%partNodes, content) == nil {
					return
				}
				time.Sleep(time.Second)
				err := f.doLong((i+1)%partNodes, content)
				mu.Lock()
				defer mu.Unlock()
				broken++
				if err != nil {
					refused++
					c.Logf("rest: %v", err)
				}
			})
		}
		time.Sleep(written)
		for _, server := range f.servers[:lost] {
			f.crash(server, server.boot())
		}
		group.Wait()
		c.Assert(broken > 0, qt.IsTrue)
		c.Check(refused, qt.Equals, 0, qt.Commentf("of %d rests", broken))
		c.Logf("%d of %d rests refused", refused, broken)
	})
}
