package dispatch_test

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/refusal"
)

// fakeOrigins are the origins of streams in memory.
type fakeOrigins struct {
	mu       sync.Mutex
	versions map[fleet.RequestID]fleet.SoftwareVersion
	// unwritable is set if records cannot be written; base is then the only version at
	// which streams may begin.
	unwritable bool
	base       fleet.SoftwareVersion
}

var errUnwritable = errors.New("records cannot be written")

func (o *fakeOrigins) Record(
	_ context.Context, _ fleet.PoolID, request fleet.RequestID, software fleet.SoftwareVersion,
) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.unwritable && software != o.base {
		return errUnwritable
	}
	o.versions[request] = software
	return nil
}

func (o *fakeOrigins) Find(_ context.Context, rest dispatch.Rest) (fleet.SoftwareVersion, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	software, found := o.versions[dispatch.StreamID(rest.Request, rest.Caller)]
	if !found {
		return "", errors.New("not found")
	}
	return software, nil
}

func (o *fakeOrigins) Restriction(fleet.PoolID) (software fleet.SoftwareVersion, restricted bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.base, o.unwritable && o.base != ""
}

// eventMessage is a call whose answer is a stream with one event.
type eventMessage struct {
	origins *fakeOrigins
	call    *dispatch.Call
	// servers are those to which the call was sent, recordedBefore whether the version of
	// the stream was recorded before its event was passed on.
	servers        []fleet.ServerID
	recordedBefore bool
}

func (m *eventMessage) Resumable() bool { return true }

func (m *eventMessage) Open(_ context.Context, attempt *dispatch.Attempt) (dispatch.Answer, error) {
	attempt.MarkSent()
	m.servers = append(m.servers, attempt.Replica.Server)
	return m, nil
}

func (m *eventMessage) HasEvents() bool { return true }

func (m *eventMessage) Relay() error {
	m.call.MarkAnswerStarted()
	_, err := m.origins.Find(m.call.Context, dispatch.Rest{Pool: m.call.Pool, Request: m.call.ID, Caller: m.call.Caller})
	m.recordedBefore = err == nil
	return nil
}

func (m *eventMessage) Close() {}

// twoVersions returns servers of which every other one has another software version, and
// a dispatcher that sends calls to them.
func twoVersions() (*fakeServers, *fakeOrigins, *dispatch.Dispatcher) {
	servers := newFakeServers(6)
	for i := range servers.replicas {
		servers.replicas[i].Software = []fleet.SoftwareVersion{"v1", "v2"}[i%2]
	}
	origins := &fakeOrigins{versions: make(map[fleet.RequestID]fleet.SoftwareVersion)}
	d := servers.dispatcher()
	d.Origins = origins
	return servers, origins, d
}

func (s *fakeServers) streamCall(id string, origins *fakeOrigins) (*dispatch.Call, *eventMessage) {
	message := &eventMessage{origins: origins}
	call := s.call(id, func(call *dispatch.Call) {
		call.Stream, call.Idempotent, call.Message = true, true, message
	})
	message.call = call
	return call, message
}

// Guards against the rest of a stream from a server of another version than the one that
// began it for an earlier request of the caller.
func TestStreamOfAnEarlierRequestGoesOnAtItsVersion(t *testing.T) {
	runInBubble(t, func(c *qt.C) {
		servers, origins, d := twoVersions()
		origins.versions["begun"] = "v2"
		for range 20 {
			call, message := servers.streamCall("a", origins)
			call.Continued, call.Resumes = true, "begun"
			c.Assert(d.Do(call), qt.IsNil)
			c.Assert(message.servers, qt.HasLen, 1)
			c.Check(string(message.servers[0]), qt.Matches, "s[135]")
		}
	})
}

// Guards against a stream that goes on at a guess, and against a caller that waits for
// nothing: a stream of an unknown version is refused at once, without having run.
func TestStreamOfAnUnknownVersionIsRefusedAtOnce(t *testing.T) {
	runInBubble(t, func(c *qt.C) {
		servers, origins, d := twoVersions()
		call, message := servers.streamCall("a", origins)
		call.Continued, call.Resumes = true, "unknown"
		began := time.Now()
		refused, isRefusal := refusal.As(d.Do(call))
		c.Assert(isRefusal, qt.IsTrue)
		c.Check(refused.RetryAfter > 0, qt.IsTrue)
		c.Check(time.Since(began), qt.Equals, time.Duration(0))
		c.Check(call.Sent(), qt.IsFalse)
		c.Check(message.servers, qt.HasLen, 0)
	})
}

// Guards against an event that reaches the caller before every node can find out the
// version that wrote it.
func TestVersionIsRecordedBeforeTheFirstEventIsPassedOn(t *testing.T) {
	runInBubble(t, func(c *qt.C) {
		servers, origins, d := twoVersions()
		call, message := servers.streamCall("a", origins)
		c.Assert(d.Do(call), qt.IsNil)
		c.Check(message.recordedBefore, qt.IsTrue)
		origins.unwritable = true
		call, message = servers.streamCall("b", origins)
		c.Check(d.Do(call), qt.ErrorMatches, ".*"+errUnwritable.Error())
		c.Check(call.AnswerStarted(), qt.IsFalse)
		c.Check(call.Sent(), qt.IsTrue)
		c.Check(message.servers, qt.HasLen, 1)
	})
}

// Guards against streams that are begun and then ended while versions cannot be recorded.
func TestStreamsBeginAtTheBaseVersionWhileOthersCannotBeRecorded(t *testing.T) {
	runInBubble(t, func(c *qt.C) {
		servers, origins, d := twoVersions()
		origins.unwritable, origins.base = true, "v1"
		for range 20 {
			call, message := servers.streamCall("a", origins)
			c.Assert(d.Do(call), qt.IsNil)
			c.Check(string(message.servers[0]), qt.Matches, "s[024]")
		}
	})
}

// Guards against a stream that goes on for another caller than the one that began it, which
// only needs the id of its request, and against two callers with the same id of which one
// gets the version of the other.
func TestStreamGoesOnOnlyForItsCaller(t *testing.T) {
	runInBubble(t, func(c *qt.C) {
		servers, origins, d := twoVersions()
		stream := func(caller fleet.CallerID, resumes fleet.RequestID) (software fleet.SoftwareVersion, err error) {
			call, message := servers.streamCall("same", origins)
			call.Caller, call.Resumes, call.Continued = caller, resumes, resumes != ""
			if err := d.Do(call); err != nil {
				c.Check(message.servers, qt.HasLen, 0)
				return "", err
			}
			return origins.versions[dispatch.StreamID("same", caller)], nil
		}
		_, err := stream("A", "")
		c.Assert(err, qt.IsNil)
		_, err = stream("B", "same")
		c.Check(err, qt.ErrorMatches, ".*not found.*")
		_, err = stream("", "same")
		c.Check(err, qt.ErrorMatches, ".*not found.*")
		for range 20 {
			for _, caller := range []fleet.CallerID{"A", "B"} {
				began, err := stream(caller, "")
				c.Assert(err, qt.IsNil)
				call, message := servers.streamCall("rest", origins)
				call.Caller, call.Resumes, call.Continued = caller, "same", true
				c.Assert(d.Do(call), qt.IsNil)
				want := map[fleet.SoftwareVersion]string{"v1": "s[024]", "v2": "s[135]"}[began]
				c.Check(string(message.servers[0]), qt.Matches, want)
			}
		}
	})
}
