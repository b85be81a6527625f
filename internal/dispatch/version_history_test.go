package dispatch_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// serverChange is what happens to a server after a time.
type serverChange struct {
	after    time.Duration
	kind     string
	server   int
	software fleet.SoftwareVersion
	holds    bool
	// listedFor is how long the entry of a run that has ended is listed.
	listedFor time.Duration
}

// versionHistory is what happens to servers of several versions while calls run.
type versionHistory struct {
	first       []serverChange
	changes     []serverChange
	calls       []drawnCall
	slots, seed int
	// origins records the versions of the streams; nil if nothing does.
	origins dispatch.Origins
}

// drawnCall is a call and when it comes.
type drawnCall struct {
	after, timeout time.Duration
	maxAttempts    int
	whole, hedge   bool
	script         []scriptedAttempt
}

// notOnTheMillisecond keeps changes of servers apart from timers of calls.
const notOnTheMillisecond = 137 * time.Microsecond

// drawMilliseconds draws a duration of whole milliseconds.
func drawMilliseconds(t *rapid.T, label string, most int) time.Duration {
	return time.Duration(rapid.IntRange(0, most).Draw(t, label)) * time.Millisecond
}

// drawChange draws what happens to one of the servers.
func drawChange(t *rapid.T, servers int) serverChange {
	return serverChange{
		after:     drawMilliseconds(t, "after", 900) + notOnTheMillisecond,
		kind:      rapid.SampledFrom([]string{"end", "replace", "replace", "begin", "drain", "serve", "evict"}).Draw(t, "kind"),
		server:    rapid.IntRange(0, servers-1).Draw(t, "server"),
		software:  rapid.SampledFrom([]fleet.SoftwareVersion{"v1", "v2", "v3"}).Draw(t, "software"),
		holds:     rapid.Bool().Draw(t, "holds"),
		listedFor: drawMilliseconds(t, "listedFor", 1500) + notOnTheMillisecond/2,
	}
}

// drawHistoryCall draws a call with breaks and silences of its attempts.
func drawHistoryCall(t *rapid.T) drawnCall {
	pause := rapid.SampledFrom([]time.Duration{
		0, 10 * time.Millisecond, 50 * time.Millisecond, 150 * time.Millisecond, 400 * time.Millisecond, 1050 * time.Millisecond,
		1500 * time.Millisecond, 7 * time.Second, time.Hour,
	})
	script := rapid.Custom(func(t *rapid.T) scriptedAttempt {
		return scriptedAttempt{pauses: rapid.SliceOfN(pause, 1, 6).Draw(t, "pauses"), fails: rapid.Bool().Draw(t, "fails")}
	})
	return drawnCall{
		after: drawMilliseconds(t, "callAfter", 1000), timeout: drawMilliseconds(t, "timeout", 15_000) + time.Second,
		maxAttempts: rapid.IntRange(2, 7).Draw(t, "maxAttempts"), hedge: rapid.Bool().Draw(t, "hedge"),
		whole: rapid.IntRange(0, 5).Draw(t, "whole") == 0, script: rapid.SliceOfN(script, 1, 6).Draw(t, "script"),
	}
}

// drawVersionHistory draws servers with their lives, and calls.
func drawVersionHistory(t *rapid.T) *versionHistory {
	h := &versionHistory{slots: rapid.IntRange(1, 3).Draw(t, "slots"), seed: rapid.IntRange(0, 1000).Draw(t, "seed")}
	servers := rapid.IntRange(2, 5).Draw(t, "servers")
	for i := range servers {
		first := drawChange(t, servers)
		first.server = i
		h.first = append(h.first, first)
	}
	for range rapid.IntRange(0, 15).Draw(t, "changes") {
		h.changes = append(h.changes, drawChange(t, servers))
	}
	for range rapid.IntRange(1, 4).Draw(t, "calls") {
		h.calls = append(h.calls, drawHistoryCall(t))
	}
	return h
}

// apply has a change of a server happen.
func (s *changingServers) apply(change serverChange) {
	server := s.servers[change.server]
	switch change.kind {
	case "end":
		s.end(server, change.listedFor, "", false)
	case "replace":
		s.end(server, change.listedFor, change.software, change.holds)
	case "begin":
		s.begin(server, change.software, change.holds)
	case "drain":
		s.drain(server)
	case "serve":
		s.serve(server, true)
	case "evict":
		s.serve(server, false)
	}
}

// historyOutcome is what has become of the calls of a history.
type historyOutcome struct {
	calls   []*historyCall
	servers *changingServers
}

// play plays a history in the present bubble and waits until nothing of it is left.
func (h *versionHistory) play(hidesVersions bool) *historyOutcome {
	servers := &changingServers{slots: h.slots, hidesVersions: hidesVersions}
	for i, first := range h.first {
		server := &changingServer{id: fleet.ServerID(fmt.Sprint("s", i))}
		servers.servers = append(servers.servers, server)
		servers.begin(server, first.software, first.holds)
	}
	d := servers.dispatcher(uint64(h.seed))
	d.Origins = h.origins
	outcome := &historyOutcome{servers: servers}
	var group sync.WaitGroup
	for i := range h.calls {
		m := &historyCall{id: fmt.Sprint("call", i), servers: servers, script: h.calls[i].script}
		outcome.calls = append(outcome.calls, m)
		group.Go(func() { h.calls[i].run(d, m) })
	}
	for _, change := range h.changes {
		time.Sleep(change.after)
		servers.apply(change)
	}
	group.Wait()
	// The wait queue ends its polling at its next tick, entries of ended runs lapse.
	time.Sleep(3 * time.Second)
	servers.endAll()
	synctest.Wait()
	return outcome
}

// run makes a call once its time has come.
func (d *drawnCall) run(dispatcher *dispatch.Dispatcher, m *historyCall) {
	time.Sleep(d.after)
	m.prepare(d.timeout)
	m.call.Stream, m.call.Hedge, m.call.MaxAttempts = !d.whole, d.hedge, d.maxAttempts
	ended := make(chan struct{})
	go m.watch(ended)
	err := dispatcher.Do(m.call)
	close(ended)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.err, m.ended = err, time.Now()
}

// violation returns the first invariant that was broken; empty if none was.
func (o *historyOutcome) violation() string {
	if s := &o.servers.slotCounter; s.taken != s.released || s.least < 0 {
		return fmt.Sprintf("%d slots taken, %d released", s.taken, s.released)
	}
	for _, m := range o.calls {
		if violation := m.violation(); violation != "" {
			return fmt.Sprintf("%s: %s", m.id, violation)
		}
	}
	return ""
}

// TestNoAnswerHoldsTwoVersions checks that no answer holds events of two software
// versions while servers end, come back with another version, drain and load, and attempts
// break off, are silent and race. Streams of which no server of their version is left end
// soon, and each slot is released once.
func TestNoAnswerHoldsTwoVersions(t *testing.T) {
	continued := 0
	rapid.Check(t, func(rt *rapid.T) {
		h := drawVersionHistory(rt)
		var outcome *historyOutcome
		synctest.Test(t, func(*testing.T) { outcome = h.play(false) })
		if violation := outcome.violation(); violation != "" {
			rt.Fatal(violation)
		}
		for _, m := range outcome.calls {
			if m.answers > 1 {
				continued++
			}
		}
	})
	t.Logf("%d streams went on", continued)
	if continued == 0 {
		t.Fatal("no stream went on")
	}
}

// TestAnswersHoldTwoVersionsWhereNoneIsListed checks that the same histories join versions
// where the choice of the server can't respect them.
func TestAnswersHoldTwoVersionsWhereNoneIsListed(t *testing.T) {
	joined := 0
	rapid.Check(t, func(rt *rapid.T) {
		h := drawVersionHistory(rt)
		var outcome *historyOutcome
		synctest.Test(t, func(*testing.T) { outcome = h.play(true) })
		for _, m := range outcome.calls {
			if m.joined() {
				joined++
			}
		}
	})
	t.Logf("%d streams were joined", joined)
	if joined == 0 {
		t.Fatal("no stream was joined although the versions are not listed")
	}
}
