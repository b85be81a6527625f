package dispatch_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/dispatch"
)

// streamMessage is a resumable stream. Its first attempt sends a piece of the given size
// each interval, as whole events if events is set, until the attempt is cancelled or
// pieces of them were sent; a further attempt is complete at once.
type streamMessage struct {
	fakeMessage
	interval time.Duration
	size     int
	pieces   int
	events   bool
	attempts *int
}

func (m streamMessage) Resumable() bool { return true }

func (m streamMessage) Open(ctx context.Context, attempt *dispatch.Attempt) (dispatch.Answer, error) {
	attempt.MarkSent()
	*m.attempts++
	attempt.AddEvent()
	if *m.attempts > 1 {
		return emptyAnswer{}, nil
	}
	return &streamAnswer{message: m, ctx: ctx, attempt: attempt}, nil
}

type streamAnswer struct {
	message streamMessage
	ctx     context.Context //nolint:containedctx // an answer lives as long as its attempt
	attempt *dispatch.Attempt
}

func (a *streamAnswer) Close() {}

func (a *streamAnswer) Relay() error {
	for range a.message.pieces {
		select {
		case <-a.ctx.Done():
			return a.ctx.Err()
		case <-time.After(a.message.interval):
		}
		a.attempt.AddReceived(a.message.size)
		if a.message.events {
			a.attempt.AddEvent()
		}
	}
	return nil
}

// TestStalledStreamIsToldFromASlowOne guards against streams that send a byte now and
// then without ever completing an event, and against cutting slow but sound ones.
func TestStalledStreamIsToldFromASlowOne(t *testing.T) {
	for _, test := range []struct {
		name     string
		message  streamMessage
		attempts int
	}{
		{"a byte now and then", streamMessage{interval: 300 * time.Millisecond, size: 1, pieces: 100}, 2},
		{"short events", streamMessage{interval: 900 * time.Millisecond, size: 20, pieces: 20, events: true}, 1},
		{"long events in pieces", streamMessage{interval: 200 * time.Millisecond, size: 100, pieces: 60}, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			runInBubble(t, func(c *qt.C) {
				s := newFakeServers(2)
				attempts := 0
				call := s.call("stream", func(call *dispatch.Call) {
					call.Stream, call.Idempotent, call.MaxAttempts = true, true, 3
					call.Deadline = call.Started.Add(time.Minute)
					message := test.message
					message.fakeMessage, message.attempts = fakeMessage{fakeServers: s, id: "stream"}, &attempts
					call.Message = message
				})
				c.Assert(s.dispatcher().Do(call), qt.IsNil)
				c.Check(attempts, qt.Equals, test.attempts)
			})
		})
	}
}
