package dispatch_test

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/internal/retry"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// unsteadyRuns returns a hash of the servers that 400 calls ran at, one after the other, while
// servers start anew, decline and fail calls, can't be reached and want no requests.
func unsteadyRuns(mode dispatch.PaceMode, configure func(*fakeServers)) uint64 {
	s := newFakeServers(5)
	s.others, s.serviceTime = 2, 20*time.Millisecond
	random := rand.New(rand.NewPCG(7, 8))
	failures := []retry.Failure{retry.Declined, retry.ServerError, retry.Unreachable, retry.ConnectionLost}
	s.answer = func(string, fleet.ServerID) error {
		if draw := random.IntN(4 * len(failures)); draw < len(failures) {
			return failureError(failures[draw], true)
		}
		return nil
	}
	configure(s)
	d := s.dispatcher()
	d.Pace = func() dispatch.PaceMode { return mode }
	sum := fnv.New64a()
	for i := range 400 {
		if random.IntN(20) == 0 {
			s.replicas[random.IntN(5)].Boot = fleet.BootID(fmt.Sprint("boot", i))
		}
		if random.IntN(30) == 0 {
			d.RecordRest(s.replicas[0].Server, s.replicas[0].Boot, 50*time.Millisecond)
		}
		id := fmt.Sprint("c", i)
		call := s.call(id, func(call *dispatch.Call) { call.Idempotent = true })
		err := d.Do(call)
		_, _ = fmt.Fprint(sum, s.runs[id], err == nil, time.Since(call.Started))
	}
	return sum.Sum64()
}

// TestRunsWithoutPaceAreUnchanged guards against other choices and times where the pace of
// servers does not count: they report none, or it is switched off. The hash is that of the
// runs at commit 46fd336, before there was any.
func TestRunsWithoutPaceAreUnchanged(t *testing.T) {
	const want = 16313729890692660726
	slow := func(s *fakeServers) { s.slowdown = func(fleet.ServerID) float64 { return 2.5 } }
	for _, test := range []struct {
		name      string
		mode      dispatch.PaceMode
		configure func(*fakeServers)
		unchanged bool
	}{
		{"not reported", dispatch.PaceReported, func(*fakeServers) {}, true},
		{"off", dispatch.PaceNever, slow, true},
		{"reported", dispatch.PaceReported, slow, false},
		{"always", dispatch.PaceAlways, func(*fakeServers) {}, false},
	} {
		runInBubble(t, func(c *qt.C) {
			c.Check(unsteadyRuns(test.mode, test.configure) == want, qt.Equals, test.unchanged, qt.Commentf("%s", test.name))
		})
	}
}
