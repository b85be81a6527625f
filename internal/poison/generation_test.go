package poison_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/guavatrack/guavatrack/internal/poison"
	"github.com/guavatrack/guavatrack/internal/standin"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// crashRun has a node record the crash of a server under a run of a request.
func crashRun(node *poison.Controller, server string, generation int) {
	node.RecordCrash(fleet.ServerID(server), "b", []poison.Run{{Digest: "d", Generation: generation}})
	synctest.Wait()
}

// TestServersThatCrashTogetherCountOnce guards against a request that is refused because it ran on
// several servers that crashed together, at any number of nodes, while a run that began after a
// crash was known still counts, however soon after.
func TestServersThatCrashTogetherCountOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := standin.NewTable()
		first, second := &poison.Controller{Store: store, Node: "n1"}, &poison.Controller{Store: store, Node: "n2"}
		before := first.Generation("d")
		for server := range 6 {
			crashRun([]*poison.Controller{first, second}[server%2], fmt.Sprint("s", server), before)
			time.Sleep(5 * time.Millisecond)
		}
		c.Check(first.Check("d", nil).Verdict, qt.Equals, poison.Exclusive)
		c.Check(second.Check("d", nil).Verdict, qt.Equals, poison.Exclusive)
		after := second.Generation("d")
		crashRun(second, "s6", after)
		first.Merge(second.Check("d", nil).Notice)
		for _, node := range []*poison.Controller{first, second} {
			finding := node.Check("d", nil)
			c.Check(finding.Verdict, qt.Equals, poison.Refuse)
			c.Check(finding.Crashes, qt.Equals, 2)
		}
	})
}

// TestRefusedRequestHasAFurtherTrial guards against a verdict without a way back: a request that
// was wrongly convicted is served again after one trial, and one that crashes its server again is
// refused for longer each time.
func TestRefusedRequestHasAFurtherTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		node := &poison.Controller{Store: standin.NewTable(), Node: "n1"}
		crashRun(node, "s0", node.Generation("d"))
		time.Sleep(10 * time.Second)
		crashRun(node, "s1", node.Generation("d"))
		want := []time.Duration{30 * time.Second, 90 * time.Second, 270 * time.Second}
		pauses := make([]time.Duration, 0, len(want))
		for trial := range want {
			finding := node.Check("d", nil)
			c.Assert(finding.Verdict, qt.Equals, poison.Refuse)
			pauses = append(pauses, time.Until(finding.Until))
			time.Sleep(time.Until(finding.Until))
			c.Assert(node.Check("d", nil).Verdict, qt.Equals, poison.Exclusive)
			crashRun(node, fmt.Sprint("t", trial), node.Generation("d"))
		}
		c.Check(pauses, qt.DeepEquals, want)
		time.Sleep(time.Until(node.Check("d", nil).Until))
		node.RecordCompletion(time.Now(), "d", nil)
		c.Check(node.Check("d", nil).Verdict, qt.Equals, poison.Unrestricted)
	})
}

// TestTrialThatSucceedsIsToldToAll guards against a request that is suspected at all other nodes,
// and in the store, after its trial was answered: the node clears it for itself as the answer is
// complete, and then has to tell the others all the same.
func TestTrialThatSucceedsIsToldToAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := standin.NewTable()
		second := &poison.Controller{Store: store, Node: "n2"}
		first := &poison.Controller{Store: store, Node: "n1", Publish: second.Merge}
		crashRun(first, "s0", first.Generation("d"))
		c.Assert(second.Check("d", nil).Verdict, qt.Equals, poison.Exclusive)
		time.Sleep(time.Second)
		verdict, _ := first.BeginTrial(t.Context(), "d", poison.Trial{Server: "s1", Boot: "b", Deadline: time.Now().Add(time.Second)})
		c.Assert(verdict, qt.Equals, poison.Exclusive)
		first.RecordCompletion(time.Now(), "d", nil)
		first.RecordSuccess(t.Context(), "d")
		first.EndTrial("d")
		synctest.Wait()
		c.Check(second.Check("d", nil).Verdict, qt.Equals, poison.Unrestricted)
		restarted := &poison.Controller{Store: store, Node: "n3"}
		verdict, _ = restarted.BeginTrial(t.Context(), "d", poison.Trial{Server: "s1", Boot: "b", Deadline: time.Now().Add(time.Second)})
		c.Check(verdict, qt.Equals, poison.Unrestricted, qt.Commentf("from the store"))
	})
}

// TestCrashOfAnOlderVersionCounts guards against poison that is let through while nodes of two
// versions run side by side: the older ones record no generation, and drop it from what they
// write again.
func TestCrashOfAnOlderVersionCounts(t *testing.T) {
	c := qt.New(t)
	crash := func(server string, generation int) poison.Notice {
		return poison.Notice{Digest: "d", Crashes: []poison.Crash{{Server: fleet.ServerID(server), Boot: "b", At: now, Generation: generation}}}
	}
	c.Check(crash("s0", 0).Merge(crash("s1", 0)).CrashCount(), qt.Equals, 2)
	c.Check(crash("s0", 0).Merge(crash("s1", 1)).CrashCount(), qt.Equals, 2)
	known := crash("s0", 1).Merge(crash("s1", 2))
	c.Check(known.Merge(crash("s0", 0)).Merge(crash("s1", 0)).CrashCount(), qt.Equals, 2)
	c.Check(crash("s0", 1).Merge(crash("s1", 1)).Merge(crash("s1", 0)).CrashCount(), qt.Equals, 1)
}

// TestCrashesOfOneGenerationDoNotPushOutOthers has more servers crash together than a notice
// holds, before and after a further crash.
func TestCrashesOfOneGenerationDoNotPushOutOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var notices poison.NoticeSet
		drawn := make(map[int]bool)
		for server := range rapid.IntRange(1, 30).Draw(t, "crashes") {
			generation := rapid.IntRange(1, 4).Draw(t, "generation")
			drawn[generation] = true
			notices.Merge(now, poison.Notice{
				Digest: "d", ExpiresAt: now.Add(time.Minute), Crashes: []poison.Crash{{
					Server: fleet.ServerID(fmt.Sprint("s", server)), Boot: "b", At: now.Add(time.Duration(server)), Generation: generation,
				}},
			})
		}
		if count := notices.Get("d").CrashCount(); count != len(drawn) || len(notices.Get("d").Crashes) > 8 {
			t.Fatalf("%d generations counted of %d, %d crashes held", count, len(drawn), len(notices.Get("d").Crashes))
		}
	})
}
