package bench

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/pkg/refusal"
)

func TestReadStreamJudgesTheAnswer(t *testing.T) {
	const (
		hop  = `data: {"choices":[{"delta":{"role":"assistant","content":"hop "}}]}` + "\n\n"
		bine = `data: {"choices":[{"delta":{"content":"bine "}}]}` + "\n\n"
		done = "data: [DONE]\n\n"
		fail = "event: error\n" + `data: {"error":{"code":"serverFailed","run":"unknown"}}` + "\n\n"
	)
	for name, test := range map[string]struct {
		stream string
		want   Outcome
		reason refusal.Reason
	}{
		"whole":             {hop + bine + done, Answered, ""},
		"with a comment":    {": loading\n\n" + hop + bine + done, Answered, ""},
		"piece missing":     {hop + done, Wrong, ""},
		"crossed":           {bine + hop + done, Wrong, ""},
		"piece twice":       {hop + hop + bine + done, Wrong, ""},
		"cut off":           {hop + bine, Dropped, ""},
		"cut off in event":  {hop + bine[:20], Dropped, ""},
		"refused in stream": {hop + fail, Refused, refusal.ServerFailed},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			result := readStream(strings.NewReader(test.stream), time.Now(), "hop bine ")
			c.Assert(result.Outcome, qt.Equals, test.want)
			c.Assert(result.Reason, qt.Equals, test.reason)
		})
	}
}

func TestSummaryCountsLateEndsApart(t *testing.T) {
	c := qt.New(t)
	summary := NewSummary()
	for _, result := range []Result{
		{Outcome: Answered},
		{Outcome: Answered, Late: true},
		{Outcome: Refused, Reason: refusal.Overloaded},
		{Outcome: Refused, Reason: refusal.Overloaded, Late: true},
		{Outcome: Dropped, Late: true},
	} {
		summary.add(result, time.Millisecond, 0)
	}
	c.Assert(summary.Good, qt.Equals, 1)
	c.Assert(summary.Late, qt.Equals, 2)
	c.Assert(summary.RefusedInTime, qt.Equals, 1)
	c.Assert(summary.Reasons[refusal.Overloaded], qt.Equals, 2)
}
