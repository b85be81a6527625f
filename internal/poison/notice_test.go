package poison_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/guavatrack/guavatrack/internal/poison"
	"github.com/guavatrack/guavatrack/internal/rapidtest"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

var now = time.Unix(1000, 0)

// drawNotice returns a notice with crashes that rapid draws.
func drawNotice(t *rapid.T) poison.Notice {
	notice := poison.Notice{Digest: "d", ExpiresAt: now.Add(time.Duration(rapid.IntRange(1, 9).Draw(t, "until")) * time.Minute)}
	for range rapid.IntRange(0, 3).Draw(t, "crashes") {
		notice.Crashes = append(notice.Crashes, poison.Crash{
			Server: fleet.ServerID(fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "server"))), Boot: "b",
			At:         now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "at")) * time.Second),
			Generation: rapid.IntRange(0, 3).Draw(t, "generation"),
		})
	}
	if rapid.Bool().Draw(t, "cleared") {
		notice.ClearedAt = now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "clearedAt")) * time.Second)
	}
	return notice
}

// TestNoticesMergeInAnyOrder checks that nodes that merge the same notices in
// different orders, or some of them twice, end with the same notice.
func TestNoticesMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawNotice(t), drawNotice(t), drawNotice(t)
		empty := poison.Notice{Digest: "d"}
		left := empty.Merge(a).Merge(b).Merge(c).Merge(a)
		right := empty.Merge(c).Merge(b).Merge(b).Merge(a)
		if fmt.Sprint(left) != fmt.Sprint(right) {
			t.Fatalf("%v\n%v", left, right)
		}
	})
}

func TestVerdictFollowsCrashesAndSuccesses(t *testing.T) {
	c := qt.New(t)
	var notices poison.NoticeSet
	verdict := func(at time.Time) poison.Verdict {
		found, _ := notices.Check(at, "d")
		return found
	}
	c.Assert(verdict(now), qt.Equals, poison.Unrestricted)
	notices.RecordCrash("d", poison.Crash{Server: "s1", Boot: "b1", At: now})
	notices.RecordCrash("d", poison.Crash{Server: "s1", Boot: "b1", At: now.Add(time.Second)})
	c.Assert(verdict(now), qt.Equals, poison.Exclusive, qt.Commentf("one crash noted twice"))
	notices.RecordSuccess(now.Add(2*time.Second), "d")
	c.Assert(verdict(now), qt.Equals, poison.Unrestricted)
	notices.RecordCrash("d", poison.Crash{Server: "s2", Boot: "b2", At: now.Add(3 * time.Second)})
	notices.RecordCrash("d", poison.Crash{Server: "s3", Boot: "b3", At: now.Add(4 * time.Second)})
	c.Assert(verdict(now.Add(5*time.Second)), qt.Equals, poison.Refuse)
	c.Assert(verdict(now.Add(time.Hour)), qt.Equals, poison.Unrestricted)
}

func TestCrashIsAttributedToSuspects(t *testing.T) {
	c := qt.New(t)
	var notices poison.NoticeSet
	running := []poison.Digest{"a", "b", "c"}
	c.Assert(notices.Suspects(now, "s1", "x", running), qt.DeepEquals, running)
	notices.RecordCrash("b", poison.Crash{Server: "s0", Boot: "x", At: now})
	c.Assert(notices.Suspects(now, "s1", "x", running), qt.DeepEquals, []poison.Digest{"b"})
	// Another node runs the trial of a suspect on that server; this node does
	// not run the suspect.
	notices.Merge(now, poison.Notice{
		Digest: "z", Crashes: []poison.Crash{{Server: "s9", At: now}}, ExpiresAt: now.Add(time.Minute),
		Trial: poison.Trial{Node: "n", Server: "s1", Boot: "x", Deadline: now.Add(time.Minute)},
	})
	c.Assert(notices.Suspects(now, "s1", "x", running), qt.DeepEquals, []poison.Digest{"z"})
}
