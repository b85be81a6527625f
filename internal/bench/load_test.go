package bench_test

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/bench"
)

// A server that stalls for a second every ten seconds delays a tenth of an open
// load by half a second on average. A closed loop would see one slow call.
func TestLoadIsFreeOfCoordinatedOmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		// A channel in place of a mutex: virtual time stands still while a
		// goroutine waits for a mutex.
		server := make(chan struct{}, 1)
		begun := time.Now()
		load := bench.Load{Rate: 100, Span: 10 * time.Second, Even: true, Call: func(context.Context, int) bench.Result {
			server <- struct{}{}
			defer func() { <-server }()
			if at := time.Since(begun); at >= 5*time.Second && at < 6*time.Second {
				time.Sleep(6*time.Second - at)
			}
			return bench.Result{Outcome: bench.Answered}
		}}
		summary := load.Run(t.Context())
		c.Assert(summary.Sent, qt.Equals, 1000)
		c.Assert(summary.Outcomes[bench.Answered], qt.Equals, 1000)
		c.Assert(bench.Ms(summary.Total, 50) < 1, qt.IsTrue)
		c.Assert(bench.Ms(summary.Total, 95) > 400, qt.IsTrue)
		c.Assert(bench.Ms(summary.Total, 100) > 990, qt.IsTrue)
	})
}

func TestLoadKeepsItsRateWhenCallsAreSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		load := bench.Load{Rate: 50, Span: 10 * time.Second, Seed: 1, Call: func(context.Context, int) bench.Result {
			time.Sleep(30 * time.Second)
			return bench.Result{Outcome: bench.Refused}
		}}
		summary := load.Run(t.Context())
		c.Assert(summary.Sent > 400 && summary.Sent < 600, qt.IsTrue, qt.Commentf("%d", summary.Sent))
		c.Assert(summary.Outcomes[bench.Refused], qt.Equals, summary.Sent)
		c.Assert(summary.Behind, qt.Equals, time.Duration(0))
	})
}

func TestReport(t *testing.T) {
	c := qt.New(t)
	summary := bench.NewSummary()
	var text bytes.Buffer
	bench.WriteTable(&text, map[string]bench.Summary{"direct": summary})
	c.Assert(text.String(), qt.Equals, ""+
		"load      sent  answered   refused   dropped     wrong   p50 ms   p99 ms  p99.9 ms   max ms\n"+
		"direct       0         0         0         0         0    0.000    0.000     0.000    0.000\n")
}
