package admission_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/admission"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Guards against weights that follow a surge, that grow without bound with the sizes that
// callers state, or that keep what a caller sent long ago, and against a burst of all callers,
// or a large caller at its usual load, that is taken for a surge.
func TestWeightsFollowUsualWork(t *testing.T) {
	c := qt.New(t)
	var usual admission.UsualWork
	now := start
	send := func(passes time.Duration, count, tokens int, callers ...fleet.CallerID) (weight float64, surges bool) {
		for end := now.Add(passes); now.Before(end); now = now.Add(100 * time.Millisecond) {
			for _, caller := range callers {
				for range count {
					weight, surges = usual.Record(now, caller, 0, tokens)
				}
			}
		}
		return weight, surges
	}
	send(time.Minute, 1, 1000, "small", "smaller", "large")
	weight, surges := send(5*time.Minute, 1, 1000, "small", "smaller", "large", "large", "large")
	c.Check(weight > 1.5 && weight < 2, qt.IsTrue, qt.Commentf("%v", weight))
	c.Check(surges, qt.IsFalse)
	_, surges = send(6*time.Second, 3, 1000, "small", "smaller", "large", "large", "large")
	c.Check(surges, qt.IsFalse)
	before, _ := send(10*time.Second, 1, 1000, "large", "large", "large", "smaller", "small")
	weight, surges = send(4*time.Second, 1, 1000, "large", "large", "large", "smaller", "small", "small", "small")
	c.Check(surges, qt.IsTrue)
	c.Check(weight < 1.1*before, qt.IsTrue)
	weight, _ = send(time.Hour, 1, 1<<30, "large")
	c.Check(weight <= 8, qt.IsTrue, qt.Commentf("%v", weight))
	rare, _ := usual.Record(now, "rare", 0, 1000)
	c.Check(rare >= 0.125, qt.IsTrue, qt.Commentf("%v", rare))
	now = now.Add(100 * time.Hour)
	send(time.Minute, 1, 1000, "small", "smaller", "large")
	weight, surges = send(time.Minute, 1, 1000, "small", "smaller", "large")
	c.Check(weight > 0.9 && weight < 1.1, qt.IsTrue, qt.Commentf("%v", weight))
	c.Check(surges, qt.IsFalse)
}
