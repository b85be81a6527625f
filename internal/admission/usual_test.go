package admission_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/admission"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Guards against weights that follow a surge, that grow without bound with the sizes that
// callers state, or that keep what a caller sent long ago.
func TestWeightsFollowUsualWork(t *testing.T) {
	c := qt.New(t)
	var usual admission.UsualWork
	now := start
	send := func(passes time.Duration, count, tokens int, callers ...fleet.CallerID) (weight float64) {
		for end := now.Add(passes); now.Before(end); now = now.Add(100 * time.Millisecond) {
			for _, caller := range callers {
				for range count {
					weight = usual.Record(now, caller, 0, tokens)
				}
			}
		}
		return weight
	}
	send(time.Minute, 1, 1000, "small", "smaller", "large")
	even := send(5*time.Minute, 4, 1000, "large")
	c.Check(even > 2 && even < 3, qt.IsTrue, qt.Commentf("%v", even))
	before := usual.Record(now, "small", 0, 1000)
	c.Check(send(11*time.Second, 7, 1000, "small") < 1.1*before, qt.IsTrue)
	c.Check(send(time.Hour, 1, 1<<30, "large") <= 8, qt.IsTrue)
	now = now.Add(100 * time.Hour)
	send(time.Minute, 1, 1000, "small", "smaller", "large")
	late := send(time.Minute, 1, 1000, "small", "smaller", "large")
	c.Check(late > 0.9 && late < 1.1, qt.IsTrue, qt.Commentf("%v", late))
}
