package dispatch_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/internal/retry"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// versionMessage is a call whose attempts follow a script. It records the software
// versions of the servers whose answers were forwarded.
type versionMessage struct {
	scriptedMessage
	// forwarded are the versions of the servers whose answers were forwarded, in order.
	forwarded []fleet.SoftwareVersion
	// onForward, if set, is called when an answer is forwarded.
	onForward func(replica *dispatch.Replica)
}

func (m *versionMessage) Open(ctx context.Context, attempt *dispatch.Attempt) (dispatch.Answer, error) {
	answer, err := m.scriptedMessage.Open(ctx, attempt)
	if err != nil {
		return nil, err
	}
	return &versionAnswer{Answer: answer, message: m, replica: &attempt.Replica}, nil
}

// versionAnswer is an answer of a versionMessage.
type versionAnswer struct {
	dispatch.Answer
	message *versionMessage
	replica *dispatch.Replica
}

func (a *versionAnswer) Relay() error {
	a.message.forwarded = append(a.message.forwarded, a.replica.Software)
	if a.message.onForward != nil {
		a.message.onForward(a.replica)
	}
	return a.Answer.Relay()
}

// versionServers are servers of two software versions, every other one of each.
func versionServers(count int) *fakeServers {
	servers := newFakeServers(count)
	for i := range servers.replicas {
		servers.replicas[i].Software = []fleet.SoftwareVersion{"v1", "v2"}[i%2]
	}
	return servers
}

// streamOf returns a call of a resumable stream whose attempts follow a script.
func (s *fakeServers) streamOf(id string, script ...scriptedAttempt) (*dispatch.Call, *versionMessage) {
	message := &versionMessage{scriptedMessage: scriptedMessage{script: script, resumable: true}}
	call := s.call(id, func(call *dispatch.Call) {
		call.Stream, call.Idempotent, call.MaxAttempts, call.Message = true, true, 5, message
		call.Item.Model = "m"
		call.Deadline = call.Started.Add(time.Minute)
	})
	message.call = call
	return call, message
}

// generous returns an allowance that a few calls don't use up.
func generous() retry.Allowance { return retry.Allowance{Burst: 1000} }

// breaksAfterEvents is an attempt whose answer breaks off after some events.
func breaksAfterEvents() scriptedAttempt {
	pause := 10 * time.Millisecond
	return scriptedAttempt{pauses: []time.Duration{pause, pause, pause, pause}, fails: true}
}

// joined reports whether answers of several versions were forwarded.
func (m *versionMessage) joined() bool {
	return len(slices.Compact(slices.Sorted(slices.Values(m.forwarded)))) > 1
}

// countJoined makes a number of calls that follow a script. It returns how many of them
// joined answers of several versions, and the versions that began the streams.
func (s *fakeServers) countJoined(
	c *qt.C, d *dispatch.Dispatcher, calls int, script ...scriptedAttempt,
) (joined int, began map[fleet.SoftwareVersion]int) {
	c.Helper()
	began = make(map[fleet.SoftwareVersion]int)
	for i := range calls {
		call, message := s.streamOf(fmt.Sprint(i), script...)
		c.Assert(d.Do(call), qt.IsNil)
		c.Assert(len(message.forwarded) > 1, qt.IsTrue)
		began[message.forwarded[0]]++
		if message.joined() {
			joined++
		}
	}
	synctest.Wait()
	return joined, began
}

// Guards against answers joined from two software versions: a stream that breaks off after
// some events and goes on at a server of another version.
func TestBrokenStreamGoesOnAtItsVersion(t *testing.T) {
	runInBubble(t, func(c *qt.C) {
		servers := versionServers(6)
		d := servers.dispatcher()
		d.Allowance = generous
		joined, _ := servers.countJoined(c, d, 20, breaksAfterEvents(), breaksAfterEvents(), answers())
		c.Check(joined, qt.Equals, 0)
	})
}

// Guards against answers joined from two software versions: an attempt at a server of
// another version, made beside one that is silent after its first events, takes its place.
func TestSilentStreamGoesOnAtItsVersion(t *testing.T) {
	runInBubble(t, func(c *qt.C) {
		servers := versionServers(6)
		d := servers.dispatcher()
		d.Allowance, d.Prober = generous, deadProber{}
		joined, _ := servers.countJoined(c, d, 20, beginsAndStays(), answers())
		c.Check(joined, qt.Equals, 0)
	})
}

// Guards against answers joined from two software versions after a race: the version is
// that of the attempt that begins the answer, not that of the silent one beside it.
func TestWinnerDecidesTheVersion(t *testing.T) {
	runInBubble(t, func(c *qt.C) {
		servers := versionServers(6)
		d := servers.dispatcher()
		d.Allowance, d.Prober = generous, deadProber{}
		silent := scriptedAttempt{pauses: []time.Duration{time.Hour}}
		joined, began := servers.countJoined(c, d, 20, silent, breaksAfterEvents(), answers())
		c.Check(joined, qt.Equals, 0)
		c.Check(began, qt.HasLen, 2)
	})
}

// Guards against a needless restriction: an answer that is read whole before any of it is
// passed on may come from a server of any version.
func TestWholeAnswerIsNotRestricted(t *testing.T) {
	runInBubble(t, func(c *qt.C) {
		servers := versionServers(2)
		d := servers.dispatcher()
		d.Allowance = generous
		fails := scriptedAttempt{pauses: []time.Duration{10 * time.Millisecond}, fails: true}
		for i := range 10 {
			call, message := servers.streamOf(fmt.Sprint(i), fails, answers())
			call.Stream = false
			c.Assert(d.Do(call), qt.IsNil)
			c.Check(message.forwarded, qt.HasLen, 1)
			synctest.Wait()
			c.Assert(message.runs, qt.HasLen, 2)
			c.Check(message.runs[0].server, qt.Not(qt.Equals), message.runs[1].server)
		}
	})
}
