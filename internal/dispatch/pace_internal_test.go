package dispatch

import (
	"context"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/pace"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// twoServers lists a usual and a slow server.
type twoServers struct{}

func (twoServers) Replicas(item fleet.Item, _ fleet.PoolID) []Replica {
	return []Replica{{Server: "usual", Item: item, Ready: true, Slots: 4}, {Server: "slow", Item: item, Ready: true, Slots: 4}}
}

// TestTimesAreThoseOfTheServers guards against a slow server that makes requests at others count
// as long, and against a hedge at it as late as if all were slow. Its factor is 3, that of the
// other one 1, so that the average is 2.
func TestTimesAreThoseOfTheServers(t *testing.T) {
	c := qt.New(t)
	mode := PaceReported
	d := &Dispatcher{Directory: twoServers{}, Pace: func() PaceMode { return mode }}
	d.once.Do(d.setUp)
	call := &Call{Context: context.Background(), Pool: "p", Work: 2, Stream: true}
	call.queue = d.queueFor(call)
	slow := &slot{server: d.servers.get("slow"), call: call}
	now := time.Now()
	for i := range 200 {
		slow.server.recordSlowdown(now.Add(time.Duration(i-200)*200*time.Millisecond), 3)
	}
	near := func(got, want float64) {
		c.Helper()
		c.Check(math.Abs(got-want) < 0.03*want, qt.IsTrue, qt.Commentf("%v instead of %v", got, want))
	}
	slow.started = now.Add(-300 * time.Millisecond)
	check := func(usual, expected, work float64) {
		c.Helper()
		near(float64(d.usualTime(slow, now)), usual*float64(time.Millisecond))
		near(d.expectedWork(call, now), expected)
		near(d.workAt(slow), work)
	}
	check(300, 2, 2)
	d.pace.recordReport("p")
	check(100, 4, 6)
	for range 40 {
		call.queue.recordFirstByte(true, d.usualTime(slow, now))
	}
	plain, _ := call.queue.firstByteTimeouts(true)
	runner := &callRunner{Dispatcher: d, call: call}
	hedge, _ := runner.firstByteTimeouts(slow)
	near(float64(hedge), 2*float64(plain))
	mode = PaceNever
	check(300, 2, 2)
	hedge, _ = runner.firstByteTimeouts(slow)
	c.Check(hedge, qt.Equals, plain)
}

// TestWindowOfALostServerEnds guards against states of servers that are kept for ever since
// they were lost before they answered.
func TestWindowOfALostServerEnds(t *testing.T) {
	c := qt.New(t)
	d := &Dispatcher{Directory: twoServers{}, Pace: func() PaceMode { return PaceAlways }}
	d.once.Do(d.setUp)
	call := &Call{Context: context.Background(), Pool: "p"}
	state, now := d.servers.get("slow"), time.Now()
	state.expectRecovery(pace.Unreachable)
	replica := Replica{Server: "slow", Slots: 4, Ready: true}
	state.candidate(now, &replica, call)
	taken := &slot{server: state, replica: replica, call: call, started: now}
	state.addSlot(now, taken)
	state.removeSlot(taken)
	d.servers.removeIdle(now.Add(time.Second))
	c.Check(d.servers.get("slow") == state && d.meters.startWindows.Value() == 1, qt.IsTrue)
	d.servers.removeIdle(now.Add(time.Minute))
	c.Check(d.servers.get("slow") != state && d.meters.startWindows.Value() == 0, qt.IsTrue)
}
