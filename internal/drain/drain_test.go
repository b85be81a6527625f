package drain_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/drain"
)

func TestServesUntilCachedLookupAnswersExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		startedAt := time.Now()
		var order []string
		record := func(name string) { order = append(order, name) }
		sequence := drain.Sequence{
			AnnounceLeaving: func() { record("leave") },
			KeepFor:         10 * time.Second,
			Finish: func(context.Context) int {
				c.Check(time.Since(startedAt) >= 10*time.Second, qt.IsTrue)
				record("finish")
				return 0
			},
			FinalSteps: []drain.Step{
				{"grants", func(context.Context) error { record("grants"); return errors.New("table down") }},
				{"claims", func(context.Context) error { record("claims"); return nil }},
			},
			AnnounceStopped: func(context.Context) { record("gone") },
		}
		report, err := sequence.Run(t.Context())
		c.Assert(err, qt.ErrorMatches, "drain: grants: table down")
		c.Assert(report.CutOff, qt.Equals, 0)
		c.Assert(order, qt.DeepEquals, []string{"leave", "finish", "grants", "claims", "gone"})
	})
}

func TestFinalStepsRunAfterTheTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		stepRan := false
		sequence := drain.Sequence{
			AnnounceLeaving: func() {}, KeepFor: time.Minute,
			Finish: func(context.Context) int { return 2 },
			FinalSteps: []drain.Step{{"grants", func(ctx context.Context) error {
				stepRan = ctx.Err() == nil
				return nil
			}}},
		}
		report, err := sequence.Run(ctx)
		c.Assert(err, qt.IsNil)
		c.Assert(report.CutOff, qt.Equals, 2)
		c.Assert(report.Took, qt.Equals, 3*time.Second)
		c.Assert(stepRan, qt.IsTrue)
	})
}
