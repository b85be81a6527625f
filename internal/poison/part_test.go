package poison_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/guavatrack/guavatrack/internal/poison"
	"github.com/guavatrack/guavatrack/internal/standin"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

var (
	badPart   = poison.PartDigest("bad")
	soundPart = poison.PartDigest("5c")
)

// recordCrash records a crash of a server of its own against parts.
func recordCrash(notices *poison.NoticeSet, at time.Time, number int, parts ...poison.Digest) {
	for _, part := range parts {
		notices.RecordCrash(part, poison.Crash{Server: fleet.ServerID(fmt.Sprint("s", number)), Boot: "b", At: at})
	}
}

// TestPartThatAlwaysCrashesIsRefused checks that a part that never succeeds is refused
// after the third crash at any times, until a trial is due, and that the time until then
// grows with each further crash.
func TestPartThatAlwaysCrashesIsRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var notices poison.NoticeSet
		at, last := now, time.Duration(0)
		for number := range rapid.IntRange(poison.MaxPartCrashes, 8).Draw(t, "crashes") {
			at = at.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "after")) * time.Millisecond)
			recordCrash(&notices, at, number, badPart)
			verdict, until := notices.Check(at, badPart)
			want := []poison.Verdict{poison.Unrestricted, poison.Exclusive, poison.Refuse}[min(number, poison.MaxPartCrashes-1)]
			if verdict != want {
				t.Fatalf("verdict %v after crash %d", verdict, number+1)
			}
			if verdict != poison.Refuse {
				continue
			}
			if until.Sub(at) <= last {
				t.Fatalf("refused for %v after crash %d, %v before", until.Sub(at), number+1, last)
			}
			last = until.Sub(at)
			if verdict, _ := notices.Check(until, badPart); verdict != poison.Exclusive {
				t.Fatalf("no trial after %v", last)
			}
		}
	})
}

// TestPartThatSucceedsIsFree checks that a part is free after each success, whatever
// crashes were recorded against it before.
func TestPartThatSucceedsIsFree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var notices poison.NoticeSet
		at := now
		for number := range rapid.IntRange(1, 30).Draw(t, "events") {
			at = at.Add(time.Second)
			if rapid.Bool().Draw(t, "crash") {
				recordCrash(&notices, at, number, badPart)
				continue
			}
			notices.RecordSuccess(at, badPart)
			if verdict, _ := notices.Check(at, badPart); verdict != poison.Unrestricted {
				t.Fatalf("verdict %v after a success", verdict)
			}
		}
	})
}

// TestStrongerPartExplainsCrashes checks that the crashes of a part that is refused don't
// count against parts that had no others, and that those without it do.
func TestStrongerPartExplainsCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var notices poison.NoticeSet
		bad := rapid.IntRange(poison.MaxPartCrashes, 8).Draw(t, "bad")
		shared := rapid.IntRange(0, bad-1).Draw(t, "shared")
		own := rapid.IntRange(0, 1).Draw(t, "own")
		for number := range bad {
			recordCrash(&notices, now, number, badPart)
			if number < shared {
				recordCrash(&notices, now, number, soundPart)
			}
		}
		if own > 0 {
			recordCrash(&notices, now, bad, soundPart)
		}
		stronger := bad > shared+own
		verdict, _ := notices.Check(now, soundPart)
		if stronger && verdict != poison.Unrestricted {
			t.Fatalf("verdict %v of a part whose crashes another one explains", verdict)
		}
		if verdict, _ := notices.Check(now, badPart); verdict != poison.Refuse {
			t.Fatalf("verdict %v of the part that explains them", verdict)
		}
	})
}

// TestPartKeepsItsVerdictInAnyOrder checks that nodes that hear of the same crashes and
// successes in different orders, some twice, judge the part alike.
func TestPartKeepsItsVerdictInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 6).Draw(t, "notices")
		all := make([]poison.Notice, 0, count)
		for range count {
			notice := drawNotice(t)
			notice.Digest = rapid.SampledFrom([]poison.Digest{badPart, soundPart}).Draw(t, "part")
			all = append(all, notice)
		}
		var one, other poison.NoticeSet
		for _, notice := range all {
			one.Merge(now, notice)
		}
		for _, notice := range slices.Concat(rapid.Permutation(all).Draw(t, "order"), all[:1]) {
			other.Merge(now, notice)
		}
		for _, part := range []poison.Digest{badPart, soundPart} {
			a, untilA := one.Check(now, part)
			b, untilB := other.Check(now, part)
			if a != b || !untilA.Equal(untilB) {
				t.Fatalf("%s: %v until %v, %v until %v", part, a, untilA, b, untilB)
			}
		}
	})
}

// TestNoticesOfPartsAreBounded guards against memory that grows with made-up parts.
func TestNoticesOfPartsAreBounded(t *testing.T) {
	c := qt.New(t)
	node := &poison.Controller{Store: standin.NewTable(), Node: "n"}
	synctest.Test(t, func(*testing.T) {
		published := make(map[poison.Digest]int)
		node.Publish = func(notice poison.Notice) { published[notice.Digest]++ }
		runs := make([]poison.Run, 1000)
		for i := range runs {
			runs[i] = poison.Run{Digest: "d", Parts: []poison.Digest{poison.PartDigest(fmt.Sprint(i))}}
		}
		node.RecordCrash("s", "b", runs)
		synctest.Wait()
		c.Check(len(published) <= 65, qt.IsTrue, qt.Commentf("%d", len(published)))
	})
}

// TestSharedPartIsNotBlamed guards against requests being refused for the part with which
// all prompts of a route begin, and against a part that was sound before going unblamed.
func TestSharedPartIsNotBlamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		node := &poison.Controller{Store: standin.NewTable(), Node: "n"}
		verdict := func(part poison.Digest) poison.Verdict { return node.Check("", []poison.Digest{part}).Verdict }
		crash := func(number int, parts ...poison.Digest) {
			node.RecordCrash(fleet.ServerID(fmt.Sprint("s", number)), "b", []poison.Run{{Digest: "d", Parts: parts}})
		}
		for number := range poison.MaxPartCrashes {
			node.RecordCompletion(time.Now(), "d", []poison.Digest{soundPart})
			time.Sleep(time.Second)
			crash(number, soundPart, badPart)
		}
		c.Check(verdict(soundPart), qt.Equals, poison.Unrestricted)
		c.Check(verdict(badPart), qt.Equals, poison.Refuse)
		// All parts were answered lately: the one of longest ago is blamed.
		other := poison.PartDigest("0e")
		node.RecordCompletion(time.Now(), "d", []poison.Digest{other})
		for number := range poison.MaxPartCrashes {
			time.Sleep(time.Second)
			node.RecordCompletion(time.Now(), "d", []poison.Digest{soundPart})
			crash(10+number, soundPart, other)
		}
		c.Check(verdict(other), qt.Equals, poison.Refuse)
		c.Check(verdict(soundPart), qt.Equals, poison.Unrestricted)
	})
}

// TestAnswerClearsCrashesHeardOfLater has a node hear of crashes of a part after answers
// with it had begun there, later than those crashes.
func TestAnswerClearsCrashesHeardOfLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var cleared []poison.Notice
		node := &poison.Controller{Store: standin.NewTable(), Node: "n"}
		node.Publish = func(notice poison.Notice) { cleared = append(cleared, notice) }
		began := time.Now()
		node.RecordCompletion(began, "d", []poison.Digest{soundPart})
		notice := func(at time.Time) (notice poison.Notice) {
			var notices poison.NoticeSet
			for number := range poison.MaxPartCrashes {
				notice = notices.RecordCrash(soundPart, poison.Crash{Server: fleet.ServerID(fmt.Sprint("s", number)), Boot: fleet.BootID(fmt.Sprint(at)), At: at})
			}
			return notice
		}
		node.Merge(notice(began.Add(-time.Second)))
		synctest.Wait()
		c.Check(node.Check("", []poison.Digest{soundPart}).Verdict, qt.Equals, poison.Unrestricted)
		c.Check(cleared, qt.HasLen, 1)
		node.Merge(notice(began.Add(time.Second)))
		c.Check(node.Check("", []poison.Digest{soundPart}).Verdict, qt.Equals, poison.Refuse, qt.Commentf("crashes after the answer began"))
	})
}
