package dispatch_test

import (
	"bytes"
	"context"
	"log/slog"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/internal/drain"
)

// TestLoggedOutcomeNamesCauseOfCancellation ends running calls in each of the ways
// in which their context can end. The log must distinguish a caller that left from
// a node that stops.
func TestLoggedOutcomeNamesCauseOfCancellation(t *testing.T) {
	for _, test := range []struct {
		name string
		end  func(context.CancelCauseFunc)
		want string
	}{
		{"caller", func(cancel context.CancelCauseFunc) { cancel(nil) }, `"outcome":"the caller left: `},
		{"stop", func(cancel context.CancelCauseFunc) { cancel(drain.ErrCutOff) }, `"outcome":"the node stops: `},
		{"deadline", func(context.CancelCauseFunc) {}, `"outcome":"context deadline exceeded`},
	} {
		t.Run(test.name, func(t *testing.T) {
			runInBubble(t, func(c *qt.C) {
				s := newFakeServers(1)
				s.serviceTime = time.Minute
				var log bytes.Buffer
				d := s.dispatcher()
				d.Log = slog.New(slog.NewJSONHandler(&log, nil))
				ctx, cancel := context.WithCancelCause(context.Background())
				bounded, end := context.WithTimeout(ctx, 2*time.Second)
				defer end()
				time.AfterFunc(time.Second, func() { test.end(cancel) })
				c.Assert(d.Do(s.call("a", func(call *dispatch.Call) { call.Context = bounded })), qt.IsNotNil)
				c.Assert(log.String(), qt.Contains, test.want)
			})
		})
	}
}
