package dispatch_test

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/refusal"
)

// holdingServers are fakeServers of which only some hold the item of a call.
type holdingServers struct {
	*fakeServers
	holders map[fleet.ServerID]bool
}

func (s *holdingServers) Replicas(item fleet.Item, pool fleet.PoolID) []dispatch.Replica {
	replicas := s.fakeServers.Replicas(item, pool)
	if item.Model == "" {
		return replicas
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(replicas, func(replica dispatch.Replica) bool { return !s.holders[replica.Server] })
}

// hold has a server hold the item, or hold it no more.
func (s *holdingServers) hold(server fleet.ServerID, holds bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holders[server] = holds
}

// versionHolders are servers of two software versions, every other one of each, that hold
// the item, and a dispatcher with a loader whose loads never end.
func versionHolders(c *qt.C, count int) (*holdingServers, *dispatch.Dispatcher) {
	// The wait queue ends its polling at its next tick.
	c.Cleanup(func() { time.Sleep(time.Second) })
	s := &holdingServers{fakeServers: versionServers(count), holders: make(map[fleet.ServerID]bool)}
	for i := range s.replicas {
		s.holders[s.replicas[i].Server] = true
	}
	d := s.dispatcher()
	d.Directory, d.Loader, d.Allowance = s, pendingLoader{}, generous
	return s, d
}

// change changes the servers of a software version.
func (s *fakeServers) change(software fleet.SoftwareVersion, change func(*dispatch.Replica)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.replicas {
		if s.replicas[i].Software == software {
			change(&s.replicas[i])
		}
	}
}

// remove removes the servers of a software version from the list.
func (s *fakeServers) remove(software fleet.SoftwareVersion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replicas = slices.DeleteFunc(s.replicas, func(replica dispatch.Replica) bool { return replica.Software == software })
}

// departures are the ways in which the servers of a software version become unusable.
var departures = map[string]func(*fakeServers, fleet.SoftwareVersion){
	"removed": (*fakeServers).remove,
	"draining": func(s *fakeServers, software fleet.SoftwareVersion) {
		s.change(software, func(replica *dispatch.Replica) { replica.Draining = true })
	},
	"not ready": func(s *fakeServers, software fleet.SoftwareVersion) {
		s.change(software, func(replica *dispatch.Replica) { replica.Ready = false })
	},
}

// Guards against callers that wait until their deadline for the rest of a stream that
// nobody can give: it breaks off after the last server of its version has left.
func TestBrokenStreamEndsAtOnceWithoutServersOfItsVersion(t *testing.T) {
	for name, depart := range departures {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(c *qt.C) {
				s, d := versionHolders(c, 4)
				call, message := s.streamOf("a", breaksAfterEvents(), answers())
				message.onForward = func(replica *dispatch.Replica) { depart(s.fakeServers, replica.Software) }
				c.Assert(d.Do(call), qt.ErrorMatches, "broken")
				c.Check(time.Since(call.Started), qt.Equals, 40*time.Millisecond)
				c.Check(message.sends, qt.Equals, 1)
			})
		})
	}
}

// Guards against callers that wait until their deadline for the rest of a stream: the last
// server of its version leaves while the call waits for a load there.
func TestWaitingStreamEndsOnceItsVersionHasLeft(t *testing.T) {
	const leaveAt = 200 * time.Millisecond
	for name, depart := range departures {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(c *qt.C) {
				s, d := versionHolders(c, 4)
				call, message := s.streamOf("a", breaksAfterEvents(), answers())
				message.onForward = func(replica *dispatch.Replica) {
					s.change(replica.Software, func(other *dispatch.Replica) { s.holders[other.Server] = false })
					time.AfterFunc(leaveAt, func() { depart(s.fakeServers, replica.Software) })
				}
				c.Assert(d.Do(call), qt.ErrorMatches, "broken")
				c.Check(message.sends, qt.Equals, 1)
				ended := time.Since(call.Started) - 10*time.Millisecond
				c.Check(ended >= leaveAt && ended <= leaveAt+20*time.Millisecond, qt.IsTrue, qt.Commentf("%s", ended))
			})
		})
	}
}

// Guards against callers that wait for an answer which nobody can begin: the call goes on
// with a stream of a version that no server has, and is refused without having run.
func TestRestOfAStreamIsRefusedAtOnceWithoutServersOfItsVersion(t *testing.T) {
	for name, depart := range departures {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(c *qt.C) {
				s, d := versionHolders(c, 4)
				depart(s.fakeServers, "v1")
				call, message := s.streamOf("a", answers())
				call.Restrict("v1")
				err := d.Do(call)
				refused, isRefusal := refusal.As(err)
				c.Assert(isRefusal, qt.IsTrue, qt.Commentf("%v", err))
				c.Check(refused.Reason, qt.Equals, refusal.NoServer)
				c.Check(refused.Message, qt.Equals, "no server of software version v1 is in service")
				c.Check(refused.RetryAfter > 0, qt.IsTrue)
				c.Check(time.Since(call.Started), qt.Equals, time.Duration(0))
				c.Check(call.Sent(), qt.IsFalse)
				c.Check(message.sends, qt.Equals, 0)
			})
		})
	}
}

// Guards against silent streams that are cut off since no server of their version can take
// their place, though their own server goes on.
func TestSilentStreamIsKeptWithoutServersOfItsVersion(t *testing.T) {
	for name, depart := range departures {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(c *qt.C) {
				s, d := versionHolders(c, 4)
				d.Prober = deadProber{}
				call, message := s.streamOf("a", scriptedAttempt{pauses: []time.Duration{0, 7 * time.Second, 0}}, answers())
				message.onForward = func(replica *dispatch.Replica) { depart(s.fakeServers, replica.Software) }
				c.Assert(d.Do(call), qt.IsNil)
				c.Check(message.sends, qt.Equals, 1)
			})
		})
	}
}

// Guards against a refusal for lack of a version of which a server is in service: it does
// not hold the model yet, and the call waits for the load.
func TestRestOfAStreamWaitsForALoadAtItsVersion(t *testing.T) {
	const loadedAt = 250 * time.Millisecond
	runInBubble(t, func(c *qt.C) {
		s, d := versionHolders(c, 2)
		s.hold("s0", false)
		time.AfterFunc(loadedAt, func() { s.hold("s0", true) })
		call, message := s.streamOf("a", answers())
		call.Restrict("v1")
		c.Assert(d.Do(call), qt.IsNil)
		c.Check(message.forwarded, qt.DeepEquals, []fleet.SoftwareVersion{"v1"})
	})
}

// Guards against servers that get no calls since streams ended for lack of a version: that
// says nothing about their health.
func TestLackOfAVersionChargesNoServer(t *testing.T) {
	runInBubble(t, func(c *qt.C) {
		s, d := versionHolders(c, 2)
		s.change("v1", func(replica *dispatch.Replica) { replica.Draining = true })
		for range 50 {
			call, _ := s.streamOf("refused", answers())
			call.Restrict("v1")
			c.Assert(d.Do(call), qt.IsNotNil)
		}
		s.change("v1", func(replica *dispatch.Replica) { replica.Draining = false })
		for _, software := range []fleet.SoftwareVersion{"v1", "v2"} {
			call, message := s.streamOf("served", answers())
			call.Restrict(software)
			c.Assert(d.Do(call), qt.IsNil)
			c.Check(message.forwarded, qt.DeepEquals, []fleet.SoftwareVersion{software})
			c.Check(time.Since(call.Started), qt.Equals, 20*time.Millisecond)
		}
	})
}

// Guards against streams that end for lack of their version without a trace of it.
func TestLackOfAVersionIsLogged(t *testing.T) {
	for name, begun := range map[string]bool{"before the answer": false, "within the answer": true} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(c *qt.C) {
				s, d := versionHolders(c, 3)
				log := &bytes.Buffer{}
				d.Log = slog.New(slog.NewJSONHandler(log, nil))
				call, message := s.streamOf("a", breaksAfterEvents())
				message.onForward = func(*dispatch.Replica) { s.remove("v2") }
				call.Restrict("v2")
				if !begun {
					s.remove("v2")
				}
				c.Assert(d.Do(call), qt.IsNotNil)
				c.Check(linesOf(c, log, "no server of the version of a stream"), qt.DeepEquals, []map[string]any{{
					"level": "WARN", "msg": "no server of the version of a stream", "request": "a", "pool": "p",
					"software": "v2", "present": "v1", "begun": begun,
				}})
			})
		})
	}
}

// linesOf returns the lines of a log with a message, without their time.
func linesOf(c *qt.C, log *bytes.Buffer, message string) (lines []map[string]any) {
	c.Helper()
	for text := range bytes.Lines(log.Bytes()) {
		var line map[string]any
		c.Assert(json.Unmarshal(text, &line), qt.IsNil)
		if line["msg"] == message {
			delete(line, "time")
			lines = append(lines, line)
		}
	}
	return lines
}
