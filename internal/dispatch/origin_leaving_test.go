package dispatch_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// slowOrigins record nothing before the call ends.
type slowOrigins struct{ *fakeOrigins }

func (o slowOrigins) Record(ctx context.Context, _ fleet.PoolID, _ fleet.RequestID, _ fleet.SoftwareVersion) error {
	<-ctx.Done()
	return ctx.Err()
}

// closedMessage counts the exchanges that were ended, and the attempts of which the
// context has ended.
type closedMessage struct {
	*eventMessage
	closed, relayed int
	attempt         context.Context //nolint:containedctx // looked at after the call
}

func (m *closedMessage) Open(ctx context.Context, attempt *dispatch.Attempt) (dispatch.Answer, error) {
	m.attempt = ctx
	attempt.MarkSent()
	return m, nil
}

func (m *closedMessage) Relay() error {
	m.relayed++
	return nil
}

func (m *closedMessage) Close() { m.closed++ }

// Guards against a server that works on, and a slot that stays taken, after the caller has
// left while the version of its stream was recorded.
func TestCallerThatLeavesDuringTheRecordEndsTheAttempt(t *testing.T) {
	runInBubble(t, func(c *qt.C) {
		servers, origins, d := twoVersions()
		d.Origins = slowOrigins{origins}
		for i := range 200 {
			call, message := servers.streamCall(fmt.Sprint("r", i), origins)
			closed := &closedMessage{eventMessage: message}
			ctx, leave := context.WithCancel(call.Context)
			call.Context, call.Message = ctx, closed
			time.AfterFunc(10*time.Millisecond, leave)
			began := time.Now()
			c.Assert(d.Do(call), qt.IsNotNil)
			c.Assert(time.Since(began), qt.Equals, 10*time.Millisecond)
			c.Assert(closed.closed, qt.Equals, 1)
			c.Assert(closed.relayed, qt.Equals, 0)
			c.Assert(closed.attempt.Err(), qt.IsNotNil)
		}
		d.Origins = origins
		call, _ := servers.streamCall("after", origins)
		c.Check(d.Do(call), qt.IsNil)
	})
}
