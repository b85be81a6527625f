package member_test

import (
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/member"
)

// TestUrgentFactReachesAllNodesAtOnce guards against notices of requests that crash
// servers taking so long through a large fleet that server after server is lost
// meanwhile. It also bounds the messages that this takes.
func TestUrgentFactReachesAllNodesAtOnce(t *testing.T) {
	for _, nodes := range []int{7, 100} {
		c := qt.New(t)
		s := newSimulation(1, regionsOf(nodes)...)
		s.steps(25)
		c.Assert(s.membershipMismatch(), qt.Equals, "")
		before := s.messages
		s.steps(2)
		perStep := (s.messages - before) / 2
		fact := member.Fact{Kind: "k", Urgent: true, Value: json.RawMessage(`1`)}
		c.Assert(s.views[s.ids[0]].Publish(s.now, fact, time.Minute), qt.IsTrue)
		steps, reached := 0, 0
		before = s.messages
		for reached < nodes && steps < 20 {
			s.step()
			steps++
			reached = 0
			for _, id := range s.ids {
				reached += len(s.views[id].Facts(s.now, "k"))
			}
		}
		s.steps(3)
		extra := s.messages - before - perStep*(steps+3)
		c.Logf("%d nodes: all reached after %d steps, %d messages more than usual", nodes, steps, extra)
		c.Check(steps <= 2, qt.IsTrue, qt.Commentf("%d", steps))
		c.Check(extra <= 4*nodes, qt.IsTrue, qt.Commentf("%d", extra))
	}
}
